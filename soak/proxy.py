"""Loopback TCP proxy that delays, resets or blocks connections."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Mode", "Proxy"]

CHUNK_BYTES = 64 * 1024
DELAY_SECONDS = 0.15


class Mode(enum.StrEnum):
    """What the proxy does with the bytes that it receives."""

    PASS = "pass"
    DELAY = "delay"
    # Open and new connections are reset.
    RESET = "reset"
    # No bytes are forwarded until the mode changes; connections stay open.
    SILENT = "silent"
    # The same, but only for bytes that the target sends.
    ONE_WAY = "one-way"


class Proxy:
    """TCP proxy from a listening address to one target.

    Parameters
    ----------
    target : str
        Address to connect to, as IP:PORT.
    host : str
        IP address to listen on.
    """

    def __init__(self, *, target: str, host: str = "127.0.0.1") -> None:
        self.target = target
        self.host = host
        self.mode = Mode.PASS
        self.mode_changed = asyncio.Event()
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self.handle_connection, self.host, 0, limit=CHUNK_BYTES
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def set_mode(self, mode: Mode) -> None:
        """Change the mode, for open and new connections."""
        self.mode = mode
        mode_changed, self.mode_changed = self.mode_changed, asyncio.Event()
        mode_changed.set()
        if mode is Mode.RESET:
            for writer in tuple(self.writers):
                _reset(writer)

    def close(self) -> None:
        """Close all connections and stop listening."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a connection until one side closes it."""
        if self.mode is Mode.RESET:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, target_writer))
        forwarders = [
            asyncio.ensure_future(
                self.forward(reader, target_writer, from_target=False)
            ),
            asyncio.ensure_future(
                self.forward(target_reader, writer, from_target=True)
            ),
        ]
        self.tasks.update(forwarders)
        # This task is cancelled only at the end of the run.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(forwarders, return_when=asyncio.FIRST_COMPLETED)
        for forwarder in forwarders:
            forwarder.cancel()
            self.tasks.discard(forwarder)
        for stream in (writer, target_writer):
            self.writers.discard(stream)
            stream.close()

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        from_target: bool,
    ) -> None:
        """Forward the bytes of one direction."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                while self.is_blocked(from_target=from_target):
                    await self.mode_changed.wait()
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()

    def is_blocked(self, *, from_target: bool) -> bool:
        """Return whether the bytes of a direction are not forwarded now."""
        return self.mode is Mode.SILENT or (
            self.mode is Mode.ONE_WAY and from_target
        )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with RST instead of FIN."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
