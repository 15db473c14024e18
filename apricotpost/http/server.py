"""HTTP/1.1 listener: parses requests and sends answers in order."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import typing

import httptools

from apricotpost.http import messages

__all__ = ["Exchange", "Listener", "Limits"]

BACKLOG_CONNECTIONS = 1024
# Requests of one connection that are handled at the same time.
MAX_PIPELINED_REQUESTS = 32
# How often a connection looks for an expired header or idle time.
TIMEOUT_CHECK_SECONDS = 1.0

Handler = Callable[["Exchange"], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """What a client may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest request head and body.
    header_seconds : float
        Longest time for a request head.
    idle_seconds : float
        Longest time without a request.
    buffered_bytes : int
        Bodies of all requests that are held at the same time.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    buffered_bytes: int = 128 * 1024 * 1024


class Exchange:
    """One request and the place of its response.

    Parameters
    ----------
    connection : Connection
        Where the request came in.
    request : messages.Request
        The whole request.
    keep_alive : bool
        Whether the client keeps the connection.
    arrived_at : float
        Monotonic time, in seconds.
    """

    __slots__ = (
        "arrived_at",
        "connection",
        "keep_alive",
        "on_disconnect",
        "output",
        "request",
    )

    def __init__(
        self,
        *,
        connection: "Connection",
        request: messages.Request,
        keep_alive: bool,
        arrived_at: float,
    ) -> None:
        self.connection = connection
        self.request = request
        self.keep_alive = keep_alive
        self.arrived_at = arrived_at
        self.on_disconnect: Callable[[], None] | None = None
        self.output: bytes | None = None

    def respond(
        self, response: messages.Response, *, close: bool = False
    ) -> None:
        """Send the response as soon as those before it are sent."""
        if self.output is not None:
            return
        self.on_disconnect = None
        self.connection.listener.buffered -= len(self.request.body)
        if close or self.connection.listener.closing:
            self.keep_alive = False
        self.output = messages.encode_response(
            response,
            close=not self.keep_alive,
            head=self.request.method == b"HEAD",
        )
        self.connection.flush()


class Listener:
    """A listening address.

    Parameters
    ----------
    handler : callable
        Called with each `Exchange`; it or a later event responds.
    limits : Limits
        Replaced when the configuration changes.
    """

    def __init__(self, *, handler: Handler, limits: Limits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.closing = False
        self.buffered = 0
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to listen.

        Raises
        ------
        OSError
            The address is in use or not one of this instance's.
        """
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: Connection(listener=self, loop=loop),
            host,
            port,
            backlog=BACKLOG_CONNECTIONS,
            reuse_address=True,
        )

    def start_closing(self) -> None:
        """Announce the end of connections with every response from now."""
        self.closing = True

    def stop_listening(self) -> None:
        """Take no new connections; those that are open stay."""
        if self.server is not None:
            self.server.close()

    def open_exchanges(self) -> int:
        """Return how many requests have no complete response yet."""
        return sum(len(c.exchanges) for c in self.connections)

    def close(self) -> None:
        """Stop to listen and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.close()


class Connection(asyncio.Protocol):
    """One client's connection."""

    def __init__(
        self, *, listener: Listener, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.listener = listener
        self.loop = loop
        self.transport: typing.Any = None
        self.peer_host = ""
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.last_activity = loop.time()
        self.timer: asyncio.TimerHandle | None = None
        self.broken = False
        self.reading_paused = False
        self.in_message = False
        self.url = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: list[bytes] = []
        self.header_bytes = 0
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start the checks of time limits."""
        self.transport = transport
        peer = transport.get_extra_info("peername")
        self.peer_host = peer[0] if peer else ""
        self.listener.connections.add(self)
        self.timer = self.loop.call_later(
            TIMEOUT_CHECK_SECONDS, self.check_timeouts
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handlers of open requests that the client is gone."""
        self.listener.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self.transport = None
        self.listener.buffered -= self.body_bytes
        for exchange in self.exchanges:
            if exchange.output is None:
                self.listener.buffered -= len(exchange.request.body)
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()
                exchange.on_disconnect = None
        self.exchanges.clear()

    def is_from(self, host: str) -> bool:
        """Tell whether the client has a certain IP address."""
        return self.peer_host == host

    def eof_received(self) -> bool:
        """Close; a client that ended its side takes no response."""
        return False

    def close(self) -> None:
        """Close after the data that is already written."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Parse what the client sent."""
        self.last_activity = self.loop.time()
        if self.broken:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.broken = True
        except httptools.HttpParserError:
            self.refuse(400)

    def refuse(self, status: int) -> None:
        """Answer a request that is not handled, and end the connection."""
        if self.broken:
            return
        self.broken = True
        exchange = Exchange(
            connection=self,
            request=messages.Request(method=b"GET", target=b""),
            keep_alive=False,
            arrived_at=self.loop.time(),
        )
        self.exchanges.append(exchange)
        exchange.respond(messages.Response(status=status), close=True)

    def flush(self) -> None:
        """Write the responses that are next in order."""
        while self.exchanges and self.exchanges[0].output is not None:
            exchange = self.exchanges.popleft()
            if self.transport is None:
                continue
            self.transport.write(exchange.output)
            if not exchange.keep_alive:
                self.exchanges.clear()
                self.broken = True
                self.transport.close()
                return
        self.last_activity = self.loop.time()
        if self.reading_paused and self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()

    def check_timeouts(self) -> None:
        """End a connection that is idle or whose request head is late."""
        if self.transport is None:
            return
        limits = self.listener.limits
        idle = self.loop.time() - self.last_activity
        if not self.exchanges:
            if self.in_message and idle > limits.header_seconds:
                self.refuse(408)
                return
            if idle > limits.idle_seconds:
                self.transport.close()
                return
        self.timer = self.loop.call_later(
            TIMEOUT_CHECK_SECONDS, self.check_timeouts
        )

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Start a request."""
        self.in_message = True
        self.url = b""
        self.headers = []
        self.body = []
        self.header_bytes = 0
        self.body_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self.url += url
        self.count_header(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers.append((name, value))
        self.count_header(len(name) + len(value) + 4)

    def count_header(self, size: int) -> None:
        """Refuse a head that is too large."""
        self.header_bytes += size
        if self.header_bytes > self.listener.limits.header_bytes:
            self.refuse(431)

    def on_headers_complete(self) -> None:
        """Refuse ambiguous heads and let the client send the body."""
        headers = tuple(self.headers)
        hosts = sum(name.lower() == b"host" for name, _ in headers)
        if hosts != 1:
            self.refuse(400)
            return
        expected = messages.find_header(headers, b"expect")
        if expected is not None and not self.exchanges and not self.broken:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if self.broken:
            return
        if self.body_bytes + len(body) > self.listener.limits.body_bytes:
            self.refuse(413)
            return
        self.body_bytes += len(body)
        self.listener.buffered += len(body)
        self.body.append(body)
        if self.listener.buffered > self.listener.limits.buffered_bytes:
            self.refuse(503)

    def on_message_complete(self) -> None:
        """Hand the request to the handler."""
        self.in_message = False
        if self.broken:
            return
        exchange = Exchange(
            connection=self,
            request=messages.Request(
                method=self.parser.get_method(),
                target=self.url,
                headers=tuple(self.headers),
                body=b"".join(self.body),
            ),
            keep_alive=self.parser.should_keep_alive(),
            arrived_at=self.loop.time(),
        )
        # The exchange accounts for the body from now.
        self.body_bytes = 0
        self.exchanges.append(exchange)
        if len(self.exchanges) >= MAX_PIPELINED_REQUESTS:
            self.reading_paused = True
            self.transport.pause_reading()
        self.listener.handler(exchange)
