"""Decisions after an attempt ended or expired: finish, retry or hedge."""

import dataclasses

from apricotpost.routing import call_states
from apricotpost.routing import contexts
from apricotpost.routing import peers
from apricotpost.routing import retries
from apricotpost.routing import sending
from apricotpost.routing import tables
from apricotpost import wire

__all__ = ["after_message", "after_not_run", "expire"]

# Back-off of a backend server that refuses calls because it is leaving or not
# ready; by the end of it, the view shows this state.
LEAVING_BACKOFF_SECONDS = 5.0

_LEAVING_REASONS = frozenset(
    (
        wire.NotRunReason.DRAINING,
        wire.NotRunReason.DATA_CENTRE_OUT,
        wire.NotRunReason.VERSION_WITHDRAWN,
        wire.NotRunReason.NOT_READY,
    )
)


def after_message(
    state: call_states.CallState,
    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> call_states.Step:
    """Return the state and the actions that follow from a gate's response."""
    attempt = state.attempts.get(message.call)
    if attempt is None:
        # The attempt has ended already; its late response is dropped.
        return state, ()
    state = peers.record_load(state, attempt.instance, message.load, now)
    if isinstance(message, wire.NotRun):
        state = _record_refusal(state, attempt, message.reason, now)
        return after_not_run(state, attempt, message.reason, now, table, draws)
    if isinstance(message, wire.OutcomeUnknown):
        state = peers.record_failure(state, attempt.instance, now)
        result = _unknown_outcome(attempt, message.reason)
        return _after_failure(state, attempt, result, now, table, draws)
    return _after_answer(state, attempt, message, now, table, draws)


def after_not_run(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    reason: wire.NotRunReason,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> call_states.Step:
    """Send a call that was not run to another server, or refuse it."""
    state = peers.remove(state, attempt)
    if attempt.sibling in state.attempts:
        return _detach_from_sibling(state, attempt), ()
    attempt = dataclasses.replace(
        attempt, tried_instances=attempt.tried_instances | {attempt.instance}
    )
    if attempt.abandoned or not retries.may_retry_not_run(
        reason, attempts=attempt.number
    ):
        return sending.refuse(state, attempt, reason)
    return sending.send(state, attempt, now, table, draws, reason)


def expire(
    state: call_states.CallState,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> call_states.Step:
    """Hedge expired attempts, or give them up at the request's deadline."""
    actions: list[call_states.Action] = []
    for call in tuple(state.attempts):
        attempt = state.attempts.get(call)
        if attempt is None or attempt.expires_at > now.wall:
            continue
        if now.wall < attempt.request.deadline:
            state, next_actions = _send_hedge(
                state, attempt, now, table, draws
            )
        else:
            state, next_actions = _give_up(state, attempt, now)
        actions.extend(next_actions)
    return state, tuple(actions)


def _record_refusal(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    reason: wire.NotRunReason,
    now: call_states.Now,
) -> call_states.CallState:
    if reason in _LEAVING_REASONS:
        return peers.exclude(
            state, attempt.instance, now, LEAVING_BACKOFF_SECONDS
        )
    if reason is wire.NotRunReason.NOT_SENT:
        return peers.record_failure(state, attempt.instance, now)
    return state


def _after_answer(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    message: wire.Answer,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> call_states.Step:
    retried_below = (contexts.RETRIED_HEADER, "1") in message.headers
    result = wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.ANSWERED,
        status=message.status,
        headers=message.headers,
        body=message.body,
        attempts=attempt.number,
        retried=attempt.retried or retried_below,
    )
    if message.status not in retries.RETRIED_STATUSES:
        state = peers.record_success(state, attempt.instance)
        return sending.finish(state, attempt, result)
    if retried_below:
        return sending.finish(state, attempt, result)
    return _after_failure(state, attempt, result, now, table, draws)


def _after_failure(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    result: wire.CallResult,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> call_states.Step:
    """Retry a call that may have run, or finish it with its result."""
    if attempt.sibling in state.attempts:
        return _detach_from_sibling(peers.remove(state, attempt), attempt), ()
    if not _may_repeat(state, attempt, now, table):
        if state.budget.tokens < 1.0:
            # Marked as retried, so that nodes above in the call chain do not
            # spend their budgets on this call instead.
            result = dataclasses.replace(result, retried=True)
        return sending.finish(state, attempt, result)
    return sending.send(
        dataclasses.replace(
            peers.remove(state, attempt), budget=retries.spend(state.budget)
        ),
        dataclasses.replace(
            attempt,
            retried=True,
            tried_instances=attempt.tried_instances | {attempt.instance},
            fallback=result,
        ),
        now,
        table,
        draws,
    )


def _send_hedge(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> call_states.Step:
    """Send an expired call to another server; keep the first attempt open.

    A slow backend server may still answer the first attempt; a frozen one
    leaves half of the time for the second attempt.
    """
    deadline = attempt.request.deadline
    waiting = dataclasses.replace(attempt, expires_at=deadline)
    unhedged = dataclasses.replace(
        state, attempts={**state.attempts, attempt.call: waiting}
    )
    if not _may_repeat(state, attempt, now, table):
        return unhedged, ()
    unhedged = peers.record_failure(unhedged, attempt.instance, now)
    fallback = _unknown_outcome(attempt, wire.UnknownReason.TIMEOUT)
    hedge = dataclasses.replace(
        waiting,
        retried=True,
        tried_instances=attempt.tried_instances | {attempt.instance},
        fallback=fallback,
        sibling=attempt.call,
    )
    sent, actions = sending.send(unhedged, hedge, now, table, draws)
    if not isinstance(actions[0], call_states.SendCall):
        return unhedged, ()
    first = dataclasses.replace(
        waiting,
        retried=True,
        fallback=fallback,
        sibling=actions[0].call.call,
    )
    sent = dataclasses.replace(
        sent,
        attempts={**sent.attempts, first.call: first},
        budget=retries.spend(sent.budget),
    )
    return sent, actions


def _give_up(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    now: call_states.Now,
) -> call_states.Step:
    cancel = call_states.CancelCall(
        instance=attempt.instance, call=attempt.call
    )
    state = peers.record_failure(state, attempt.instance, now)
    result = _unknown_outcome(attempt, wire.UnknownReason.TIMEOUT)
    state, actions = sending.finish(state, attempt, result)
    return state, (cancel, *actions)


def _may_repeat(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    now: call_states.Now,
    table: tables.RoutingTable,
) -> bool:
    route = table.routes.get(attempt.request.route)
    return (
        route is not None
        and not attempt.abandoned
        and now.wall < attempt.request.deadline
        and retries.may_retry_failure(
            state.budget,
            idempotent=route.idempotent,
            retried=attempt.retried,
            attempts=attempt.number,
        )
    )


def _detach_from_sibling(
    state: call_states.CallState, attempt: call_states.Attempt
) -> call_states.CallState:
    sibling = dataclasses.replace(state.attempts[attempt.sibling], sibling="")
    return dataclasses.replace(
        state, attempts={**state.attempts, sibling.call: sibling}
    )


def _unknown_outcome(
    attempt: call_states.Attempt, reason: wire.UnknownReason
) -> wire.CallResult:
    timeout = reason is wire.UnknownReason.TIMEOUT
    return wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=504 if timeout else 502,
        reason=reason.value,
        attempts=attempt.number,
        retried=attempt.retried,
    )
