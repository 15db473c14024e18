"""State of one caller's request, and the decisions on its attempts."""

import asyncio
import dataclasses
import enum

from apricotpost import http
from apricotpost import model
from apricotpost import platform
from apricotpost.routing import retries
from apricotpost import wire

__all__ = [
    "Attempt",
    "ActiveRequest",
    "NextAction",
    "RetryDecision",
    "after_failure",
    "after_refusal",
    "hedge_seconds",
    "is_overdue",
    "may_hedge",
    "recheck_seconds",
    "refusal_seconds",
    "stop_timers",
]

# Offers to gates for one request; each costs a round trip and no run.
MAX_OFFERS = 5
# The last offer may wait beyond the objective, so few strict ones go first.
STRICT_OFFERS = 3
# A second run is not worth it with less than this part of the usual time.
MIN_LEFT_PART = 0.8
# A repeatable request is sent to a second server when the first has not
# answered after a multiple of the usual time (a hedged request: Dean and
# Barroso, The Tail at Scale, 2013). The work of a request is its own, so most
# late ones are large and take as long elsewhere: of 249 hedges of a calm day
# 16 were faster. So the first server has to be suspect at the first multiple;
# at the second one, which one in sixty requests of the observed log-normal
# times reaches, this no longer matters.
HEDGE_MULTIPLE = 2.5
OVERDUE_MULTIPLE = 4.5
RECHECK_MULTIPLE = 0.5
MIN_HEDGE_SECONDS = 0.05
# Clients that were refused together should not come back together.
RETRY_SPREAD = (0.7, 1.4)
MIN_RETRY_SECONDS = 0.03
MAX_RETRY_SECONDS = 2.0

# Offers that another backend server may take.
_MOVABLE = frozenset(wire.NotRunReason) - {
    wire.NotRunReason.DEADLINE_PASSED,
    wire.NotRunReason.CANCELLED,
}


class NextAction(enum.Enum):
    """What follows after an attempt."""

    OFFER = "offer"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RetryDecision:
    """What follows, and whether the next offer may wait in a queue."""

    action: NextAction
    accepts_late: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """An offer that has no answer yet; `sent` is in monotonic seconds."""

    node: str
    backend: str
    sent_at: float


class ActiveRequest:
    """One request of a caller; times are monotonic, in seconds."""

    __slots__ = (
        "backend_attempts",
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
        "retry_ms",
        "route",
        "possible_executions",
        "service",
        "deadline_timer",
        "tried_nodes",
        "version_draw",
        "version",
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
    ) -> None:
        left_ms = route.timeout_ms
        if head.deadline_ms is not None:
            left_ms = min(left_ms, head.deadline_ms)
        self.exchange = exchange
        self.head = head
        self.route = route
        self.service = service
        self.nested = nested
        self.version_draw = version_draw
        self.headers = http.strip_hop_headers(exchange.request.headers)
        self.expires_at = exchange.arrived_at + left_ms / 1000.0
        self.objective_at = exchange.arrived_at + route.objective_ms / 1000.0
        self.call = ""
        self.node = ""
        self.backend = ""
        self.version = ""
        self.offers = 0
        # Requests that a backend server got, and those that may have run.
        self.backend_attempts = 0
        self.possible_executions = 0
        self.accepts_late = False
        self.tried_nodes: set[str] = set()
        self.reason = ""
        self.retry_ms = 0
        self.deadline_timer: asyncio.TimerHandle | None = None
        # Offers without an answer by call; two while a request is hedged.
        self.open_attempts: dict[str, Attempt] = {}
        self.hedge_timer: asyncio.TimerHandle | None = None
        self.hedged = False


def after_refusal(
    active: ActiveRequest,
    refused: wire.Refused,
    budget: retries.Budget,
    *,
    now: float,
    untried: int,
) -> RetryDecision:
    """Decide after a gate has not run the request.

    Parameters
    ----------
    active : ActiveRequest
        The request, with this attempt counted.
    refused : wire.Refused
        Answer of the gate.
    budget : retries.Budget
        Charged if the backend server itself turned the request away.
    now : float
        Monotonic time, in seconds.
    untried : int
        Backend servers that were not tried yet.
    """
    if refused.reason not in _MOVABLE or now >= active.expires_at:
        return RetryDecision(action=NextAction.REFUSE)
    if active.offers >= MAX_OFFERS or active.accepts_late:
        return RetryDecision(action=NextAction.REFUSE)
    if active.backend_attempts >= active.route.max_attempts:
        return RetryDecision(action=NextAction.REFUSE)
    if refused.offered and budget.tokens < 1.0:
        return RetryDecision(action=NextAction.REFUSE)
    if untried and active.offers < STRICT_OFFERS:
        return RetryDecision(action=NextAction.OFFER)
    return RetryDecision(action=NextAction.OFFER, accepts_late=True)


def after_failure(
    active: ActiveRequest,
    budget: retries.Budget,
    *,
    usual_ms: float,
    now: float,
    untried: int,
) -> RetryDecision:
    """Decide after an attempt that may have run and failed."""
    left_ms = (active.expires_at - now) * 1000.0
    if (
        active.route.idempotent
        and active.backend_attempts < active.route.max_attempts
        and active.offers < MAX_OFFERS
        and budget.tokens >= 1.0
        and left_ms > usual_ms * MIN_LEFT_PART
        and untried
    ):
        return RetryDecision(action=NextAction.OFFER, accepts_late=True)
    return RetryDecision(action=NextAction.FAIL)


def stop_timers(active: ActiveRequest) -> None:
    """Stop what was to happen later to a request."""
    for timer in (active.deadline_timer, active.hedge_timer):
        if timer is not None:
            timer.cancel()


def hedge_seconds(usual_ms: float) -> float:
    """Return after which time a second server is asked, too.

    Parameters
    ----------
    usual_ms : float
        Usual time of the route.
    """
    return max(usual_ms * HEDGE_MULTIPLE / 1000.0, MIN_HEDGE_SECONDS)


def recheck_seconds(usual_ms: float) -> float:
    """Return the pause between two looks at the server of a late request.

    Parameters
    ----------
    usual_ms : float
        Usual time of the route.
    """
    return max(usual_ms * RECHECK_MULTIPLE / 1000.0, MIN_HEDGE_SECONDS)


def is_overdue(active: ActiveRequest, *, usual_ms: float, now: float) -> bool:
    """Tell whether a request is late whatever its work may be.

    Parameters
    ----------
    active : ActiveRequest
        The request.
    usual_ms : float
        Usual time of the route.
    now : float
        Monotonic time, in seconds.
    """
    waited_ms = (now - active.exchange.arrived_at) * 1000.0
    return waited_ms >= usual_ms * OVERDUE_MULTIPLE


def may_hedge(
    active: ActiveRequest,
    budget: retries.Budget,
    *,
    usual_ms: float,
    now: float,
    untried: int,
) -> bool:
    """Tell whether a request goes to a second server while the first runs.

    Parameters
    ----------
    active : ActiveRequest
        The request.
    budget : retries.Budget
        Charged for it as for a retry.
    usual_ms : float
        Usual time of the route; 0 if it is not known.
    now : float
        Monotonic time, in seconds.
    untried : int
        Backend servers that were not tried yet.
    """
    left_ms = (active.expires_at - now) * 1000.0
    return (
        usual_ms > 0
        and active.route.idempotent
        and len(active.open_attempts) == 1
        and not active.hedged
        and active.backend_attempts + 1 < active.route.max_attempts
        and active.offers < MAX_OFFERS
        and budget.tokens >= 1.0
        and left_ms > usual_ms * MIN_LEFT_PART
        and untried > 0
    )


def refusal_seconds(retry_ms: float, draw: float) -> float:
    """Return when a refused client may come back.

    Parameters
    ----------
    retry_ms : float
        When there is room again, as the gate predicts.
    draw : float
        Between 0 and 1.
    """
    low, high = RETRY_SPREAD
    seconds = retry_ms / 1000.0 * (low + (high - low) * draw)
    return min(max(seconds, MIN_RETRY_SECONDS), MAX_RETRY_SECONDS)
