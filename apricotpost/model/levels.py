"""Frozen values of service levels."""

import dataclasses

__all__ = ["LevelBucket", "LevelCounts", "Objective", "RouteLevel"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Objective:
    """Service level objective of a route.

    Parameters
    ----------
    availability_percent : float
        Share of calls that are answered without a server error.
    latency_ms : float
        Longest duration of a call that is not slow, in milliseconds.
    latency_percent : float
        Share of answered calls that are not slow.
    """

    availability_percent: float
    latency_ms: float
    latency_percent: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelCounts:
    """Calls that were good, failed, or were answered too slowly."""

    good: int = 0
    bad: int = 0
    slow: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelBucket:
    """Counts of one stretch of time; ``start`` is Unix time in seconds."""

    start: int
    counts: LevelCounts


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteLevel:
    """What one node counted for one route.

    Parameters
    ----------
    route, service : str
        What was counted; the service is empty for a removed route.
    objective : Objective
        In force at the node.
    windows : tuple of LevelCounts
        Sums over the windows of `apricotpost.report.levels`.
    buckets : tuple of LevelBucket
        Buckets of 15 minutes that have calls, oldest first.
    latencies : str
        `hdrhistogram` of the last hour or two, in milliseconds, encoded.
    """

    route: str
    service: str
    objective: Objective
    windows: tuple[LevelCounts, ...]
    buckets: tuple[LevelBucket, ...]
    latencies: str
