"""Counts of good, bad and slow calls by route, in rings of buckets."""

import array
import dataclasses

from hdrh import histogram

from apricotpost import model

__all__ = [
    "BUCKET_SECONDS",
    "RouteCounts",
    "WINDOWS_SECONDS",
    "make_counts",
    "read_buckets",
    "read_latencies",
    "read_windows",
    "record_call",
]

# Windows of the burn rate: 5 min, 1 h, 6 h and 3 d.
WINDOWS_SECONDS = (300, 3600, 21_600, 259_200)
# The two short windows are summed from minutes, the two long ones from
# quarters of an hour. Minutes for 3 d would take 69 kB for each route.
MINUTE_SECONDS = 60
BUCKET_SECONDS = 900
FINE_WINDOWS = 2
# A histogram covers an hour; the one before it is kept too.
HISTOGRAM_SECONDS = 3600
MAX_LATENCY_MS = 60_000
SIGNIFICANT_DIGITS = 2


@dataclasses.dataclass(kw_only=True)
class _Ring:
    """Buckets by time; ``stamps`` tells which stretch each one holds."""

    seconds: int
    stamps: "array.array[int]"
    good: "array.array[int]"
    bad: "array.array[int]"
    slow: "array.array[int]"


@dataclasses.dataclass(kw_only=True)
class RouteCounts:
    """All that a node counts for one route."""

    fine: _Ring
    coarse: _Ring
    histogram_number: int
    histogram: histogram.HdrHistogram
    previous: histogram.HdrHistogram


def make_counts() -> RouteCounts:
    """Return counts without any call."""
    return RouteCounts(
        fine=_make_ring(MINUTE_SECONDS, WINDOWS_SECONDS[FINE_WINDOWS - 1]),
        coarse=_make_ring(BUCKET_SECONDS, WINDOWS_SECONDS[-1]),
        histogram_number=0,
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
        Of the call's route.
    failed : bool
        Whether it was refused, its outcome is unknown, or the backend server
        answered with a status of 500 or more.
    duration_ms : float
        As the caller saw it, in milliseconds.
    objective : apricotpost.model.Objective
        Says from when on an answer is slow.
    now : float
        Unix time in seconds.
    """
    for ring in (counts.fine, counts.coarse):
        index = _turn_to(ring, now)
        if failed:
            ring.bad[index] += 1
        elif duration_ms > objective.latency_ms:
            ring.slow[index] += 1
        else:
            ring.good[index] += 1
    if not failed:
        _turn_histograms(counts, now)
        value = min(max(round(duration_ms), 1), MAX_LATENCY_MS)
        counts.histogram.record_value(value)


def read_windows(
    counts: RouteCounts, now: float
) -> tuple[model.LevelCounts, ...]:
    """Return the sums over `WINDOWS_SECONDS` that end now."""
    return tuple(
        _sum(counts.fine if index < FINE_WINDOWS else counts.coarse, span, now)
        for index, span in enumerate(WINDOWS_SECONDS)
    )


def read_buckets(
    counts: RouteCounts, now: float
) -> tuple[model.LevelBucket, ...]:
    """Return the buckets of the longest window that have calls."""
    ring = counts.coarse
    newest = int(now) // ring.seconds
    found = (
        model.LevelBucket(
            start=stamp * ring.seconds, counts=_read(ring, index)
        )
        for index, stamp in enumerate(ring.stamps)
        if newest - len(ring.stamps) < stamp <= newest
    )
    return tuple(sorted(found, key=lambda bucket: bucket.start))


def read_latencies(counts: RouteCounts, now: float) -> str:
    """Return the latencies of this hour and the one before, encoded."""
    _turn_histograms(counts, now)
    merged = _make_histogram()
    merged.add(counts.histogram)
    merged.add(counts.previous)
    return bytes(merged.encode()).decode()


def _make_ring(seconds: int, span: int) -> _Ring:
    # One bucket more than the window, as the newest is not full yet.
    size = span // seconds + 1
    zeros = [0] * size
    return _Ring(
        seconds=seconds,
        stamps=array.array("L", zeros),
        good=array.array("L", zeros),
        bad=array.array("L", zeros),
        slow=array.array("L", zeros),
    )


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)


def _turn_to(ring: _Ring, now: float) -> int:
    """Return the index of the present bucket, emptied if it was older."""
    stamp = int(now) // ring.seconds
    index = stamp % len(ring.stamps)
    if ring.stamps[index] != stamp:
        ring.stamps[index] = stamp
        ring.good[index] = ring.bad[index] = ring.slow[index] = 0
    return index


def _turn_histograms(counts: RouteCounts, now: float) -> None:
    number = int(now) // HISTOGRAM_SECONDS
    if number == counts.histogram_number:
        return
    counts.previous = (
        counts.histogram
        if number == counts.histogram_number + 1
        else _make_histogram()
    )
    counts.histogram = _make_histogram()
    counts.histogram_number = number


def _sum(ring: _Ring, span: int, now: float) -> model.LevelCounts:
    newest = int(now) // ring.seconds
    oldest = newest - span // ring.seconds
    indexes = [
        index
        for index, stamp in enumerate(ring.stamps)
        if oldest < stamp <= newest
    ]
    return model.LevelCounts(
        good=sum(ring.good[index] for index in indexes),
        bad=sum(ring.bad[index] for index in indexes),
        slow=sum(ring.slow[index] for index in indexes),
    )


def _read(ring: _Ring, index: int) -> model.LevelCounts:
    return model.LevelCounts(
        good=ring.good[index], bad=ring.bad[index], slow=ring.slow[index]
    )
