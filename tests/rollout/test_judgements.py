"""Tests of the judgement on a new version in single situations."""

import unittest

from apricotpost.rollout import evidence
from apricotpost.rollout import judgements

__all__ = ["JudgementTest"]

FAST_BUCKET, SLOW_BUCKET = 3, 9


def make_counts(calls, failures=0, bucket=FAST_BUCKET):
    """Return counts whose successes share one latency bucket."""
    latencies = (0,) * bucket + (calls - failures,)
    return evidence.Counts(calls=calls, failures=failures, latencies=latencies)


class JudgementTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        self.trial = judgements.start(
            rollout="r", old="v1", new="v2", share=10, now=self.now
        )

    def observe_for(
        self, seconds, new, old, *, share=10, baking=False, route="a"
    ):
        """Observe the same counts each second until the version is bad.

        Return the number of seconds, or None if the version is not bad.
        """
        for second in range(seconds):
            self.now += 1.0
            new_counts = {}
            if new is not None:
                new_counts[("portal", "v2", route)] = new
            if old is not None:
                new_counts[("portal", "v1", route)] = old
            self.trial = judgements.observe(
                self.trial,
                new_counts,
                service="portal",
                share=share,
                baking=baking,
                now=self.now,
            )
            if self.trial.withdraw_reason:
                return second + 1
        return None

    def test_failing_version_is_found_within_few_calls(self):
        """Guards against many calls to a version that always fails."""
        seconds = self.observe_for(30, make_counts(1, 1), make_counts(99))
        self.assertIsNotNone(seconds)
        self.assertLessEqual(seconds, 12)

    def test_general_fault_is_no_evidence(self):
        """Guards against a withdrawal for a fault of a shared dependency."""
        self.observe_for(20, make_counts(5), make_counts(95))
        self.assertIsNone(
            self.observe_for(30, make_counts(5, 4), make_counts(95, 76))
        )
        self.assertIsNone(
            self.observe_for(
                30,
                make_counts(5, bucket=SLOW_BUCKET),
                make_counts(95, bucket=SLOW_BUCKET),
            )
        )

    def test_fault_reported_earlier_for_one_version_is_no_evidence(self):
        """Guards against a withdrawal because reports are a second apart.

        A fault of both versions then appears first in the counts of one.
        """
        self.observe_for(20, make_counts(50), make_counts(50), share=500)
        self.observe_for(2, make_counts(50, 50), make_counts(50), share=500)
        self.assertIsNone(
            self.observe_for(
                20, make_counts(50, 50), make_counts(50, 50), share=500
            )
        )

    def test_failing_old_version_does_not_harm_the_new_one(self):
        """Guards against a hold because of failures of the old version."""
        self.assertIsNone(
            self.observe_for(30, make_counts(5), make_counts(95, 40))
        )
        self.assertEqual("", judgements.judge(self.trial).hold_reason)

    def test_late_fault_after_full_share_is_found(self):
        """Guards against a late fault that is missed after a good history."""
        self.observe_for(120, make_counts(98), make_counts(2), share=980)
        seconds = self.observe_for(
            20,
            make_counts(98, 60),
            make_counts(2),
            share=980,
            baking=True,
        )
        self.assertIsNotNone(seconds)

    def test_small_slowdown_under_full_load_is_no_evidence(self):
        """Guards against a withdrawal because of 49 times as many calls."""
        slower = make_counts(98, bucket=FAST_BUCKET + 1)
        self.observe_for(60, make_counts(98), make_counts(2), share=980)
        self.assertIsNone(
            self.observe_for(
                60, slower, make_counts(2), share=980, baking=True
            )
        )
        self.assertIsNotNone(
            self.observe_for(
                60, make_counts(50, bucket=FAST_BUCKET + 1), make_counts(50)
            )
        )

    def test_route_of_the_new_version_only(self):
        """Guards against a new route whose failures are not tested.

        The old version has no calls on it to compare with.
        """
        self.observe_for(5, make_counts(10), make_counts(90))
        self.assertIsNone(
            self.observe_for(10, make_counts(5), None, route="new")
        )
        for _ in range(30):
            self.observe_for(1, make_counts(10), make_counts(90))
            self.observe_for(1, make_counts(5, 4), None, route="new")
            pooled = {
                ("portal", "v2", "new"): make_counts(5, 4),
                ("portal", "v1", "a"): make_counts(90),
                ("portal", "v2", "a"): make_counts(10),
            }
            self.now += 1.0
            self.trial = judgements.observe(
                self.trial,
                pooled,
                service="portal",
                share=10,
                baking=False,
                now=self.now,
            )
        self.assertIn("route new", self.trial.withdraw_reason)

    def test_route_without_usable_answers_is_in_doubt(self):
        """Guards against a step while only the new version answers 404."""
        self.observe_for(10, make_counts(50), make_counts(50), share=500)
        self.observe_for(10, None, make_counts(50), share=500, route="b")
        self.assertIn("route b", judgements.judge(self.trial).hold_reason)

    def test_few_calls_are_not_enough(self):
        """Guards against a step on too few calls."""
        self.observe_for(19, make_counts(1), make_counts(99))
        self.assertIn(
            "20 are needed", judgements.judge(self.trial).hold_reason
        )
        self.observe_for(1, make_counts(1), make_counts(99))
        self.assertEqual("", judgements.judge(self.trial).hold_reason)
        # The calls are counted from zero in each step.
        self.observe_for(1, make_counts(5), make_counts(95), share=50)
        self.assertIn(
            "20 are needed", judgements.judge(self.trial).hold_reason
        )
