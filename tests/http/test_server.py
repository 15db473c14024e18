"""Tests of the HTTP listener with raw bytes over loopback."""

import asyncio
import unittest

from apricotpost import http

__all__ = ["ListenerTest"]

HEAD = b"Host: h\r\n"


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def start_listener(self, **limits):
        self.exchanges = []
        self.disconnected = []
        self.responds = True
        self.listener = http.Listener(
            handler=self.handle, limits=http.Limits(**limits)
        )
        await self.listener.listen("127.0.0.1", 0)
        self.addCleanup(self.listener.close)
        port = self.listener.server.sockets[0].getsockname()[1]
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.reader = reader

    def handle(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_disconnect = lambda: self.disconnected.append(exchange)
        if self.responds:
            exchange.respond(
                http.Response(status=200, body=exchange.request.body)
            )

    async def exchange_data(self, data, *, until_close=True):
        self.writer.write(data)
        async with asyncio.timeout(3):
            if until_close:
                return await self.reader.read()
            return await self.reader.readuntil(b"\r\n\r\n")

    async def test_pipelined_responses_keep_request_order(self):
        """Guards against matching a response to another request."""
        await self.start_listener()
        self.responds = False
        self.writer.write(b"GET /1 HTTP/1.1\r\n" + HEAD + b"\r\n")
        self.writer.write(
            b"GET /2 HTTP/1.1\r\n" + HEAD + b"Connection: close\r\n\r\n"
        )
        async with asyncio.timeout(3):
            while len(self.exchanges) < 2:
                await asyncio.sleep(0.01)
        for index in (1, 0):
            body = self.exchanges[index].request.target
            self.exchanges[index].respond(http.Response(status=200, body=body))
        data = await self.reader.read()
        self.assertLess(data.index(b"/1"), data.index(b"/2"))
        self.assertIn(b"Connection: close", data)

    async def test_accepts_chunked_body(self):
        """Guards against losing bodies without a Content-Length."""
        await self.start_listener()
        data = await self.exchange_data(
            b"POST / HTTP/1.1\r\n" + HEAD + b"Connection: close\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde"
            b"\r\n0\r\n\r\n"
        )
        self.assertTrue(data.endswith(b"\r\n\r\nabcde"))

    async def test_refuses_ambiguous_requests(self):
        """Guards against request smuggling."""
        requests = (
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n",
            b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
            b"Content-Length: 5\r\n\r\nabcde",
            b"GET / HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"nonsense\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: h\r\nA b: c\r\n\r\n",
        )
        for request in requests:
            await self.start_listener()
            data = await self.exchange_data(request)
            self.assertTrue(data.startswith(b"HTTP/1.1 400"), request)
            self.assertEqual([], self.exchanges, request)

    async def test_refuses_oversized_head_and_body(self):
        """Guards against clients that send an unlimited amount of data."""
        await self.start_listener(header_bytes=200, body_bytes=10)
        data = await self.exchange_data(
            b"GET / HTTP/1.1\r\n" + HEAD + b"A: " + b"a" * 300 + b"\r\n\r\n"
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 431"))
        await self.start_listener(header_bytes=200, body_bytes=10)
        data = await self.exchange_data(
            b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 11\r\n\r\n"
            b"aaaaaaaaaaa"
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 413"))

    async def test_closes_late_and_idle_connections(self):
        """Guards against keeping connections that send no requests."""
        await self.start_listener(header_seconds=0.5, idle_seconds=0.5)
        data = await self.exchange_data(b"GET / HTTP/1.1\r\nHos")
        self.assertTrue(data.startswith(b"HTTP/1.1 408"))
        await self.start_listener(header_seconds=0.5, idle_seconds=0.5)
        self.assertEqual(b"", await self.exchange_data(b""))

    async def test_client_disconnect_is_reported(self):
        """Guards against continuing requests of disconnected callers."""
        await self.start_listener()
        self.responds = False
        self.writer.write(b"GET /1 HTTP/1.1\r\n" + HEAD + b"\r\n")
        async with asyncio.timeout(3):
            while not self.exchanges:
                await asyncio.sleep(0.01)
            self.writer.close()
            while not self.disconnected:
                await asyncio.sleep(0.01)

    async def test_closing_listener_sends_connection_close(self):
        """Guards against losing requests sent while the listener closes.

        Without the Connection header, the client may send its next request
        on a connection that is about to close.
        """
        await self.start_listener()
        self.listener.start_closing()
        data = await self.exchange_data(
            b"GET /1 HTTP/1.1\r\n" + HEAD + b"\r\n"
        )
        self.assertIn(b"HTTP/1.1 200", data)
        self.assertIn(b"Connection: close", data)

    async def test_expected_continue_is_sent(self):
        """Guards against clients waiting in vain for 100 Continue."""
        await self.start_listener()
        data = await self.exchange_data(
            b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 2\r\n"
            b"Expect: 100-continue\r\n\r\n",
            until_close=False,
        )
        self.assertTrue(data.startswith(b"HTTP/1.1 100"))

    async def test_total_size_of_bodies_is_limited(self):
        """Guards against out-of-memory from the bodies of many requests."""
        await self.start_listener(buffered_bytes=10)
        self.responds = False
        head = b"POST / HTTP/1.1\r\n" + HEAD + b"Content-Length: 8\r\n\r\n"
        self.writer.write(head + b"a" * 8)
        self.writer.write(head + b"a" * 8)
        async with asyncio.timeout(3):
            while (
                not self.exchanges or self.listener.buffered_body_bytes <= 10
            ):
                await asyncio.sleep(0.01)
        self.exchanges[0].respond(http.Response(status=200))
        data = await self.reader.read()
        self.assertIn(b"HTTP/1.1 503", data)
        self.assertEqual(1, len(self.exchanges))
        self.writer.close()
        async with asyncio.timeout(3):
            while self.listener.connections:
                await asyncio.sleep(0.01)
        self.assertEqual(0, self.listener.buffered_body_bytes)
