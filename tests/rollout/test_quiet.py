"""Tests of rollouts of services with few calls."""

import unittest

from apricotpost import model
from apricotpost.rollout import judgements
from apricotpost.rollout import steps

__all__ = ["QuietServiceTest"]

SERVER_COUNTS = steps.ServerCounts(
    old_servers=4, new_servers=4, old_slots=48, new_slots=48
)


class QuietServiceTest(unittest.TestCase):
    def decide(self, *, calls_per_second, seconds_left):
        rollout = model.Rollout(
            identifier="r",
            service="portal",
            old="v1",
            new="v2",
            state=model.RolloutState.RUNNING,
            share=0,
            started_at=0.0,
            finish_by=seconds_left,
            changed_at=0.0,
        )
        judgement = judgements.Judgement(calls_per_second=calls_per_second)
        return steps.decide(
            rollout, judgement, SERVER_COUNTS, 0.0, steps.Times()
        )

    def test_quiet_service_starts_with_a_larger_share(self):
        """Guards against a first share of 1 % that never gives 20 calls."""
        decision = self.decide(calls_per_second=30.0, seconds_left=300.0)
        self.assertEqual(steps.Advance(share=50), decision)

    def test_busy_service_starts_with_the_smallest_share(self):
        """Guards against more calls to a bad version than its test needs."""
        decision = self.decide(calls_per_second=1000.0, seconds_left=300.0)
        self.assertEqual(steps.Advance(share=10), decision)
