"""Tests of planned stops of a node with callers on kept connections."""

import asyncio
import signal
import socket

from tests.sidecar import cases

__all__ = ["StopTest"]

CALLERS = 8
ROUTES = (
    cases.SAFE,
    cases.UNSAFE,
    {
        "prefix": "/long/",
        "service": "portal",
        "type": "unsafe",
        "timeout_ms": 9000,
        "target_latency_ms": 5000,
    },
)


class StopTest(cases.MeshCase):
    """Callers send requests until the process of their node is gone."""

    async def start_with_grace(self, grace_seconds):
        # The server beside a stopping node soon takes no requests.
        await self.start("dc-a", "dc-a", routes=[*ROUTES])
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

    async def read_slowly(self, bytes_per_second):
        """Send a request and read its response slowly; return its size."""
        host, _, port = self.node.ports.callers.rpartition(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(
            sock=connection, limit=65536
        )
        writer.write(
            b"GET /records/1 HTTP/1.1\r\nHost: mesh.example\r\n"
            b"X-Request-Id: slow\r\nX-Deadline-Ms: 2000\r\n\r\n"
        )
        head = await reader.readuntil(b"\r\n\r\n")
        self.assertIn(b" 200 ", head)
        size = 0
        while piece := await reader.read(65536):
            size += len(piece)
            await asyncio.sleep(len(piece) / bytes_per_second)
            if size == self.backends[0].body_bytes:
                break
        writer.close()
        return size

    async def test_stop_waits_until_a_response_is_received(self):
        """Guards against a response that ends in the middle.

        The node exited when a response was in its buffers, although its
        caller was still receiving it (review case 2).
        """
        await self.start_with_grace(6)
        for backend in self.backends:
            backend.body_bytes = 12_000_000
        caller = asyncio.create_task(self.read_slowly(2_800_000))
        await asyncio.sleep(0.5)
        self.node.signal(signal.SIGTERM)
        self.assertEqual(12_000_000, await caller)
        loop = asyncio.get_running_loop()
        ended = loop.run_in_executor(None, self.node.process.wait, 7)
        self.assertEqual(0, await ended)

    async def test_stop_waits_until_another_node_has_the_response(self):
        """Guards against a response that is dropped on its way to a node.

        The node beside the server exited while the other one was not reading,
        and dropped what it had not yet sent.
        """
        await self.start_with_grace(6)
        self.backends[1].state = "draining"
        await self.mesh.send_heartbeat(self.nodes[1])
        await asyncio.sleep(0.3)
        self.backends[0].body_bytes = 12_000_000
        self.backends[0].service_seconds = 3.2
        call = asyncio.create_task(
            self.call(
                self.nodes[1].ports.callers,
                "/long/1",
                method=b"POST",
                deadline_ms=9000,
            )
        )
        await asyncio.sleep(0.3)
        self.node.signal(signal.SIGTERM)
        await asyncio.sleep(2.7)
        # A connection counts as lost 1.5 s after the last heartbeat, which may
        # be 0.7 s old.
        self.nodes[1].signal(signal.SIGSTOP)
        await asyncio.sleep(0.6)
        self.nodes[1].signal(signal.SIGCONT)
        result = await call
        self.assertIsNotNone(result.response)
        self.assertEqual(200, result.response.status)
        self.assertEqual(12_000_000, len(result.response.body))
