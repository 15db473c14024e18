"""Tests of requests that arrive before a node can route them."""

import asyncio
import unittest

from apricotpost.sidecar import held_requests
from tests.sidecar import cases

__all__ = ["HeldRequestsTest", "StartTest"]


class HeldRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.handled = []
        self.held = held_requests.HeldRequests(handle=self.handled.append)

    def make(self):
        return _Exchange(self.loop.time())

    async def test_held_requests_are_handled_after_a_change(self):
        """Guards against refusals in the moment before the first states.

        A client may come back only once, and a node that has just started
        refused it both times.
        """
        exchanges = [self.make() for _ in range(3)]
        for exchange in exchanges:
            self.assertTrue(self.held.hold(exchange))
        self.assertEqual([], self.handled)
        self.held.schedule_resume()
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(exchanges, self.handled)
        self.assertEqual({}, self.held.held)

    async def test_nothing_is_held_for_long(self):
        """Guards against answers that are held back until the deadline."""
        exchange = self.make()
        self.held.hold(exchange)
        await asyncio.sleep(held_requests.HOLD_SECONDS + 0.1)
        self.assertEqual([exchange], self.handled)
        self.assertFalse(self.held.hold(exchange))
        self.held.started_at -= held_requests.STARTUP_SECONDS
        self.assertFalse(self.held.hold(self.make()))

    async def test_request_of_a_lost_client_is_dropped(self):
        """Guards against a run of a request that nobody waits for."""
        exchange = self.make()
        self.held.hold(exchange)
        exchange.on_disconnect()
        self.held.schedule_resume()
        await asyncio.sleep(0.01)
        self.assertEqual([], self.handled)


class _Exchange:
    """Compared by identity, as exchanges are."""

    def __init__(self, arrived_at):
        self.arrived_at = arrived_at
        self.on_disconnect = None


class StartTest(cases.MeshCase):
    async def test_started_node_serves_its_first_request(self):
        """Guards against a refusal by a node that knows no orders yet."""
        await self.start("dc-a", "dc-a")
        node = self.nodes[1]
        node.kill()
        node.start()
        async with asyncio.timeout(5.0):
            while True:
                result = await self.call(node.ports.callers)
                if result.response is not None:
                    break
                await asyncio.sleep(0.005)
        self.assertEqual(200, result.response.status)
