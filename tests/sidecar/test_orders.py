"""Tests of the task that keeps the operators' orders in force."""

import asyncio
import random
import types
import unittest

from apricotpost.distribution import patches
from apricotpost import errors
from apricotpost.membership import fleet
from apricotpost import platform
from apricotpost import revisions
from apricotpost.sidecar import orders
from apricotpost.sidecar import registrations
from apricotpost import wire
from standins import mesh
from tests.sidecar import builders

__all__ = ["EraTest", "HiddenKeyTest", "ReaderTest"]


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


class OrdersCase(unittest.IsolatedAsyncioTestCase):
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

    async def run_for(self, task, seconds):
        running = asyncio.ensure_future(task.run())
        await asyncio.sleep(seconds)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)


class ReaderTest(OrdersCase):
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


class HiddenKeyTest(OrdersCase):
    """Configurations with keys, from the store and from other nodes."""

    def config(self, version):
        keys = [f"secret-{version}-{index}" for index in range(20)]
        return mesh.make_config(
            version,
            routes=[{"prefix": "/a/", "service": "portal"}] * 20,
            tenants={"acme": {"api_keys": keys}},
        )

    async def read(self):
        task = self.make()
        row = platform.Row(
            table="op",
            key="config",
            value=self.config(1),
            revision=5,
            removed=False,
        )

        async def read(table):
            return platform.Page(rows=(row,), revision=5)

        self.store.read = read
        sent = []
        task.links = object()
        task.peers.send_local = sent.append
        await task.read_all()
        return task, sent

    async def test_pushed_orders_contain_no_key(self):
        """Guards against keys in messages between nodes and in memory."""
        task, sent = await self.read()
        self.assertEqual(20, len(task.view.tenants))
        (push,) = sent
        row = patches.unpack(push.rows[0], self.make().order_store)
        for value in (row.value, task.order_store.rows["config"].value):
            self.assertIn(b"acme", value)
            self.assertNotIn(b"secret", value)

    async def test_patch_of_a_row_with_keys_is_not_used(self):
        """Guards against a garbled configuration during a rolling release.

        A node without this feature sends patches of the row with its keys.
        """
        task, _ = await self.read()
        before = wire.OrderRow(
            key="config", value=self.config(1), revision=5, removed=False
        )
        after = wire.OrderRow(
            key="config", value=self.config(2), revision=6, removed=False
        )
        for base, version in ((before, 1), (None, 2)):
            packed = patches.pack(after, base)
            task.handle_push(
                wire.OrdersPush(after_revision=5, revision=6, rows=(packed,))
            )
            self.assertEqual(version, task.view.version)
            self.assertEqual(4 + version, task.order_store.revision)


class EraTest(OrdersCase):
    """Orders of a store that returns from an older copy."""

    async def read(self, table):
        self.store.reads.append(table)
        await asyncio.sleep(0)
        return self.page

    def set_page(self, version, *rows, era=1):
        """Set what the store answers to a full read."""
        self.page = platform.Page(
            rows=tuple(
                platform.Row(
                    table="op",
                    key=key,
                    value=value,
                    revision=revisions.compose(era=era, version=row_version),
                )
                for key, row_version, value in rows
            ),
            revision=revisions.compose(era=era, version=version),
        )

    def config(self, version):
        return mesh.make_config(
            version, routes=[{"prefix": "/a/", "service": "portal"}]
        )

    async def start(self):
        """Read version 4 and an evacuation; the store loses both later."""
        task = self.make()
        self.store.read = self.read
        self.set_page(
            100, ("config", 98, self.config(4)), ("evacuate/dc-b", 99, b"{}")
        )
        await task.read_all()
        return task

    async def recover(self, task):
        """Read in the new era, at first and after the recovery."""
        await task.read_all()
        task.era_since -= orders.RECOVERY_SECONDS
        await task.read_all()

    async def test_newer_configuration_of_a_new_era_is_taken_at_once(self):
        """Guards against a confirmed change that is ignored or late.

        The store returned at version 90; a node at 100 ignored what operators
        wrote up to there, for good.
        """
        task = await self.start()
        self.set_page(95, ("config", 95, self.config(5)), era=2)
        await task.read_all()
        self.assertEqual(5, task.view.version)

    async def test_lost_orders_stay_in_force_until_they_are_written(self):
        """Guards against confirmed orders that the store's return undoes."""
        task = await self.start()
        self.set_page(90, ("config", 80, self.config(3)), era=2)
        await task.read_all()
        self.assertEqual(4, task.view.version)
        self.assertEqual({"dc-b"}, task.view.evacuated)

    async def test_orders_of_the_store_are_in_force_after_a_while(self):
        """Guards against orders that nobody can end after a return."""
        task = await self.start()
        lost = ("evacuate/dc-a", 92, b"{}")
        self.set_page(92, ("config", 91, self.config(4)), lost, era=2)
        await self.recover(task)
        self.assertEqual({"dc-a"}, task.view.evacuated)
        self.assertEqual(4, task.view.version)
        self.assertEqual(self.page.revision, task.order_store.revision)

    async def test_order_that_is_written_again_is_not_applied_again(self):
        """Guards against errors and rollouts that start a second time."""
        task = await self.start()
        changes = []
        task.on_view = lambda before, after: changes.append(after)
        again = ("evacuate/dc-b", 95, b"{}")
        self.set_page(95, ("config", 94, self.config(4)), again, era=2)
        await self.recover(task)
        self.assertEqual([], changes)

    async def test_push_after_the_recovery_has_all_rows_since_before(self):
        """Guards against a node that keeps an older configuration for good.

        A node missed the push of a configuration that was taken during the
        recovery. The push after it held the new revision without that row.
        """
        task = await self.start()
        other = self.make()
        other.handle_push(self.pull(task))
        sent = []
        task.links = object()
        task.peers.send_local = sent.append
        self.set_page(95, ("config", 95, self.config(5)), era=2)
        await self.recover(task)
        lost, push = sent
        other.handle_push(push)
        missing = other.order_store.revision < task.order_store.revision
        self.assertTrue(missing or other.view.version == 5)

    def pull(self, task):
        """Return the push with which a node answers a request for orders."""
        answers = []
        task.links = types.SimpleNamespace(
            send=lambda node, message: answers.append(message)
        )
        task.handle_pull(wire.OrdersPull(node="n3", after_revision=0))
        return answers[0]

    async def test_outdated_answer_to_a_full_read_is_not_called_again(self):
        """Guards against a node that calls the store without a pause.

        A watch had no history, and the full read after it was outdated: 8
        nodes called the store 12,943 times in one run.
        """
        task = await self.start()
        self.set_page(90, ("config", 80, self.config(3)))

        async def watch(table, after, seconds):
            raise errors.HistoryExpired("no history")

        self.store.watch = watch
        self.store.reads.clear()
        await self.run_for(task, 0.6)
        self.assertLess(len(self.store.reads), 10)

    async def test_other_nodes_leave_a_new_era_to_the_reader(self):
        """Guards against all nodes of a data centre that call the store."""
        task = await self.start()
        now = asyncio.get_running_loop().time()
        state = builders.make_state(
            node="n9",
            data_centre="dc-b",
            orders_revision=revisions.compose(era=2, version=90),
        )
        fleet.record_state(self.members, state, now)
        task.lagging_since = now - orders.NEW_ERA_LAG_SECONDS / 2
        await task.catch_up()
        self.assertEqual(0, self.store.watches)
        task.lagging_since -= orders.NEW_ERA_LAG_SECONDS / 2
        await task.catch_up()
        self.assertEqual(1, self.store.watches)
