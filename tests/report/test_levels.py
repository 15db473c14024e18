"""Tests of the counts of service levels."""

import random
import unittest

from hdrh import histogram

from apricotpost import model
from apricotpost.report import levels

__all__ = ["LevelsTest"]

OBJECTIVE = model.Objective(
    availability_percent=99.9, latency_ms=100.0, latency_percent=99.0
)
START = 1_800_000_000


def record(counts, at, *, failed=False, duration_ms=5.0):
    """Count one call."""
    levels.record_call(
        counts,
        failed=failed,
        duration_ms=duration_ms,
        objective=OBJECTIVE,
        now=at,
    )


class LevelsTest(unittest.TestCase):
    def test_calls_are_sorted_into_good_bad_and_slow(self):
        """Guards against a failed call that is counted as good or slow."""
        counts = levels.make_route_counts()
        record(counts, START)
        record(counts, START, duration_ms=100.1)
        record(counts, START, failed=True, duration_ms=500.0)
        expected = model.LevelCounts(good=1, bad=1, slow=1)
        self.assertEqual((expected,) * 4, levels.read_windows(counts, START))

    def test_windows_match_counts_from_all_calls(self):
        """Guards against buckets that are reused without being cleared."""
        rng = random.Random(4)
        counts = levels.make_route_counts()
        call_times = []
        now = START
        for _ in range(3000):
            now += rng.choice([0, 1, 30, 200, 3000])
            call_times.append(now)
            record(counts, now)
        windows = levels.read_windows(counts, now)
        for index, span in enumerate(levels.WINDOWS_SECONDS):
            width = 60 if index < 2 else levels.COARSE_BUCKET_SECONDS
            oldest = now // width - span // width
            kept = [at for at in call_times if at // width > oldest]
            self.assertEqual(len(kept), windows[index].good, span)
        buckets = levels.read_buckets(counts, now)
        starts = [bucket.start for bucket in buckets]
        self.assertEqual(sorted(set(starts)), starts)

    def test_old_latencies_are_dropped(self):
        """Guards against percentiles with latencies of earlier hours."""
        counts = levels.make_route_counts()
        record(counts, START, duration_ms=90.0)
        text = levels.encode_latencies(counts, START + 60)
        decoded = histogram.HdrHistogram.decode(text.encode())
        self.assertEqual(1, decoded.get_total_count())
        text = levels.encode_latencies(counts, START + 3 * 3600)
        decoded = histogram.HdrHistogram.decode(text.encode())
        self.assertEqual(0, decoded.get_total_count())
