"""Merge the counts of nodes and compute burn rates and error budgets."""

from collections.abc import Iterable
import dataclasses
import typing

from hdrh import histogram
import msgspec

from apricotpost import errors
from apricotpost import model
from apricotpost.report import levels

__all__ = ["NodeLevels", "RouteReport", "decode_node", "merge_nodes"]

PERCENTILES = (50.0, 99.0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeLevels:
    """Answer of one node."""

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
        What is reported.
    objective : apricotpost.model.Objective
        The strictest that a node has.
    windows : tuple of apricotpost.model.LevelCounts
        Sums over `levels.WINDOWS_SECONDS`.
    availability_burn, latency_burn : tuple of float
        For each window, how many times faster than allowed the error budget
        is used; 1 uses it up exactly.
    availability_left, latency_left : float
        Part of the budget of the longest window that is left; below 0 it is
        overspent.
    latency_ms : tuple of float
        Percentiles `PERCENTILES` of answered calls, in milliseconds.
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
    """Check the answer of a node.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        It does not have the expected form.
    """
    try:
        return msgspec.convert(answer, NodeLevels)
    except msgspec.ValidationError as error:
        raise errors.MalformedMessage(f"levels of a node: {error}") from error


def merge_nodes(nodes: Iterable[NodeLevels]) -> tuple[RouteReport, ...]:
    """Add up the counts of nodes by service and route."""
    found: dict[tuple[str, str], list[model.RouteLevel]] = {}
    for node in nodes:
        for level in node.levels:
            found.setdefault((level.service, level.route), []).append(level)
    return tuple(_report(found[key]) for key in sorted(found))


def _report(parts: list[model.RouteLevel]) -> RouteReport:
    objective = _strictest([part.objective for part in parts])
    windows = tuple(
        _add(counts) for counts in zip(*(part.windows for part in parts))
    )
    unavailable = 1 - objective.availability_percent / 100
    slow = 1 - objective.latency_percent / 100
    availability = tuple(
        _burn(entry.bad, entry.good + entry.slow + entry.bad, unavailable)
        for entry in windows
    )
    latency = tuple(
        _burn(entry.slow, entry.good + entry.slow, slow) for entry in windows
    )
    return RouteReport(
        service=parts[0].service,
        route=parts[0].route,
        objective=objective,
        windows=windows,
        availability_burn=availability,
        latency_burn=latency,
        availability_left=1 - availability[-1],
        latency_left=1 - latency[-1],
        latency_ms=_percentiles(parts),
        buckets=_merge_buckets(parts),
    )


def _strictest(objectives: list[model.Objective]) -> model.Objective:
    return model.Objective(
        availability_percent=max(e.availability_percent for e in objectives),
        latency_ms=min(e.latency_ms for e in objectives),
        latency_percent=max(e.latency_percent for e in objectives),
    )


def _add(counts: Iterable[model.LevelCounts]) -> model.LevelCounts:
    entries = tuple(counts)
    return model.LevelCounts(
        good=sum(entry.good for entry in entries),
        bad=sum(entry.bad for entry in entries),
        slow=sum(entry.slow for entry in entries),
    )


def _burn(failed: int, total: int, allowed: float) -> float:
    return failed / total / allowed if total else 0.0


def _percentiles(parts: list[model.RouteLevel]) -> tuple[float, ...]:
    merged = histogram.HdrHistogram(
        1, levels.MAX_LATENCY_MS, levels.SIGNIFICANT_DIGITS
    )
    for part in parts:
        merged.add(histogram.HdrHistogram.decode(part.latencies.encode()))
    return tuple(
        float(merged.get_value_at_percentile(percentile))
        for percentile in PERCENTILES
    )


def _merge_buckets(
    parts: list[model.RouteLevel],
) -> tuple[model.LevelBucket, ...]:
    by_start: dict[int, list[model.LevelCounts]] = {}
    for part in parts:
        for bucket in part.buckets:
            by_start.setdefault(bucket.start, []).append(bucket.counts)
    return tuple(
        model.LevelBucket(start=start, counts=_add(by_start[start]))
        for start in sorted(by_start)
    )
