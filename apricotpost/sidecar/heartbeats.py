"""Which incarnation of the backend server is the current one."""

import enum

from apricotpost import model

__all__ = [
    "FIRST_SEQUENCE",
    "HeartbeatEffect",
    "Presence",
    "confirm",
    "record_heartbeat",
    "deregister",
]

# Sequence number of the heartbeat with which a backend server starts.
FIRST_SEQUENCE = 1


class HeartbeatEffect(enum.Enum):
    """What a heartbeat changed."""

    # It is older than what is known.
    NONE = "none"
    SAME = "same"
    # The same incarnation changed its state or was not reachable before.
    CHANGED = "changed"
    OTHER = "other"


class Presence:
    """Newest heartbeat and the incarnations that are gone.

    A process that meets a backend server in the middle of its life does not
    know whether it has left: the heartbeat may be a late one. `confirmed`
    is False until the server itself has answered, or a second heartbeat has
    come.
    """

    def __init__(self) -> None:
        self.current: model.Heartbeat | None = None
        self.confirmed = True
        self.heard_at = 0.0
        self.unreachable = False
        self.assumed_cold_until = 0.0
        # Start of the newest incarnation that left, by identifier.
        self.departed: dict[str, int] = {}


def record_heartbeat(
    presence: Presence,
    heartbeat: model.Heartbeat,
    now: float,
    *,
    confirm_seconds: float = 0.0,
) -> HeartbeatEffect:
    """Take a heartbeat and tell what it changed.

    A heartbeat may arrive after its sender has left or has been replaced,
    and an identifier may be used again by a later incarnation.

    Parameters
    ----------
    presence : Presence
        State.
    heartbeat : model.Heartbeat
        The heartbeat.
    now : float
        Monotonic time, in seconds.
    confirm_seconds : float
        A second heartbeat that comes so much later confirms the server.
    """
    left = presence.departed.get(heartbeat.backend)
    if left is not None and heartbeat.started_at_ms <= left:
        return HeartbeatEffect.NONE
    current = presence.current
    if current is not None and _is_older(heartbeat, current):
        return HeartbeatEffect.NONE
    was_usable = presence.confirmed and not presence.unreachable
    other = current is None or (current.backend, current.started_at_ms) != (
        heartbeat.backend,
        heartbeat.started_at_ms,
    )
    if other:
        unknown = current is None and not presence.departed
        presence.confirmed = (
            not unknown or heartbeat.sequence <= FIRST_SEQUENCE
        )
    elif now - presence.heard_at >= confirm_seconds:
        presence.confirmed = True
    presence.current = heartbeat
    presence.heard_at = now
    presence.unreachable = False
    if other:
        return HeartbeatEffect.OTHER
    if current is not None and current.state is not heartbeat.state:
        return HeartbeatEffect.CHANGED
    if presence.confirmed and not was_usable:
        return HeartbeatEffect.CHANGED
    return HeartbeatEffect.SAME


def confirm(presence: Presence, backend: str) -> bool:
    """Note that a backend server says itself that it takes requests.

    Returns
    -------
    bool
        Whether that makes the current one usable.
    """
    current = presence.current
    if presence.confirmed or current is None or current.backend != backend:
        return False
    presence.confirmed = True
    return True


def deregister(presence: Presence, backend: str, started_at_ms: int) -> bool:
    """Note that an incarnation leaves; tell whether it was the current one.

    Parameters
    ----------
    presence : Presence
        State.
    backend : str
        Identifier.
    started_at_ms : int
        Start of the incarnation; 0 if it did not say.
    """
    current = presence.current
    same = current is not None and current.backend == backend
    if same and current is not None and not started_at_ms:
        started_at_ms = current.started_at_ms
    presence.departed[backend] = max(
        presence.departed.get(backend, 0), started_at_ms
    )
    if not same or current is None or current.started_at_ms > started_at_ms:
        return False
    presence.current = None
    return True


def _is_older(heartbeat: model.Heartbeat, current: model.Heartbeat) -> bool:
    if (
        heartbeat.backend == current.backend
        and heartbeat.started_at_ms == current.started_at_ms
    ):
        return heartbeat.sequence <= current.sequence
    return heartbeat.started_at_ms < current.started_at_ms
