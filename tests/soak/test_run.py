"""Tests that run short soaks of real processes with fixed seeds."""

import asyncio
import pathlib
import tempfile
import time
import unittest

from apricotpost import http
from apricotpost.sidecar import connections

from soak import __main__ as soak
from soak import fleets
from soak import proxy

__all__ = ["LongPartitionTest", "SoakTest"]

# Seeds that CI runs. Add each seed that has failed, with a comment on the
# cause.
SEEDS = (
    1,
    # The store returned from an older copy, and orders with reused versions
    # were not followed (docs/incidents/0016-reused-versions.md).
    4,
)
SECONDS = 14.0
NODES = 6


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_random_faults(self):
        """Guards against promises that are broken under injected faults."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                run_result = asyncio.run(
                    soak.run_seed(
                        seed=seed,
                        seconds=SECONDS,
                        nodes=NODES,
                        folder=pathlib.Path(folder),
                    )
                )
                self.assertEqual((), run_result.violations)
                self.assertGreater(run_result.count_statuses()[200], 500)


class LongPartitionTest(unittest.IsolatedAsyncioTestCase):
    """Partition that lasts longer than idle connections are kept."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = fleets.Fleet(
            folder=pathlib.Path(folder.name), network=251
        )
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start(4)
        self.fleet.load_stopped = True

    async def send_remote_request(self):
        """Return the status of a request that only dc-b can serve."""
        result = await self.fleet.mesh.caller.send(
            self.fleet.instances[0].node.ports.callers,
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
            while await self.send_remote_request() != status:
                await asyncio.sleep(0.2)

    async def test_data_centres_reconnect_after_long_partition(self):
        """Guards against data centres that stay disconnected for good.

        The proxies hold back all messages between the nodes until the nodes
        have closed their unused connections. The nodes did not connect again
        after that, and refused the requests until they were restarted.
        """
        local = self.fleet.instances[2]
        local.backend.state = "draining"
        await self.fleet.mesh.send_heartbeat(local.node)
        await self.wait_for(200, 5.0)
        for instance in self.fleet.instances:
            instance.to_node.set_mode(proxy.Mode.SILENT)
        await self.wait_for(503, 10.0)
        await asyncio.sleep(connections.KEEP_SECONDS + 5.0)
        for instance in self.fleet.instances:
            instance.to_node.set_mode(proxy.Mode.PASS)
        await self.wait_for(200, 15.0)
