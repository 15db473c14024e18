"""Merge the counts of nodes and compute burn rates and error budgets."""

from collections.abc import Iterable
import dataclasses
import typing

from hdrh import histogram

from apricotpost import decoding
from apricotpost import model
from apricotpost.report import levels

__all__ = ["NodeLevels", "RouteReport", "decode_node", "merge_nodes"]

PERCENTILES = (50.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeLevels:
    """Service level counts of one node.

    ``since`` and ``at`` are the start and the end of counting, in Unix time.
    """

    instance: str
    since: float
    at: float
    levels: tuple[model.RouteLevel, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteReport:
    """Service levels of one route over all nodes that answered.

    Parameters
    ----------
    service, route : str
        Names of the service and the route.
    objective : apricotpost.model.Objective
        Strictest objective of any node.
    windows : tuple of apricotpost.model.LevelCounts
        Counts of each of the `levels.WINDOWS_SECONDS`.
    availability_burn, latency_burn : tuple of float
        Burn rate in each window: the ratio of failed or slow calls to the
        ratio that the objective allows. 1 uses up the error budget exactly.
    availability_left, latency_left : float
        Fraction of the error budget of the longest window that is left;
        negative if more than the budget was used.
    latency_ms : tuple of float
        `PERCENTILES` of the durations of answered calls, in milliseconds.
    buckets : tuple of apricotpost.model.LevelBucket
        Counts over time, oldest first.
    """

    service: str
    route: str
    objective: model.Objective
    windows: tuple[model.LevelCounts, ...]
    availability_burn: tuple[float, ...]
    latency_burn: tuple[float, ...]
    availability_left: float
    latency_left: float
    latency_ms: tuple[float, ...]
    buckets: tuple[model.LevelBucket, ...]


def decode_node(answer: typing.Any) -> NodeLevels:
    """Return the decoded answer of a node.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The answer does not have the expected fields or types.
    """
    levels: NodeLevels = decoding.convert(
        "service levels of a node", answer, NodeLevels
    )
    return levels


def merge_nodes(nodes: Iterable[NodeLevels]) -> tuple[RouteReport, ...]:
    """Sum the counts of nodes by service and route."""
    levels_by_route: dict[tuple[str, str], list[model.RouteLevel]] = {}
    for node in nodes:
        for level in node.levels:
            levels_by_route.setdefault(
                (level.service, level.route), []
            ).append(level)
    return tuple(
        _make_report(levels_by_route[key]) for key in sorted(levels_by_route)
    )


def _make_report(route_levels: list[model.RouteLevel]) -> RouteReport:
    objective = _strictest_objective(
        [level.objective for level in route_levels]
    )
    windows = tuple(
        _sum_counts(counts)
        for counts in zip(*(level.windows for level in route_levels))
    )
    allowed_failed_ratio = 1 - objective.availability_percent / 100
    allowed_slow_ratio = 1 - objective.latency_percent / 100
    availability_burn = tuple(
        _burn_rate(
            entry.bad,
            entry.good + entry.slow + entry.bad,
            allowed_failed_ratio,
        )
        for entry in windows
    )
    latency_burn = tuple(
        _burn_rate(entry.slow, entry.good + entry.slow, allowed_slow_ratio)
        for entry in windows
    )
    return RouteReport(
        service=route_levels[0].service,
        route=route_levels[0].route,
        objective=objective,
        windows=windows,
        availability_burn=availability_burn,
        latency_burn=latency_burn,
        availability_left=1 - availability_burn[-1],
        latency_left=1 - latency_burn[-1],
        latency_ms=_merge_percentiles(route_levels),
        buckets=_merge_buckets(route_levels),
    )


def _strictest_objective(objectives: list[model.Objective]) -> model.Objective:
    return model.Objective(
        availability_percent=max(
            entry.availability_percent for entry in objectives
        ),
        latency_ms=min(entry.latency_ms for entry in objectives),
        latency_percent=max(entry.latency_percent for entry in objectives),
    )


def _sum_counts(counts: Iterable[model.LevelCounts]) -> model.LevelCounts:
    entries = tuple(counts)
    return model.LevelCounts(
        good=sum(entry.good for entry in entries),
        bad=sum(entry.bad for entry in entries),
        slow=sum(entry.slow for entry in entries),
    )


def _burn_rate(failed: int, total: int, allowed_ratio: float) -> float:
    return failed / total / allowed_ratio if total else 0.0


def _merge_percentiles(
    route_levels: list[model.RouteLevel],
) -> tuple[float, ...]:
    merged = histogram.HdrHistogram(
        1, levels.MAX_LATENCY_MS, levels.SIGNIFICANT_DIGITS
    )
    for level in route_levels:
        merged.add(histogram.HdrHistogram.decode(level.latencies.encode()))
    return tuple(
        float(merged.get_value_at_percentile(percentile))
        for percentile in PERCENTILES
    )


def _merge_buckets(
    route_levels: list[model.RouteLevel],
) -> tuple[model.LevelBucket, ...]:
    by_start: dict[int, list[model.LevelCounts]] = {}
    for level in route_levels:
        for bucket in level.buckets:
            by_start.setdefault(bucket.start, []).append(bucket.counts)
    return tuple(
        model.LevelBucket(start=start, counts=_sum_counts(by_start[start]))
        for start in sorted(by_start)
    )
