"""Loopback proxy that delays, resets or silences connections."""

import asyncio
import contextlib
import enum
import socket
import struct

__all__ = ["Mode", "Proxy"]

CHUNK_BYTES = 64 * 1024
DELAY_SECONDS = 0.15


class Mode(enum.StrEnum):
    """What becomes of the bytes."""

    PASS = "pass"
    DELAY = "delay"
    # New connections are reset, too.
    RESET = "reset"
    # Nothing passes until the mode changes; no connection is closed.
    SILENT = "silent"
    # As `SILENT`, for what the target sends only.
    ONE_WAY = "one-way"


class Proxy:
    """One listening address that forwards to another one.

    Parameters
    ----------
    target : str
        IP:PORT.
    host : str
        Address to listen on.
    """

    def __init__(self, *, target: str, host: str = "127.0.0.1") -> None:
        self.target = target
        self.host = host
        self.mode = Mode.PASS
        self.changed = asyncio.Event()
        self.address = ""
        self.server: asyncio.Server | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(
            self.accept, self.host, 0, limit=CHUNK_BYTES
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def set_mode(self, mode: Mode) -> None:
        """Change what becomes of the bytes."""
        self.mode = mode
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        if mode is Mode.RESET:
            for writer in tuple(self.writers):
                _reset(writer)

    def close(self) -> None:
        """Close all connections and stop to listen."""
        if self.server is not None:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forward a connection until one side closes it."""
        if self.mode is Mode.RESET:
            _reset(writer)
            return
        host, _, port = self.target.rpartition(":")
        try:
            back_reader, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers.update((writer, back))
        pumps = [
            asyncio.ensure_future(self.pump(reader, back, reply=False)),
            asyncio.ensure_future(self.pump(back_reader, writer, reply=True)),
        ]
        self.tasks.update(pumps)
        # Cancelled only at the end of the run.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        for pump in pumps:
            pump.cancel()
            self.tasks.discard(pump)
        for end in (writer, back):
            self.writers.discard(end)
            end.close()

    async def pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        reply: bool,
    ) -> None:
        """Forward one direction."""
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(CHUNK_BYTES):
                while self.holds(reply=reply):
                    await self.changed.wait()
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(DELAY_SECONDS)
                writer.write(data)
                await writer.drain()

    def holds(self, *, reply: bool) -> bool:
        """Tell whether bytes of a direction wait."""
        return self.mode is Mode.SILENT or (
            self.mode is Mode.ONE_WAY and reply
        )


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset instead of an end."""
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()
