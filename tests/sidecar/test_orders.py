"""Tests of the task that keeps the operators' orders in force."""

import asyncio
import random
import types
import unittest

from apricotpost.membership import fleet
from apricotpost import platform
from apricotpost.sidecar import orders
from apricotpost.sidecar import registrations
from tests.sidecar import builders

__all__ = ["ReaderTest"]


class CountingStore:
    """Store without orders that counts watches and records reads."""

    def __init__(self):
        self.watches = 0
        self.reads = []

    async def write(self, change):
        return 1

    async def read(self, table):
        self.reads.append(table)
        return platform.Page(rows=(), revision=1)

    async def watch(self, table, after, seconds):
        self.watches += 1
        await asyncio.sleep(seconds)
        return platform.Page(rows=(), revision=after)


class ReaderTest(unittest.IsolatedAsyncioTestCase):
    def make(self):
        self.store = CountingStore()
        self.members = fleet.Fleet(node="n2", data_centre="dc-a")
        peers = types.SimpleNamespace(
            orders_revision=0,
            reaches_store=True,
            update_connections=lambda: None,
            schedule_publish=lambda: None,
        )
        addresses = types.SimpleNamespace(peer_address=lambda: "127.0.0.1:1")
        return orders.Orders(
            settings=types.SimpleNamespace(
                instance="n2",
                data_centre="dc-a",
                data_centres={"dc-a": "west", "dc-b": "west"},
                addresses=addresses,
                first_start=True,
            ),
            store=self.store,
            members=self.members,
            peers=peers,
            on_view=lambda before, after: None,
            rng=random.Random(1),
        )

    def record_state(self, node, data_centre="dc-a", boot=1):
        state = builders.make_state(
            node=node,
            data_centre=data_centre,
            boot=boot,
            store_reachable=bool(boot),
        )
        fleet.record_state(
            self.members, state, asyncio.get_running_loop().time()
        )

    async def run_for(self, task, seconds):
        running = asyncio.ensure_future(task.run())
        await asyncio.sleep(seconds)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_started_node_awaits_peer_states_before_it_watches(self):
        """Guards against a billed store call of each node that starts.

        80 nodes started at once, and each watched the store until it had
        received the states of the others.
        """
        task = self.make()
        self.record_state("n1", boot=0)
        loop = asyncio.get_running_loop()
        loop.call_later(orders.DISCOVERY_SECONDS / 2, self.record_state, "n1")
        await self.run_for(task, orders.DISCOVERY_SECONDS + 0.3)
        self.assertEqual(0, self.store.watches)

    async def test_node_without_neighbours_watches_at_once(self):
        """Guards against late orders where a node has no neighbours."""
        task = self.make()
        self.record_state("n1", data_centre="dc-b")
        await self.run_for(task, 0.2)
        self.assertEqual(1, self.store.watches)

    async def test_node_without_peer_states_watches(self):
        """Guards against a data centre without a reader."""
        task = self.make()
        self.record_state("n1", boot=0)
        await self.run_for(task, orders.DISCOVERY_SECONDS + 0.2)
        self.assertEqual(1, self.store.watches)

    async def test_relay_reads_the_nodes_of_a_silent_data_centre(self):
        """Guards against data centres that stay disconnected.

        Two regions are cut off from each other for an hour, and all nodes of
        the other one have been replaced by then.
        """
        task = self.make()
        await task.registry.read()

        def should_read(now):
            return task.registry.should_read(
                now, reaches_store=task.store_lost_at is None
            )

        now = asyncio.get_running_loop().time()
        self.assertFalse(should_read(now))
        later = now + registrations.REREAD_SECONDS
        own = builders.make_state(node="n2", data_centre="dc-a")
        fleet.record_state(self.members, own, later)
        self.assertTrue(should_read(later))
        other = builders.make_state(node="n9", data_centre="dc-b")
        fleet.record_state(self.members, other, later)
        self.assertFalse(should_read(later))
        silent = later + registrations.LONG_SILENT_SECONDS + 0.1
        fleet.record_contact(self.members, "n2", silent)
        self.assertTrue(should_read(silent))
        task.store_lost_at = later
        self.assertFalse(should_read(silent))
