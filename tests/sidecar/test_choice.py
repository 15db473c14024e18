"""Tests of what the choice of a backend server learns."""

import random
import types
import unittest

from apricotpost.membership import fleet
from apricotpost.rollout import trials
from apricotpost.sidecar import choice
from apricotpost.sidecar import flights
from apricotpost.sidecar import roster
from apricotpost.sidecar import tallies
from apricotpost.sidecar import views

__all__ = ["ChoiceTest", "TalliesTest"]


def make_view(phase):
    trial = trials.Trial(
        service="portal",
        old="v1",
        new="v2",
        order=3,
        started=0.0,
        seconds=12.0,
        phase=phase,
    )
    return views.with_trial(views.EMPTY, trial)


class ChoiceTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.view = views.EMPTY
        self.choice = choice.Choice(
            read_view=lambda: self.view,
            servers=roster.Roster(
                known=fleet.Fleet(node="n0", data_centre="dc-a"),
                regions={},
                is_connected=lambda name: True,
            ),
            on_service=lambda: None,
            draws=random.Random(1),
        )

    async def test_no_hedges_while_a_version_is_judged(self):
        """Guards against a slow version whose slow requests never end.

        A hedge gives a request up at 2.5 times the usual time, and 3 times
        count as slow.
        """
        self.assertTrue(self.choice.may_hedge("portal"))
        for phase in trials.Phase:
            self.view = make_view(phase)
            allowed = self.choice.may_hedge("portal")
            self.assertEqual(phase in trials.FINAL, allowed, phase)
            self.assertTrue(self.choice.may_hedge("fieldbook"))

    async def test_given_up_server_becomes_slow(self):
        """Guards against a hung server that keeps its good name."""
        self.choice.speeds.routes["r"] = 10.0
        flight = types.SimpleNamespace(route=types.SimpleNamespace(name="r"))
        attempt = flights.Attempt(
            node="n1", backend="b1", sent=self.choice.loop.time() - 1.0
        )
        for _ in range(5):
            self.choice.learn_given_up(flight, attempt)
        self.assertGreater(self.choice.speeds.copy("b1").speed, 2.0)

    async def test_turns_spread_evenly(self):
        """Guards against a share of a new version that comes in clumps."""
        turns = [self.choice.take_turn("portal") for _ in range(100)]
        for start in range(0, 100, 25):
            low = sum(turn < 0.2 for turn in turns[start : start + 25])
            self.assertIn(low, (4, 5, 6))


class TalliesTest(unittest.TestCase):
    def test_evidence_is_told_during_a_trial_only(self):
        """Guards against bytes that nobody needs, and lost evidence."""
        view = views.EMPTY
        found = tallies.Tallies(read_view=lambda: view)
        found.count("r", failed=True, ran_ms=5.0)
        found.count("r", failed=False, ran_ms=5.0)
        self.assertEqual((), found.describe("portal"))
        view = make_view(trials.Phase.MOVING)
        (counts,) = found.describe("portal")
        self.assertEqual((2, 1), (counts.calls, counts.failures))
        self.assertEqual(1, sum(counts.latencies))
        self.assertTrue(found.is_loaded_trial("portal"))
        found.reset()
        self.assertEqual((), found.describe("portal"))
