"""Current incarnation of the backend server, from its heartbeats."""

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

# Sequence number of a backend server's first heartbeat.
FIRST_SEQUENCE = 1


class HeartbeatEffect(enum.Enum):
    """Change that a heartbeat caused."""

    # No change: it is older than the current heartbeat or its sender has left.
    NONE = "none"
    SAME = "same"
    # The current incarnation changed its state or became usable.
    CHANGED = "changed"
    # Its sender is a new incarnation.
    OTHER = "other"


class Presence:
    """Newest heartbeat, and the incarnations that have left.

    A node process that starts beside a running backend server cannot tell from
    one heartbeat whether the server is still there: it may have left after a
    heartbeat that arrives late. `confirmed` is False until the server has
    answered a health check or has sent a second heartbeat.
    """

    def __init__(self) -> None:
        self.current: model.Heartbeat | None = None
        self.confirmed = True
        self.heard_at = 0.0
        self.unreachable = False
        self.assumed_cold_until = 0.0
        # Start of the newest incarnation that has left, by identifier.
        self.departed: dict[str, int] = {}


def record_heartbeat(
    presence: Presence,
    heartbeat: model.Heartbeat,
    now: float,
    *,
    confirm_seconds: float = 0.0,
) -> HeartbeatEffect:
    """Record a heartbeat and return what it changed.

    A heartbeat may arrive after its sender has left or has been replaced, and
    a later incarnation may use an identifier again.

    Parameters
    ----------
    presence : Presence
        State to update.
    heartbeat : model.Heartbeat
        The heartbeat.
    now : float
        Monotonic time, in seconds.
    confirm_seconds : float
        Least time between two heartbeats that confirms the server.
    """
    departed_start_ms = presence.departed.get(heartbeat.backend)
    if (
        departed_start_ms is not None
        and heartbeat.started_at_ms <= departed_start_ms
    ):
        return HeartbeatEffect.NONE
    current = presence.current
    if current is not None and _is_older(heartbeat, current):
        return HeartbeatEffect.NONE
    was_usable = presence.confirmed and not presence.unreachable
    new_incarnation = current is None or (
        current.backend,
        current.started_at_ms,
    ) != (
        heartbeat.backend,
        heartbeat.started_at_ms,
    )
    if new_incarnation:
        first_heartbeat = current is None and not presence.departed
        presence.confirmed = (
            not first_heartbeat or heartbeat.sequence <= FIRST_SEQUENCE
        )
    elif now - presence.heard_at >= confirm_seconds:
        presence.confirmed = True
    presence.current = heartbeat
    presence.heard_at = now
    presence.unreachable = False
    if new_incarnation:
        return HeartbeatEffect.OTHER
    if current is not None and current.state is not heartbeat.state:
        return HeartbeatEffect.CHANGED
    if presence.confirmed and not was_usable:
        return HeartbeatEffect.CHANGED
    return HeartbeatEffect.SAME


def confirm(presence: Presence, backend: str) -> bool:
    """Record that a backend server has passed its health check.

    Returns
    -------
    bool
        Whether that makes the current incarnation usable.
    """
    current = presence.current
    if presence.confirmed or current is None or current.backend != backend:
        return False
    presence.confirmed = True
    return True


def deregister(presence: Presence, backend: str, started_at_ms: int) -> bool:
    """Record that an incarnation leaves.

    Parameters
    ----------
    presence : Presence
        State to update.
    backend : str
        Identifier of the backend server.
    started_at_ms : int
        Start of the incarnation, in Unix milliseconds; 0 if it is not known.

    Returns
    -------
    bool
        Whether it was the current incarnation.
    """
    current = presence.current
    same_backend = current is not None and current.backend == backend
    if same_backend and current is not None and not started_at_ms:
        started_at_ms = current.started_at_ms
    presence.departed[backend] = max(
        presence.departed.get(backend, 0), started_at_ms
    )
    if (
        not same_backend
        or current is None
        or current.started_at_ms > started_at_ms
    ):
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
