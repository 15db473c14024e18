"""Tests of planned stops of a node with callers on kept connections."""

import asyncio
import signal

from tests.sidecar import cases

__all__ = ["StopTest"]

CALLERS = 8


class StopTest(cases.MeshCase):
    """Callers send requests until the process of their node is gone."""

    async def start_with_grace(self, grace_seconds):
        # The server beside a stopping node soon takes no requests.
        await self.start("dc-a", "dc-a")
        self.node = self.nodes[0]
        bounds = {
            "drain_ms": 2000,
            "grace_seconds": grace_seconds,
            "retry_ratio": 0.2,
            "retry_slack": 50,
            "retry_window_seconds": 10,
        }
        self.node.write_settings(bounds=bounds)
        self.node.signal(signal.SIGHUP)
        await asyncio.sleep(0.3)

    async def send_until_gone(self, path, results, *, deadline_ms):
        """Send requests one after the other; record identifiers."""
        loop = asyncio.get_running_loop()
        while self.node.process.poll() is None:
            identifier = f"q{self.mesh.caller.sent_count + 1}"
            began_at = loop.time()
            result = await self.call(
                self.node.ports.callers,
                path,
                method=b"POST",
                deadline_ms=deadline_ms,
            )
            status = result.response.status if result.response else 0
            results[identifier] = (status, loop.time() - began_at)
            await asyncio.sleep(0.02)

    async def stop_under_load(self, path, *, deadline_ms=3000):
        """Stop the node after two seconds of requests; return the results."""
        results = {}
        callers = [
            asyncio.create_task(
                self.send_until_gone(path, results, deadline_ms=deadline_ms)
            )
            for _ in range(CALLERS)
        ]
        await asyncio.sleep(2.5)
        self.node.signal(signal.SIGTERM)
        await asyncio.gather(*callers)
        self.assertEqual(0, self.node.process.returncode)
        return results

    def assert_none_cut(self, results):
        """Check that each request that ran was answered with success."""
        executed = [
            identifier
            for backend in self.backends
            for identifier in backend.executed_ids
        ]
        self.assertGreater(len(executed), CALLERS)
        cut = {
            identifier: results[identifier]
            for identifier in executed
            if results[identifier][0] != 200
        }
        self.assertEqual({}, cut)

    async def test_short_grace_cuts_no_request(self):
        """Guards against requests that cannot end within the grace period.

        A node took requests until 2.6 s after SIGTERM, however short the
        grace period, and cut those that were still running at its end.
        """
        await self.start_with_grace(3)
        for backend in self.backends:
            backend.service_seconds = 1.2
        results = await self.stop_under_load("/reports/1")
        self.assert_none_cut(results)
        refused = [s for status, s in results.values() if status == 503]
        self.assertTrue(refused)
        self.assertLess(max(refused), 0.3)

    async def test_usual_grace_cuts_no_request(self):
        """Guards against requests that arrive late and are cut at the end."""
        await self.start_with_grace(6)
        for backend in self.backends:
            backend.service_seconds = 0.7
        results = await self.stop_under_load("/reports/1")
        self.assert_none_cut(results)
