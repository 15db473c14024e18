"""Tests of the registration of a node in the store."""

import asyncio
import types
import unittest

from apricotpost import http
from apricotpost.membership import fleet
from apricotpost.membership import registrations as decisions
from apricotpost import platform
from apricotpost.sidecar import registrations
from standins import rows
from tests.sidecar import builders

__all__ = ["RegistryTest"]


class RegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = rows.RowStore()
        await self.standin.listen()
        self.addCleanup(self.standin.close)
        host, _, port = self.standin.address.rpartition(":")
        client = http.Client(host=host, port=int(port))
        self.addCleanup(client.close)
        self.store = platform.Store(client=client, host=host)
        self.listed = []

    def make(self, *, first_start, port=1):
        self.members = fleet.Fleet(node="n1", data_centre="dc-a")
        return registrations.Registry(
            settings=types.SimpleNamespace(
                instance="n1",
                data_centre="dc-a",
                first_start=first_start,
                addresses=types.SimpleNamespace(
                    peer_address=lambda: f"127.0.0.1:{port}"
                ),
            ),
            store=self.store,
            members=self.members,
            peers=types.SimpleNamespace(
                add_listed_node=lambda *node: self.listed.append(node),
                update_connections=lambda: None,
            ),
        )

    def count_calls(self):
        calls = [call.split("?")[0] for call in self.standin.calls]
        self.standin.calls.clear()
        return calls

    async def test_registered_node_starts_again_without_a_write(self):
        """Guards against a herd of writes after a loss of power.

        The store processes the writes of a part one after the other: those of
        195 nodes took it a second, in which no node answered.
        """
        await self.make(first_start=True).join()
        self.assertEqual(2, len(self.count_calls()))
        await self.make(first_start=False).join()
        self.assertEqual(1, len(self.count_calls()))
        # A changed address is written, and a new node finds the others.
        await self.make(first_start=False, port=2).join()
        self.assertEqual(3, len(self.count_calls()))
        self.assertEqual(("n1", "127.0.0.1:2", "dc-a"), self.listed[-1][:3])

    async def test_row_of_a_node_that_is_gone_is_removed(self):
        """Guards against rows of replaced instances that stay for ever."""
        registry = self.make(first_start=True)
        await registry.join()
        gone = b'{"address":"127.0.0.1:3","data_centre":"dc-a"}'
        self.standin.put("nodes", "n2", gone)
        self.standin.put("nodes", "n3", gone)
        loop = asyncio.get_running_loop()
        await registry.sweep()
        self.assertEqual({"n2", "n3"}, set(registry.absences))
        registry.absences = {
            name: decisions.Absence(
                revision=absence.revision,
                since=loop.time() - decisions.GONE_SECONDS,
            )
            for name, absence in registry.absences.items()
        }
        # The third node registers again just before.
        self.standin.put("nodes", "n3", gone)
        await registry.sweep()
        self.assertNotIn(("nodes", "n2"), self.standin.rows)
        self.assertIn(("nodes", "n3"), self.standin.rows)
        self.assertIn(("nodes", "n1"), self.standin.rows)

    async def test_node_without_contact_registers_again(self):
        """Guards against the removal of a node that is only cut off."""
        registry = self.make(first_start=True)
        await registry.join()
        now = asyncio.get_running_loop().time()
        self.assertFalse(registry.should_renew(now))
        later = now + decisions.RENEW_SECONDS
        self.assertTrue(registry.should_renew(later))
        state = builders.make_state(node="n2")
        fleet.record_state(self.members, state, now)
        self.assertFalse(registry.should_renew(later))
