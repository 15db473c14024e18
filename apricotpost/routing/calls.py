"""Decisions about calls in flight, one handler for each event."""

import dataclasses

from apricotpost.routing import call_states
from apricotpost.routing.call_states import Action
from apricotpost.routing.call_states import Answered
from apricotpost.routing.call_states import Attempt
from apricotpost.routing.call_states import CallerGone
from apricotpost.routing.call_states import CallState
from apricotpost.routing.call_states import CancelCall
from apricotpost.routing.call_states import Draws
from apricotpost.routing.call_states import Event
from apricotpost.routing.call_states import Finish
from apricotpost.routing.call_states import Now
from apricotpost.routing.call_states import SendCall
from apricotpost.routing.call_states import SendFailed
from apricotpost.routing.call_states import Submitted
from apricotpost.routing.call_states import TimedOut
from apricotpost.routing import contexts
from apricotpost.routing import outcomes
from apricotpost.routing import peers
from apricotpost.routing import retries
from apricotpost.routing import sending
from apricotpost.routing import tables
from apricotpost import wire

__all__ = [
    "Action",
    "Answered",
    "Attempt",
    "CallState",
    "CallerGone",
    "CancelCall",
    "Draws",
    "Event",
    "Finish",
    "Now",
    "SendCall",
    "SendFailed",
    "Submitted",
    "TimedOut",
    "handle",
    "next_expiry",
]


def handle(
    state: CallState,
    event: Event,
    now: Now,
    *,
    table: tables.RoutingTable,
    draws: Draws,
) -> call_states.Step:
    """Return the state and the actions that follow from an event.

    Parameters
    ----------
    state : CallState
        State before the event.
    event : Event
        Event to handle.
    now : Now
        Current time on both clocks.
    table : RoutingTable
        Lookup tables of the view in force.
    draws : Draws
        Random numbers for a choice of a backend server.

    Returns
    -------
    state : CallState
        State after the event.
    actions : tuple of Action
        Actions to perform, in this order.
    """
    if isinstance(event, Submitted):
        return _submit(state, event, now, table, draws)
    if isinstance(event, Answered):
        return outcomes.after_message(state, event.message, now, table, draws)
    if isinstance(event, TimedOut):
        return outcomes.expire(state, now, table, draws)
    if isinstance(event, CallerGone):
        return _handle_caller_gone(state, event.request)
    attempt = state.attempts.get(event.call)
    if attempt is None:
        return state, ()
    state = peers.record_failure(state, attempt.instance, now)
    return outcomes.after_not_run(
        state, attempt, wire.NotRunReason.NOT_SENT, now, table, draws
    )


def next_expiry(state: CallState) -> float | None:
    """Return the Unix time at which the next attempt expires."""
    return min(
        (attempt.expires_at for attempt in state.attempts.values()),
        default=None,
    )


def _submit(
    state: CallState,
    event: Submitted,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> call_states.Step:
    request = event.request
    attempt = Attempt(
        reply_to=event.reply_to,
        request=request,
        call="",
        number=0,
        instance="",
        tried_instances=frozenset(),
        retried=request.retried,
        expires_at=request.deadline,
    )
    if request.depth > contexts.MAX_DEPTH:
        return sending.refuse(state, attempt, wire.NotRunReason.LOOP)
    state = CallState(
        data_centre=state.data_centre,
        attempts=state.attempts,
        loads=state.loads,
        budget=retries.earn(state.budget),
        sequence=state.sequence,
    )
    return sending.send(state, attempt, now, table, draws)


def _handle_caller_gone(state: CallState, request: str) -> call_states.Step:
    """Cancel queued attempts of a request; its result is still returned."""
    abandoned_attempts = [
        dataclasses.replace(attempt, abandoned=True)
        for attempt in state.attempts.values()
        if attempt.request.request == request
    ]
    state = dataclasses.replace(
        state,
        attempts={
            **state.attempts,
            **{item.call: item for item in abandoned_attempts},
        },
    )
    return state, tuple(
        CancelCall(instance=item.instance, call=item.call)
        for item in abandoned_attempts
    )
