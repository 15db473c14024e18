"""Tests of the verdict on single situations."""

import unittest

from apricotpost.rollout import evidence
from apricotpost.rollout import verdicts

__all__ = ["VerdictTest"]

FAST, SLOW = 3, 9


def make_counts(calls, failures=0, bucket=FAST):
    """Return counts whose successes share one latency bucket."""
    latencies = (0,) * bucket + (calls - failures,)
    return evidence.Counts(calls=calls, failures=failures, latencies=latencies)


class VerdictTest(unittest.TestCase):
    def setUp(self):
        self.now = 1000.0
        self.trial = verdicts.start(
            rollout="r", old="v1", new="v2", share=10, now=self.now
        )

    def feed(self, seconds, new, old, *, share=10, baking=False, route="a"):
        """Feed the same counts each second until a verdict."""
        for second in range(seconds):
            self.now += 1.0
            found = {}
            if new is not None:
                found[("portal", "v2", route)] = new
            if old is not None:
                found[("portal", "v1", route)] = old
            self.trial = verdicts.observe(
                self.trial,
                found,
                service="portal",
                share=share,
                baking=baking,
                now=self.now,
            )
            if self.trial.bad:
                return second + 1
        return None

    def test_failing_version_is_found_within_few_calls(self):
        """Guards against many calls to a version that always fails."""
        seconds = self.feed(30, make_counts(1, 1), make_counts(99))
        self.assertIsNotNone(seconds)
        self.assertLessEqual(seconds, 12)

    def test_general_fault_is_no_evidence(self):
        """Guards against a withdrawal for a failing dependency."""
        self.feed(20, make_counts(5), make_counts(95))
        self.assertIsNone(
            self.feed(30, make_counts(5, 4), make_counts(95, 76))
        )
        self.assertIsNone(
            self.feed(
                30, make_counts(5, bucket=SLOW), make_counts(95, bucket=SLOW)
            )
        )

    def test_onset_that_reaches_one_report_earlier_is_no_evidence(self):
        """Guards against a verdict on reports that are a second apart."""
        self.feed(20, make_counts(50), make_counts(50), share=500)
        self.feed(2, make_counts(50, 50), make_counts(50), share=500)
        self.assertIsNone(
            self.feed(20, make_counts(50, 50), make_counts(50, 50), share=500)
        )

    def test_failing_old_version_does_not_harm_the_new_one(self):
        """Guards against a good version kept back by a bad old one."""
        self.assertIsNone(self.feed(30, make_counts(5), make_counts(95, 40)))
        self.assertEqual("", verdicts.judge(self.trial).doubt)

    def test_late_fault_after_full_share_is_found(self):
        """Guards against good history that outweighs a late fault."""
        self.feed(120, make_counts(98), make_counts(2), share=980)
        seconds = self.feed(
            20,
            make_counts(98, 60),
            make_counts(2),
            share=980,
            baking=True,
        )
        self.assertIsNotNone(seconds)

    def test_route_of_the_new_version_only(self):
        """Guards against a new route that fails without comparison."""
        self.feed(5, make_counts(10), make_counts(90))
        self.assertIsNone(self.feed(10, make_counts(5), None, route="new"))
        for _ in range(30):
            self.feed(1, make_counts(10), make_counts(90))
            self.feed(1, make_counts(5, 4), None, route="new")
            pooled = {
                ("portal", "v2", "new"): make_counts(5, 4),
                ("portal", "v1", "a"): make_counts(90),
                ("portal", "v2", "a"): make_counts(10),
            }
            self.now += 1.0
            self.trial = verdicts.observe(
                self.trial,
                pooled,
                service="portal",
                share=10,
                baking=False,
                now=self.now,
            )
        self.assertIn("route new", self.trial.bad)

    def test_route_without_usable_answers_is_in_doubt(self):
        """Guards against a step while a route answers 404 in v2 only."""
        self.feed(10, make_counts(50), make_counts(50), share=500)
        self.feed(10, None, make_counts(50), share=500, route="b")
        self.assertIn("route b", verdicts.judge(self.trial).doubt)

    def test_few_calls_are_not_enough(self):
        """Guards against a step forward on almost no evidence."""
        self.feed(19, make_counts(1), make_counts(99))
        self.assertIn("20 are needed", verdicts.judge(self.trial).doubt)
        self.feed(1, make_counts(1), make_counts(99))
        self.assertEqual("", verdicts.judge(self.trial).doubt)
        # A new step needs new calls.
        self.feed(1, make_counts(5), make_counts(95), share=50)
        self.assertIn("20 are needed", verdicts.judge(self.trial).doubt)
