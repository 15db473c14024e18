"""Choice of the backend server with the lowest expected response time.

The expected time is the mean latency of the route, times the relative latency
of the backend server, plus the wait in its queue, plus penalties, such as that
for leaving the data centre. The relative latency is estimated from the node's
own requests (exponential mean) and from the mean time that the backend
server's node reports: in a large fleet, a node sends too few requests to each
backend server to estimate it from these alone.
"""

import dataclasses

__all__ = [
    "Candidate",
    "LatencyModel",
    "ServerStats",
    "estimate_ms",
    "is_suspect",
    "mean_reported_ms",
    "rank_candidates",
    "record_latency",
    "record_load",
    "record_outcome",
    "record_sent",
    "record_size",
    "relative_latency",
    "remote_penalty_ms",
]

# Weights of a measurement in the mean latency of a route, in the relative
# latency of a backend server and in its failure ratio.
ROUTE_WEIGHT = 0.05
RELATIVE_LATENCY_WEIGHT = 0.12
FAILURE_WEIGHT = 0.15
# The failure ratio halves in this time while no request ends, so that a
# backend server that failed is tried again.
FAILURE_HALF_LIFE_SECONDS = 3.0
# A failure costs the caller about as much as a wait of this length. The
# penalty is this time multiplied by the failure ratio.
FAILURE_PENALTY_MS = 1200.0
# Reported failures count less than the node's own: requests of other callers
# may fail for reasons that do not concern this node.
REPORTED_FAILURE_WEIGHT = 0.7
# Traffic between data centres is charged: for a 5 KB request, it costs about a
# fifth of the value of the answer to the caller. A shorter wait justifies this
# only if the request would otherwise miss its objective. The penalty is
# therefore a fraction of the objective, per KB of the request and response, up
# to a maximum.
REMOTE_PENALTY_FRACTION_PER_KB = 0.4
MAX_REMOTE_PENALTY_FRACTION = 0.8
# Size of the headers of a request and its response between two nodes.
HEADER_BYTES = 700
# Weight of a measurement in the mean size of a route's requests.
SIZE_WEIGHT = 0.1
# Backend servers get slower above this ratio of requests to their limit; the
# slowdown is multiplied by the excess over the ratio.
CROWDED_FILL_RATIO = 0.75
CROWDED_SLOWDOWN = 0.6
# A backend server that has just started takes about twice as long.
COLD_SLOWDOWN = 2.0
# Slowdown in proportion to the load, because requests of other nodes arrive
# between two load reports.
FILL_SLOWDOWN = 0.35
# A backend server whose node has been silent for this long may be unreachable
# and gets a penalty. State messages arrive every 0.5 s within a data centre
# and every 1.5 s from others.
STALE_LOCAL_SECONDS = 1.2
STALE_REMOTE_SECONDS = 2.2
STALE_PENALTY_MS_PER_SECOND = 300.0
# Latency of a route or backend server before the first measurement.
INITIAL_LATENCY_MS = 100.0
# A backend server is suspect if it has sent no answer to any caller for this
# multiple of its mean time although requests are running there, if its
# relative latency is this high, or if this fraction of its requests fails.
SUSPECT_SILENT_RATIO = 1.5
SUSPECT_RELATIVE_LATENCY = 2.0
SUSPECT_FAILURE_RATIO = 0.15
# Weights of the estimates of the relative latency. With OWN_SAMPLES requests,
# a node weighs its own measurement and the report equally; with
# REPORT_SAMPLES requests behind a report, the report and the default of 1.0
# weigh equally.
OWN_SAMPLES = 10
REPORT_SAMPLES = 4
# Bounds of the relative latency from a report: it covers all routes of the
# service, whose latencies differ.
REPORTED_RELATIVE_LATENCY_BOUNDS = (0.4, 4.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A backend server that may run the request.

    Parameters
    ----------
    node, backend : str
        Identifiers of the node and of its backend server.
    same_data_centre : bool
        Whether the backend server is in this node's data centre.
    silent_seconds : float
        Time since the last message of its node, in seconds.
    cold : bool
        Whether it has just started and is still slow.
    """

    node: str
    backend: str
    same_data_centre: bool
    silent_seconds: float = 0.0
    cold: bool = False


class ServerStats:
    """Load, latency and failure statistics of one backend server."""

    __slots__ = (
        "outcome_at",
        "failure_ratio",
        "limit",
        "reported_requests",
        "silent_ms",
        "reported_failure_ratio",
        "own_samples",
        "sent_since",
        "sample_count",
        "own_relative_latency",
        "mean_ms",
    )

    def __init__(self) -> None:
        self.own_relative_latency = 1.0
        self.own_samples = 0
        self.sample_count = 0
        self.reported_requests = 0
        self.sent_since = 0
        self.limit = 1
        self.mean_ms = INITIAL_LATENCY_MS
        self.failure_ratio = 0.0
        self.outcome_at = 0.0
        self.reported_failure_ratio = 0.0
        self.silent_ms = 0


class LatencyModel:
    """Measured latencies of routes and statistics of backend servers."""

    def __init__(self) -> None:
        self.route_mean_ms: dict[str, float] = {}
        self.kilobytes: dict[str, float] = {}
        self.servers: dict[str, ServerStats] = {}

    def server(self, backend: str) -> ServerStats:
        """Return the statistics of a backend server, created on first use."""
        stats = self.servers.get(backend)
        if stats is None:
            stats = self.servers[backend] = ServerStats()
        return stats


def record_latency(
    latency_model: LatencyModel, *, route: str, backend: str, ran_ms: float
) -> None:
    """Record the time of a served request, in milliseconds."""
    route_ms = latency_model.route_mean_ms.get(route)
    if route_ms is None:
        latency_model.route_mean_ms[route] = max(ran_ms, 1.0)
        return
    server = latency_model.server(backend)
    server.own_samples = min(server.own_samples + 1, OWN_SAMPLES)
    server.own_relative_latency += RELATIVE_LATENCY_WEIGHT * (
        min(ran_ms / route_ms, 8.0) - server.own_relative_latency
    )
    route_ms += ROUTE_WEIGHT * (min(ran_ms, 4.0 * route_ms) - route_ms)
    latency_model.route_mean_ms[route] = max(route_ms, 1.0)


def record_size(latency_model: LatencyModel, *, route: str, size: int) -> None:
    """Record the size of a request and its response, in bytes."""
    kilobytes = (size + HEADER_BYTES) / 1024.0
    mean_kilobytes = latency_model.kilobytes.get(route, kilobytes)
    latency_model.kilobytes[route] = mean_kilobytes + SIZE_WEIGHT * (
        kilobytes - mean_kilobytes
    )


def remote_penalty_ms(
    latency_model: LatencyModel, *, route: str, objective_ms: float
) -> float:
    """Return the penalty for sending a request to another data centre.

    A request waits up to this many milliseconds longer to stay in its data
    centre.
    """
    penalty_fraction = (
        latency_model.kilobytes.get(route, 1.0)
        * REMOTE_PENALTY_FRACTION_PER_KB
    )
    return objective_ms * min(penalty_fraction, MAX_REMOTE_PENALTY_FRACTION)


def record_load(
    latency_model: LatencyModel,
    *,
    backend: str,
    running: int,
    queued: int,
    limit: int,
    mean_ms: float,
    sample_count: int = 0,
    failure_ratio: float = 0.0,
    silent_ms: int = 0,
) -> None:
    """Record a load report of a backend server.

    Parameters
    ----------
    latency_model : LatencyModel
        Model to update.
    backend : str
        Identifier of the backend server.
    running, queued, limit : int
        Numbers of running and queued requests, and of those that may run.
    mean_ms : float
        Mean service time of its recent requests, in milliseconds.
    sample_count : int
        Number of requests behind that mean.
    failure_ratio : float
        Fraction of its recent requests that failed.
    silent_ms : int
        Time without an answer while requests are running, in milliseconds.
    """
    server = latency_model.server(backend)
    server.reported_requests = running + queued
    server.limit = max(limit, 1)
    server.mean_ms = mean_ms
    server.sample_count = sample_count
    server.reported_failure_ratio = failure_ratio
    server.silent_ms = silent_ms
    server.sent_since = 0


def record_outcome(
    latency_model: LatencyModel, *, backend: str, failed: bool, now: float
) -> None:
    """Record whether a request failed, at a monotonic time in seconds."""
    server = latency_model.server(backend)
    previous_ratio = _recent_failure_ratio(server, now)
    server.failure_ratio = previous_ratio + FAILURE_WEIGHT * (
        float(failed) - previous_ratio
    )
    server.outcome_at = now


def record_sent(latency_model: LatencyModel, backend: str) -> None:
    """Count a request that the load reports do not include yet."""
    latency_model.server(backend).sent_since += 1


def estimate_ms(
    latency_model: LatencyModel,
    candidate: Candidate,
    *,
    route: str,
    objective_ms: float,
    now: float,
    service_mean_ms: float = 0.0,
) -> float:
    """Return the expected response time with penalties, in milliseconds.

    Parameters
    ----------
    latency_model : LatencyModel
        Latencies of routes and statistics of backend servers.
    candidate : Candidate
        Backend server to estimate.
    route : str
        Route of the request.
    objective_ms : float
        Latency objective of the request, in milliseconds.
    now : float
        Monotonic time, in seconds.
    service_mean_ms : float
        Mean time that the backend servers of the service report; 0 if unknown.
    """
    server = latency_model.server(candidate.backend)
    route_ms = latency_model.route_mean_ms.get(route, INITIAL_LATENCY_MS)
    outstanding = server.reported_requests + server.sent_since
    fill_ratio = outstanding / server.limit
    service_ms = route_ms * relative_latency(server, service_mean_ms)
    if candidate.cold:
        service_ms *= COLD_SLOWDOWN
    service_ms *= 1.0 + FILL_SLOWDOWN * min(fill_ratio, 1.0)
    service_ms *= 1.0 + CROWDED_SLOWDOWN * max(
        min(fill_ratio, 1.2) - CROWDED_FILL_RATIO, 0
    )
    wait_ms = (
        max(outstanding + 1 - server.limit, 0) * server.mean_ms / server.limit
    )
    total_ms = (
        service_ms
        + wait_ms
        + FAILURE_PENALTY_MS * _combined_failure_ratio(server, now)
    )
    stale_seconds = STALE_LOCAL_SECONDS
    if not candidate.same_data_centre:
        stale_seconds = STALE_REMOTE_SECONDS
        total_ms += remote_penalty_ms(
            latency_model, route=route, objective_ms=objective_ms
        )
    if candidate.silent_seconds > stale_seconds:
        total_ms += STALE_PENALTY_MS_PER_SECOND * candidate.silent_seconds
    return total_ms


def mean_reported_ms(
    latency_model: LatencyModel, candidates: list[Candidate]
) -> float:
    """Return the mean of the backend servers' reported times, in milliseconds.

    The mean is 0 if none has served a request.
    """
    servers = [latency_model.server(c.backend) for c in candidates]
    reported_ms = [server.mean_ms for server in servers if server.sample_count]
    return sum(reported_ms) / len(reported_ms) if reported_ms else 0.0


def relative_latency(server: ServerStats, service_mean_ms: float) -> float:
    """Return a backend server's latency divided by the service's mean.

    Parameters
    ----------
    server : ServerStats
        Statistics of the backend server.
    service_mean_ms : float
        Mean time that the backend servers of the service report; 0 if unknown.
    """
    reported = 1.0
    if service_mean_ms > 0.0 and server.sample_count:
        low, high = REPORTED_RELATIVE_LATENCY_BOUNDS
        weight = server.sample_count / (server.sample_count + REPORT_SAMPLES)
        clamped_ratio = min(max(server.mean_ms / service_mean_ms, low), high)
        reported += weight * (clamped_ratio - 1.0)
    own_weight = server.own_samples / (server.own_samples + OWN_SAMPLES)
    return reported + own_weight * (server.own_relative_latency - reported)


def rank_candidates(
    latency_model: LatencyModel,
    candidates: list[Candidate],
    *,
    route: str,
    objective_ms: float,
    now: float,
) -> list[Candidate]:
    """Return backend servers by expected response time, shortest first."""
    service_mean_ms = mean_reported_ms(latency_model, candidates)
    return sorted(
        candidates,
        key=lambda c: estimate_ms(
            latency_model,
            c,
            route=route,
            objective_ms=objective_ms,
            now=now,
            service_mean_ms=service_mean_ms,
        ),
    )


def is_suspect(
    latency_model: LatencyModel,
    backend: str,
    *,
    now: float,
    service_mean_ms: float,
) -> bool:
    """Return whether the backend server is the likely cause of a late answer.

    Otherwise, the request itself is expensive and would take as long at
    another server.

    Parameters
    ----------
    latency_model : LatencyModel
        Statistics of the backend servers.
    backend : str
        Identifier of the backend server.
    now : float
        Monotonic time, in seconds.
    service_mean_ms : float
        Mean time that the backend servers of the service report; 0 if unknown.
    """
    server = latency_model.server(backend)
    return (
        server.silent_ms > SUSPECT_SILENT_RATIO * server.mean_ms
        or relative_latency(server, service_mean_ms)
        >= SUSPECT_RELATIVE_LATENCY
        or _combined_failure_ratio(server, now) >= SUSPECT_FAILURE_RATIO
    )


def _combined_failure_ratio(server: ServerStats, now: float) -> float:
    return max(
        _recent_failure_ratio(server, now),
        server.reported_failure_ratio * REPORTED_FAILURE_WEIGHT,
    )


def _recent_failure_ratio(server: ServerStats, now: float) -> float:
    if not server.failure_ratio:
        return 0.0
    age = max(now - server.outcome_at, 0.0)
    decayed: float = server.failure_ratio * 0.5 ** (
        age / FAILURE_HALF_LIFE_SECONDS
    )
    return decayed
