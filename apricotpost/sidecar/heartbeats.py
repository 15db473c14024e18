"""Current incarnation of the backend server, from its heartbeats.

Heartbeats may be late, may come from a server that has been replaced, and may
be forged by another writer. Whatever arrived, a sound server that sends
heartbeats is current again within three heartbeat periods.
"""

import dataclasses
import enum

from apricotpost import model

__all__ = [
    "FIRST_SEQUENCE",
    "HeartbeatEffect",
    "Periods",
    "Presence",
    "confirm",
    "deregister",
    "record_heartbeat",
    "restore",
]

# Sequence number of a backend server's first heartbeat.
FIRST_SEQUENCE = 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Periods:
    """Times that depend on the heartbeat period, in seconds.

    Parameters
    ----------
    confirm : float
        Least time between two heartbeats that confirm a server. Delayed
        heartbeats of a server that has left arrive closer together.
    sound : float
        Time since its last heartbeat for which a server counts as sound.
    """

    confirm: float = 0.0
    sound: float = 0.0


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
        # The sound server that the unconfirmed current one has replaced.
        self.replaced: model.Heartbeat | None = None
        # First heartbeat that seems to be earlier than the current one while
        # that is silent, and the time at which it arrived.
        self.earlier: model.Heartbeat | None = None
        self.earlier_at = 0.0
        # Start of the newest incarnation that has left, by identifier.
        self.departed: dict[str, int] = {}
        # Identifiers of which an incarnation of unknown start has left. Only
        # a health check tells whether a heartbeat is a late one of it.
        self.departed_unknown: set[str] = set()


def record_heartbeat(
    presence: Presence,
    heartbeat: model.Heartbeat,
    now: float,
    *,
    periods: Periods = Periods(),
    plausible: bool = True,
    current_plausible: bool = True,
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
    periods : Periods
        Times that depend on the heartbeat period.
    plausible, current_plausible : bool
        Whether the sender of this heartbeat, and that of the current one, may
        be the backend server beside this node.
    """
    departed_start_ms = presence.departed.get(heartbeat.backend)
    if (
        departed_start_ms is not None
        and heartbeat.started_at_ms <= departed_start_ms
    ):
        return HeartbeatEffect.NONE
    replaced = presence.replaced
    if (
        replaced is not None
        and _is_same_incarnation(heartbeat, replaced)
        and heartbeat.sequence > replaced.sequence
        and not _ends_drain(replaced, heartbeat)
    ):
        # If a health check restores it, it must not be ready while it leaves.
        presence.replaced = heartbeat
    current = presence.current
    same_incarnation = current is not None and _is_same_incarnation(
        heartbeat, current
    )
    if current is not None and not same_incarnation:
        if current_plausible and not plausible:
            return HeartbeatEffect.NONE
        if (
            current_plausible is plausible
            and heartbeat.started_at_ms < current.started_at_ms
            and not _outlives_current(presence, heartbeat, now, periods)
        ):
            return HeartbeatEffect.NONE
    if (
        same_incarnation
        and current is not None
        and heartbeat.sequence <= current.sequence
        # A late heartbeat must not end a drain.
        and (
            current.state is not model.BackendState.READY
            or not _outlives_current(presence, heartbeat, now, periods)
        )
    ):
        return HeartbeatEffect.NONE
    if current is not None and _ends_drain(current, heartbeat):
        return HeartbeatEffect.NONE
    was_usable = presence.confirmed and not presence.unreachable
    if not same_incarnation:
        _replace(presence, heartbeat, now, periods)
    elif (
        now - presence.heard_at >= periods.confirm
        and heartbeat.backend not in presence.departed_unknown
    ):
        presence.confirmed = True
        presence.replaced = None
    presence.current = heartbeat
    presence.heard_at = now
    presence.unreachable = False
    presence.earlier = None
    if not same_incarnation:
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
    presence.replaced = None
    presence.departed_unknown.discard(backend)
    return True


def restore(presence: Presence, backend: str, now: float) -> bool:
    """Restore the replaced server if a health check has shown that it runs.

    Parameters
    ----------
    presence : Presence
        State to update.
    backend : str
        Identifier of the server that has answered the health check.
    now : float
        Monotonic time, in seconds.

    Returns
    -------
    bool
        Whether the server that had been replaced is current again.
    """
    replaced = presence.replaced
    if (
        presence.confirmed
        or replaced is None
        or replaced.backend != backend
        or presence.current is None
        or presence.current.backend == backend
    ):
        return False
    presence.current = replaced
    presence.confirmed = True
    presence.replaced = None
    presence.heard_at = now
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
    replaced = presence.replaced
    if replaced is not None and replaced.backend == backend:
        if not started_at_ms:
            started_at_ms = replaced.started_at_ms
        if replaced.started_at_ms <= started_at_ms:
            presence.replaced = None
    current = presence.current
    same_backend = current is not None and current.backend == backend
    if same_backend and current is not None and not started_at_ms:
        started_at_ms = current.started_at_ms
    if not started_at_ms:
        presence.departed_unknown.add(backend)
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


def _is_same_incarnation(
    heartbeat: model.Heartbeat, other: model.Heartbeat
) -> bool:
    return (heartbeat.backend, heartbeat.started_at_ms) == (
        other.backend,
        other.started_at_ms,
    )


def _ends_drain(current: model.Heartbeat, heartbeat: model.Heartbeat) -> bool:
    """Tell whether a heartbeat says that a leaving process is ready again.

    A process that leaves does not come back; the heartbeat is late or another
    writer's. After the drain was acknowledged, the process gets no requests.
    """
    return (
        _is_same_incarnation(heartbeat, current)
        and current.state is model.BackendState.DRAINING
        and heartbeat.state is not model.BackendState.DRAINING
    )


def _outlives_current(
    presence: Presence,
    heartbeat: model.Heartbeat,
    now: float,
    periods: Periods,
) -> bool:
    """Tell whether an earlier server goes on while the current one is silent.

    The start or the sequence number of the current heartbeat may be forged, or
    the start lies in the future, because the time of day was wrong.
    """
    if now - presence.heard_at < periods.sound:
        presence.earlier = None
    earlier = presence.earlier
    if (
        earlier is None
        or not _is_same_incarnation(heartbeat, earlier)
        or heartbeat.sequence <= earlier.sequence
    ):
        presence.earlier = heartbeat
        presence.earlier_at = now
        return False
    return (
        now - presence.heard_at >= periods.sound
        and now - presence.earlier_at >= periods.confirm
    )


def _may_still_drain(
    current: model.Heartbeat | None, heartbeat: model.Heartbeat
) -> bool:
    """Tell whether a new start is stated for a server that is leaving.

    Requests that name the identifier would reach the leaving process if the
    heartbeat is another writer's.
    """
    return (
        current is not None
        and current.state is model.BackendState.DRAINING
        and current.backend == heartbeat.backend
    )


def _replace(
    presence: Presence,
    heartbeat: model.Heartbeat,
    now: float,
    periods: Periods,
) -> None:
    """Set whether a new incarnation has to be confirmed."""
    current = presence.current
    first_heartbeat = current is None and not presence.departed
    was_sound = (
        current is not None
        and presence.confirmed
        and not presence.unreachable
        and current.backend != heartbeat.backend
        and now - presence.heard_at < periods.sound
    )
    if presence.confirmed and was_sound:
        presence.replaced = current
    needs_confirmation = (
        was_sound
        # The one before the unconfirmed one may still run.
        or (not presence.confirmed and presence.replaced is not None)
        or _may_still_drain(current, heartbeat)
        or heartbeat.backend in presence.departed_unknown
        or (first_heartbeat and heartbeat.sequence > FIRST_SEQUENCE)
    )
    presence.confirmed = not needs_confirmation
