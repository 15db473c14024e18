"""Decisions of the gate: admit, queue, refuse, run, answer."""

from collections.abc import Mapping
import dataclasses

from apricotpost.admission import limits
from apricotpost import model
from apricotpost import wire

__all__ = [
    "Announced",
    "Arrived",
    "Cancelled",
    "DrainStarted",
    "Finished",
    "GateState",
    "Policy",
    "Respond",
    "Run",
    "Tick",
    "Waiting",
    "describe_load",
    "handle",
]

# Longest wait in the queue; a caller is better off with another server.
MAX_QUEUE_SECONDS = 0.2
MIN_QUEUE_CALLS = 2
# Longer than the longest call, so that no identifier returns in time.
REMEMBER_CALLS_SECONDS = 60.0
# A backend server that does not repeat its announcement is taken for dead.
ANNOUNCEMENT_SECONDS = 15.0
SHED_STATUS = 503
COLD_HEADER = "x-backend-cold"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """What the view in force says about the local backend server.

    Parameters
    ----------
    ready : bool
        Whether the node holds a configuration.
    data_centre_out : bool
        Whether the data centre takes no new work.
    withdrawn : bool
        Whether the backend server's version is withdrawn.
    """

    ready: bool = True
    data_centre_out: bool = False
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A call and the task that waits for its answer."""

    reply_to: bytes
    call: wire.Call
    since: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateState:
    """State of the gate; times are of the monotonic clock, in seconds."""

    limit: limits.Limit
    running: Mapping[str, Waiting] = dataclasses.field(default_factory=dict)
    queue: tuple[Waiting, ...] = ()
    recent: Mapping[str, float] = dataclasses.field(default_factory=dict)
    pruned_at: float = 0.0
    announced: wire.BackendServerAnnounced | None = None
    announced_at: float = 0.0
    draining: bool = False
    drain_from: float = 0.0
    was_out: bool = False
    duplicates: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """A call came in."""

    reply_to: bytes
    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """The caller of a call no longer waits."""

    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """A backend worker finished a call."""

    result: wire.BackendResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announced:
    """The backend server introduced itself."""

    announcement: wire.BackendServerAnnounced


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """From ``refuse_from`` on new calls are refused."""

    refuse_from: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Hand a call to a backend worker."""

    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Respond:
    """Answer the task that sent the call."""

    reply_to: bytes
    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown


Event = Arrived | Cancelled | Finished | Announced | DrainStarted | Tick
Action = Run | Respond
Step = tuple[GateState, tuple[Action, ...]]


def handle(
    state: GateState,
    event: Event,
    *,
    now: float,
    wall: float,
    policy: Policy,
    checksum: int = 0,
) -> Step:
    """Decide what follows from an event.

    Parameters
    ----------
    state : GateState
        State before.
    event : Event
        What happened.
    now, wall : float
        Monotonic clock and Unix time, in seconds.
    policy : Policy
        What the view in force says.
    checksum : int
        Of the body of a finished call.
    """
    state = _note_return(state, policy)
    if isinstance(event, Arrived):
        return _arrive(state, event, now, wall, policy)
    if isinstance(event, Finished):
        return _finish(state, event.result, now, wall, checksum)
    if isinstance(event, Cancelled):
        return _cancel(state, event.call)
    if isinstance(event, Announced):
        return _announce(state, event.announcement, now)
    if isinstance(event, DrainStarted):
        state = dataclasses.replace(
            state, draining=True, drain_from=event.refuse_from
        )
        return state, ()
    return _start_queued(_prune(state, now), now, wall)


def describe_load(state: GateState) -> model.Load:
    """Return the load that answers carry back to callers."""
    return model.Load(
        in_flight=len(state.running),
        limit=int(state.limit.value),
        queued=len(state.queue),
        cold=state.limit.cold,
    )


def _arrive(
    state: GateState,
    event: Arrived,
    now: float,
    wall: float,
    policy: Policy,
) -> Step:
    call = event.call
    if call.call in state.recent:
        # The first message decides; the second gets no answer.
        return (
            dataclasses.replace(state, duplicates=state.duplicates + 1),
            (),
        )
    state = dataclasses.replace(state, recent={**state.recent, call.call: now})
    waiting = Waiting(reply_to=event.reply_to, call=call, since=now)
    reason = _refusal(state, call, now, wall, policy)
    if reason is not None:
        return state, (_not_run(state, waiting, reason),)
    if len(state.running) < int(state.limit.value):
        return _run(state, waiting)
    if len(state.queue) >= max(int(state.limit.value), MIN_QUEUE_CALLS):
        reason = (
            wire.NotRunReason.COLD
            if state.limit.cold
            else wire.NotRunReason.GATE_FULL
        )
        return state, (_not_run(state, waiting, reason),)
    return dataclasses.replace(state, queue=(*state.queue, waiting)), ()


def _refusal(
    state: GateState,
    call: wire.Call,
    now: float,
    wall: float,
    policy: Policy,
) -> wire.NotRunReason | None:
    announced = state.announced
    if wall >= call.deadline:
        return wire.NotRunReason.DEADLINE_PASSED
    if state.draining and now >= state.drain_from:
        return wire.NotRunReason.DRAINING
    if announced is None or announced.leaving or not policy.ready:
        return wire.NotRunReason.NOT_READY
    if now - state.announced_at > ANNOUNCEMENT_SECONDS:
        return wire.NotRunReason.NOT_READY
    if (announced.service, announced.version) != (call.service, call.version):
        return wire.NotRunReason.NOT_READY
    if policy.data_centre_out:
        return wire.NotRunReason.DATA_CENTRE_OUT
    if policy.withdrawn:
        return wire.NotRunReason.VERSION_WITHDRAWN
    return None


def _finish(
    state: GateState,
    result: wire.BackendResult,
    now: float,
    wall: float,
    checksum: int,
) -> Step:
    waiting = state.running.get(result.call)
    if waiting is None:
        return state, ()
    running = dict(state.running)
    del running[result.call]
    state = dataclasses.replace(
        state, running=running, limit=_adapt(state.limit, result, now)
    )
    response = _respond(state, waiting, result, checksum)
    state, actions = _start_queued(state, now, wall)
    return state, (response, *actions)


def _adapt(
    limit: limits.Limit, result: wire.BackendResult, now: float
) -> limits.Limit:
    if result.outcome is not wire.Outcome.ANSWERED:
        return limits.note_overload(limit, now)
    if result.status == SHED_STATUS:
        return limits.note_overload(limit, now)
    says_cold = any(
        name.lower() == COLD_HEADER and value == "1"
        for name, value in result.headers
    )
    if says_cold and not limit.cold:
        return limits.note_cold(limit)
    return limits.note_fast(limit, result.duration_ms)


def _respond(
    state: GateState,
    waiting: Waiting,
    result: wire.BackendResult,
    checksum: int,
) -> Respond:
    load = describe_load(state)
    call = waiting.call.call
    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown
    if result.outcome is wire.Outcome.ANSWERED:
        message = wire.Answer(
            call=call,
            status=result.status,
            headers=result.headers,
            body=result.body,
            checksum=checksum,
            load=load,
        )
    elif result.outcome is wire.Outcome.NOT_RUN:
        message = wire.NotRun(
            call=call, reason=wire.NotRunReason(result.reason), load=load
        )
    else:
        message = wire.OutcomeUnknown(
            call=call, reason=wire.UnknownReason(result.reason), load=load
        )
    return Respond(reply_to=waiting.reply_to, message=message)


def _cancel(state: GateState, call: str) -> Step:
    """Drop a queued call; one that was sent runs to its end."""
    for waiting in state.queue:
        if waiting.call.call == call:
            queue = tuple(item for item in state.queue if item != waiting)
            state = dataclasses.replace(state, queue=queue)
            return state, (
                _not_run(state, waiting, wire.NotRunReason.CANCELLED),
            )
    return state, ()


def _announce(
    state: GateState,
    announcement: wire.BackendServerAnnounced,
    now: float,
) -> Step:
    before = state.announced
    fresh = (
        before is None
        or before.address != announcement.address
        or before.version != announcement.version
        or before.service != announcement.service
        or now - state.announced_at > ANNOUNCEMENT_SECONDS
    )
    limit = state.limit
    if fresh:
        limit = limits.start(slots=announcement.slots, cold=announcement.cold)
    elif announcement.cold and not limit.cold:
        limit = limits.note_cold(limit)
    limit = dataclasses.replace(limit, slots=announcement.slots)
    state = dataclasses.replace(
        state, announced=announcement, announced_at=now, limit=limit
    )
    return state, ()


def _start_queued(state: GateState, now: float, wall: float) -> Step:
    """Run queued calls that fit and refuse those that waited too long."""
    actions: list[Action] = []
    kept: list[Waiting] = []
    queue = state.queue
    state = dataclasses.replace(state, queue=())
    for waiting in queue:
        if wall >= waiting.call.deadline:
            reason = wire.NotRunReason.DEADLINE_PASSED
            actions.append(_not_run(state, waiting, reason))
        elif len(state.running) < int(state.limit.value):
            state, more = _run(state, waiting)
            actions.extend(more)
        elif now - waiting.since > MAX_QUEUE_SECONDS:
            reason = wire.NotRunReason.GATE_FULL
            actions.append(_not_run(state, waiting, reason))
        else:
            kept.append(waiting)
    return dataclasses.replace(state, queue=tuple(kept)), tuple(actions)


def _run(state: GateState, waiting: Waiting) -> Step:
    running = {**state.running, waiting.call.call: waiting}
    state = dataclasses.replace(state, running=running)
    return state, (Run(call=waiting.call),)


def _not_run(
    state: GateState, waiting: Waiting, reason: wire.NotRunReason
) -> Respond:
    return Respond(
        reply_to=waiting.reply_to,
        message=wire.NotRun(
            call=waiting.call.call,
            reason=reason,
            load=describe_load(state),
        ),
    )


def _note_return(state: GateState, policy: Policy) -> GateState:
    """Start cold when the data centre takes new work again."""
    if state.was_out == policy.data_centre_out:
        return state
    limit = state.limit
    if not policy.data_centre_out:
        limit = limits.note_cold(limit)
    return dataclasses.replace(
        state, was_out=policy.data_centre_out, limit=limit
    )


def _prune(state: GateState, now: float) -> GateState:
    if now - state.pruned_at < 1.0:
        return state
    recent = {
        call: seen
        for call, seen in state.recent.items()
        if now - seen < REMEMBER_CALLS_SECONDS
    }
    return dataclasses.replace(state, recent=recent, pruned_at=now)
