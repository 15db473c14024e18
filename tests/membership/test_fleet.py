"""Tests of the nodes' states and of the choice of readers."""

import unittest

from apricotpost.membership import fleet
from tests.sidecar import builders

__all__ = ["FleetTest"]


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(node="b", data_centre="dc-a")

    def learn(self, *, now=0.0, **changes):
        return fleet.learn(self.fleet, builders.make_state(**changes), now)

    def test_older_states_change_nothing(self):
        """Guards against states that overtake each other."""
        self.assertTrue(self.learn(node="a", boot=2, sequence=5))
        self.assertFalse(self.learn(node="a", boot=2, sequence=4, orders=9))
        self.assertFalse(self.learn(node="a", boot=1, sequence=99, orders=9))
        self.assertEqual(0, fleet.newest_orders(self.fleet))
        self.assertTrue(self.learn(node="a", boot=3, sequence=1))

    def test_first_node_of_the_data_centre_reads(self):
        """Guards against many readers, and against none."""
        self.learn(node="c")
        self.learn(node="a", data_centre="dc-b")
        self.assertTrue(fleet.is_reader(self.fleet, 0, reaches_store=True))
        self.learn(node="a2", data_centre="dc-a")
        self.assertFalse(fleet.is_reader(self.fleet, 0, reaches_store=True))

    def test_next_node_reads_if_the_first_cannot(self):
        """Guards against a data centre whose reader is cut or gone."""
        for change in (
            {"store": False},
            {"leaving": True},
        ):
            self.learn(node="a", boot=5, sequence=1)
            self.learn(node="a", boot=5, sequence=2, **change)
            reads = fleet.is_reader(self.fleet, 0.1, reaches_store=True)
            self.assertTrue(reads, change)
            self.fleet.nodes.clear()
        self.learn(node="a")
        later = fleet.SILENT_SECONDS + 0.1
        self.assertTrue(fleet.is_reader(self.fleet, later, reaches_store=True))
        self.assertFalse(
            fleet.is_reader(self.fleet, later, reaches_store=False)
        )
