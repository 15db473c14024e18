"""Explains where a request would go now, and why, without sending it."""

from collections.abc import Callable
from urllib import parse

import msgspec

from apricotpost import http
from apricotpost import model
from apricotpost.routing import placement
from apricotpost.routing import prefixes
from apricotpost.routing import sampling
from apricotpost.sidecar import explanation_types
from apricotpost.sidecar import load_balancer
from apricotpost.sidecar import server_index
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["encode_response", "explain", "parse_question"]

EXPLAIN_PATH = "/explain"
# More digits are longer than any time-out of a route.
MAX_DEADLINE_DIGITS = 9

# Draws between 0 and 1 that are tried to find the versions of a request.
VERSION_DRAWS = 200


def parse_question(target: bytes) -> explanation_types.Question | None:
    """Return the question of a request target; None if it is another path.

    A deadline that is not a number is not stated.
    """
    path, _, query = target.decode("latin-1").partition("?")
    if path != EXPLAIN_PATH:
        return None
    values = parse.parse_qs(query)
    deadline = values.get("deadline_ms", [""])[0]
    return explanation_types.Question(
        host=values.get("host", [""])[0].partition(":")[0].lower(),
        path=values.get("path", ["/"])[0].partition("?")[0],
        deadline_ms=(
            int(deadline[:MAX_DEADLINE_DIGITS])
            if deadline.isdecimal()
            else None
        ),
    )


def encode_response(
    explanation: explanation_types.Explanation,
) -> http.Response:
    """Return the response that holds an explanation as JSON."""
    return http.Response(
        status=200,
        headers=((b"Content-Type", b"application/json"),),
        body=msgspec.json.encode(explanation),
    )


def explain(
    question: explanation_types.Question,
    *,
    view: views.TrafficView,
    servers: server_index.ServerIndex,
    balancer: load_balancer.LoadBalancer,
    now: float,
) -> explanation_types.Explanation:
    """Return where a request would go now; change no state.

    Parameters
    ----------
    question : Question
        The request.
    view : views.TrafficView
        Orders in force.
    servers : server_index.ServerIndex
        Known backend servers.
    balancer : load_balancer.LoadBalancer
        Latencies and load reports.
    now : float
        Monotonic time, in seconds.
    """
    if not view.version:
        return _refuse(view, 503, wire.NotRunReason.NOT_READY)
    route = prefixes.match_prefix(view.routes, question.host, question.path)
    if route is None:
        return _refuse(view, 404, wire.NotRunReason.NO_ROUTE)
    shares = _find_shares(route)
    versions: list[explanation_types.VersionChoice] = []
    estimates: list[explanation_types.ServerEstimate] = []
    for share in shares:
        choices = _find_versions(view, servers, share.service)
        versions.extend(choices)
        estimates.extend(
            _estimate_servers(
                share.service, route, choices, view, servers, balancer, now
            )
        )
    remaining_ms = route.timeout_ms
    if question.deadline_ms is not None:
        remaining_ms = min(remaining_ms, question.deadline_ms)
    return explanation_types.Explanation(
        outcome="offer" if estimates else "refuse",
        status=0 if estimates else 503,
        reason=(
            f"longest prefix {route.prefix} of host {route.host}"
            if estimates
            else wire.NotRunReason.NO_BACKEND_SERVER
        ),
        configuration=view.version,
        route=route.name,
        idempotent=route.idempotent,
        rank=route.rank,
        max_attempts=route.max_attempts,
        remaining_ms=remaining_ms,
        objective_ms=route.objective_ms,
        mean_ms=round(balancer.mean_ms(route.name), 1),
        shares=shares,
        versions=tuple(versions),
        servers=tuple(estimates),
        not_used=_find_unused(shares, view, servers),
    )


def _refuse(
    view: views.TrafficView, status: int, reason: wire.NotRunReason
) -> explanation_types.Explanation:
    return explanation_types.Explanation(
        outcome="refuse",
        status=status,
        reason=reason,
        configuration=view.version,
    )


def _find_shares(
    route: model.TrafficRoute,
) -> tuple[explanation_types.ServiceShare, ...]:
    total = sum(target.weight for target in route.targets)
    return tuple(
        explanation_types.ServiceShare(
            service=target.service,
            fraction=round(target.weight / total, 4) if total else 0.0,
        )
        for target in route.targets
        if target.weight > 0 or len(route.targets) == 1
    )


def _find_versions(
    view: views.TrafficView, servers: server_index.ServerIndex, service: str
) -> list[explanation_types.VersionChoice]:
    """Return the sets of versions that the draws of a service lead to."""
    counts: dict[tuple[str, ...], int] = {}
    usable = servers.list_usable(view, service)
    for number in range(VERSION_DRAWS):
        draw = (number + 0.5) / VERSION_DRAWS
        kept = servers.filter_versions(view, service, usable, draw)
        versions = tuple(sorted({entry.server.version for entry in kept}))
        if versions:
            counts[versions] = counts.get(versions, 0) + 1
    return [
        explanation_types.VersionChoice(
            service=service,
            versions=versions,
            fraction=count / VERSION_DRAWS,
        )
        for versions, count in counts.items()
    ]


def _estimate_servers(
    service: str,
    route: model.TrafficRoute,
    choices: list[explanation_types.VersionChoice],
    view: views.TrafficView,
    servers: server_index.ServerIndex,
    balancer: load_balancer.LoadBalancer,
    now: float,
) -> list[explanation_types.ServerEstimate]:
    """Return the servers of a service, the best of each version set first."""
    latency_model = balancer.latency_model
    estimates = []
    for choice in choices:
        # The middle of the draws that lead to these versions.
        candidates = [
            candidate
            for candidate in servers.candidates(
                view,
                service,
                version_draw=_draw_for(choice, choices),
                regions=route.regions,
                now=now,
            )
            if servers.version_of(candidate.node) in choice.versions
        ]
        ranked = placement.rank_candidates(
            latency_model,
            candidates,
            route=route.name,
            objective_ms=route.objective_ms,
            now=now,
        )
        mean_ms = placement.mean_reported_ms(latency_model, candidates)
        best_ms = 0.0
        for candidate in ranked:
            expected_ms = placement.estimate_ms(
                latency_model,
                candidate,
                route=route.name,
                objective_ms=route.objective_ms,
                now=now,
                service_mean_ms=mean_ms,
            )
            best_ms = best_ms or expected_ms
            stats = latency_model.server(candidate.backend)
            estimates.append(
                explanation_types.ServerEstimate(
                    service=service,
                    node=candidate.node,
                    backend=candidate.backend,
                    version=servers.version_of(candidate.node),
                    same_data_centre=candidate.same_data_centre,
                    cold=candidate.cold,
                    silent_seconds=round(candidate.silent_seconds, 2),
                    outstanding=stats.reported_requests + stats.sent_since,
                    limit=stats.limit,
                    mean_ms=round(stats.mean_ms, 1),
                    relative_latency=round(
                        placement.relative_latency(stats, mean_ms), 2
                    ),
                    failure_ratio=round(stats.failure_ratio, 3),
                    expected_ms=round(expected_ms, 1),
                    note=_describe_rank(expected_ms - best_ms),
                )
            )
    return estimates


def _draw_for(
    choice: explanation_types.VersionChoice,
    choices: list[explanation_types.VersionChoice],
) -> float:
    """Return a version draw that leads to a set of versions."""
    before = 0.0
    for other in choices:
        if other is choice:
            break
        before += other.fraction
    return before + choice.fraction / 2


def _describe_rank(excess_ms: float) -> str:
    if excess_ms <= 0.0:
        return ""
    return (
        f"{excess_ms:.0f} ms later than the best; chosen if the better ones "
        f"are not in the random sample of {sampling.LOCAL_SAMPLE} local and "
        f"{sampling.REMOTE_SAMPLE} remote servers"
    )


def _find_unused(
    shares: tuple[explanation_types.ServiceShare, ...],
    view: views.TrafficView,
    servers: server_index.ServerIndex,
) -> tuple[str, ...]:
    """Return the servers of the services that get no requests, and why."""
    services = {share.service for share in shares}
    usable = {
        entry.node
        for service in services
        for entry in servers.list_usable(view, service)
    }
    checks: tuple[tuple[Callable[[wire.NodeState], bool], str], ...] = (
        (lambda state: state.leaving, "its node is stopping"),
        (lambda state: not _is_ready(state), "it takes no requests"),
        (
            lambda state: state.data_centre in view.evacuated,
            "its data centre is evacuated",
        ),
        (
            lambda state: not servers.is_reachable(state.node),
            "there is no connection to its node",
        ),
    )
    unused = []
    for name, known in servers.members.nodes.items():
        server = known.state.server
        if server is None or server.service not in services or name in usable:
            continue
        reason = next(
            (text for check, text in checks if check(known.state)),
            "its state has just changed",
        )
        unused.append(f"{server.backend} beside {name}: {reason}")
    return tuple(sorted(unused))


def _is_ready(state: wire.NodeState) -> bool:
    return state.server is not None and state.server.ready
