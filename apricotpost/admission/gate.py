"""Decisions of the gate: admit, queue, refuse, run, answer."""

import dataclasses

from apricotpost.admission import adaptation
from apricotpost.admission import limits
from apricotpost.admission import recent
from apricotpost.admission import states
from apricotpost.admission.states import Action
from apricotpost.admission.states import Announced
from apricotpost.admission.states import Arrived
from apricotpost.admission.states import Cancelled
from apricotpost.admission.states import DrainStarted
from apricotpost.admission.states import Event
from apricotpost.admission.states import Finished
from apricotpost.admission.states import GateState
from apricotpost.admission.states import Policy
from apricotpost.admission.states import Respond
from apricotpost.admission.states import Run
from apricotpost.admission.states import Tick
from apricotpost.admission.states import Waiting
from apricotpost import model
from apricotpost import wire

__all__ = [
    "Action",
    "Announced",
    "Arrived",
    "Cancelled",
    "DrainStarted",
    "Event",
    "Finished",
    "GateState",
    "Policy",
    "Respond",
    "Run",
    "Tick",
    "Waiting",
    "describe_load",
    "handle",
    "is_idle",
    "next_expiry",
]

# Longest wait in the queue; a caller is better off with another server.
MAX_QUEUE_SECONDS = 0.2
MIN_QUEUE_CALLS = 2


def handle(
    state: GateState,
    event: Event,
    *,
    now: float,
    wall: float,
    policy: Policy,
    checksum: int = 0,
) -> states.Step:
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
    state = adaptation.record_return_to_service(state, policy, now)
    if isinstance(event, Arrived):
        return _arrive(state, event, now, wall, policy)
    if isinstance(event, Finished):
        return _finish(state, event.result, now, wall, policy, checksum)
    if isinstance(event, Cancelled):
        return _cancel(state, event.call)
    if isinstance(event, Announced):
        return (
            adaptation.apply_announcement(state, event.announcement, now),
            (),
        )
    if isinstance(event, DrainStarted):
        return _drain(state, event.refuse_from), ()
    return _start_queued(state, now, wall, policy)


def describe_load(state: GateState) -> model.Load:
    """Return the load that answers carry back to callers."""
    return model.Load(
        in_flight=len(state.running),
        limit=int(state.limit.value),
        queued=len(state.queue),
        cold=state.limit.cold,
        usual_ms=limits.average_ms(state.limit),
    )


def next_expiry(state: GateState) -> float | None:
    """Return when a queued call has waited too long, in monotonic time."""
    if not state.queue:
        return None
    return state.queue[0].since + MAX_QUEUE_SECONDS


def is_idle(state: GateState) -> bool:
    """Tell whether no call runs or waits."""
    return not state.running and not state.queue


def _arrive(
    state: GateState,
    event: Arrived,
    now: float,
    wall: float,
    policy: Policy,
) -> states.Step:
    call = event.call
    if recent.is_known(state.known_calls, call.call):
        # The first message decides; the second gets no answer.
        return (
            dataclasses.replace(state, duplicates=state.duplicates + 1),
            (),
        )
    state = dataclasses.replace(
        state, known_calls=recent.remember(state.known_calls, call.call, now)
    )
    waiting = Waiting(reply_to=event.reply_to, call=call, since=now)
    reason = _refusal(state, call, now, wall, policy)
    if reason is None and _is_leaving(state, now):
        reason = wire.NotRunReason.DRAINING
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


def _drain(state: GateState, refuse_from: float) -> GateState:
    """Start the drain; a second signal can only bring it forward."""
    if state.draining:
        refuse_from = min(refuse_from, state.drain_from)
    return dataclasses.replace(state, draining=True, drain_from=refuse_from)


def _is_leaving(state: GateState, now: float) -> bool:
    """Tell whether new calls are refused; queued ones still run."""
    announced = state.announced
    if announced is not None and announced.leaving:
        return True
    return state.draining and now >= state.drain_from


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
    if announced is None or not policy.ready:
        return wire.NotRunReason.NOT_READY
    if now - state.announced_at > adaptation.ANNOUNCEMENT_SECONDS:
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
    policy: Policy,
    checksum: int,
) -> states.Step:
    waiting = state.running.get(result.call)
    if waiting is None:
        return state, ()
    running = dict(state.running)
    del running[result.call]
    state = dataclasses.replace(
        state,
        running=running,
        limit=adaptation.adapt(state.limit, waiting.call.route, result, now),
        refused_connection=state.refused_connection
        or result.reason == wire.NotRunReason.NOT_SENT,
    )
    response = _respond(state, waiting, result, checksum)
    state, actions = _start_queued(state, now, wall, policy)
    return state, (response, *actions)


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


def _cancel(state: GateState, call: str) -> states.Step:
    """Drop a queued call; one that was sent runs to its end."""
    for waiting in state.queue:
        if waiting.call.call == call:
            queue = tuple(item for item in state.queue if item != waiting)
            state = dataclasses.replace(state, queue=queue)
            return state, (
                _not_run(state, waiting, wire.NotRunReason.CANCELLED),
            )
    return state, ()


def _start_queued(
    state: GateState, now: float, wall: float, policy: Policy
) -> states.Step:
    """Run queued calls that fit and refuse those that waited too long."""
    if not state.queue:
        return state, ()
    actions: list[Action] = []
    kept: list[Waiting] = []
    queue = state.queue
    state = dataclasses.replace(state, queue=())
    for waiting in queue:
        reason = _refusal(state, waiting.call, now, wall, policy)
        if reason is None and now - waiting.since > MAX_QUEUE_SECONDS:
            reason = wire.NotRunReason.GATE_FULL
        if reason is not None:
            actions.append(_not_run(state, waiting, reason))
        elif len(state.running) < int(state.limit.value):
            state, more = _run(state, waiting)
            actions.extend(more)
        else:
            kept.append(waiting)
    return dataclasses.replace(state, queue=tuple(kept)), tuple(actions)


def _run(state: GateState, waiting: Waiting) -> states.Step:
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
