"""Short seeded soaks with real processes."""

import asyncio
import pathlib
import tempfile
import time
import unittest

from apricotpost import http
from apricotpost.sidecar import connections

from soak import __main__ as soak
from soak import proxy
from soak import world

__all__ = ["LongCutTest", "SoakTest"]

# Seeds that are run in CI. A seed that has failed once is added with a line
# on its cause.
SEEDS = (1,)
SECONDS = 14.0
NODES = 6


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_drawn_faults(self):
        """Guards against promises that hold only without faults."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                outcome = asyncio.run(
                    soak.run_seed(
                        seed=seed,
                        seconds=SECONDS,
                        nodes=NODES,
                        folder=pathlib.Path(folder),
                    )
                )
                self.assertEqual((), outcome.violations)
                self.assertGreater(outcome.statuses()[200], 500)


class LongCutTest(unittest.IsolatedAsyncioTestCase):
    """Nodes whose messages are lost for longer than connections are kept."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.world = world.World(folder=pathlib.Path(folder.name), network=251)
        self.addAsyncCleanup(self.world.close)
        await self.world.start(4)
        self.world.stopped = True

    async def ask(self):
        """Return the status of a request that only dc-b can serve."""
        result = await self.world.mesh.caller.send(
            self.world.places[0].node.ports.callers,
            http.Request(
                method=b"POST",
                target=b"/reports/1",
                headers=(
                    (b"Host", b"mesh.example"),
                    (b"X-Request-Id", b"cut-%d" % time.monotonic_ns()),
                    (b"X-Deadline-Ms", b"1500"),
                ),
                body=b"content",
            ),
            timeout=3.0,
        )
        return result.response.status if result.response is not None else 0

    async def wait_for(self, status, seconds):
        async with asyncio.timeout(seconds):
            while await self.ask() != status:
                await asyncio.sleep(0.2)

    async def test_data_centres_meet_again(self):
        """Guards against data centres that stay apart after a long cut.

        Fault: all messages between nodes are lost until the connections
        that nobody wants are closed. Before, the requests were refused for
        as long as the processes lived.
        """
        local = self.world.places[2]
        local.backend.state = "draining"
        await self.world.mesh.beat(local.node)
        await self.wait_for(200, 5.0)
        for place in self.world.places:
            place.to_node.set_mode(proxy.Mode.SILENT)
        await self.wait_for(503, 10.0)
        await asyncio.sleep(connections.KEEP_SECONDS + 5.0)
        for place in self.world.places:
            place.to_node.set_mode(proxy.Mode.PASS)
        await self.wait_for(200, 15.0)
