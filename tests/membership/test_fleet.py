"""Tests of the nodes' states and of the choice of readers."""

import unittest

from apricotpost.membership import fleet
from tests.sidecar import builders

__all__ = ["FleetTest"]


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(node="b", data_centre="dc-a")

    def learn(self, *, now=0.0, **changes):
        return fleet.record_state(
            self.fleet, builders.make_state(**changes), now
        )

    def test_older_states_change_nothing(self):
        """Guards against states that overtake each other."""
        self.assertTrue(self.learn(node="a", boot=2, sequence=5))
        self.assertFalse(self.learn(node="a", boot=2, sequence=4, orders=9))
        self.assertFalse(self.learn(node="a", boot=1, sequence=99, orders=9))
        self.assertEqual(0, fleet.newest_orders(self.fleet))
        self.assertTrue(self.learn(node="a", boot=3, sequence=1))

    def test_silent_node_is_moved_and_keeps_its_order(self):
        """Guards against an old state that is taken for a new one."""
        self.learn(node="a", boot=2, sequence=5)
        fleet.set_address(self.fleet, "a", "127.0.0.1:9")
        self.assertEqual("127.0.0.1:9", self.fleet.nodes["a"].state.address)
        self.assertFalse(self.learn(node="a", boot=2, sequence=4))

    def test_data_centre_is_silent_without_a_live_node(self):
        """Guards against a search for nodes that are heard."""
        self.learn(node="a", data_centre="dc-b")
        names = ("dc-a", "dc-b", "dc-c")

        def silent(now):
            return fleet.silent_data_centres(
                self.fleet, now, names, within=10.0
            )

        self.assertEqual(("dc-c",), silent(9.0))
        self.assertEqual(("dc-b", "dc-c"), silent(11.0))

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

    def test_two_nodes_probe_a_lost_store(self):
        """Guards against a fleet that calls a store that has just returned.

        Every node of an 8 s outage called it each second, since no node with
        a lower name reached it.
        """
        self.learn(node="a1", store=False)
        self.assertEqual(0.0, fleet.probe_seconds(self.fleet, 0.0))
        self.learn(node="c", store=False)
        self.learn(node="a9", data_centre="dc-b", store=False)
        self.assertEqual(0.0, fleet.probe_seconds(self.fleet, 0.0))
        self.learn(node="a2", store=False)
        slow = fleet.SLOW_PROBE_SECONDS
        self.assertEqual(slow, fleet.probe_seconds(self.fleet, 0.0))
        # The two have gone silent.
        later = fleet.SILENT_SECONDS + 0.1
        self.assertEqual(0.0, fleet.probe_seconds(self.fleet, later))

    def test_neighbour_that_reaches_the_store_is_enough(self):
        """Guards against priced calls that tell nothing new."""
        self.learn(node="c", store=True)
        slow = fleet.SLOW_PROBE_SECONDS
        self.assertEqual(slow, fleet.probe_seconds(self.fleet, 0.0))
        self.learn(node="c", sequence=2, store=True, leaving=True)
        self.assertEqual(0.0, fleet.probe_seconds(self.fleet, 0.0))
