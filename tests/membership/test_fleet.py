"""Tests of the known nodes' states and of the selection of readers."""

import unittest

from apricotpost.membership import fleet
from tests.sidecar import builders

__all__ = ["FleetTest"]


class FleetTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(node="b", data_centre="dc-a")

    def record(self, *, now=0.0, **changes):
        return fleet.record_state(
            self.fleet, builders.make_state(**changes), now
        )

    def test_older_states_change_nothing(self):
        """Guards against an older state that arrives after a newer one."""
        self.assertTrue(self.record(node="a", boot=2, sequence=5))
        self.assertFalse(
            self.record(node="a", boot=2, sequence=4, orders_revision=9)
        )
        self.assertFalse(
            self.record(node="a", boot=1, sequence=99, orders_revision=9)
        )
        self.assertEqual(0, fleet.newest_orders(self.fleet))
        self.assertTrue(self.record(node="a", boot=3, sequence=1))

    def test_new_address_of_a_silent_node_keeps_its_sequence(self):
        """Guards against a late state that overwrites a new address."""
        self.record(node="a", boot=2, sequence=5)
        fleet.set_address(self.fleet, "a", "127.0.0.1:9")
        self.assertEqual("127.0.0.1:9", self.fleet.nodes["a"].state.address)
        self.assertFalse(self.record(node="a", boot=2, sequence=4))

    def test_data_centre_is_silent_without_a_live_node(self):
        """Guards against reads of the store for nodes that are alive.

        Nodes of a data centre are read from the store if none of them is live.
        """
        self.record(node="a", data_centre="dc-b")
        names = ("dc-a", "dc-b", "dc-c")

        def silent(now):
            return fleet.silent_data_centres(
                self.fleet, now, names, within=10.0
            )

        self.assertEqual(("dc-c",), silent(9.0))
        self.assertEqual(("dc-b", "dc-c"), silent(11.0))

    def test_first_node_of_the_data_centre_reads(self):
        """Guards against a data centre with several readers or none."""
        self.record(node="c")
        self.record(node="a", data_centre="dc-b")
        self.assertTrue(fleet.is_reader(self.fleet, 0, reaches_store=True))
        self.record(node="a2", data_centre="dc-a")
        self.assertFalse(fleet.is_reader(self.fleet, 0, reaches_store=True))

    def test_next_node_reads_if_the_first_cannot(self):
        """Guards against a data centre without a working reader.

        The first node does not reach the store, is leaving or is silent.
        """
        for change in (
            {"store_reachable": False},
            {"leaving": True},
        ):
            self.record(node="a", boot=5, sequence=1)
            self.record(node="a", boot=5, sequence=2, **change)
            reads = fleet.is_reader(self.fleet, 0.1, reaches_store=True)
            self.assertTrue(reads, change)
            self.fleet.nodes.clear()
        self.record(node="a")
        later = fleet.SILENT_SECONDS + 0.1
        self.assertTrue(fleet.is_reader(self.fleet, later, reaches_store=True))
        self.assertFalse(
            fleet.is_reader(self.fleet, later, reaches_store=False)
        )

    def test_two_nodes_probe_a_lost_store(self):
        """Guards against store calls by the whole fleet after an outage.

        In an outage of 8 s no node had a preceding node that reached the
        store, so each of them called the store every second.
        """
        self.record(node="a1", store_reachable=False)
        self.assertEqual(0.0, fleet.probe_interval_seconds(self.fleet, 0.0))
        self.record(node="c", store_reachable=False)
        self.record(node="a9", data_centre="dc-b", store_reachable=False)
        self.assertEqual(0.0, fleet.probe_interval_seconds(self.fleet, 0.0))
        self.record(node="a2", store_reachable=False)
        slow = fleet.SLOW_PROBE_SECONDS
        self.assertEqual(slow, fleet.probe_interval_seconds(self.fleet, 0.0))
        # The two preceding nodes are silent now.
        later = fleet.SILENT_SECONDS + 0.1
        self.assertEqual(0.0, fleet.probe_interval_seconds(self.fleet, later))

    def test_node_probes_slowly_if_a_neighbour_reaches_the_store(self):
        """Guards against unnecessary calls of the store, which are charged."""
        self.record(node="c", store_reachable=True)
        slow = fleet.SLOW_PROBE_SECONDS
        self.assertEqual(slow, fleet.probe_interval_seconds(self.fleet, 0.0))
        self.record(node="c", sequence=2, store_reachable=True, leaving=True)
        self.assertEqual(0.0, fleet.probe_interval_seconds(self.fleet, 0.0))
