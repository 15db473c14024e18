"""Tests of counting calls and of merging counts."""

import unittest

import hypothesis
from hypothesis import strategies

from apricotpost import model
from apricotpost.rollout import evidence

__all__ = ["ClassifyTest", "ReceiveTest"]

KEY = ("portal", "v2", "search")


def make_report(calls, epoch=1, failures=0, instance="i1"):
    """Return a report of cumulative counts."""
    return (
        model.Evidence(
            instance=instance,
            service="portal",
            version="v2",
            route="search",
            epoch=epoch,
            calls=calls,
            failures=failures,
            latency_counts=(0, calls - failures),
        ),
    )


class ClassifyTest(unittest.TestCase):
    def check(self, kind, **fields):
        finished = evidence.FinishedCall(**fields)
        self.assertIs(kind, evidence.classify(finished))

    def test_caller_faults_and_shedding_count_as_neither(self):
        """Guards against a good version that is judged by its callers or load.

        A 4xx, load shedding, and a time-out after a short granted time are
        not failures of the version.
        """
        neither = evidence.CallOutcome.NEITHER
        self.check(neither, answered=True, status=404)
        self.check(neither, answered=True, status=503)
        self.check(
            neither, answered=True, status=503, is_only_call=True, cold=True
        )
        self.check(neither, answered=False, expired=True)
        self.check(neither, answered=False, timed_out=True, granted_ratio=0.1)

    def test_failures_of_the_version_count(self):
        """Guards against failures of a bad version that are not counted."""
        failure = evidence.CallOutcome.FAILURE
        self.check(failure, answered=True, status=500)
        self.check(failure, answered=True, status=503, is_only_call=True)
        self.check(failure, answered=False)
        self.check(failure, answered=False, timed_out=True)

    def test_cold_header_hides_limited_number_of_latencies(self):
        """Guards against a slow version that always reports that it is cold.

        The latencies of its calls would never be tested.
        """
        outcomes = evidence.OutcomeCounts()
        finished = evidence.FinishedCall(
            answered=True, status=200, cold=True, duration_ms=50.0
        )
        for _ in range(evidence.MAX_COLD_CALLS + 3):
            outcomes = evidence.record_call(outcomes, KEY, finished)
        self.assertEqual(3, sum(outcomes.counts[KEY].latencies))


class ReceiveTest(unittest.TestCase):
    def test_restart_counts_from_zero(self):
        """Guards against negative increases after the restart of a node."""
        store = evidence.EvidenceStore()
        for report in (
            make_report(100),
            make_report(110, failures=1),
            make_report(5, epoch=2),
        ):
            store = evidence.receive(store, report)
        self.assertEqual(15, store.undrained[KEY].calls)
        self.assertEqual(1, store.undrained[KEY].failures)

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(
        strategies.lists(strategies.integers(1, 30), min_size=1),
        strategies.randoms(use_true_random=False),
    )
    def test_repeated_and_late_reports_change_nothing(self, increments, rng):
        """Guards against calls that repeated or late reports count twice."""
        totals = [7]
        for increment in increments:
            totals.append(totals[-1] + increment)
        reports = [make_report(total) for total in totals]
        disturbed = [reports[0]]
        for index, report in enumerate(reports):
            disturbed.append(report)
            disturbed.append(reports[rng.randrange(index + 1)])
        store = evidence.EvidenceStore()
        counted = 0
        for report in disturbed:
            store = evidence.receive(store, report)
            if rng.random() < 0.5:
                store, new_counts = evidence.take_undrained(store)
                counted += sum(counts.calls for counts in new_counts.values())
        counted += sum(counts.calls for counts in store.undrained.values())
        self.assertEqual(sum(increments), counted)
