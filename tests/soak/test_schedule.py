"""Tests of the random schedule of faults."""

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
        """Guards against kinds that are never drawn or have no injector."""
        drawn = {f.kind for seed in range(40) for f in self.draw(seed)}
        self.assertEqual(set(schedule.Kind), drawn)
        self.assertEqual(set(schedule.Kind), set(faults.INJECTORS))

    def test_faults_overlap_and_leave_time_to_recover(self):
        """Guards against schedules without overlaps or time to recover."""
        overlaps = 0
        for seed in range(20):
            drawn = self.draw(seed)
            for previous, following in zip(drawn, drawn[1:], strict=False):
                overlaps += (
                    following.starts_at
                    < previous.starts_at + previous.duration_seconds
                )
            end = max(
                fault.starts_at + fault.duration_seconds for fault in drawn
            )
            self.assertLessEqual(end, 40.0 - schedule.RECOVERY_SECONDS)
        self.assertGreater(overlaps, 20)

    def test_nodes_are_within_the_fleet(self):
        """Guards against faults of nodes that do not exist."""
        for seed in range(20):
            for fault in self.draw(seed):
                affects_node = fault.kind in schedule.NODE_KINDS
                self.assertEqual(affects_node, 0 <= fault.node < 6)
