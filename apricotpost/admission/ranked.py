"""Queue before a backend server: by rank, within what it bears.

Answers overload: a request that cannot be served in its time is refused when
it arrives, so that its client can come back, and never after it has waited.
The order is that of criticality (Beyer et al., Site Reliability Engineering,
chapter 21); the wait is predicted by Little's law from the mean service time.
"""

import collections
import dataclasses
import typing

from apricotpost import wire

__all__ = [
    "QueuedRequest",
    "RankedQueue",
    "Refusal",
    "enqueue",
    "admit",
    "describe_load",
    "finish",
    "next_start",
    "record_rejection",
    "recent_failing",
    "remove",
    "set_backend",
    "start",
]

# A cold backend server is counted in windows of a second that start anywhere.
COLD_WINDOW_SECONDS = 1.0
# Multiple of the cold rate that is used. A cold backend server may get half
# as much again; requests that arrive a little late stay below that.
COLD_MARGIN = 1.2
# Weight of a new measurement in the mean service time.
SERVICE_TIME_WEIGHT = 0.1
FIRST_SERVICE_MS = 100.0
# Served requests are counted so far: more say nothing of the recent ones.
MAX_SERVED = 30
# A queued request whose time left is below this part of the usual service
# time will not be answered in time.
HOPELESS_PART = 0.6
# After a rejection the limit grows back by one in this time.
REGROWTH_SECONDS = 0.15
MIN_RETRY_MS = 40.0
# Under lasting overload a late answer takes the place of one in time, so
# requests wait only while their answer is expected within this part of the
# objective; a patient one, that nobody serves in time, a little longer.
STRICT_PART = 0.9
PATIENT_PART = 1.2
# Part of the time left in which the answer is expected.
LEFT_PART = 0.85
# A rejection tells of lacking room only with this part of the limit in use.
FULL_PART = 0.6
# Weight of a request in the recent share of failures.
FAILURE_WEIGHT = 0.08
FAILING_HALF_LIFE_SECONDS = 3.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class QueuedRequest:
    """A request at the gate; times are of the monotonic clock, in seconds.

    Parameters
    ----------
    call : str
        Identifier of the attempt.
    rank : int
        Lower is more urgent.
    route : str
        Requests of a route have similar service times.
    accepts_late : bool
        Whether it waits although it misses its objective.
    arrived, expires, objective : float
        When it came, and by when it has to be answered.
    payload : object
        What runs it; not looked at here.
    """

    call: str
    rank: int
    route: str
    accepts_late: bool
    arrived_at: float
    expires_at: float
    objective_at: float
    payload: typing.Any = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """Why a request does not run, and when there may be room."""

    reason: wire.NotRunReason
    retry_ms: float


class RankedQueue:
    """State of the queue.

    Parameters
    ----------
    slots : int
        Requests that the backend server processes at the same time.
    """

    def __init__(self, *, slots: int = 0) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.limit_at = 0.0
        self.running: dict[str, QueuedRequest] = {}
        self.queue: list[QueuedRequest] = []
        self.service_ms: dict[str, float] = {}
        self.mean_ms = FIRST_SERVICE_MS
        self.served = 0
        self.failing = 0.0
        self.failing_at = 0.0
        self.cold_until = 0.0
        self.cold_rate = 0.0
        self.sent: collections.deque[float] = collections.deque()
        # Last answer, or start of the first request after a pause.
        self.quiet_since = 0.0


def set_backend(
    state: RankedQueue, *, slots: int, limit: float, now: float
) -> None:
    """Start to serve a backend server.

    Parameters
    ----------
    state : RankedQueue
        State of the queue.
    slots : int
        Requests that it processes at the same time.
    limit : float
        Requests to begin with; less than `slots` if requests of which this
        node knows nothing may still run there.
    now : float
        Monotonic time, in seconds.
    """
    state.slots = slots
    state.limit = min(limit, float(slots))
    state.limit_at = now
    state.failing = 0.0
    state.served = 0


def admit(
    state: RankedQueue, queued: QueuedRequest, now: float
) -> Refusal | None:
    """Decide whether a request may wait; None means that it may."""
    left_ms = (queued.expires_at - now) * 1000.0
    usual_ms = state.service_ms.get(queued.route, state.mean_ms)
    if left_ms <= usual_ms * HOPELESS_PART:
        return Refusal(reason=wire.NotRunReason.DEADLINE_PASSED, retry_ms=0.0)
    wait_ms = predict_wait_ms(state, queued, now)
    if wait_ms <= 0.0:
        return None
    answer_ms = wait_ms + usual_ms
    part = PATIENT_PART if queued.accepts_late else STRICT_PART
    bound_ms = min(
        (queued.objective_at - now) * 1000.0 * part, left_ms * LEFT_PART
    )
    if answer_ms <= bound_ms:
        return None
    reason = wire.NotRunReason.GATE_FULL
    if now < state.cold_until:
        reason = wire.NotRunReason.COLD
    return Refusal(reason=reason, retry_ms=max(wait_ms, MIN_RETRY_MS))


def predict_wait_ms(
    state: RankedQueue, queued: QueuedRequest, now: float
) -> float:
    """Return how long a request would wait, in milliseconds."""
    limit = current_limit(state, now)
    if limit < 1:
        return 1000.0
    ahead = sum(other.rank <= queued.rank for other in state.queue)
    over = ahead + 1 + len(state.running) - limit
    wait_ms = max(over, 0) * state.mean_ms / limit
    if now < state.cold_until and state.cold_rate > 0:
        room = cold_room(state, now)
        if ahead + 1 > room:
            cold_ms = (ahead + 1 - room) / state.cold_rate * 1000.0
            wait_ms = max(wait_ms, cold_ms)
    return wait_ms


def current_limit(state: RankedQueue, now: float) -> int:
    """Return how many requests may run at the same time."""
    grown = state.limit + (now - state.limit_at) / REGROWTH_SECONDS
    return min(int(grown), state.slots)


def cold_room(state: RankedQueue, now: float) -> int:
    """Return how many more requests a cold backend server bears now."""
    while state.sent and now - state.sent[0] >= COLD_WINDOW_SECONDS:
        state.sent.popleft()
    return max(int(state.cold_rate * COLD_MARGIN) - len(state.sent), 0)


def enqueue(state: RankedQueue, queued: QueuedRequest) -> None:
    """Put an admitted request into the queue."""
    state.queue.append(queued)


def remove(state: RankedQueue, call: str) -> QueuedRequest | None:
    """Take a request out of the queue."""
    for index, queued in enumerate(state.queue):
        if queued.call == call:
            return state.queue.pop(index)
    return None


def start(
    state: RankedQueue, now: float
) -> tuple[list[QueuedRequest], list[tuple[QueuedRequest, Refusal]]]:
    """Return the requests that run now and those that no longer can.

    Among requests of one rank, those that can still meet their objective
    go first: an answer after the objective is worth less to its caller.
    """
    refused = _take_hopeless(state, now)
    started: list[QueuedRequest] = []
    cold = now < state.cold_until and state.cold_rate > 0
    while state.queue and len(state.running) < current_limit(state, now):
        if cold and not cold_room(state, now):
            break
        best = min(state.queue, key=lambda queued: _order(state, queued, now))
        state.queue.remove(best)
        if not state.running:
            state.quiet_since = now
        state.running[best.call] = best
        state.sent.append(now)
        started.append(best)
    return started, refused


def next_start(state: RankedQueue, now: float) -> float | None:
    """Return when `start` has something to do without a further event."""
    if not state.queue:
        return None
    if now < state.cold_until and state.sent and not cold_room(state, now):
        return state.sent[0] + COLD_WINDOW_SECONDS
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
    """Account for the end of a running request.

    Parameters
    ----------
    state : RankedQueue
        State of the queue.
    call : str
        Identifier of the attempt.
    ran_ms : float or None
        Service time; None if it was not served.
    failed : bool
        Whether it failed.
    now : float
        Monotonic time, in seconds.
    """
    queued = state.running.pop(call, None)
    if queued is None:
        return None
    state.failing = recent_failing(state, now)
    state.failing_at = now
    state.failing += FAILURE_WEIGHT * (float(failed) - state.failing)
    if ran_ms is not None:
        state.quiet_since = now
        usual = state.service_ms.get(queued.route, ran_ms)
        usual += SERVICE_TIME_WEIGHT * (ran_ms - usual)
        state.service_ms[queued.route] = usual
        state.served = min(state.served + 1, MAX_SERVED)
        weight = max(SERVICE_TIME_WEIGHT, 1.0 / state.served)
        state.mean_ms += weight * (ran_ms - state.mean_ms)
    return queued


def recent_failing(state: RankedQueue, now: float) -> float:
    """Return the share of recent requests that failed.

    It halves while no request ends, so that a server that nobody chooses for
    its failures is tried again.
    """
    age = max(now - state.failing_at, 0.0)
    halved: float = state.failing * 0.5 ** (age / FAILING_HALF_LIFE_SECONDS)
    return halved


def record_rejection(state: RankedQueue, now: float) -> None:
    """Lower the limit if the backend server was full before it was reached.

    One that turns requests away with few of them running is not full.
    """
    running = len(state.running)
    if running < FULL_PART * current_limit(state, now):
        return
    state.limit = float(running)
    state.limit_at = now


def describe_load(state: RankedQueue, now: float) -> wire.ServerLoad:
    """Return the load that answers carry back to callers."""
    limit = current_limit(state, now)
    if now < state.cold_until and state.cold_rate > 0:
        bearable = state.cold_rate * state.mean_ms / 1000.0
        limit = min(limit, max(int(bearable), 1))
    return wire.ServerLoad(
        running=len(state.running),
        queued=len(state.queue),
        limit=limit,
        usual_ms=round(state.mean_ms, 1),
        failing=round(recent_failing(state, now), 3),
        served=state.served,
        quiet_ms=_quiet_ms(state, now),
    )


def _quiet_ms(state: RankedQueue, now: float) -> int:
    if not state.running:
        return 0
    return int((now - state.quiet_since) * 1000.0)


def _take_hopeless(
    state: RankedQueue, now: float
) -> list[tuple[QueuedRequest, Refusal]]:
    refused = []
    for queued in tuple(state.queue):
        usual_ms = state.service_ms.get(queued.route, state.mean_ms)
        if (queued.expires_at - now) * 1000.0 <= usual_ms * HOPELESS_PART:
            state.queue.remove(queued)
            refusal = Refusal(
                reason=wire.NotRunReason.DEADLINE_PASSED, retry_ms=0.0
            )
            refused.append((queued, refusal))
    return refused


def _order(
    state: RankedQueue, queued: QueuedRequest, now: float
) -> tuple[int, bool, float]:
    usual_ms = state.service_ms.get(queued.route, state.mean_ms)
    late = (queued.objective_at - now) * 1000.0 < usual_ms
    return (queued.rank, late, queued.arrived_at)
