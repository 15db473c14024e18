"""Decisions about calls in flight: where to send, retry, give up."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost.routing import choices
from apricotpost.routing import contexts
from apricotpost.routing import retries
from apricotpost.routing import tables
from apricotpost import wire

__all__ = [
    "Action",
    "Answered",
    "Attempt",
    "CallState",
    "CancelCall",
    "Draws",
    "Finish",
    "Now",
    "SendCall",
    "SendFailed",
    "Submitted",
    "TimedOut",
    "handle",
    "next_expiry",
]

# Back-off of a backend server after failures in a row: doubles from the
# first to the last figure.
BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
# Pause for a server that refuses because it leaves; by then the view says so.
LEAVING_BACKOFF_SECONDS = 5.0
# Part of the remaining time that an attempt gets while another is possible.
ATTEMPT_SHARE = 0.5

_LEAVING_REASONS = frozenset(
    (
        wire.NotRunReason.DRAINING,
        wire.NotRunReason.DATA_CENTRE_OUT,
        wire.NotRunReason.VERSION_WITHDRAWN,
        wire.NotRunReason.NOT_READY,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Now:
    """Both clocks: monotonic and Unix time, in seconds."""

    monotonic: float
    wall: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draws:
    """Random numbers from 0 up to 1 for one choice."""

    version: float
    first: float
    second: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """A call that waits for its answer.

    Parameters
    ----------
    reply_to : bytes
        Identity of the task that asked.
    request : apricotpost.wire.CallRequest
        What it asked for.
    call : str
        Identifier of the present attempt.
    number : int
        Attempts so far, this one included.
    instance : str
        Where the present attempt went.
    tried : frozenset of str
        Instances that failed or refused.
    retried : bool
        Whether a call that may have run was repeated.
    gives_up_at : float
        Unix time in seconds.
    """

    reply_to: bytes
    request: wire.CallRequest
    call: str
    number: int
    instance: str
    tried: frozenset[str]
    retried: bool
    gives_up_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallState:
    """Calls in flight and what is known of backend servers' load."""

    data_centre: str
    attempts: Mapping[str, Attempt] = dataclasses.field(default_factory=dict)
    loads: Mapping[str, choices.PeerLoad] = dataclasses.field(
        default_factory=dict
    )
    budget: retries.Budget = retries.Budget()
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submitted:
    """A task asks for a call."""

    reply_to: bytes
    request: wire.CallRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A gate answered."""

    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFailed:
    """A call could not be handed to a connection; nothing was sent."""

    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """Time has passed; overdue attempts are given up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCall:
    """Send a call to an instance."""

    instance: model.InstanceRecord
    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelCall:
    """Tell an instance that nobody waits any more."""

    instance: str
    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Hand the result to the task that asked."""

    reply_to: bytes
    result: wire.CallResult


Event = Submitted | Answered | SendFailed | TimedOut
Action = SendCall | CancelCall | Finish
Step = tuple[CallState, tuple[Action, ...]]


def handle(
    state: CallState,
    event: Event,
    now: Now,
    *,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    """Decide what follows from an event.

    Parameters
    ----------
    state : CallState
        State before.
    event : Event
        What happened.
    now : Now
        When.
    table : RoutingTable
        Derived from the view in force.
    draws : Draws
        Random numbers for the choice that may follow.

    Returns
    -------
    state : CallState
        State after.
    actions : tuple of Action
        What to do, in this order.
    """
    if isinstance(event, Submitted):
        return _submit(state, event, now, table, draws)
    if isinstance(event, TimedOut):
        return _expire(state, now, table, draws)
    if isinstance(event, SendFailed):
        attempt = state.attempts.get(event.call)
        if attempt is None:
            return state, ()
        state = _note_failure(state, attempt.instance, now)
        return _after_not_run(
            state, attempt, wire.NotRunReason.NOT_SENT, now, table, draws
        )
    return _answer(state, event.message, now, table, draws)


def next_expiry(state: CallState) -> float | None:
    """Return the Unix time at which the next attempt is given up."""
    return min(
        (attempt.gives_up_at for attempt in state.attempts.values()),
        default=None,
    )


def _submit(
    state: CallState,
    event: Submitted,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    request = event.request
    attempt = Attempt(
        reply_to=event.reply_to,
        request=request,
        call="",
        number=0,
        instance="",
        tried=frozenset(),
        retried=request.retried,
        gives_up_at=request.deadline,
    )
    if request.depth > contexts.MAX_DEPTH:
        return _refuse(state, attempt, wire.NotRunReason.LOOP)
    state = dataclasses.replace(state, budget=retries.earn(state.budget))
    return _send(state, attempt, now, table, draws)


def _send(
    state: CallState,
    attempt: Attempt,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
    otherwise: wire.NotRunReason = wire.NotRunReason.NO_BACKEND_SERVER,
) -> Step:
    """Send the next attempt, or refuse the call as not run."""
    request = attempt.request
    if not table.ready:
        return _refuse(state, attempt, wire.NotRunReason.NOT_READY)
    if now.wall >= request.deadline:
        return _refuse(state, attempt, wire.NotRunReason.DEADLINE_PASSED)
    route = table.routes.get(request.route)
    if route is None:
        return _refuse(state, attempt, wire.NotRunReason.NO_ROUTE)
    chosen = _choose(state, attempt, route, now, table, draws)
    if chosen is None:
        return _refuse(state, attempt, otherwise)
    sequence = state.sequence + 1
    attempt = dataclasses.replace(
        attempt,
        call=f"{request.request}.{sequence}",
        number=attempt.number + 1,
        instance=chosen.instance,
        gives_up_at=_attempt_deadline(attempt, route, state, now),
    )
    call = _make_call(attempt, route, chosen, table)
    peer = state.loads.get(chosen.instance, choices.UNKNOWN_PEER)
    peer = dataclasses.replace(
        peer,
        sent_since=peer.sent_since + 1,
        unanswered=peer.unanswered + 1,
    )
    state = dataclasses.replace(
        state,
        sequence=sequence,
        attempts={**state.attempts, attempt.call: attempt},
        loads={**state.loads, chosen.instance: peer},
    )
    return state, (SendCall(instance=chosen, call=call),)


def _choose(
    state: CallState,
    attempt: Attempt,
    route: model.Route,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
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
        if entry.instance not in attempt.tried
    ]
    if not candidates and attempt.tried:
        candidates = _other_versions(attempt, route, now, table)
    return choices.choose_backend_server(
        candidates,
        state.loads,
        data_centre=state.data_centre,
        now=now.monotonic,
        draws=(draws.first, draws.second),
    )


def _other_versions(
    attempt: Attempt,
    route: model.Route,
    now: Now,
    table: tables.RoutingTable,
) -> list[model.InstanceRecord]:
    """List untried servers of any version that has a share."""
    service = table.services[route.service]
    shares = choices.effective_shares(table, service, wall=now.wall)
    return [
        entry
        for version, share in shares.items()
        if share
        for entry in table.backend_servers.get((service.name, version), ())
        if entry.instance not in attempt.tried
    ]


def _attempt_deadline(
    attempt: Attempt, route: model.Route, state: CallState, now: Now
) -> float:
    """Leave time for a second attempt where one is allowed."""
    deadline = attempt.request.deadline
    if not retries.may_retry_failure(
        state.budget,
        idempotent=route.idempotent,
        retried=attempt.retried,
        attempts=attempt.number + 1,
    ):
        return deadline
    return now.wall + (deadline - now.wall) * ATTEMPT_SHARE


def _make_call(
    attempt: Attempt,
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


def _answer(
    state: CallState,
    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    attempt = state.attempts.get(message.call)
    if attempt is None:
        # The attempt was given up; its late answer belongs to nobody.
        return state, ()
    state = _note_load(state, attempt.instance, message.load, now)
    if isinstance(message, wire.NotRun):
        if message.reason in _LEAVING_REASONS:
            state = _exclude(
                state, attempt.instance, now, LEAVING_BACKOFF_SECONDS
            )
        elif message.reason is wire.NotRunReason.NOT_SENT:
            state = _note_failure(state, attempt.instance, now)
        return _after_not_run(
            state, attempt, message.reason, now, table, draws
        )
    if isinstance(message, wire.OutcomeUnknown):
        state = _note_failure(state, attempt.instance, now)
        return _after_unknown(
            state, attempt, message.reason, now, table, draws
        )
    return _after_answer(state, attempt, message, now, table, draws)


def _after_answer(
    state: CallState,
    attempt: Attempt,
    message: wire.Answer,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    retried_below = (contexts.RETRIED_HEADER, "1") in message.headers
    if message.status in retries.RETRIED_STATUSES and not retried_below:
        again = _retry(state, attempt, now, table, draws)
        if again is not None:
            return again
    state = _note_success(state, attempt.instance)
    result = wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.ANSWERED,
        status=message.status,
        headers=message.headers,
        body=message.body,
        attempts=attempt.number,
        retried=attempt.retried or retried_below,
    )
    return _finish(state, attempt, result)


def _after_unknown(
    state: CallState,
    attempt: Attempt,
    reason: wire.UnknownReason,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    again = _retry(state, attempt, now, table, draws)
    if again is not None:
        return again
    timeout = reason is wire.UnknownReason.TIMEOUT
    result = wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=504 if timeout else 502,
        reason=reason.value,
        attempts=attempt.number,
        retried=attempt.retried,
    )
    return _finish(state, attempt, result)


def _retry(
    state: CallState,
    attempt: Attempt,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step | None:
    """Repeat a call that may have run, if rules and servers allow it."""
    route = table.routes.get(attempt.request.route)
    if route is None or now.wall >= attempt.request.deadline:
        return None
    if not retries.may_retry_failure(
        state.budget,
        idempotent=route.idempotent,
        retried=attempt.retried,
        attempts=attempt.number,
    ):
        return None
    again = dataclasses.replace(
        attempt, retried=True, tried=attempt.tried | {attempt.instance}
    )
    chosen, actions = _send(
        dataclasses.replace(
            _drop(state, attempt), budget=retries.spend(state.budget)
        ),
        again,
        now,
        table,
        draws,
    )
    if isinstance(actions[0], Finish):
        return None
    return chosen, actions


def _after_not_run(
    state: CallState,
    attempt: Attempt,
    reason: wire.NotRunReason,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    state = _drop(state, attempt)
    attempt = dataclasses.replace(
        attempt, tried=attempt.tried | {attempt.instance}
    )
    if attempt.retried and not attempt.request.retried:
        # An earlier attempt may have run, so "not run" would be untrue.
        return _after_not_run_retry(state, attempt, reason, now, table, draws)
    if not retries.may_retry_not_run(reason, attempts=attempt.number):
        return _refuse(state, attempt, reason)
    return _send(state, attempt, now, table, draws, reason)


def _after_not_run_retry(
    state: CallState,
    attempt: Attempt,
    reason: wire.NotRunReason,
    now: Now,
    table: tables.RoutingTable,
    draws: Draws,
) -> Step:
    """Go on after a refused retry of a call whose first attempt is open."""
    if retries.may_retry_not_run(reason, attempts=attempt.number):
        sent, actions = _send(state, attempt, now, table, draws)
        if not isinstance(actions[0], Finish):
            return sent, actions
    result = wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=502,
        reason=wire.UnknownReason.CONNECTION_LOST.value,
        attempts=attempt.number,
        retried=True,
    )
    return _finish(state, attempt, result)


def _expire(
    state: CallState, now: Now, table: tables.RoutingTable, draws: Draws
) -> Step:
    actions: list[Action] = []
    overdue = [
        attempt
        for attempt in state.attempts.values()
        if attempt.gives_up_at <= now.wall
    ]
    for attempt in overdue:
        actions.append(
            CancelCall(instance=attempt.instance, call=attempt.call)
        )
        state = _note_failure(state, attempt.instance, now)
        state, more = _after_unknown(
            state, attempt, wire.UnknownReason.TIMEOUT, now, table, draws
        )
        actions.extend(more)
    return state, tuple(actions)


def _refuse(
    state: CallState, attempt: Attempt, reason: wire.NotRunReason
) -> Step:
    status = 404 if reason is wire.NotRunReason.NO_ROUTE else 503
    result = wire.CallResult(
        request=attempt.request.request,
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason.value,
        attempts=attempt.number,
        retried=attempt.retried,
    )
    return _finish(state, attempt, result)


def _finish(
    state: CallState, attempt: Attempt, result: wire.CallResult
) -> Step:
    state = _drop(state, attempt)
    return state, (Finish(reply_to=attempt.reply_to, result=result),)


def _drop(state: CallState, attempt: Attempt) -> CallState:
    if attempt.call not in state.attempts:
        return state
    remaining = dict(state.attempts)
    del remaining[attempt.call]
    peer = state.loads.get(attempt.instance, choices.UNKNOWN_PEER)
    peer = dataclasses.replace(peer, unanswered=max(peer.unanswered - 1, 0))
    return dataclasses.replace(
        state,
        attempts=remaining,
        loads={**state.loads, attempt.instance: peer},
    )


def _note_load(
    state: CallState, instance: str, load: model.Load | None, now: Now
) -> CallState:
    if load is None:
        return state
    peer = state.loads.get(instance, choices.UNKNOWN_PEER)
    peer = dataclasses.replace(
        peer, reported=load, reported_at=now.monotonic, sent_since=0
    )
    return dataclasses.replace(state, loads={**state.loads, instance: peer})


def _note_success(state: CallState, instance: str) -> CallState:
    peer = state.loads.get(instance, choices.UNKNOWN_PEER)
    if not peer.failures and not peer.excluded_until:
        return state
    peer = dataclasses.replace(peer, failures=0, excluded_until=0.0)
    return dataclasses.replace(state, loads={**state.loads, instance: peer})


def _note_failure(state: CallState, instance: str, now: Now) -> CallState:
    peer = state.loads.get(instance, choices.UNKNOWN_PEER)
    pause = min(BACKOFF_MIN_SECONDS * 2.0**peer.failures, BACKOFF_MAX_SECONDS)
    peer = dataclasses.replace(peer, failures=peer.failures + 1)
    state = dataclasses.replace(state, loads={**state.loads, instance: peer})
    return _exclude(state, instance, now, pause)


def _exclude(
    state: CallState, instance: str, now: Now, seconds: float
) -> CallState:
    peer = state.loads.get(instance, choices.UNKNOWN_PEER)
    peer = dataclasses.replace(peer, excluded_until=now.monotonic + seconds)
    return dataclasses.replace(state, loads={**state.loads, instance: peer})
