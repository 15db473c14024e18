"""Decisions of the gate: admit, queue, refuse or run calls and respond."""

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
from apricotpost.admission.states import PendingCall
from apricotpost.admission.states import Policy
from apricotpost.admission.states import Respond
from apricotpost.admission.states import Run
from apricotpost.admission.states import Tick
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
    "PendingCall",
    "Policy",
    "Respond",
    "Run",
    "Tick",
    "describe_load",
    "handle",
    "is_idle",
    "next_expiry",
]

# A call that waits longer is refused, so that its caller tries another server.
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
    """Return the state and the actions that follow from an event.

    Parameters
    ----------
    state : GateState
        State before the event.
    event : Event
        Event to handle.
    now, wall : float
        Monotonic clock and Unix time, in seconds.
    policy : Policy
        Rules from the view in force for the local backend server.
    checksum : int
        Checksum of the response body of a finished call.
    """
    state = adaptation.record_return_to_service(state, policy, now)
    if isinstance(event, Arrived):
        return _handle_arrival(state, event, now, wall, policy)
    if isinstance(event, Finished):
        return _handle_result(state, event.result, now, wall, policy, checksum)
    if isinstance(event, Cancelled):
        return _handle_cancellation(state, event.call)
    if isinstance(event, Announced):
        return (
            adaptation.apply_announcement(state, event.announcement, now),
            (),
        )
    if isinstance(event, DrainStarted):
        return _start_drain(state, event.refuse_from), ()
    return _start_queued(state, now, wall, policy)


def describe_load(state: GateState) -> model.Load:
    """Return the load report that responses carry back to callers."""
    return model.Load(
        in_flight=len(state.running),
        limit=int(state.limit.value),
        queued=len(state.queue),
        cold=state.limit.cold,
        usual_ms=limits.average_ms(state.limit),
    )


def next_expiry(state: GateState) -> float | None:
    """Return when the oldest queued call times out, in monotonic seconds."""
    if not state.queue:
        return None
    return state.queue[0].arrived_at + MAX_QUEUE_SECONDS


def is_idle(state: GateState) -> bool:
    """Return whether no call is running or queued."""
    return not state.running and not state.queue


def _handle_arrival(
    state: GateState,
    event: Arrived,
    now: float,
    wall: float,
    policy: Policy,
) -> states.Step:
    call = event.call
    if recent.is_known(state.known_calls, call.call):
        # A duplicated message: the first one runs the call, and its response
        # is the only one.
        return (
            dataclasses.replace(state, duplicates=state.duplicates + 1),
            (),
        )
    state = dataclasses.replace(
        state,
        known_calls=recent.record_call(state.known_calls, call.call, now),
    )
    pending = PendingCall(reply_to=event.reply_to, call=call, arrived_at=now)
    reason = _find_refusal_reason(state, call, now, wall, policy)
    if reason is None and _is_leaving(state, now):
        reason = wire.NotRunReason.DRAINING
    if reason is not None:
        return state, (_not_run(state, pending, reason),)
    if len(state.running) < int(state.limit.value):
        return _run(state, pending)
    if len(state.queue) >= max(int(state.limit.value), MIN_QUEUE_CALLS):
        reason = (
            wire.NotRunReason.COLD
            if state.limit.cold
            else wire.NotRunReason.GATE_FULL
        )
        return state, (_not_run(state, pending, reason),)
    return dataclasses.replace(state, queue=(*state.queue, pending)), ()


def _start_drain(state: GateState, refuse_from: float) -> GateState:
    """Start the drain; a second signal can only make it refuse earlier."""
    if state.draining:
        refuse_from = min(refuse_from, state.refuse_new_calls_at)
    return dataclasses.replace(
        state, draining=True, refuse_new_calls_at=refuse_from
    )


def _is_leaving(state: GateState, now: float) -> bool:
    """Return whether new calls are refused; queued calls still run."""
    announced = state.announced
    if announced is not None and announced.leaving:
        return True
    return state.draining and now >= state.refuse_new_calls_at


def _find_refusal_reason(
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
    if now - state.announced_at > adaptation.ANNOUNCEMENT_TIMEOUT_SECONDS:
        return wire.NotRunReason.NOT_READY
    if (announced.service, announced.version) != (call.service, call.version):
        return wire.NotRunReason.NOT_READY
    if policy.data_centre_out:
        return wire.NotRunReason.DATA_CENTRE_OUT
    if policy.withdrawn:
        return wire.NotRunReason.VERSION_WITHDRAWN
    return None


def _handle_result(
    state: GateState,
    result: wire.BackendResult,
    now: float,
    wall: float,
    policy: Policy,
    checksum: int,
) -> states.Step:
    pending = state.running.get(result.call)
    if pending is None:
        return state, ()
    running = dict(state.running)
    del running[result.call]
    state = dataclasses.replace(
        state,
        running=running,
        limit=adaptation.apply_result(
            state.limit, pending.call.route, result, now
        ),
        refused_connection=state.refused_connection
        or result.reason == wire.NotRunReason.NOT_SENT,
    )
    response = _respond(state, pending, result, checksum)
    state, actions = _start_queued(state, now, wall, policy)
    return state, (response, *actions)


def _respond(
    state: GateState,
    pending: PendingCall,
    result: wire.BackendResult,
    checksum: int,
) -> Respond:
    load = describe_load(state)
    call = pending.call.call
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
    return Respond(reply_to=pending.reply_to, message=message)


def _handle_cancellation(state: GateState, call: str) -> states.Step:
    """Remove a queued call; a call that is already running is not stopped."""
    for pending in state.queue:
        if pending.call.call == call:
            queue = tuple(item for item in state.queue if item != pending)
            state = dataclasses.replace(state, queue=queue)
            return state, (
                _not_run(state, pending, wire.NotRunReason.CANCELLED),
            )
    return state, ()


def _start_queued(
    state: GateState, now: float, wall: float, policy: Policy
) -> states.Step:
    """Run queued calls up to the limit and refuse those that timed out."""
    if not state.queue:
        return state, ()
    actions: list[Action] = []
    kept: list[PendingCall] = []
    queue = state.queue
    state = dataclasses.replace(state, queue=())
    for pending in queue:
        reason = _find_refusal_reason(state, pending.call, now, wall, policy)
        if reason is None and now - pending.arrived_at > MAX_QUEUE_SECONDS:
            reason = wire.NotRunReason.GATE_FULL
        if reason is not None:
            actions.append(_not_run(state, pending, reason))
        elif len(state.running) < int(state.limit.value):
            state, run_actions = _run(state, pending)
            actions.extend(run_actions)
        else:
            kept.append(pending)
    return dataclasses.replace(state, queue=tuple(kept)), tuple(actions)


def _run(state: GateState, pending: PendingCall) -> states.Step:
    running = {**state.running, pending.call.call: pending}
    state = dataclasses.replace(state, running=running)
    return state, (Run(call=pending.call),)


def _not_run(
    state: GateState, pending: PendingCall, reason: wire.NotRunReason
) -> Respond:
    return Respond(
        reply_to=pending.reply_to,
        message=wire.NotRun(
            call=pending.call.call,
            reason=reason,
            load=describe_load(state),
        ),
    )
