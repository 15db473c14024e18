"""Choice of the backend server that finishes a request first.

The time to finish is the usual time of the route, times the relative speed of
the backend server, plus the wait in its queue, plus the price of leaving the
data centre. The speed is learnt from the own requests (exponential mean) and
from the mean time that the backend server's node reports: in a large fleet, a
node sends too few requests to each backend server to learn it by itself.
"""

import dataclasses

__all__ = [
    "Candidate",
    "ServerStats",
    "LatencyModel",
    "estimate_ms",
    "is_suspect",
    "record_outcome",
    "record_load",
    "record_size",
    "record_latency",
    "mean_reported_ms",
    "record_sent",
    "rank_candidates",
    "relative_speed",
    "remote_penalty_ms",
]

# Weight of a measurement in the usual time of a route and in the relative
# speed of a backend server.
ROUTE_WEIGHT = 0.05
SPEED_WEIGHT = 0.12
FAILURE_WEIGHT = 0.15
# A backend server that failed is tried again: the evidence halves in this
# time.
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
# A backend server that has not reported for this long may be gone. States come
# every half a second within a data centre and every 1.5 s from others.
STALE_LOCAL_SECONDS = 1.2
STALE_REMOTE_SECONDS = 2.2
STALE_MS = 300.0
FIRST_ROUTE_MS = 100.0
# A server is suspect when it has not answered anybody for this multiple of
# its usual time although requests run there, when it takes this multiple of
# the time of others, or when this share of its requests fails.
QUIET_MULTIPLE = 1.5
SUSPECT_SPEED = 2.0
SUSPECT_FAILING = 0.15
# Own requests that count as much as the report on a backend server, and
# reported ones that count as much as no knowledge.
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


class ServerStats:
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


class LatencyModel:
    """Learnt times of routes and backend servers."""

    def __init__(self) -> None:
        self.routes: dict[str, float] = {}
        self.kilobytes: dict[str, float] = {}
        self.servers: dict[str, ServerStats] = {}

    def server(self, backend: str) -> ServerStats:
        """Return what is known of a backend server."""
        found = self.servers.get(backend)
        if found is None:
            found = self.servers[backend] = ServerStats()
        return found


def record_latency(
    latency_model: LatencyModel, *, route: str, backend: str, ran_ms: float
) -> None:
    """Account for a served request."""
    usual = latency_model.routes.get(route)
    if usual is None:
        latency_model.routes[route] = max(ran_ms, 1.0)
        return
    server = latency_model.server(backend)
    server.samples = min(server.samples + 1, OWN_SAMPLES)
    server.speed += SPEED_WEIGHT * (min(ran_ms / usual, 8.0) - server.speed)
    usual += ROUTE_WEIGHT * (min(ran_ms, 4.0 * usual) - usual)
    latency_model.routes[route] = max(usual, 1.0)


def record_size(latency_model: LatencyModel, *, route: str, size: int) -> None:
    """Account for the bytes of a request and its response."""
    kilobytes = (size + HEADER_BYTES) / 1024.0
    known = latency_model.kilobytes.get(route, kilobytes)
    latency_model.kilobytes[route] = known + SIZE_WEIGHT * (kilobytes - known)


def remote_penalty_ms(
    latency_model: LatencyModel, *, route: str, objective_ms: float
) -> float:
    """Return the wait that a request accepts to stay in its data centre."""
    part = latency_model.kilobytes.get(route, 1.0) * REMOTE_PART_PER_KB
    return objective_ms * min(part, MAX_REMOTE_PART)


def record_load(
    latency_model: LatencyModel,
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
    latency_model : LatencyModel
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
    server = latency_model.server(backend)
    server.occupied = running + queued
    server.limit = max(limit, 1)
    server.usual_ms = usual_ms
    server.served = served
    server.reported_failing = failing
    server.quiet_ms = quiet_ms
    server.sent_since = 0


def record_outcome(
    latency_model: LatencyModel, *, backend: str, failed: bool, now: float
) -> None:
    """Account for the end of a request, in monotonic seconds."""
    server = latency_model.server(backend)
    recent = _recent_failing(server, now)
    server.failing = recent + FAILURE_WEIGHT * (float(failed) - recent)
    server.failed_at = now


def record_sent(latency_model: LatencyModel, backend: str) -> None:
    """Count a request that no report includes yet."""
    latency_model.server(backend).sent_since += 1


def estimate_ms(
    latency_model: LatencyModel,
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
    latency_model : LatencyModel
        What is known of routes and backend servers.
    candidate : Candidate
        The backend server.
    route : str
        Route of the request.
    objective_ms : float
        Its latency objective.
    now : float
        Monotonic time, in seconds.
    mean_ms : float
        Mean time that the backend servers of the service report; 0 if unknown.
    """
    server = latency_model.server(candidate.backend)
    usual = latency_model.routes.get(route, FIRST_ROUTE_MS)
    occupied = server.occupied + server.sent_since
    fill = occupied / server.limit
    serve_ms = usual * relative_speed(server, mean_ms)
    if candidate.cold:
        serve_ms *= COLD_SLOWDOWN
    serve_ms *= 1.0 + BALANCE_PART * min(fill, 1.0)
    serve_ms *= 1.0 + CROWDED_SLOWDOWN * max(min(fill, 1.2) - CROWDED_PART, 0)
    wait_ms = (
        max(occupied + 1 - server.limit, 0) * server.usual_ms / server.limit
    )
    total = serve_ms + wait_ms + FAILURE_MS * _known_failing(server, now)
    stale_seconds = STALE_LOCAL_SECONDS
    if not candidate.same_data_centre:
        stale_seconds = STALE_REMOTE_SECONDS
        total += remote_penalty_ms(
            latency_model, route=route, objective_ms=objective_ms
        )
    if candidate.silent_seconds > stale_seconds:
        total += STALE_MS * candidate.silent_seconds
    return total


def mean_reported_ms(
    latency_model: LatencyModel, candidates: list[Candidate]
) -> float:
    """Return the mean time that backend servers report, in milliseconds.

    0 if none has served a request.
    """
    servers = [latency_model.server(c.backend) for c in candidates]
    known = [server.usual_ms for server in servers if server.served]
    return sum(known) / len(known) if known else 0.0


def relative_speed(server: ServerStats, mean_ms: float) -> float:
    """Return a backend server's time divided by the usual one.

    Parameters
    ----------
    server : ServerStats
        What is known of it.
    mean_ms : float
        Mean time that the backend servers of the service report; 0 if unknown.
    """
    reported = 1.0
    if mean_ms > 0.0 and server.served:
        low, high = REPORTED_SPEED
        weight = server.served / (server.served + REPORT_SAMPLES)
        found = min(max(server.usual_ms / mean_ms, low), high)
        reported += weight * (found - 1.0)
    own = server.samples / (server.samples + OWN_SAMPLES)
    return reported + own * (server.speed - reported)


def rank_candidates(
    latency_model: LatencyModel,
    candidates: list[Candidate],
    *,
    route: str,
    objective_ms: float,
    now: float,
) -> list[Candidate]:
    """Sort backend servers, the one that finishes first in front."""
    mean_ms = mean_reported_ms(latency_model, candidates)
    return sorted(
        candidates,
        key=lambda c: estimate_ms(
            latency_model,
            c,
            route=route,
            objective_ms=objective_ms,
            now=now,
            mean_ms=mean_ms,
        ),
    )


def is_suspect(
    latency_model: LatencyModel, backend: str, *, now: float, mean_ms: float
) -> bool:
    """Tell whether a late answer is rather the server's fault.

    The work of a request is its own: another server takes as long for a
    large one.

    Parameters
    ----------
    latency_model : LatencyModel
        What is known of the backend servers.
    backend : str
        The backend server.
    now : float
        Monotonic time, in seconds.
    mean_ms : float
        Mean time that the backend servers of the service report; 0 if unknown.
    """
    server = latency_model.server(backend)
    return (
        server.quiet_ms > QUIET_MULTIPLE * server.usual_ms
        or relative_speed(server, mean_ms) >= SUSPECT_SPEED
        or _known_failing(server, now) >= SUSPECT_FAILING
    )


def _known_failing(server: ServerStats, now: float) -> float:
    return max(
        _recent_failing(server, now),
        server.reported_failing * REPORTED_FAILING_PART,
    )


def _recent_failing(server: ServerStats, now: float) -> float:
    if not server.failing:
        return 0.0
    age = max(now - server.failed_at, 0.0)
    halved: float = server.failing * 0.5 ** (age / FAILURE_HALF_LIFE_SECONDS)
    return halved
