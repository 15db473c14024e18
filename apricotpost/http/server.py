"""HTTP/1.1 listener: parses requests and sends responses in order."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import typing

import httptools

from apricotpost.http import messages
from apricotpost.http import reading

__all__ = ["Exchange", "Limits", "Listener"]

BACKLOG_CONNECTIONS = 1024
# Requests of one connection that may be open at the same time; reading is
# paused at this number.
MAX_PIPELINED_REQUESTS = 32
# Interval at which a connection checks its header and idle time-outs.
TIMEOUT_CHECK_SECONDS = 1.0
# Time limit for receiving a request body. Clients wait a few seconds for the
# response, so a body that takes longer has nobody who waits.
BODY_SECONDS = 60.0
# Bytes of a request that are neither head nor body, such as chunk sizes. A
# chunk of one byte takes five more bytes.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_PER_BODY_BYTE = 8
# Time after which a closing connection is aborted if its client reads nothing
# of the last response.
CLOSE_SECONDS = 5.0

Handler = Callable[["Exchange"], None]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on what clients may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest request head and largest body.
    header_seconds : float
        Time limit for receiving a request head.
    idle_seconds : float
        Longest time that a connection may be idle.
    buffered_bytes : int
        Largest total size of the request bodies that the listener holds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0
    buffered_bytes: int = 128 * 1024 * 1024


class Exchange:
    """One request and its response.

    Parameters
    ----------
    connection : Connection
        Connection that received the request.
    request : messages.Request
        The complete request.
    keep_alive : bool
        Whether the connection stays open after the response.
    arrived_at : float
        Time on the event loop's clock, in seconds.
    """

    __slots__ = (
        "arrived_at",
        "connection",
        "keep_alive",
        "on_disconnect",
        "encoded_response",
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
        self.encoded_response: bytes | None = None

    def respond(
        self, response: messages.Response, *, close: bool = False
    ) -> None:
        """Send the response once all earlier ones on the connection are sent.

        Later calls for the same request have no effect.
        """
        if self.encoded_response is not None:
            return
        self.on_disconnect = None
        self.connection.listener.buffered_body_bytes -= len(self.request.body)
        if close or self.connection.listener.closing:
            self.keep_alive = False
        self.encoded_response = messages.encode_response(
            response,
            close=not self.keep_alive,
            head=self.request.method == b"HEAD",
        )
        self.connection.flush()


class Listener:
    """HTTP server on one address.

    Parameters
    ----------
    handler : callable
        Called with each `Exchange`; `Exchange.respond` may be called later.
    limits : Limits
        Current limits; replaced when the configuration changes.
    """

    def __init__(self, *, handler: Handler, limits: Limits) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.closing = False
        self.buffered_body_bytes = 0
        self.server: asyncio.Server | None = None
        self.reader = reading.PortionReader()

    async def listen(self, host: str, port: int) -> None:
        """Start listening.

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
        """Send ``Connection: close`` with every response from now on."""
        self.closing = True

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        if self.server is not None:
            self.server.close()

    def count_open_exchanges(self) -> int:
        """Return the number of requests whose response is not written yet."""
        return sum(len(c.exchanges) for c in self.connections)

    def count_unsent_bytes(self) -> int:
        """Return the size of the responses that wait for their clients."""
        return sum(c.count_unsent_bytes() for c in self.connections)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.close()


class Connection(asyncio.BufferedProtocol):
    """Connection of one client."""

    def __init__(
        self, *, listener: Listener, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.listener = listener
        self.loop = loop
        self.transport: typing.Any = None
        self.peer_host = ""
        self.parser = httptools.HttpRequestParser(self)
        self.exchanges: collections.deque[Exchange] = collections.deque()
        self.last_activity_at = loop.time()
        self.timer: asyncio.TimerHandle | None = None
        self.ignores_input = False
        self.reading_paused = False
        self.receiving_request = False
        # Start of the request that is being received, and of closing.
        self.request_began_at = 0.0
        self.closing_since: float | None = None
        # Unsent bytes at the last check of a closing connection.
        self.unsent_bytes = 0
        # Bytes received since the last request began or ended.
        self.received_bytes = 0
        self.has_headers = False
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        # One buffer: an object for each chunk of a few bytes would take many
        # times the memory of the body.
        self.body = bytearray()
        self.header_bytes = 0
        self.body_bytes = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its time-out checks."""
        self.transport = transport
        peer_address = transport.get_extra_info("peername")
        self.peer_host = peer_address[0] if peer_address else ""
        self.listener.connections.add(self)
        self.timer = self.loop.call_later(
            TIMEOUT_CHECK_SECONDS, self.check_timeouts
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handlers of open requests of the disconnect."""
        self.listener.connections.discard(self)
        if self.timer is not None:
            self.timer.cancel()
        self.transport = None
        self.release_body()
        self.discard_exchanges()

    def release_body(self) -> None:
        """Drop the incomplete body of the request that is being received."""
        self.listener.buffered_body_bytes -= self.body_bytes
        self.body_bytes = 0
        self.body = bytearray()

    def discard_exchanges(self) -> None:
        """Notify the handlers of open requests that nobody waits for them."""
        exchanges = tuple(self.exchanges)
        self.exchanges.clear()
        for exchange in exchanges:
            if exchange.encoded_response is None:
                self.listener.buffered_body_bytes -= len(exchange.request.body)
                # A response that comes later is not sent.
                exchange.encoded_response = b""
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()
                exchange.on_disconnect = None

    def is_from(self, host: str) -> bool:
        """Return whether the client's IP address is `host`."""
        return self.peer_host == host

    def eof_received(self) -> bool:
        """Close the connection; a client that half-closes gets no response."""
        return False

    def count_unsent_bytes(self) -> int:
        """Return the size of the data that waits for the client."""
        if self.transport is None:
            return 0
        size: int = self.transport.get_write_buffer_size()
        return size

    def close(self) -> None:
        """Close the connection after buffered data is sent."""
        if self.transport is not None:
            self.closing_since = self.loop.time()
            self.unsent_bytes = self.count_unsent_bytes()
            self.transport.close()

    def is_stalled(self, now: float) -> bool:
        """Tell whether the client of a closing connection has stopped reading.

        A large response takes long on a slow link, so only the time since the
        last progress counts.
        """
        unsent_bytes = self.count_unsent_bytes()
        if unsent_bytes < self.unsent_bytes:
            self.unsent_bytes = unsent_bytes
            self.closing_since = now
        return (
            self.closing_since is not None
            and now - self.closing_since > CLOSE_SECONDS
        )

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        return self.listener.reader.buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, and pause if more is available."""
        reader = self.listener.reader
        self.data_received(reader.take(nbytes))
        reader.pause_if_full(self.transport, nbytes, self.resume_reading)

    def resume_reading(self) -> None:
        """Read on after a pause, unless too many requests are open."""
        if self.transport is not None and not self.reading_paused:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse data from the client."""
        self.last_activity_at = self.loop.time()
        if self.ignores_input:
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.ignores_input = True
        except httptools.HttpParserError:
            self.refuse(400)
            return
        self.check_size()

    def check_size(self) -> None:
        """Refuse a request whose head or framing comes without end."""
        if not self.receiving_request:
            return
        allowed = self.listener.limits.header_bytes + MAX_FRAMING_BYTES
        if self.has_headers:
            allowed += (1 + FRAMING_PER_BODY_BYTE) * self.body_bytes
        if self.received_bytes > allowed:
            self.refuse(400 if self.has_headers else 431)

    def refuse(self, status: int) -> None:
        """Respond with an error status, and close the connection after it."""
        if self.ignores_input:
            return
        self.ignores_input = True
        self.release_body()
        exchange = Exchange(
            connection=self,
            request=messages.Request(method=b"GET", target=b""),
            keep_alive=False,
            arrived_at=self.loop.time(),
        )
        self.exchanges.append(exchange)
        exchange.respond(messages.Response(status=status), close=True)

    def flush(self) -> None:
        """Write the responses that are ready, in the order of requests."""
        while (
            self.exchanges and self.exchanges[0].encoded_response is not None
        ):
            exchange = self.exchanges.popleft()
            if self.transport is None:
                continue
            self.transport.write(exchange.encoded_response)
            if not exchange.keep_alive:
                self.ignores_input = True
                self.discard_exchanges()
                self.close()
                return
        self.last_activity_at = self.loop.time()
        if self.reading_paused and self.transport is not None:
            self.reading_paused = False
            self.transport.resume_reading()

    def check_timeouts(self) -> None:
        """Close the connection if it is idle or its request head is late."""
        if self.transport is None:
            return
        limits = self.listener.limits
        now = self.loop.time()
        idle_seconds = now - self.last_activity_at
        receiving_seconds = now - self.request_began_at
        if self.closing_since is not None:
            if self.is_stalled(now):
                self.transport.abort()
                return
        elif not self.exchanges:
            if self.receiving_request and (
                idle_seconds > limits.header_seconds
                or receiving_seconds
                > (
                    limits.header_seconds + BODY_SECONDS
                    if self.has_headers
                    else limits.header_seconds
                )
            ):
                self.refuse(408)
            elif idle_seconds > limits.idle_seconds:
                self.close()
        self.timer = self.loop.call_later(
            TIMEOUT_CHECK_SECONDS, self.check_timeouts
        )

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        self.receiving_request = True
        self.request_began_at = self.loop.time()
        self.received_bytes = 0
        self.has_headers = False
        self.target = b""
        self.headers = []
        self.release_body()
        self.header_bytes = 0

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the request target."""
        self.target += url
        self.add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self.headers.append((name, value))
        self.add_header_bytes(len(name) + len(value) + 4)

    def add_header_bytes(self, size: int) -> None:
        """Add to the size of the request head, and refuse it if too large."""
        self.header_bytes += size
        if self.header_bytes > self.listener.limits.header_bytes:
            self.refuse(431)

    def on_headers_complete(self) -> None:
        """Refuse an ambiguous head, or send 100 Continue if expected.

        A head is ambiguous unless it has exactly one Host header.
        """
        self.has_headers = True
        headers = tuple(self.headers)
        host_count = sum(name.lower() == b"host" for name, _ in headers)
        if host_count != 1:
            self.refuse(400)
            return
        expect_header = messages.find_header(headers, b"expect")
        if (
            expect_header is not None
            and not self.exchanges
            and not self.ignores_input
        ):
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body, and refuse it if it exceeds a limit."""
        if self.ignores_input:
            return
        if self.body_bytes + len(body) > self.listener.limits.body_bytes:
            self.refuse(413)
            return
        self.body_bytes += len(body)
        self.listener.buffered_body_bytes += len(body)
        self.body += body
        if (
            self.listener.buffered_body_bytes
            > self.listener.limits.buffered_bytes
        ):
            self.refuse(503)

    def on_message_complete(self) -> None:
        """Pass the request to the handler."""
        self.receiving_request = False
        if self.ignores_input:
            return
        exchange = Exchange(
            connection=self,
            request=messages.Request(
                method=self.parser.get_method(),
                target=self.target,
                headers=tuple(self.headers),
                body=bytes(self.body),
            ),
            keep_alive=self.parser.should_keep_alive(),
            arrived_at=self.loop.time(),
        )
        # From here on the exchange accounts for the buffered body.
        self.body_bytes = 0
        self.body = bytearray()
        self.received_bytes = 0
        self.exchanges.append(exchange)
        if len(self.exchanges) >= MAX_PIPELINED_REQUESTS:
            self.reading_paused = True
            self.transport.pause_reading()
        self.listener.handler(exchange)
