"""Tests of the HTTP client against raw responses over loopback."""

import asyncio
import socket
import struct
import unittest

from apricotpost import http

__all__ = ["ClientTest"]

GET = http.Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def start_server(self, *responses, end="keep"):
        self.responses = list(responses)
        self.end = end
        self.accepted_count = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = http.Client(host="127.0.0.1", port=port)
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        self.accepted_count += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.responses.pop(0))
                await writer.drain()
                if self.end == "reset":
                    # With a linger time of zero, closing sends a reset.
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                    writer.transport.abort()
                    return
                if self.end == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()
        except asyncio.CancelledError:
            writer.close()

    async def send(self, *, timeout=1.0, **options):
        future = asyncio.get_running_loop().create_future()
        self.client.send(
            GET, future.set_result, timeout_seconds=timeout, **options
        )
        return await future

    async def test_keeps_connections(self):
        """Guards against opening a new connection for every request."""
        await self.start_server(OK, OK)
        for _ in range(2):
            result = await self.send()
            self.assertEqual(b"ok", result.response.body)
        self.assertEqual(1, self.accepted_count)

    async def test_long_idle_connection_is_not_reused(self):
        """Guards against losing a request on a connection closed as idle.

        A request that must not be repeated sets a limit with
        ``max_idle_seconds``.
        """
        await self.start_server(OK, OK)
        await self.send()
        await asyncio.sleep(0.15)
        await self.send(max_idle_seconds=0.1)
        self.assertEqual(2, self.accepted_count)

    async def test_announced_keep_alive_timeout_is_respected(self):
        """Guards against sending while the server closes the connection."""
        response = OK.replace(b"\r\n", b"\r\nKeep-Alive: timeout=0\r\n", 1)
        await self.start_server(response, OK)
        await self.send()
        await self.send()
        self.assertEqual(2, self.accepted_count)

    async def test_close_delimits_response_without_length(self):
        """Guards against reporting a close-delimited response as truncated."""
        await self.start_server(b"HTTP/1.1 200 OK\r\n\r\nall", end="close")
        result = await self.send()
        self.assertEqual(b"all", result.response.body)

    async def test_reset_response_is_a_failure(self):
        """Guards against accepting a truncated response as complete."""
        for response in (
            b"HTTP/1.1 200 OK\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf",
        ):
            await self.start_server(response, end="reset")
            result = await self.send()
            self.assertIs(http.Failure.CONNECTION_LOST, result.failure)

    async def test_surplus_response_is_discarded(self):
        """Guards against matching a surplus response to the next request."""
        await self.start_server(OK + OK.replace(b"ok", b"no"), OK)
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(2, self.accepted_count)

    async def test_data_on_idle_connection_closes_it(self):
        """Guards against reading unsolicited data as the next response."""
        await self.start_server(OK, OK)
        await self.send()
        connection = self.client.idle_connections[0]
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(2, self.accepted_count)

    async def test_malformed_response_is_a_failure(self):
        """Guards against accepting data that is not an HTTP response."""
        await self.start_server(b"no answer at all\r\n\r\n")
        result = await self.send()
        self.assertIs(http.Failure.MALFORMED, result.failure)

    async def test_silent_server_times_out(self):
        """Guards against waiting forever for a server that never responds."""
        await self.start_server(b"")
        result = await self.send(timeout=0.2)
        self.assertIs(http.Failure.TIMED_OUT, result.failure)

    async def test_refused_connection_means_not_connected(self):
        """Guards against an unknown outcome for a request never sent."""
        await self.start_server()
        self.client.port = 1
        result = await self.send()
        self.assertIs(http.Failure.NOT_CONNECTED, result.failure)

    async def test_interim_response_is_skipped(self):
        """Guards against reporting a 100 response as the final one."""
        await self.start_server(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        self.assertEqual(200, (await self.send()).response.status)
