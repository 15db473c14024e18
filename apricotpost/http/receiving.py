"""Receives the requests of one connection, within limits and memory."""

import asyncio
import typing

import httptools

from apricotpost.http import bodies
from apricotpost.http import messages
from apricotpost.http import unread
from apricotpost import memory

__all__ = ["RequestReceiver"]

# Bytes of a request that are neither head nor body, such as chunk sizes. A
# chunk of one byte takes five more bytes.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_PER_BODY_BYTE = 8
# Memory for the objects of one header beside its bytes.
HEADER_OVERHEAD_BYTES = 150
# Memory of a head that the reservation of each connection contains.
COMMON_HEAD_BYTES = 4 * 1024
# Step in which the reservation of a larger head grows.
HEAD_STEP_BYTES = 16 * 1024
# Memory for the state of a request in the whole node, with a common head.
EXCHANGE_BYTES = 6 * 1024


class RequestReceiver:
    """Parser of a connection, and the request that it receives.

    Parameters
    ----------
    connection : server_connections.Connection
        Gets the complete requests, and refusals by their status.
    loop : asyncio.AbstractEventLoop
        Event loop of the connection.
    """

    def __init__(
        self, *, connection: typing.Any, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.connection = connection
        self.listener = connection.listener
        self.room: memory.Room = connection.listener.room
        self.loop = loop
        self.parser = httptools.HttpRequestParser(self)
        self.receiving_request = False
        # Start of the request that is being received.
        self.began_at = 0.0
        # Bytes received since the last request began or ended, and their
        # number when the last bytes of the body came.
        self.received_bytes = 0
        self.parsed_bytes = 0
        self.has_headers = False
        self.expects_continue = False
        self.target = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.header_bytes = 0
        # Memory for what the head and the parser hold beyond the common head.
        self.head = self.room.open(memory.Holder.CONNECTION)
        self.body: bodies.BodyBuffer | None = None
        self.wait: memory.Wait | None = None
        self.progress = unread.Progress(now=0.0)

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that is being received."""
        return 0 if self.body is None else self.body.size

    def feed(self, data: bytes) -> None:
        """Parse data from the client."""
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.connection.ignores_input = True
        except httptools.HttpParserError:
            self.connection.refuse(400)
            return
        self.check_size()
        if self.body is not None and self.wait is None:
            self.reserve_next(self.body)

    def check_size(self) -> None:
        """Refuse a request whose head or framing comes without end.

        The parser keeps an incomplete header, chunk size or trailer to
        itself, so that only the bytes since the last body show them.
        """
        if not self.receiving_request or self.connection.ignores_input:
            return
        unparsed_bytes = self.received_bytes - self.parsed_bytes
        allowed = self.listener.limits.header_bytes + MAX_FRAMING_BYTES
        if unparsed_bytes > allowed:
            self.connection.refuse(400 if self.has_headers else 431)
            return
        if self.has_headers:
            allowed += (1 + FRAMING_PER_BODY_BYTE) * self.body_bytes
        if self.received_bytes > allowed:
            self.connection.refuse(400)
            return
        self.cover_head(unparsed_bytes)

    def cover_head(self, extra_bytes: int) -> None:
        """Reserve memory for the head and for what the parser holds."""
        size = (
            self.header_bytes
            + HEADER_OVERHEAD_BYTES * len(self.headers)
            + extra_bytes
            - COMMON_HEAD_BYTES
        )
        if size <= self.head.size:
            return
        steps = -(-(size - self.head.size) // HEAD_STEP_BYTES)
        if not self.room.grow(self.head, steps * HEAD_STEP_BYTES):
            self.refuse_for_memory()

    def reserve_next(self, body: bodies.BodyBuffer) -> None:
        """Reserve the next portion of a body; wait if there is no memory."""
        missing_bytes = body.missing_bytes()
        if not missing_bytes:
            self.expand_body()
            return
        self.wait = self.room.grow_or_wait(
            body.reservation,
            missing_bytes,
            on_granted=self.expand_body,
            on_refused=self.refuse_for_memory,
        )
        if self.wait is not None:
            self.connection.update_reading()

    def expand_body(self) -> None:
        """Receive the rest of a body whose memory is reserved."""
        self.wait = None
        if self.body is None:
            return
        self.body.expand()
        now = self.loop.time()
        self.connection.last_activity_at = now
        self.progress = unread.Progress(now=now, size=self.body.size)
        if self.expects_continue:
            self.expects_continue = False
            self.connection.send_continue()
        self.connection.update_reading()

    def refuse_for_memory(self) -> None:
        """Answer 503: nothing of the request was forwarded."""
        self.wait = None
        self.connection.refuse(503)
        self.listener.report_no_memory()

    def stalled_seconds(self, now: float) -> float:
        """Return for how long the client has sent almost nothing."""
        return 0.0 if self.wait is not None else now - self.progress.since

    def discard(self) -> None:
        """Drop the incomplete request."""
        self.room.cancel(self.wait)
        self.wait = None
        self.listener.receiving.discard(self.connection)
        self.head.release()
        if self.body is not None:
            self.body.discard()
            self.body = None

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Reset the state for a new request."""
        if self.connection.ignores_input:
            return
        self.discard()
        self.receiving_request = True
        self.began_at = self.loop.time()
        self.received_bytes = 0
        self.parsed_bytes = 0
        self.has_headers = False
        self.expects_continue = False
        self.target = b""
        self.headers = []
        self.header_bytes = 0
        if not self.connection.exchanges:
            self.listener.mark_idle(self.connection)

    def on_url(self, url: bytes) -> None:
        """Append a chunk of the request target."""
        self.target += url
        self.add_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped (RFC 9110, section 6.5.1).

        One read brings at most a few thousand headers; `feed` and
        `on_message_complete` reserve their memory.
        """
        if not self.has_headers and not self.connection.ignores_input:
            self.headers.append((name, value))
        self.add_header_bytes(len(name) + len(value) + 4)

    def add_header_bytes(self, size: int) -> None:
        """Add to the size of the request head, and refuse it if too large."""
        self.header_bytes += size
        if self.header_bytes > self.listener.limits.header_bytes:
            self.connection.refuse(431)

    def on_headers_complete(self) -> None:
        """Refuse an ambiguous head or a body without memory for its start.

        A head is ambiguous unless it has exactly one Host header.
        """
        self.has_headers = True
        if self.connection.ignores_input:
            return
        self.listener.mark_busy(self.connection)
        host_count = 0
        declared_bytes: int | None = 0
        expects_continue = False
        for name, value in self.headers:
            lower_name = name.lower()
            if lower_name == b"host":
                host_count += 1
            elif lower_name == b"content-length":
                # The parser accepts only digits, and no chunks beside it.
                declared_bytes = int(value)
            elif lower_name == b"transfer-encoding":
                declared_bytes = None
            elif lower_name == b"expect":
                expects_continue = True
        if host_count != 1:
            self.connection.refuse(400)
            return
        if declared_bytes == 0:
            return
        if (declared_bytes or 0) > self.listener.limits.body_bytes:
            self.connection.refuse(413)
            return
        body = bodies.BodyBuffer(
            reservation=self.room.open(memory.Holder.REQUEST),
            declared_bytes=declared_bytes,
        )
        if not self.room.grow(body.reservation, body.first_bytes()):
            self.refuse_for_memory()
            return
        self.body = body
        self.progress = unread.Progress(now=self.loop.time())
        self.listener.receiving.add(self.connection)
        self.expects_continue = (
            expects_continue and not self.connection.exchanges
        )

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body, and refuse it if it exceeds a limit."""
        if self.connection.ignores_input or self.body is None:
            return
        size = self.body.size + len(body)
        if size > self.listener.limits.body_bytes:
            self.connection.refuse(413)
            return
        self.parsed_bytes = self.received_bytes
        self.body.append(body)
        self.progress.record(
            size,
            self.connection.last_activity_at,
            min_bytes=unread.MIN_PROGRESS_BYTES,
        )

    def on_message_complete(self) -> None:
        """Pass the request on, with the reservations that belong to it."""
        self.receiving_request = False
        if self.connection.ignores_input:
            return
        self.cover_head(0)
        if self.connection.ignores_input:
            return
        state = self.room.open(memory.Holder.CONNECTION)
        if not self.room.grow(state, EXCHANGE_BYTES):
            self.refuse_for_memory()
            return
        held = [state]
        if self.head.size:
            held.append(self.head)
            self.head = self.room.open(memory.Holder.CONNECTION)
        body, self.body = self.body, None
        content: messages.Body = b""
        if body is not None:
            content = body.finish()
            if memory.find_reservation(content) is None:
                held.append(body.reservation)
        self.listener.receiving.discard(self.connection)
        self.received_bytes = 0
        self.connection.accept_request(
            messages.Request(
                method=self.parser.get_method(),
                target=self.target,
                headers=tuple(self.headers),
                body=content,
            ),
            keep_alive=self.parser.should_keep_alive(),
            held=tuple(held),
        )
