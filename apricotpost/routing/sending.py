"""Sending of attempts, and the only result of each request."""

import dataclasses

from apricotpost import model
from apricotpost.routing import call_states
from apricotpost.routing import choices
from apricotpost.routing import peers
from apricotpost.routing import retries
from apricotpost.routing import tables
from apricotpost import wire

__all__ = ["finish", "refuse", "send"]

# Fraction of the remaining time after which a call that may be retried is sent
# to a second backend server; the first attempt stays open.
HEDGE_TIME_FRACTION = 0.5


def send(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
    fallback_reason: wire.NotRunReason = wire.NotRunReason.NO_BACKEND_SERVER,
) -> call_states.Step:
    """Send the next attempt, or refuse the request.

    Parameters
    ----------
    state : CallState
        State before the attempt.
    attempt : Attempt
        The previous attempt, already removed from the state, or an empty one
        before the first.
    now : Now
        Current time on both clocks.
    table : RoutingTable
        Lookup tables of the view in force.
    draws : Draws
        Random numbers for the choice of a backend server.
    fallback_reason : apricotpost.wire.NotRunReason
        Reason of the refusal if no backend server is left.
    """
    request = attempt.request
    if not table.ready:
        return refuse(state, attempt, wire.NotRunReason.NOT_READY)
    if now.wall >= request.deadline:
        return refuse(state, attempt, wire.NotRunReason.DEADLINE_PASSED)
    route = table.routes.get(request.route)
    if route is None:
        return refuse(state, attempt, wire.NotRunReason.NO_ROUTE)
    chosen = _choose(state, attempt, route, now, table, draws)
    if chosen is None:
        return refuse(state, attempt, fallback_reason)
    attempt = call_states.Attempt(
        reply_to=attempt.reply_to,
        request=request,
        call=f"{request.request}.{state.sequence + 1}",
        number=attempt.number + 1,
        instance=chosen.instance,
        tried_instances=attempt.tried_instances,
        retried=attempt.retried,
        expires_at=_attempt_deadline(attempt, route, state, now),
        sibling=attempt.sibling,
        fallback=attempt.fallback,
    )
    call = _make_call(attempt, route, chosen, table)
    state = peers.record_sent(state, attempt)
    return state, (call_states.SendCall(instance=chosen, call=call),)


def refuse(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    reason: wire.NotRunReason,
) -> call_states.Step:
    """Finish a request as not run, or with the result of an earlier attempt.

    "Not run" would be wrong if an earlier attempt may have run.
    """
    if attempt.fallback is not None:
        result = dataclasses.replace(
            attempt.fallback, attempts=attempt.number, retried=True
        )
        return finish(state, attempt, result)
    status = 404 if reason is wire.NotRunReason.NO_ROUTE else 503
    result = wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason.value,
        attempts=attempt.number,
        retried=attempt.retried,
    )
    return finish(state, attempt, result)


def finish(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    result: wire.CallResult,
) -> call_states.Step:
    """Return the only result of a request and cancel its other attempt."""
    state = peers.remove(state, attempt)
    actions: list[call_states.Action] = []
    sibling = state.attempts.get(attempt.sibling)
    if sibling is not None:
        state = peers.remove(state, sibling)
        actions.append(
            call_states.CancelCall(
                instance=sibling.instance, call=sibling.call
            )
        )
    actions.append(
        call_states.Finish(reply_to=attempt.reply_to, result=result)
    )
    return state, tuple(actions)


def _choose(
    state: call_states.CallState,
    attempt: call_states.Attempt,
    route: model.Route,
    now: call_states.Now,
    table: tables.RoutingTable,
    draws: call_states.Draws,
) -> model.InstanceRecord | None:
    version = choices.choose_version(
        table,
        table.services[route.service],
        wall=now.wall,
        draw=draws.version,
    )
    if version is None:
        return None
    candidates = [
        entry
        for entry in table.backend_servers[(route.service, version)]
        if entry.instance not in attempt.tried_instances
    ]
    if not candidates and attempt.tried_instances:
        candidates = _untried_servers(attempt, route, now, table)
    return choices.choose_backend_server(
        candidates,
        state.loads,
        data_centre=state.data_centre,
        now=now.monotonic,
        draws=(draws.first, draws.second),
    )


def _untried_servers(
    attempt: call_states.Attempt,
    route: model.Route,
    now: call_states.Now,
    table: tables.RoutingTable,
) -> list[model.InstanceRecord]:
    """Return the untried backend servers of all versions that have a share."""
    service = table.services[route.service]
    shares = choices.effective_shares(table, service, wall=now.wall)
    return [
        entry
        for version, share in shares.items()
        if share
        for entry in table.backend_servers.get((service.name, version), ())
        if entry.instance not in attempt.tried_instances
    ]


def _attempt_deadline(
    attempt: call_states.Attempt,
    route: model.Route,
    state: call_states.CallState,
    now: call_states.Now,
) -> float:
    """Return when an attempt expires, in Unix time.

    Time for a second attempt is left if one is allowed.
    """
    deadline = attempt.request.deadline
    if not retries.may_retry_failure(
        state.budget,
        idempotent=route.idempotent,
        retried=attempt.retried,
        attempts=attempt.number + 1,
    ):
        return deadline
    return now.wall + (deadline - now.wall) * HEDGE_TIME_FRACTION


def _make_call(
    attempt: call_states.Attempt,
    route: model.Route,
    chosen: model.InstanceRecord,
    table: tables.RoutingTable,
) -> wire.Call:
    request = attempt.request
    return wire.Call(
        call=attempt.call,
        route=route.name,
        service=route.service,
        version=chosen.version,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        deadline=request.deadline,
        idempotent=route.idempotent,
        depth=request.depth,
        retried=attempt.retried,
        config_version=table.version,
    )
