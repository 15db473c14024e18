"""Tests of the choice of judges and of the reports to them."""

import dataclasses
import unittest

import hypothesis
from hypothesis import strategies

from apricotpost import model
from apricotpost.rollout import evidence
from apricotpost.rollout import judges
from apricotpost.rollout import monitor
from tests.rollout import test_monitor

__all__ = ["JudgesTest", "ReportsTest", "TakeoverTest"]

NAMES = tuple(f"p{number}" for number in range(15))
ROUTES = ("records", "search", "export")


def make_counts(calls, instance="p0"):
    """Return a gate's counts for the given number of calls of each route."""
    return tuple(
        model.Evidence(
            instance=instance,
            service="portal",
            version="v2",
            route=route,
            epoch=1,
            calls=number,
            failures=0,
            latency_counts=(number,),
        )
        for route, number in zip(ROUTES, calls, strict=False)
    )


class JudgesTest(unittest.TestCase):
    def test_suspect_judge_is_replaced_by_the_next(self):
        """Guards against evidence that is sent to nodes that cannot judge.

        These are nodes of other services and nodes that are not up.
        """
        records = [test_monitor.make_instance(name) for name in NAMES]
        records.append(test_monitor.make_instance("f", service="fieldbook"))
        first = judges.find_judges("portal", records)
        self.assertEqual(judges.JUDGE_COUNT, len(first))
        self.assertNotIn("f", [entry.instance for entry in first])
        dead = dataclasses.replace(first[0], state=model.InstanceState.SUSPECT)
        changed = [dead if entry == first[0] else entry for entry in records]
        next_judges = judges.find_judges("portal", reversed(changed))
        self.assertEqual(first[1:], next_judges[:2])
        self.assertNotIn(next_judges[2], first)

    def test_holder_is_the_first_judge(self):
        """Guards against a holder that does not receive the evidence."""
        for size in range(1, 8):
            instances = tuple(
                test_monitor.make_instance(name) for name in NAMES[:size]
            )
            view = dataclasses.replace(
                test_monitor.make_view(), instances=instances
            )
            holders = [
                name
                for name in NAMES[:size]
                if test_monitor.observe(view, name).is_holder_candidate
            ]
            first = judges.find_judges("portal", instances)[0]
            self.assertEqual([first.instance], holders)


class ReportsTest(unittest.TestCase):
    def setUp(self):
        self.state = judges.SentReports()

    def plan(self, calls, now, names=("x",)):
        """Return, by judge, whether its report is full and its routes."""
        self.state, reports = judges.plan_reports(
            self.state, make_counts(calls), names, now
        )
        return {
            report.judge: (
                report.is_full,
                [entry.route for entry in report.evidence],
            )
            for report in reports
        }

    def test_reports_between_full_ones_have_only_changed_routes(self):
        """Guards against traffic for counts that the judge already has."""
        full = {"x": (True, list(ROUTES))}
        self.assertEqual(full, self.plan((1, 1, 1), 0.0))
        changed = {"x": (False, ["search"])}
        self.assertEqual(changed, self.plan((1, 2, 1), 1.0))
        self.assertEqual({}, self.plan((1, 2, 1), 2.0))
        self.assertEqual({}, self.plan((1, 2, 1), 4.9))
        self.assertEqual(full, self.plan((1, 2, 1), 5.0))
        self.assertEqual({}, self.plan((1, 2, 1), 6.0))

    def test_new_judge_gets_a_full_report(self):
        """Guards against a new judge without a baseline.

        It must count only the increase since its first full report.
        """
        self.plan((1, 1, 1), 0.0)
        full = (True, list(ROUTES))
        self.assertEqual(
            {"x": (False, ["search"]), "y": full},
            self.plan((1, 2, 1), 1.0, ("x", "y")),
        )
        self.plan((1, 2, 1), 2.0, ("x",))
        self.assertEqual({"y": full}, self.plan((1, 2, 1), 3.0, ("x", "y")))


class TakeoverTest(unittest.TestCase):
    def receive(self, state, calls, now, *, full=True):
        """Return the state after a report, and its new calls by route."""
        counts = [entry for entry in make_counts(calls) if entry.calls]
        state = monitor.receive(state, counts, full=full, now=now)
        store, new_counts = evidence.take_undrained(state.evidence_store)
        new_calls = {key[2]: entry.calls for key, entry in new_counts.items()}
        return dataclasses.replace(state, evidence_store=store), new_calls

    def test_new_judge_counts_from_its_first_full_report(self):
        """Guards against calls from before the takeover that count as new.

        A partial report sets no baseline; after the first full one, new
        calls must count.
        """
        state, new_calls = self.receive(
            monitor.RolloutMonitor(), (0, 900, 0), 100.0, full=False
        )
        self.assertEqual({}, new_calls)
        state, new_calls = self.receive(state, (700, 901, 0), 101.0)
        self.assertEqual({}, new_calls)
        state, new_calls = self.receive(state, (0, 904, 1), 102.0, full=False)
        self.assertEqual({"search": 3, "export": 1}, new_calls)

    def test_returning_judge_starts_from_a_new_baseline(self):
        """Guards against calls of a gap that all count as one second's."""
        state, _ = self.receive(monitor.RolloutMonitor(), (10, 10, 10), 100.0)
        state, new_calls = self.receive(state, (11, 0, 0), 115.0, full=False)
        self.assertEqual({"records": 1}, new_calls)
        state, new_calls = self.receive(state, (50, 0, 0), 131.0, full=False)
        self.assertEqual({}, new_calls)
        state, new_calls = self.receive(state, (60, 60, 60), 132.0)
        self.assertEqual({}, new_calls)
        _, new_calls = self.receive(state, (0, 61, 0), 133.0, full=False)
        self.assertEqual({"search": 1}, new_calls)

    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=100, database=None
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ROUTES), strategies.booleans()
            ),
            max_size=30,
        )
    )
    def test_lost_reports_neither_lose_nor_repeat_calls(self, seconds):
        """Guards against counts that stay wrong after a lost report."""
        sent, state = judges.SentReports(), monitor.RolloutMonitor()
        calls, now = [5, 5, 5], 0.0
        # The first and the last reports arrive, and no gap between arriving
        # reports reaches the limit for a new baseline.
        plan = [("search", True), *seconds]
        plan.extend([("search", True)] * 6)
        received_at = now
        for route, arrives in plan:
            calls[ROUTES.index(route)] += 1
            sent, reports = judges.plan_reports(
                sent, make_counts(calls), ("x",), now
            )
            for report in reports:
                if arrives or now - received_at >= 14.0:
                    received_at = now
                    state = monitor.receive(
                        state, report.evidence, full=report.is_full, now=now
                    )
            now += 1.0
        _, new_calls = evidence.take_undrained(state.evidence_store)
        call_count = sum(entry.calls for entry in new_calls.values())
        # The call of the first second is part of the baseline.
        self.assertEqual(len(plan) - 1, call_count)
