"""Counts of good, bad and slow calls of a route, in ring buffers."""

import array
import dataclasses

from hdrh import histogram

from apricotpost import model

__all__ = [
    "COARSE_BUCKET_SECONDS",
    "RouteCounts",
    "WINDOWS_SECONDS",
    "encode_latencies",
    "make_route_counts",
    "read_buckets",
    "read_windows",
    "record_call",
]

# Windows of the burn rates: 5 min, 1 h, 6 h and 3 d.
WINDOWS_SECONDS = (300, 3600, 21_600, 259_200)
# The two short windows are summed from buckets of a minute, the two long ones
# from buckets of 15 minutes: minutes for 3 d would take 69 kB for each route.
FINE_BUCKET_SECONDS = 60
COARSE_BUCKET_SECONDS = 900
FINE_WINDOW_COUNT = 2
# A histogram covers an hour; that of the previous hour is kept as well.
HISTOGRAM_SECONDS = 3600
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(kw_only=True)
class _RingBuffer:
    """Ring buffer of counts in buckets of equal duration.

    ``periods`` holds the period of each bucket: its start in Unix time
    divided by ``bucket_seconds``.
    """

    bucket_seconds: int
    periods: "array.array[int]"
    good: "array.array[int]"
    bad: "array.array[int]"
    slow: "array.array[int]"


@dataclasses.dataclass(kw_only=True)
class RouteCounts:
    """Counts and latencies that a node records for one route.

    ``histogram`` covers the hour ``histogram_hour``, in hours since the Unix
    epoch, and ``previous`` the hour before.
    """

    fine_ring: _RingBuffer
    coarse_ring: _RingBuffer
    histogram_hour: int
    histogram: histogram.HdrHistogram
    previous: histogram.HdrHistogram


def make_route_counts() -> RouteCounts:
    """Return empty counts for a route."""
    return RouteCounts(
        fine_ring=_make_ring_buffer(
            FINE_BUCKET_SECONDS, WINDOWS_SECONDS[FINE_WINDOW_COUNT - 1]
        ),
        coarse_ring=_make_ring_buffer(
            COARSE_BUCKET_SECONDS, WINDOWS_SECONDS[-1]
        ),
        histogram_hour=0,
        histogram=_make_histogram(),
        previous=_make_histogram(),
    )


def record_call(
    counts: RouteCounts,
    *,
    failed: bool,
    duration_ms: float,
    objective: model.Objective,
    now: float,
) -> None:
    """Count one call.

    Parameters
    ----------
    counts : RouteCounts
        Counts of the call's route.
    failed : bool
        Whether the call was refused, its outcome is unknown, or the backend
        server answered with a status of 500 or more.
    duration_ms : float
        Duration of the call as the caller saw it, in milliseconds.
    objective : apricotpost.model.Objective
        Gives the latency above which an answer is slow.
    now : float
        Unix time in seconds.
    """
    for ring in (counts.fine_ring, counts.coarse_ring):
        index = _select_bucket(ring, now)
        if failed:
            ring.bad[index] += 1
        elif duration_ms > objective.latency_ms:
            ring.slow[index] += 1
        else:
            ring.good[index] += 1
    if not failed:
        _rotate_histograms(counts, now)
        value = min(max(round(duration_ms), 1), MAX_LATENCY_MS)
        counts.histogram.record_value(value)


def read_windows(
    counts: RouteCounts, now: float
) -> tuple[model.LevelCounts, ...]:
    """Return the counts of each of the `WINDOWS_SECONDS`, up to now."""
    return tuple(
        _sum_window(
            (
                counts.fine_ring
                if index < FINE_WINDOW_COUNT
                else counts.coarse_ring
            ),
            window_seconds,
            now,
        )
        for index, window_seconds in enumerate(WINDOWS_SECONDS)
    )


def read_buckets(
    counts: RouteCounts, now: float
) -> tuple[model.LevelBucket, ...]:
    """Return the buckets of the longest window that have calls, by time."""
    ring = counts.coarse_ring
    newest = int(now) // ring.bucket_seconds
    buckets = (
        model.LevelBucket(
            start=period * ring.bucket_seconds,
            counts=_read_bucket(ring, index),
        )
        for index, period in enumerate(ring.periods)
        if newest - len(ring.periods) < period <= newest
    )
    return tuple(sorted(buckets, key=lambda bucket: bucket.start))


def encode_latencies(counts: RouteCounts, now: float) -> str:
    """Return the encoded latencies of this hour and the previous one."""
    _rotate_histograms(counts, now)
    merged = _make_histogram()
    merged.add(counts.histogram)
    merged.add(counts.previous)
    return bytes(merged.encode()).decode()


def _make_ring_buffer(bucket_seconds: int, window_seconds: int) -> _RingBuffer:
    # One bucket more than the window needs, as the newest covers only part
    # of its period.
    size = window_seconds // bucket_seconds + 1
    zeros = [0] * size
    return _RingBuffer(
        bucket_seconds=bucket_seconds,
        periods=array.array("L", zeros),
        good=array.array("L", zeros),
        bad=array.array("L", zeros),
        slow=array.array("L", zeros),
    )


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def _select_bucket(ring: _RingBuffer, now: float) -> int:
    """Return the index of the current bucket, cleared if it was outdated."""
    period = int(now) // ring.bucket_seconds
    index = period % len(ring.periods)
    if ring.periods[index] != period:
        ring.periods[index] = period
        ring.good[index] = ring.bad[index] = ring.slow[index] = 0
    return index


def _rotate_histograms(counts: RouteCounts, now: float) -> None:
    hour = int(now) // HISTOGRAM_SECONDS
    if hour == counts.histogram_hour:
        return
    counts.previous = (
        counts.histogram
        if hour == counts.histogram_hour + 1
        else _make_histogram()
    )
    counts.histogram = _make_histogram()
    counts.histogram_hour = hour


def _sum_window(
    ring: _RingBuffer, window_seconds: int, now: float
) -> model.LevelCounts:
    newest = int(now) // ring.bucket_seconds
    oldest = newest - window_seconds // ring.bucket_seconds
    indexes = [
        index
        for index, period in enumerate(ring.periods)
        if oldest < period <= newest
    ]
    return model.LevelCounts(
        good=sum(ring.good[index] for index in indexes),
        bad=sum(ring.bad[index] for index in indexes),
        slow=sum(ring.slow[index] for index in indexes),
    )


def _read_bucket(ring: _RingBuffer, index: int) -> model.LevelCounts:
    return model.LevelCounts(
        good=ring.good[index], bad=ring.bad[index], slow=ring.slow[index]
    )
