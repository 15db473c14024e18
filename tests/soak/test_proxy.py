"""Tests of the proxy that injects connection faults."""

import asyncio
import contextlib
import unittest

from soak import proxy

__all__ = ["ProxyTest"]


class ProxyTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        async def echo(reader, writer):
            with contextlib.suppress(asyncio.CancelledError, ConnectionError):
                while data := await reader.read(100):
                    writer.write(data)
            writer.close()

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.proxy = proxy.Proxy(target=f"127.0.0.1:{port}")
        await self.proxy.listen()
        self.addCleanup(self.proxy.close)

    async def connect(self):
        host, _, port = self.proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.addCleanup(writer.close)
        return reader, writer

    async def test_bytes_are_forwarded(self):
        """Guards against a proxy that changes the bytes without a fault."""
        reader, writer = await self.connect()
        writer.write(b"abc")
        self.assertEqual(b"abc", await reader.readexactly(3))

    async def test_silent_mode_holds_bytes_and_keeps_connections(self):
        """Guards against a silent mode that closes the connection."""
        reader, writer = await self.connect()
        for mode in (proxy.Mode.SILENT, proxy.Mode.ONE_WAY):
            self.proxy.set_mode(mode)
            writer.write(b"abc")
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await reader.read(3)
            self.proxy.set_mode(proxy.Mode.PASS)
            self.assertEqual(b"abc", await reader.readexactly(3))

    async def test_reset_ends_open_and_new_connections(self):
        """Guards against a reset that leaves some connections open."""
        reader, writer = await self.connect()
        writer.write(b"abc")
        await reader.readexactly(3)
        self.proxy.set_mode(proxy.Mode.RESET)
        with self.assertRaises(ConnectionError):
            await reader.readexactly(1)
        reader, writer = await self.connect()
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
