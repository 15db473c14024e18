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
    "Flight",
    "Next",
    "Verdict",
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


class Next(enum.Enum):
    """What follows after an attempt."""

    OFFER = "offer"
    REFUSE = "refuse"
    FAIL = "fail"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Verdict:
    """What follows, and whether the next offer may wait in a queue."""

    next: Next
    patient: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """An offer that has no answer yet; `sent` is in monotonic seconds."""

    node: str
    backend: str
    sent: float


class Flight:
    """One request of a caller; times are monotonic, in seconds."""

    __slots__ = (
        "arrivals",
        "backend",
        "call",
        "exchange",
        "expires",
        "head",
        "headers",
        "hedge",
        "hedged",
        "nested",
        "node",
        "objective",
        "offers",
        "open",
        "patient",
        "reason",
        "retry_ms",
        "route",
        "runs",
        "service",
        "timer",
        "tried",
        "turn",
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
        turn: float,
    ) -> None:
        left_ms = route.timeout_ms
        if head.deadline_ms is not None:
            left_ms = min(left_ms, head.deadline_ms)
        self.exchange = exchange
        self.head = head
        self.route = route
        self.service = service
        self.nested = nested
        self.turn = turn
        self.headers = http.strip_hop_headers(exchange.request.headers)
        self.expires = exchange.arrived + left_ms / 1000.0
        self.objective = exchange.arrived + route.objective_ms / 1000.0
        self.call = ""
        self.node = ""
        self.backend = ""
        self.version = ""
        self.offers = 0
        # Requests that a backend server got, and those that may have run.
        self.arrivals = 0
        self.runs = 0
        self.patient = False
        self.tried: set[str] = set()
        self.reason = ""
        self.retry_ms = 0
        self.timer: asyncio.TimerHandle | None = None
        # Offers without an answer by call; two while a request is hedged.
        self.open: dict[str, Attempt] = {}
        self.hedge: asyncio.TimerHandle | None = None
        self.hedged = False


def after_refusal(
    flight: Flight,
    refused: wire.Refused,
    budget: retries.Budget,
    *,
    now: float,
    others: int,
) -> Verdict:
    """Decide after a gate has not run the request.

    Parameters
    ----------
    flight : Flight
        The request, with this attempt counted.
    refused : wire.Refused
        Answer of the gate.
    budget : retries.Budget
        Charged if the backend server itself turned the request away.
    now : float
        Monotonic time, in seconds.
    others : int
        Backend servers that were not tried yet.
    """
    if refused.reason not in _MOVABLE or now >= flight.expires:
        return Verdict(next=Next.REFUSE)
    if flight.offers >= MAX_OFFERS or flight.patient:
        return Verdict(next=Next.REFUSE)
    if flight.arrivals >= flight.route.max_attempts:
        return Verdict(next=Next.REFUSE)
    if refused.offered and budget.tokens < 1.0:
        return Verdict(next=Next.REFUSE)
    if others and flight.offers < STRICT_OFFERS:
        return Verdict(next=Next.OFFER)
    return Verdict(next=Next.OFFER, patient=True)


def after_failure(
    flight: Flight,
    budget: retries.Budget,
    *,
    usual_ms: float,
    now: float,
    others: int,
) -> Verdict:
    """Decide after an attempt that may have run and failed."""
    left_ms = (flight.expires - now) * 1000.0
    if (
        flight.route.idempotent
        and flight.arrivals < flight.route.max_attempts
        and flight.offers < MAX_OFFERS
        and budget.tokens >= 1.0
        and left_ms > usual_ms * MIN_LEFT_PART
        and others
    ):
        return Verdict(next=Next.OFFER, patient=True)
    return Verdict(next=Next.FAIL)


def stop_timers(flight: Flight) -> None:
    """Stop what was to happen later to a request."""
    for timer in (flight.timer, flight.hedge):
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


def is_overdue(flight: Flight, *, usual_ms: float, now: float) -> bool:
    """Tell whether a request is late whatever its work may be.

    Parameters
    ----------
    flight : Flight
        The request.
    usual_ms : float
        Usual time of the route.
    now : float
        Monotonic time, in seconds.
    """
    waited_ms = (now - flight.exchange.arrived) * 1000.0
    return waited_ms >= usual_ms * OVERDUE_MULTIPLE


def may_hedge(
    flight: Flight,
    budget: retries.Budget,
    *,
    usual_ms: float,
    now: float,
    others: int,
) -> bool:
    """Tell whether a request goes to a second server while the first runs.

    Parameters
    ----------
    flight : Flight
        The request.
    budget : retries.Budget
        Charged for it as for a retry.
    usual_ms : float
        Usual time of the route; 0 if it is not known.
    now : float
        Monotonic time, in seconds.
    others : int
        Backend servers that were not tried yet.
    """
    left_ms = (flight.expires - now) * 1000.0
    return (
        usual_ms > 0
        and flight.route.idempotent
        and len(flight.open) == 1
        and not flight.hedged
        and flight.arrivals + 1 < flight.route.max_attempts
        and flight.offers < MAX_OFFERS
        and budget.tokens >= 1.0
        and left_ms > usual_ms * MIN_LEFT_PART
        and others > 0
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
