"""Base class of tests with event-loop nodes as processes."""

import asyncio
import pathlib
import tempfile
import unittest

from standins import mesh

__all__ = ["MeshCase", "SAFE", "UNSAFE"]

SAFE = {"prefix": "/records/", "service": "portal"}
UNSAFE = {"prefix": "/reports/", "service": "portal", "type": "unsafe"}


class MeshCase(unittest.IsolatedAsyncioTestCase):
    """Starts a mesh of nodes and calls it."""

    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.mesh = mesh.Mesh(folder=pathlib.Path(folder.name))
        self.addAsyncCleanup(self.mesh.close)
        self.call = self.mesh.caller.call

    async def start(self, *data_centres, **options):
        routes = options.pop("routes", [SAFE, UNSAFE])
        await self.mesh.start(data_centres, routes=routes, **options)
        self.nodes = self.mesh.nodes
        self.backends = [node.backend for node in self.nodes]

    async def call_all(self, count, path="/records/1", **options):
        results = await asyncio.gather(
            *(
                self.call(self.nodes[0].ports.callers, path, **options)
                for _ in range(count)
            )
        )
        return [
            result.response.status if result.response else result.failure
            for result in results
        ]

    async def wait_until(self, check, seconds=3.0):
        async with asyncio.timeout(seconds):
            while not check():
                await asyncio.sleep(0.01)

    def count_runs(self):
        return sum(len(backend.executed_ids) for backend in self.backends)
