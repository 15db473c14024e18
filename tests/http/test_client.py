"""Tests of the HTTP client against raw answers over loopback."""

import asyncio
import socket
import struct
import unittest

from apricotpost import http

__all__ = ["ClientTest"]

GET = http.Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *answers, end="keep"):
        self.answers = list(answers)
        self.end = end
        self.accepted = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = http.Client(host="127.0.0.1", port=port)
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        self.accepted += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.answers.pop(0))
                await writer.drain()
                if self.end == "reset":
                    # Without a linger time, closing sends a reset.
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
        ended = asyncio.get_running_loop().create_future()
        self.client.send(GET, ended.set_result, timeout=timeout, **options)
        return await ended

    async def test_keeps_connections(self):
        """Guards against a connection for every request."""
        await self.start(OK, OK)
        for _ in range(2):
            found = await self.send()
            self.assertEqual(b"ok", found.response.body)
        self.assertEqual(1, self.accepted)

    async def test_old_connections_are_not_trusted(self):
        """Guards against unsafe requests on a forgotten connection."""
        await self.start(OK, OK)
        await self.send()
        await asyncio.sleep(0.15)
        await self.send(max_idle=0.1)
        self.assertEqual(2, self.accepted)

    async def test_announced_idle_time_is_kept(self):
        """Guards against requests that cross the server's close."""
        answer = OK.replace(b"\r\n", b"\r\nKeep-Alive: timeout=0\r\n", 1)
        await self.start(answer, OK)
        await self.send()
        await self.send()
        self.assertEqual(2, self.accepted)

    async def test_answer_ends_with_the_connection(self):
        """Guards against answers without a length taken for cut ones."""
        await self.start(b"HTTP/1.1 200 OK\r\n\r\nall", end="close")
        found = await self.send()
        self.assertEqual(b"all", found.response.body)

    async def test_reset_answer_is_not_complete(self):
        """Guards against half an answer taken for a whole one."""
        for answer in (
            b"HTTP/1.1 200 OK\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf",
        ):
            await self.start(answer, end="reset")
            found = await self.send()
            self.assertIs(http.Failure.CONNECTION_LOST, found.failure)

    async def test_second_answer_belongs_to_no_request(self):
        """Guards against answers that arrive for the next request."""
        await self.start(OK + OK.replace(b"ok", b"no"), OK)
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(2, self.accepted)

    async def test_late_bytes_end_a_kept_connection(self):
        """Guards against additional bytes while no request waits."""
        await self.start(OK, OK)
        await self.send()
        connection = self.client.idle[0]
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(2, self.accepted)

    async def test_garbage_is_a_failure(self):
        """Guards against bytes that are no answer."""
        await self.start(b"no answer at all\r\n\r\n")
        found = await self.send()
        self.assertIs(http.Failure.MALFORMED, found.failure)

    async def test_silence_ends_in_time(self):
        """Guards against a server that never answers."""
        await self.start(b"")
        found = await self.send(timeout=0.2)
        self.assertIs(http.Failure.TIMED_OUT, found.failure)

    async def test_closed_port_means_not_sent(self):
        """Guards against an unknown outcome of what was never sent."""
        await self.start()
        self.client.port = 1
        found = await self.send()
        self.assertIs(http.Failure.NOT_CONNECTED, found.failure)

    async def test_interim_answers_are_skipped(self):
        """Guards against a 100 taken for the answer."""
        await self.start(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        self.assertEqual(200, (await self.send()).response.status)
