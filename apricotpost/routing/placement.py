"""Choice of the backend server that finishes a request first.

The time to finish is the usual time of the route, times the relative speed of
the copy, plus the wait in its queue, plus the price of leaving the data
centre. The speed is learnt from the own requests (exponential mean) and from
the mean time that the copy's node reports: in a large fleet, a node sends too
few requests to each copy to learn it by itself.
"""

import dataclasses

__all__ = [
    "Candidate",
    "Copy",
    "Speeds",
    "estimate_ms",
    "is_suspect",
    "learn_failure",
    "learn_load",
    "learn_size",
    "learn_time",
    "mean_reported_ms",
    "note_sent",
    "order",
    "relative_speed",
    "remote_penalty_ms",
]

# Weight of a measurement in the usual time of a route and in the relative
# speed of a copy.
ROUTE_WEIGHT = 0.05
SPEED_WEIGHT = 0.12
FAILURE_WEIGHT = 0.15
# A copy that failed is tried again: the evidence halves in this time.
FAILURE_HALF_LIFE_SECONDS = 3.0
# A failure costs the caller about as much as this wait.
FAILURE_MS = 1200.0
# Reported failures count less than the own ones: requests of other callers
# may fail for reasons of their own.
REPORTED_FAILING_PART = 0.7
# Bytes between data centres are paid for, at about a fifth of what the
# answer of a 5 KB request is worth to its caller. A shorter wait is worth
# that only where the request would else miss its objective, so the penalty
# is a part of the objective that grows with the size.
REMOTE_PART_PER_KB = 0.4
MAX_REMOTE_PART = 0.8
# Headers of a request and its response on the way between two nodes.
HEADER_BYTES = 700
# Weight of a request in the mean size of its route.
SIZE_WEIGHT = 0.1
# Backend servers slow down when they are nearly full.
CROWDED_PART = 0.75
CROWDED_SLOWDOWN = 0.6
# A backend server that has just started takes about twice as long.
COLD_SLOWDOWN = 2.0
# Requests of other nodes arrive between two reports of the load.
BALANCE_PART = 0.35
# A copy that has not reported for this long may be gone. States come every
# half a second within a data centre and every 1.5 s from others.
STALE_NEAR_SECONDS = 1.2
STALE_FAR_SECONDS = 2.2
STALE_MS = 300.0
FIRST_ROUTE_MS = 100.0
# A server is suspect when it has not answered anybody for this multiple of
# its usual time although requests run there, when it takes this multiple of
# the time of others, or when this share of its requests fails.
QUIET_MULTIPLE = 1.5
SUSPECT_SPEED = 2.0
SUSPECT_FAILING = 0.15
# Own requests that count as much as the report on a copy, and reported ones
# that count as much as no knowledge.
OWN_SAMPLES = 10
REPORT_SAMPLES = 4
# Bounds of the speed that a report may tell: it covers all routes of the
# service, which differ.
REPORTED_SPEED = (0.4, 4.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A backend server that may run the request.

    Parameters
    ----------
    node, backend : str
        Who it is.
    same_data_centre : bool
        Whether the request stays in the data centre.
    silent_seconds : float
        Since its node was last heard.
    cold : bool
        Whether it has just started and is slower than later.
    """

    node: str
    backend: str
    same_data_centre: bool
    silent_seconds: float = 0.0
    cold: bool = False


class Copy:
    """What is known of one backend server."""

    __slots__ = (
        "failed_at",
        "failing",
        "limit",
        "occupied",
        "quiet_ms",
        "reported_failing",
        "samples",
        "sent_since",
        "served",
        "speed",
        "usual_ms",
    )

    def __init__(self) -> None:
        self.speed = 1.0
        self.samples = 0
        self.served = 0
        self.occupied = 0
        self.sent_since = 0
        self.limit = 1
        self.usual_ms = FIRST_ROUTE_MS
        self.failing = 0.0
        self.failed_at = 0.0
        self.reported_failing = 0.0
        self.quiet_ms = 0


class Speeds:
    """Learnt times of routes and copies."""

    def __init__(self) -> None:
        self.routes: dict[str, float] = {}
        self.kilobytes: dict[str, float] = {}
        self.copies: dict[str, Copy] = {}

    def copy(self, backend: str) -> Copy:
        """Return what is known of a backend server."""
        found = self.copies.get(backend)
        if found is None:
            found = self.copies[backend] = Copy()
        return found


def learn_time(
    speeds: Speeds, *, route: str, backend: str, ran_ms: float
) -> None:
    """Account for a served request."""
    usual = speeds.routes.get(route)
    if usual is None:
        speeds.routes[route] = max(ran_ms, 1.0)
        return
    copy = speeds.copy(backend)
    copy.samples = min(copy.samples + 1, OWN_SAMPLES)
    copy.speed += SPEED_WEIGHT * (min(ran_ms / usual, 8.0) - copy.speed)
    usual += ROUTE_WEIGHT * (min(ran_ms, 4.0 * usual) - usual)
    speeds.routes[route] = max(usual, 1.0)


def learn_size(speeds: Speeds, *, route: str, size: int) -> None:
    """Account for the bytes of a request and its response."""
    kilobytes = (size + HEADER_BYTES) / 1024.0
    known = speeds.kilobytes.get(route, kilobytes)
    speeds.kilobytes[route] = known + SIZE_WEIGHT * (kilobytes - known)


def remote_penalty_ms(
    speeds: Speeds, *, route: str, objective_ms: float
) -> float:
    """Return the wait that a request accepts to stay in its data centre."""
    part = speeds.kilobytes.get(route, 1.0) * REMOTE_PART_PER_KB
    return objective_ms * min(part, MAX_REMOTE_PART)


def learn_load(
    speeds: Speeds,
    *,
    backend: str,
    running: int,
    queued: int,
    limit: int,
    usual_ms: float,
    served: int = 0,
    failing: float = 0.0,
    quiet_ms: int = 0,
) -> None:
    """Account for a report of a backend server's load.

    Parameters
    ----------
    speeds : Speeds
        What is known.
    backend : str
        The backend server.
    running, queued, limit : int
        Requests there and before it, and how many may run.
    usual_ms : float
        Mean time of its recent requests.
    served : int
        Requests behind that mean.
    failing : float
        Share of its recent requests that failed.
    quiet_ms : int
        Time without an answer while requests run there.
    """
    copy = speeds.copy(backend)
    copy.occupied = running + queued
    copy.limit = max(limit, 1)
    copy.usual_ms = usual_ms
    copy.served = served
    copy.reported_failing = failing
    copy.quiet_ms = quiet_ms
    copy.sent_since = 0


def learn_failure(
    speeds: Speeds, *, backend: str, failed: bool, now: float
) -> None:
    """Account for the end of a request, in monotonic seconds."""
    copy = speeds.copy(backend)
    recent = _recent_failing(copy, now)
    copy.failing = recent + FAILURE_WEIGHT * (float(failed) - recent)
    copy.failed_at = now


def note_sent(speeds: Speeds, backend: str) -> None:
    """Count a request that no report includes yet."""
    speeds.copy(backend).sent_since += 1


def estimate_ms(
    speeds: Speeds,
    candidate: Candidate,
    *,
    route: str,
    objective_ms: float,
    now: float,
    mean_ms: float = 0.0,
) -> float:
    """Return the expected time to finish, in milliseconds.

    Parameters
    ----------
    speeds : Speeds
        What is known of routes and copies.
    candidate : Candidate
        The backend server.
    route : str
        Route of the request.
    objective_ms : float
        Its latency objective.
    now : float
        Monotonic time, in seconds.
    mean_ms : float
        Mean time that the copies of the service report; 0 if unknown.
    """
    copy = speeds.copy(candidate.backend)
    usual = speeds.routes.get(route, FIRST_ROUTE_MS)
    occupied = copy.occupied + copy.sent_since
    fill = occupied / copy.limit
    serve_ms = usual * relative_speed(copy, mean_ms)
    if candidate.cold:
        serve_ms *= COLD_SLOWDOWN
    serve_ms *= 1.0 + BALANCE_PART * min(fill, 1.0)
    serve_ms *= 1.0 + CROWDED_SLOWDOWN * max(min(fill, 1.2) - CROWDED_PART, 0)
    wait_ms = max(occupied + 1 - copy.limit, 0) * copy.usual_ms / copy.limit
    total = serve_ms + wait_ms + FAILURE_MS * _known_failing(copy, now)
    stale_seconds = STALE_NEAR_SECONDS
    if not candidate.same_data_centre:
        stale_seconds = STALE_FAR_SECONDS
        total += remote_penalty_ms(
            speeds, route=route, objective_ms=objective_ms
        )
    if candidate.silent_seconds > stale_seconds:
        total += STALE_MS * candidate.silent_seconds
    return total


def mean_reported_ms(speeds: Speeds, candidates: list[Candidate]) -> float:
    """Return the mean time that copies report, in milliseconds.

    0 if none has served a request.
    """
    copies = [speeds.copy(c.backend) for c in candidates]
    known = [copy.usual_ms for copy in copies if copy.served]
    return sum(known) / len(known) if known else 0.0


def relative_speed(copy: Copy, mean_ms: float) -> float:
    """Return a copy's time divided by the usual one.

    Parameters
    ----------
    copy : Copy
        What is known of it.
    mean_ms : float
        Mean time that the copies of the service report; 0 if unknown.
    """
    reported = 1.0
    if mean_ms > 0.0 and copy.served:
        low, high = REPORTED_SPEED
        weight = copy.served / (copy.served + REPORT_SAMPLES)
        found = min(max(copy.usual_ms / mean_ms, low), high)
        reported += weight * (found - 1.0)
    own = copy.samples / (copy.samples + OWN_SAMPLES)
    return reported + own * (copy.speed - reported)


def order(
    speeds: Speeds,
    candidates: list[Candidate],
    *,
    route: str,
    objective_ms: float,
    now: float,
) -> list[Candidate]:
    """Sort backend servers, the one that finishes first in front."""
    mean_ms = mean_reported_ms(speeds, candidates)
    return sorted(
        candidates,
        key=lambda c: estimate_ms(
            speeds,
            c,
            route=route,
            objective_ms=objective_ms,
            now=now,
            mean_ms=mean_ms,
        ),
    )


def is_suspect(
    speeds: Speeds, backend: str, *, now: float, mean_ms: float
) -> bool:
    """Tell whether a late answer is rather the server's fault.

    The work of a request is its own: another server takes as long for a
    large one.

    Parameters
    ----------
    speeds : Speeds
        What is known of the copies.
    backend : str
        The backend server.
    now : float
        Monotonic time, in seconds.
    mean_ms : float
        Mean time that the copies of the service report; 0 if unknown.
    """
    copy = speeds.copy(backend)
    return (
        copy.quiet_ms > QUIET_MULTIPLE * copy.usual_ms
        or relative_speed(copy, mean_ms) >= SUSPECT_SPEED
        or _known_failing(copy, now) >= SUSPECT_FAILING
    )


def _known_failing(copy: Copy, now: float) -> float:
    return max(
        _recent_failing(copy, now),
        copy.reported_failing * REPORTED_FAILING_PART,
    )


def _recent_failing(copy: Copy, now: float) -> float:
    if not copy.failing:
        return 0.0
    age = max(now - copy.failed_at, 0.0)
    halved: float = copy.failing * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)
    return halved
