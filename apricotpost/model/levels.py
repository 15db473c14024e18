"""Immutable data classes on service levels."""

import dataclasses

__all__ = ["LevelBucket", "LevelCounts", "Objective", "RouteLevel"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """Service level objective of a route.

    Parameters
    ----------
    availability_percent : float
        Share of calls, in percent, that must be answered without a
        server error.
    latency_ms : float
        Latency in milliseconds above which a call counts as slow.
    latency_percent : float
        Share of answered calls, in percent, that must not be slow.
    """

    availability_percent: float
    latency_ms: float
    latency_percent: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelCounts:
    """Numbers of good calls, failed calls, and calls answered too slowly."""

    good: int = 0
    bad: int = 0
    slow: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelBucket:
    """Counts of one time bucket; ``start`` is a Unix time in seconds."""

    start: int
    counts: LevelCounts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteLevel:
    """Service level of one route, as counted by one node.

    Parameters
    ----------
    route : str
        Name of the route.
    service : str
        Service that handles the route; empty if the route was removed.
    objective : Objective
        Objective in force at the node.
    windows : tuple of LevelCounts
        Counts within each window of `apricotpost.report.levels`.
    buckets : tuple of LevelBucket
        Buckets of 15 minutes that have calls, oldest first.
    latencies : str
        Encoded `hdrhistogram` of the latencies of the last one to two
        hours, in milliseconds.
    """

    route: str
    service: str
    objective: Objective
    windows: tuple[LevelCounts, ...]
    buckets: tuple[LevelBucket, ...]
    latencies: str
