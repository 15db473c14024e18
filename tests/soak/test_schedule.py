"""Tests of the drawn faults."""

import unittest

from soak import faults
from soak import schedule

__all__ = ["ScheduleTest"]


class ScheduleTest(unittest.TestCase):
    def draw(self, seed, seconds=40.0):
        return schedule.draw(seed=seed, seconds=seconds, nodes=6)

    def test_seed_gives_the_same_faults(self):
        """Guards against a failed seed that cannot be run again."""
        self.assertEqual(self.draw(4), self.draw(4))
        self.assertNotEqual(self.draw(4), self.draw(5))

    def test_every_kind_is_drawn_and_can_be_injected(self):
        """Guards against kinds that never come."""
        drawn = {f.kind for seed in range(40) for f in self.draw(seed)}
        self.assertEqual(set(schedule.Kind), drawn)
        self.assertEqual(set(schedule.Kind), set(faults.ACTIONS))

    def test_faults_overlap_and_leave_time_to_recover(self):
        """Guards against faults that come one by one only."""
        overlaps = 0
        for seed in range(20):
            drawn = self.draw(seed)
            for before, after in zip(drawn, drawn[1:], strict=False):
                overlaps += after.at < before.at + before.seconds
            end = max(fault.at + fault.seconds for fault in drawn)
            self.assertLessEqual(end, 40.0 - schedule.RECOVERY_SECONDS)
        self.assertGreater(overlaps, 20)

    def test_nodes_are_within_the_fleet(self):
        """Guards against faults that concern nobody."""
        for seed in range(20):
            for fault in self.draw(seed):
                of_node = fault.kind in schedule.OF_NODES
                self.assertEqual(of_node, 0 <= fault.node < 6)
