"""Tests of the task that keeps the operators' orders in force."""

import asyncio
import random
import types
import unittest

from apricotpost.membership import fleet
from apricotpost import platform
from apricotpost.sidecar import orders
from tests.sidecar import builders

__all__ = ["ReaderTest"]


class CountingStore:
    """Store without orders that counts the watches."""

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
        self.known = fleet.Fleet(node="n2", data_centre="dc-a")
        peers = types.SimpleNamespace(
            orders=0,
            reaches_store=True,
            update_contacts=lambda: None,
            schedule_publish=lambda: None,
        )
        addresses = types.SimpleNamespace(for_peers=lambda: "127.0.0.1:1")
        return orders.Orders(
            settings=types.SimpleNamespace(
                instance="n2",
                data_centre="dc-a",
                data_centres={"dc-a": "west", "dc-b": "west"},
                addresses=addresses,
            ),
            store=self.store,
            known=self.known,
            peers=peers,
            on_view=lambda before, after: None,
            rng=random.Random(1),
        )

    def hear(self, node, data_centre="dc-a", boot=1):
        state = builders.make_state(
            node=node, data_centre=data_centre, boot=boot, store=bool(boot)
        )
        fleet.record_state(
            self.known, state, asyncio.get_running_loop().time()
        )

    async def run_for(self, task, seconds):
        running = asyncio.ensure_future(task.run())
        await asyncio.sleep(seconds)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    async def test_started_node_listens_before_it_watches_the_store(self):
        """Guards against a paid call of each node that starts.

        Load: 80 nodes start at once, and each one watched the store until
        it had heard the others.
        """
        task = self.make()
        self.hear("n1", boot=0)
        loop = asyncio.get_running_loop()
        loop.call_later(orders.SETTLE_SECONDS / 2, self.hear, "n1")
        await self.run_for(task, orders.SETTLE_SECONDS + 0.3)
        self.assertEqual(0, self.store.watches)

    async def test_lone_node_watches_at_once(self):
        """Guards against late orders where a node has no neighbours."""
        task = self.make()
        self.hear("n1", data_centre="dc-b")
        await self.run_for(task, 0.2)
        self.assertEqual(1, self.store.watches)

    async def test_node_that_hears_nobody_watches(self):
        """Guards against a data centre without a reader."""
        task = self.make()
        self.hear("n1", boot=0)
        await self.run_for(task, orders.SETTLE_SECONDS + 0.2)
        self.assertEqual(1, self.store.watches)

    async def test_relay_looks_for_the_nodes_of_a_silent_data_centre(self):
        """Guards against data centres that never meet again.

        Fault: two regions are cut from each other for an hour, and all nodes
        of the other one have been replaced by then.
        """
        task = self.make()
        await task.read_nodes()
        now = asyncio.get_running_loop().time()
        self.assertFalse(task.misses_data_centre(now))
        later = now + orders.REREAD_SECONDS
        own = builders.make_state(node="n2", data_centre="dc-a")
        fleet.record_state(self.known, own, later)
        self.assertTrue(task.misses_data_centre(later))
        other = builders.make_state(node="n9", data_centre="dc-b")
        fleet.record_state(self.known, other, later)
        self.assertFalse(task.misses_data_centre(later))
        silent = later + orders.LONG_SILENT_SECONDS + 0.1
        fleet.record_contact(self.known, "n2", silent)
        self.assertTrue(task.misses_data_centre(silent))
        task.lost_at = later
        self.assertFalse(task.misses_data_centre(silent))
