"""Which incarnation of the backend server is the current one."""

import enum

from apricotpost import model

__all__ = ["News", "Presence", "take_beat", "withdraw"]


class News(enum.Enum):
    """What a heartbeat changed."""

    # It is older than what is known.
    NONE = "none"
    SAME = "same"
    # The same incarnation changed its state or was not reachable before.
    CHANGED = "changed"
    OTHER = "other"


class Presence:
    """Newest heartbeat and the incarnations that are gone."""

    def __init__(self) -> None:
        self.current: model.BackendBeat | None = None
        self.heard = 0.0
        self.unreachable = False
        self.assumed_cold_until = 0.0
        # Start of the newest incarnation that left, by identifier.
        self.gone: dict[str, int] = {}


def take_beat(presence: Presence, beat: model.BackendBeat, now: float) -> News:
    """Take a heartbeat and tell what it changed.

    A heartbeat may arrive after its sender has left or has been replaced,
    and an identifier may be used again by a later incarnation.
    """
    left = presence.gone.get(beat.backend)
    if left is not None and beat.born <= left:
        return News.NONE
    current = presence.current
    if current is not None and _is_older(beat, current):
        return News.NONE
    presence.current = beat
    presence.heard = now
    was_unreachable = presence.unreachable
    presence.unreachable = False
    if current is None or (current.backend, current.born) != (
        beat.backend,
        beat.born,
    ):
        return News.OTHER
    if current.state is not beat.state or was_unreachable:
        return News.CHANGED
    return News.SAME


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
