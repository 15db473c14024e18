"""Priority queue in front of a backend server, with admission control.

Under overload, a request that cannot be served in time is refused on arrival
and not after it has waited, so that its client can retry elsewhere or later.
Requests start by criticality (Beyer et al., Site Reliability Engineering,
chapter 21); the wait is predicted by Little's law from the mean service time.
"""

import dataclasses
import typing

from apricotpost.admission import cold_rate
from apricotpost.admission import concurrency
from apricotpost.admission import failure_ratio
from apricotpost.admission import fairness
from apricotpost import wire

__all__ = [
    "QueuedRequest",
    "RankedQueue",
    "Refusal",
    "admit",
    "describe_load",
    "enqueue",
    "finish",
    "next_start",
    "record_rejection",
    "record_reset",
    "record_send",
    "remove",
    "set_backend",
    "start",
]

# Weight of a new measurement in the mean service time.
SERVICE_TIME_WEIGHT = 0.1
# Mean service time before the first measurement.
INITIAL_SERVICE_MS = 100.0
# Counting of served requests stops here, because earlier requests hardly
# influence the mean service time.
MAX_SAMPLE_COUNT = 30
# A request is refused when its remaining time is below this fraction of the
# route's mean service time, because it would not be answered in time.
MIN_SERVICE_TIME_FRACTION = 0.6
# Time in which the limit grows by one after a rejection lowered it.
REGROWTH_SECONDS = 0.15
# Shortest retry delay that a refusal suggests.
MIN_RETRY_MS = 40.0
# A request is queued only if its answer is expected within this fraction of
# the time to its objective: under lasting overload, each late answer displaces
# one that would be in time. Requests that accept a late answer, because the
# gates tried so far have refused them, may exceed the objective a little.
OBJECTIVE_FRACTION = 0.9
LATE_OBJECTIVE_FRACTION = 1.2
# Fraction of the time to the deadline in which the answer must be expected.
REMAINING_TIME_FRACTION = 0.85
# A rejection by the backend server lowers the limit only if at least this
# fraction of the limit is in use; otherwise the server is faulty and not full.
FULL_LIMIT_FRACTION = 0.6
# A reset counts as the overload of a full server if at least this fraction of
# the limit was in use.
FULL_RESET_FRACTION = 0.8
# The limit is not lowered below this fraction of the slots. A server that
# rejects requests although it has free slots is faulty; a limit that follows
# its rejections would take away what it still serves.
MIN_LIMIT_FRACTION = 0.6


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A request at the gate; times are in seconds of the monotonic clock.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    rank : int
        Priority; lower is more urgent.
    route : str
        Route of the request; service times are averaged by route.
    accepts_late : bool
        Whether the request may be queued although it will miss its objective.
    arrived_at : float
        Time of arrival.
    expires_at : float
        Deadline of the answer.
    objective_at : float
        Time at which the latency objective ends.
    payload : object
        Data of the calling code, returned unchanged with the request.
    max_wait_ms : float
        Longest expected wait, in milliseconds, for which the request is
        queued.
    tenant : str
        Tenant of the request; empty if there is none.
    """

    call: str
    rank: int
    route: str
    accepts_late: bool
    arrived_at: float
    expires_at: float
    objective_at: float
    payload: typing.Any = None
    max_wait_ms: float = wire.UNLIMITED_MS
    tenant: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Reason for a refusal and the suggested delay of a retry."""

    reason: wire.NotRunReason
    retry_after_ms: float


class RankedQueue:
    """State of the queue and of the backend server behind it.

    Parameters
    ----------
    slots : int
        Number of requests that the backend server runs at the same time.
    """

    def __init__(self, *, slots: int = 0) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.limit_at = 0.0
        self.running: dict[str, QueuedRequest] = {}
        self.queue: list[QueuedRequest] = []
        self.shares = fairness.Shares()
        self.service_ms: dict[str, float] = {}
        self.mean_ms = INITIAL_SERVICE_MS
        self.sample_count = 0
        self.failures = failure_ratio.FailureRatio()
        self.cold = cold_rate.ColdRate()
        self.learnt = concurrency.LearntLimit(slots=slots, now=0.0)
        # Whether the learnt limit is applied.
        self.learning = True
        # Time of the last answer, or of the start of the first request after
        # no request was running.
        self.silent_since = 0.0


def set_backend(
    state: RankedQueue, *, slots: int, limit: float, now: float
) -> None:
    """Set the backend server behind the queue and reset its statistics.

    Parameters
    ----------
    state : RankedQueue
        State of the queue.
    slots : int
        Number of requests that the backend server runs at the same time.
    limit : float
        Initial limit; less than `slots` if requests that this node does not
        know of may still be running there.
    now : float
        Monotonic time, in seconds.
    """
    state.slots = slots
    state.limit = min(limit, float(slots))
    state.limit_at = now
    state.failures = failure_ratio.FailureRatio()
    state.sample_count = 0
    state.learnt = concurrency.LearntLimit(slots=slots, now=now)


def admit(
    state: RankedQueue, queued: QueuedRequest, now: float
) -> Refusal | None:
    """Return why a request is refused, or None if it may be queued."""
    remaining_ms = (queued.expires_at - now) * 1000.0
    route_mean_ms = state.service_ms.get(queued.route, state.mean_ms)
    if remaining_ms <= route_mean_ms * MIN_SERVICE_TIME_FRACTION:
        return Refusal(
            reason=wire.NotRunReason.DEADLINE_PASSED, retry_after_ms=0.0
        )
    wait_ms = predict_wait_ms(state, queued, now)
    if wait_ms <= 0.0:
        return None
    answer_ms = wait_ms + route_mean_ms
    objective_fraction = (
        LATE_OBJECTIVE_FRACTION if queued.accepts_late else OBJECTIVE_FRACTION
    )
    max_answer_ms = min(
        (queued.objective_at - now) * 1000.0 * objective_fraction,
        remaining_ms * REMAINING_TIME_FRACTION,
    )
    if answer_ms <= max_answer_ms and wait_ms <= queued.max_wait_ms:
        return None
    reason = wire.NotRunReason.GATE_FULL
    if now < state.cold.until:
        reason = wire.NotRunReason.COLD
    return Refusal(reason=reason, retry_after_ms=max(wait_ms, MIN_RETRY_MS))


def predict_wait_ms(
    state: RankedQueue, queued: QueuedRequest, now: float
) -> float:
    """Return the expected wait of a request in the queue, in milliseconds."""
    limit = current_limit(state, now)
    if limit < 1:
        return 1000.0
    ahead = fairness.count_ahead(
        state.shares, state.queue, queued, state.mean_ms
    )
    excess = ahead + 1 + len(state.running) - limit
    wait_ms = max(excess, 0) * state.mean_ms / limit
    if cold_rate.is_limited(state.cold, now):
        excess = ahead + 1 - cold_rate.capacity(state.cold, now)
        windows = max(excess, 0) / state.cold.limit
        cold_ms = windows * cold_rate.WINDOW_SECONDS * 1000.0
        wait_ms = max(wait_ms, cold_ms)
    return wait_ms


def current_limit(state: RankedQueue, now: float) -> int:
    """Return how many requests may run at the same time."""
    regrown_limit = state.limit + (now - state.limit_at) / REGROWTH_SECONDS
    limit = min(int(regrown_limit), state.slots)
    if state.learning and limit:
        limit = min(limit, concurrency.current(state.learnt))
    return limit


def record_send(state: RankedQueue, call: str, now: float) -> None:
    """Record that a started request is sent, for the cold rate."""
    cold_rate.record_send(state.cold, call, now)


def enqueue(state: RankedQueue, queued: QueuedRequest) -> None:
    """Add an admitted request to the queue."""
    state.queue.append(queued)


def remove(state: RankedQueue, call: str) -> QueuedRequest | None:
    """Remove a request from the queue and return it, or None."""
    for index, queued in enumerate(state.queue):
        if queued.call == call:
            return state.queue.pop(index)
    return None


def start(
    state: RankedQueue, now: float
) -> tuple[list[QueuedRequest], list[tuple[QueuedRequest, Refusal]]]:
    """Return the requests to run now, and those that cannot be in time.

    Among requests of one rank, those that can still meet their objective
    start first, because a late answer is worth less to its caller. Among
    these, tenants get equal shares of the server's time.
    """
    refused = _remove_expiring(state, now)
    started: list[QueuedRequest] = []
    cold = cold_rate.is_limited(state.cold, now)
    while state.queue and len(state.running) < current_limit(state, now):
        if cold and not cold_rate.capacity(state.cold, now):
            break
        best = min(
            state.queue, key=lambda queued: _start_order(state, queued, now)
        )
        state.queue.remove(best)
        if not state.running:
            state.silent_since = now
        state.running[best.call] = best
        service_ms = state.service_ms.get(best.route, state.mean_ms)
        fairness.record_start(state.shares, best.tenant, service_ms)
        concurrency.record_start(state.learnt, best.call, now)
        state.cold.unsent.add(best.call)
        started.append(best)
    return started, refused


def next_start(state: RankedQueue, now: float) -> float | None:
    """Return when to call `start` again if no event happens before."""
    if not state.queue:
        return None
    capacity_at = cold_rate.next_capacity_at(state.cold, now)
    if capacity_at is not None:
        return capacity_at
    if len(state.running) < state.slots:
        return now + REGROWTH_SECONDS
    return now + 0.05


def finish(
    state: RankedQueue,
    call: str,
    *,
    ran_ms: float | None,
    failed: bool,
    now: float,
) -> QueuedRequest | None:
    """Remove a running request and update the statistics.

    Parameters
    ----------
    state : RankedQueue
        State of the queue.
    call : str
        Identifier of the attempt.
    ran_ms : float or None
        Service time in milliseconds; None if the request was not served.
    failed : bool
        Whether the request failed.
    now : float
        Monotonic time, in seconds.
    """
    queued = state.running.pop(call, None)
    state.cold.unsent.discard(call)
    if queued is None:
        return None
    if ran_ms is None or failed:
        concurrency.discard_start(state.learnt, call, now)
    else:
        concurrency.record_finish(
            state.learnt,
            call,
            route=queued.route,
            ran_ms=ran_ms,
            warm_at=state.cold.until,
            now=now,
        )
    failure_ratio.record(state.failures, failed=failed, now=now)
    if ran_ms is not None:
        state.silent_since = now
        route_ms = state.service_ms.get(queued.route, ran_ms)
        route_ms += SERVICE_TIME_WEIGHT * (ran_ms - route_ms)
        state.service_ms[queued.route] = route_ms
        state.sample_count = min(state.sample_count + 1, MAX_SAMPLE_COUNT)
        weight = max(SERVICE_TIME_WEIGHT, 1.0 / state.sample_count)
        state.mean_ms += weight * (ran_ms - state.mean_ms)
    return queued


def record_rejection(state: RankedQueue, now: float) -> None:
    """Lower the limit to the running requests after a rejection.

    The limit stays if only few requests are running: a backend server that
    rejects requests then is faulty and not full.
    """
    running = len(state.running)
    if running < FULL_LIMIT_FRACTION * current_limit(state, now):
        return
    lowest = state.slots * MIN_LIMIT_FRACTION
    state.limit = max(float(running), lowest)
    state.limit_at = now


def record_reset(state: RankedQueue, now: float) -> None:
    """Record that the backend server has reset the connection of a request.

    Some servers do so instead of rejecting a request when they are full.
    """
    running = len(state.running)
    full = running + 1 >= FULL_RESET_FRACTION * current_limit(state, now)
    concurrency.record_reset(state.learnt, running=running, full=full, now=now)


def describe_load(state: RankedQueue, now: float) -> wire.ServerLoad:
    """Return the load report that answers carry back to callers."""
    limit = current_limit(state, now)
    if cold_rate.is_limited(state.cold, now):
        concurrent = state.cold.limit * state.mean_ms / 1000.0
        limit = min(limit, max(int(concurrent), 1))
    return wire.ServerLoad(
        running=len(state.running),
        queued=len(state.queue),
        limit=limit,
        mean_ms=round(state.mean_ms, 1),
        failure_ratio=round(failure_ratio.recent(state.failures, now), 3),
        sample_count=state.sample_count,
        silent_ms=_silent_ms(state, now),
    )


def _silent_ms(state: RankedQueue, now: float) -> int:
    if not state.running:
        return 0
    return int((now - state.silent_since) * 1000.0)


def _remove_expiring(
    state: RankedQueue, now: float
) -> list[tuple[QueuedRequest, Refusal]]:
    refused = []
    for queued in tuple(state.queue):
        route_mean_ms = state.service_ms.get(queued.route, state.mean_ms)
        if (
            queued.expires_at - now
        ) * 1000.0 <= route_mean_ms * MIN_SERVICE_TIME_FRACTION:
            state.queue.remove(queued)
            refusal = Refusal(
                reason=wire.NotRunReason.DEADLINE_PASSED, retry_after_ms=0.0
            )
            refused.append((queued, refusal))
    return refused


def _start_order(
    state: RankedQueue, queued: QueuedRequest, now: float
) -> tuple[int, bool, float, float]:
    route_mean_ms = state.service_ms.get(queued.route, state.mean_ms)
    misses_objective = (queued.objective_at - now) * 1000.0 < route_mean_ms
    tag = fairness.start_tag(state.shares, queued.tenant)
    return (queued.rank, misses_objective, tag, queued.arrived_at)
