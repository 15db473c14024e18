"""State of one caller's request, and its retry and hedging rules."""

import asyncio
import dataclasses
import enum

from apricotpost import http
from apricotpost import model
from apricotpost import platform
from apricotpost.routing import retries
from apricotpost.sidecar import authentication
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = [
    "ActiveRequest",
    "Attempt",
    "NextAction",
    "RetryDecision",
    "decide_after_failure",
    "decide_after_refusal",
    "find_deadline",
    "forwarded_headers",
    "hedge_delay_seconds",
    "is_overdue",
    "jittered_retry_seconds",
    "max_wait_ms",
    "may_hedge",
    "recheck_delay_seconds",
    "stop_timers",
]

# Offers to gates for one request. A refused offer costs a round trip, but the
# request does not run.
MAX_OFFERS = 5
# Offers that a gate refuses if the request would miss its objective. Later
# ones may wait in a queue beyond the objective.
STRICT_OFFERS = 3
# Fraction of the objective that a request may wait in a queue while there are
# servers left to ask. Load reports are up to a second old, so a queue at one
# server often means a free one elsewhere, and asking takes a few milliseconds.
MAX_WAIT_FRACTION = 0.08
# A request is not run again when less than this multiple of the route's mean
# time is left until its deadline.
MIN_REMAINING_RATIO = 0.8
# An idempotent request is sent to a second server when the first has not
# answered after a multiple of the mean time (a hedged request: Dean and
# Barroso, The Tail at Scale, 2013). Most late requests are large and take as
# long on any server: without faults, 16 of 249 hedges were faster than the
# first attempt. So a hedge at HEDGE_MULTIPLE also requires that the first
# server is suspect. At OVERDUE_MULTIPLE, which one in sixty requests reaches
# (observed log-normal times), it does not.
HEDGE_MULTIPLE = 2.5
OVERDUE_MULTIPLE = 4.5
RECHECK_MULTIPLE = 0.5
MIN_HEDGE_SECONDS = 0.05
# Range of the random factor of Retry-After: it keeps clients that were refused
# together from retrying together.
RETRY_JITTER = (0.7, 1.4)
MIN_RETRY_SECONDS = 0.03
MAX_RETRY_SECONDS = 2.0

# Refusals after which another backend server is tried.
_RETRYABLE_REASONS = frozenset(wire.NotRunReason) - {
    wire.NotRunReason.DEADLINE_PASSED,
    wire.NotRunReason.CANCELLED,
}


class NextAction(enum.Enum):
    """What to do after a refused or failed attempt."""

    OFFER = "offer"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDecision:
    """Next action, and whether the next offer accepts a missed objective."""

    action: NextAction
    accepts_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """An offer without an answer yet.

    Parameters
    ----------
    node, backend : str
        Where it was sent.
    sent_at : float
        Monotonic time, in seconds.
    may_wait : bool
        Whether its wait in the queue is limited by the objective only.
    """

    node: str
    backend: str
    sent_at: float
    may_wait: bool = True


class ActiveRequest:
    """One request of a caller; times are monotonic, in seconds."""

    __slots__ = (
        "admission",
        "backend_attempts",
        "busy_nodes",
        "backend",
        "call",
        "exchange",
        "expires_at",
        "head",
        "headers",
        "hedge_timer",
        "hedged",
        "nested",
        "node",
        "objective_at",
        "offers",
        "open_attempts",
        "accepts_late",
        "reason",
        "retry_after_ms",
        "route",
        "possible_executions",
        "service",
        "deadline_timer",
        "tried_nodes",
        "version_draw",
        "version",
        "view",
    )

    def __init__(
        self,
        *,
        exchange: http.Exchange,
        head: platform.RequestHead,
        route: model.TrafficRoute,
        service: str,
        nested: bool,
        version_draw: float,
        view: views.TrafficView,
        admission: authentication.Admission,
    ) -> None:
        self.exchange = exchange
        self.head = head
        self.route = route
        # Orders that `admission` was decided by, and `headers` as they permit.
        self.view = view
        self.admission = admission
        self.service = service
        self.nested = nested
        self.version_draw = version_draw
        self.headers = forwarded_headers(exchange.request, view)
        self.expires_at = find_deadline(exchange, head, route)
        self.objective_at = exchange.arrived_at + route.objective_ms / 1000.0
        self.call = ""
        self.node = ""
        self.backend = ""
        self.version = ""
        self.offers = 0
        # Attempts that reached a backend server, and those that may have run.
        self.backend_attempts = 0
        self.possible_executions = 0
        self.accepts_late = False
        self.tried_nodes: set[str] = set()
        # Nodes that refused the request because it would have waited; it was
        # not offered to them without that limit yet.
        self.busy_nodes: set[str] = set()
        self.reason = ""
        self.retry_after_ms = 0
        self.deadline_timer: asyncio.TimerHandle | None = None
        # Offers without an answer by call identifier; two while a request is
        # hedged.
        self.open_attempts: dict[str, Attempt] = {}
        self.hedge_timer: asyncio.TimerHandle | None = None
        self.hedged = False


def forwarded_headers(
    request: http.Request, view: views.TrafficView
) -> http.Headers:
    """Return the headers of a request that other nodes may get."""
    if view.uses_keys:
        return http.strip_hop_headers(
            request.headers, platform.CREDENTIAL_HEADERS
        )
    return http.strip_hop_headers(request.headers)


def find_deadline(
    exchange: http.Exchange,
    head: platform.RequestHead,
    route: model.TrafficRoute,
) -> float:
    """Return the deadline of a request, in seconds of the loop's clock."""
    remaining_ms = route.timeout_ms
    if head.deadline_ms is not None:
        remaining_ms = min(remaining_ms, head.deadline_ms)
    return exchange.arrived_at + remaining_ms / 1000.0


def decide_after_refusal(
    active: ActiveRequest,
    refused: wire.Refused,
    budget: retries.Budget,
    *,
    now: float,
    untried: int,
) -> RetryDecision:
    """Return what to do after a gate has refused the request.

    Parameters
    ----------
    active : ActiveRequest
        The request, with this attempt counted.
    refused : wire.Refused
        Answer of the gate.
    budget : retries.Budget
        Needed if the backend server itself rejected the request.
    now : float
        Monotonic time, in seconds.
    untried : int
        Number of backend servers that were not tried yet.
    """
    if refused.reason not in _RETRYABLE_REASONS or now >= active.expires_at:
        return RetryDecision(action=NextAction.REFUSE)
    if active.offers >= MAX_OFFERS or active.accepts_late:
        return RetryDecision(action=NextAction.REFUSE)
    if active.backend_attempts >= active.route.max_attempts:
        return RetryDecision(action=NextAction.REFUSE)
    if refused.rejected_by_backend and budget.tokens < 1.0:
        return RetryDecision(action=NextAction.REFUSE)
    if untried and active.offers < STRICT_OFFERS:
        return RetryDecision(action=NextAction.OFFER)
    if active.busy_nodes and active.offers < MAX_OFFERS - 1:
        return RetryDecision(action=NextAction.OFFER)
    return RetryDecision(action=NextAction.OFFER, accepts_late=True)


def max_wait_ms(active: ActiveRequest, node: str) -> float:
    """Return how long the next offer may wait in the queue of a node.

    Parameters
    ----------
    active : ActiveRequest
        The request, without this offer.
    node : str
        Node that the offer is sent to.

    Returns
    -------
    float
        Time in milliseconds. It is short for the first offers, unless the
        best server is one that has refused the request for its queue, or the
        request has failed elsewhere and has only this offer left.
    """
    if (
        node in active.busy_nodes
        or active.accepts_late
        or active.offers >= STRICT_OFFERS
    ):
        return wire.UNLIMITED_MS
    return active.route.objective_ms * MAX_WAIT_FRACTION


def decide_after_failure(
    active: ActiveRequest,
    budget: retries.Budget,
    *,
    mean_ms: float,
    now: float,
    untried: int,
) -> RetryDecision:
    """Return what to do after an attempt that failed and may have run."""
    remaining_ms = (active.expires_at - now) * 1000.0
    if (
        active.route.idempotent
        and active.backend_attempts < active.route.max_attempts
        and active.offers < MAX_OFFERS
        and budget.tokens >= 1.0
        and remaining_ms > mean_ms * MIN_REMAINING_RATIO
        and untried
    ):
        return RetryDecision(action=NextAction.OFFER, accepts_late=True)
    return RetryDecision(action=NextAction.FAIL)


def stop_timers(active: ActiveRequest) -> None:
    """Cancel the timers of a request."""
    for timer in (active.deadline_timer, active.hedge_timer):
        if timer is not None:
            timer.cancel()


def hedge_delay_seconds(mean_ms: float) -> float:
    """Return the delay after which a request may be hedged, in seconds.

    Parameters
    ----------
    mean_ms : float
        Mean service time of the route, in milliseconds.
    """
    return max(mean_ms * HEDGE_MULTIPLE / 1000.0, MIN_HEDGE_SECONDS)


def recheck_delay_seconds(mean_ms: float) -> float:
    """Return the interval of checks whether to hedge, in seconds.

    Parameters
    ----------
    mean_ms : float
        Mean service time of the route, in milliseconds.
    """
    return max(mean_ms * RECHECK_MULTIPLE / 1000.0, MIN_HEDGE_SECONDS)


def is_overdue(active: ActiveRequest, *, mean_ms: float, now: float) -> bool:
    """Tell whether a request is hedged even if its server is not suspect.

    Parameters
    ----------
    active : ActiveRequest
        The request.
    mean_ms : float
        Mean service time of the route, in milliseconds.
    now : float
        Monotonic time, in seconds.
    """
    waited_ms = (now - active.exchange.arrived_at) * 1000.0
    return waited_ms >= mean_ms * OVERDUE_MULTIPLE


def may_hedge(
    active: ActiveRequest,
    budget: retries.Budget,
    *,
    mean_ms: float,
    now: float,
    untried: int,
) -> bool:
    """Tell whether a request may be sent to a second backend server.

    Parameters
    ----------
    active : ActiveRequest
        The request.
    budget : retries.Budget
        Retry budget of the service, which also pays for hedges.
    mean_ms : float
        Mean service time of the route, in milliseconds; 0 if not known.
    now : float
        Monotonic time, in seconds.
    untried : int
        Number of backend servers that were not tried yet.
    """
    remaining_ms = (active.expires_at - now) * 1000.0
    return (
        mean_ms > 0
        and active.route.idempotent
        and len(active.open_attempts) == 1
        and not active.hedged
        and active.backend_attempts + 1 < active.route.max_attempts
        and active.offers < MAX_OFFERS
        and budget.tokens >= 1.0
        and remaining_ms > mean_ms * MIN_REMAINING_RATIO
        and untried > 0
    )


def jittered_retry_seconds(
    retry_after_ms: float, random_fraction: float
) -> float:
    """Return the Retry-After of a refused request, with jitter, in seconds.

    Parameters
    ----------
    retry_after_ms : float
        Time until the gate expects to have room, in milliseconds.
    random_fraction : float
        Random number between 0 and 1.
    """
    low, high = RETRY_JITTER
    seconds = retry_after_ms / 1000.0 * (low + (high - low) * random_fraction)
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
