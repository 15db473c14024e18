"""Which incarnation of the backend server is the current one."""

import enum

from apricotpost import model

__all__ = [
    "FIRST_SEQUENCE",
    "News",
    "Presence",
    "confirm",
    "take_beat",
    "withdraw",
]

# Sequence number of the heartbeat with which a backend server starts.
FIRST_SEQUENCE = 1


class News(enum.Enum):
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
        self.current: model.BackendBeat | None = None
        self.confirmed = True
        self.heard = 0.0
        self.unreachable = False
        self.assumed_cold_until = 0.0
        # Start of the newest incarnation that left, by identifier.
        self.gone: dict[str, int] = {}


def take_beat(
    presence: Presence,
    beat: model.BackendBeat,
    now: float,
    *,
    confirm_seconds: float = 0.0,
) -> News:
    """Take a heartbeat and tell what it changed.

    A heartbeat may arrive after its sender has left or has been replaced,
    and an identifier may be used again by a later incarnation.

    Parameters
    ----------
    presence : Presence
        State.
    beat : model.BackendBeat
        The heartbeat.
    now : float
        Monotonic time, in seconds.
    confirm_seconds : float
        A second heartbeat that comes so much later confirms the server.
    """
    left = presence.gone.get(beat.backend)
    if left is not None and beat.born <= left:
        return News.NONE
    current = presence.current
    if current is not None and _is_older(beat, current):
        return News.NONE
    was_usable = presence.confirmed and not presence.unreachable
    other = current is None or (current.backend, current.born) != (
        beat.backend,
        beat.born,
    )
    if other:
        unknown = current is None and not presence.gone
        presence.confirmed = not unknown or beat.sequence <= FIRST_SEQUENCE
    elif now - presence.heard >= confirm_seconds:
        presence.confirmed = True
    presence.current = beat
    presence.heard = now
    presence.unreachable = False
    if other:
        return News.OTHER
    if current is not None and current.state is not beat.state:
        return News.CHANGED
    if presence.confirmed and not was_usable:
        return News.CHANGED
    return News.SAME


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


def withdraw(presence: Presence, backend: str, born: int) -> bool:
    """Note that an incarnation leaves; tell whether it was the current one.

    Parameters
    ----------
    presence : Presence
        State.
    backend : str
        Identifier.
    born : int
        Start of the incarnation; 0 if it did not say.
    """
    current = presence.current
    same = current is not None and current.backend == backend
    if same and current is not None and not born:
        born = current.born
    presence.gone[backend] = max(presence.gone.get(backend, 0), born)
    if not same or current is None or current.born > born:
        return False
    presence.current = None
    return True


def _is_older(beat: model.BackendBeat, current: model.BackendBeat) -> bool:
    if beat.backend == current.backend and beat.born == current.born:
        return beat.sequence <= current.sequence
    return beat.born < current.born
