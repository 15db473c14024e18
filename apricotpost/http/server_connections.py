"""Connections of an HTTP listener: responses, their order and time-outs."""

import asyncio
import collections
import typing

from apricotpost.http import exchanges
from apricotpost.http import messages
from apricotpost.http import receiving
from apricotpost.http import unread
from apricotpost import memory

__all__ = ["CONNECTION_BYTES", "Connection"]

# Requests of one connection that may be open at the same time; reading is
# paused at this number.
MAX_PIPELINED_REQUESTS = 32
# Interval at which a connection checks its header and idle time-outs.
TIMEOUT_CHECK_SECONDS = 1.0
# Time limit for receiving a request body. Clients wait a few seconds for the
# response, so a body that takes longer has nobody who waits.
BODY_SECONDS = 60.0
# Time after which a closing connection is aborted if its client reads nothing
# of the last response.
CLOSE_SECONDS = 5.0
# Memory of an open connection, with a common head of a request.
CONNECTION_BYTES = 8 * 1024


class Connection(asyncio.BufferedProtocol):
    """Connection of one client.

    Parameters
    ----------
    listener : server.Listener
        Listener that has accepted it.
    loop : asyncio.AbstractEventLoop
        Event loop of the listener.
    """

    def __init__(
        self, *, listener: typing.Any, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.listener = listener
        self.loop = loop
        self.transport: typing.Any = None
        self.peer_host = ""
        self.state = listener.room.open(memory.Holder.CONNECTION)
        self.exchanges: collections.deque[exchanges.Exchange] = (
            collections.deque()
        )
        self.ignores_input = False
        self.receiver = receiving.RequestReceiver(connection=self, loop=loop)
        self.unread: unread.UnreadResponses | None = None
        # Whether the client has yet to read what is written.
        self.writing_paused = False
        self.last_activity_at = loop.time()
        self.is_closing = False
        self.timer: asyncio.TimerHandle | None = None

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that is being received."""
        return self.receiver.body_bytes

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection and start its time-out checks."""
        self.transport = transport
        peer_address = transport.get_extra_info("peername")
        self.peer_host = peer_address[0] if peer_address else ""
        if not self.listener.admit(self):
            self.transport.abort()
            return
        # Every byte that the client does not read at once is noticed.
        self.transport.set_write_buffer_limits(high=0)
        self.unread = unread.UnreadResponses(
            transport=transport, now=self.loop.time()
        )
        self.timer = self.loop.call_later(
            TIMEOUT_CHECK_SECONDS, self.check_timeouts
        )

    def connection_lost(self, exc: Exception | None) -> None:
        """Notify the handlers of open requests of the disconnect."""
        self.listener.remove(self)
        if self.timer is not None:
            self.timer.cancel()
        self.transport = None
        self.ignores_input = True
        self.receiver.discard()
        self.discard_exchanges()
        if self.unread is not None:
            self.unread.release()
        self.state.release()

    def discard_exchanges(self) -> None:
        """Notify the handlers of open requests that nobody waits for them."""
        discarded = tuple(self.exchanges)
        self.exchanges.clear()
        for exchange in discarded:
            exchange.discard()

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
            self.is_closing = True
            if self.unread is not None:
                self.unread.restart(self.loop.time())
            self.transport.close()

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        if self.transport is not None:
            self.transport.abort()

    # Reading.

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        buffer: bytearray = self.listener.reader.buffer
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, and pause if more is available."""
        reader = self.listener.reader
        self.data_received(reader.take(nbytes))
        reader.pause_if_full(self.transport, nbytes, self.update_reading)

    def data_received(self, data: bytes) -> None:
        """Parse data from the client."""
        self.last_activity_at = self.loop.time()
        if not self.ignores_input:
            self.receiver.feed(data)

    def update_reading(self) -> None:
        """Read unless requests, a body or a response have to wait."""
        if self.transport is None or self.transport.is_closing():
            return
        reads = (
            not self.writing_paused
            and self.receiver.wait is None
            and len(self.exchanges) < MAX_PIPELINED_REQUESTS
        )
        if reads == self.transport.is_reading():
            return
        if reads:
            self.transport.resume_reading()
        else:
            self.transport.pause_reading()

    def accept_request(
        self,
        request: messages.Request,
        *,
        keep_alive: bool,
        held: tuple[memory.Reservation, ...],
    ) -> None:
        """Pass a complete request to the handler."""
        exchange = exchanges.Exchange(
            connection=self,
            request=request,
            keep_alive=keep_alive,
            arrived_at=self.loop.time(),
            held=held,
        )
        self.exchanges.append(exchange)
        self.update_reading()
        self.listener.handler(exchange)

    # Writing.

    def send_continue(self) -> None:
        """Tell the client to send the body of its request."""
        if self.transport is not None and not self.ignores_input:
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def refuse(self, status: int) -> None:
        """Respond with an error status, and close the connection after it."""
        if self.ignores_input:
            return
        self.ignores_input = True
        self.receiver.discard()
        exchange = exchanges.Exchange(
            connection=self,
            request=messages.Request(method=b"GET", target=b""),
            keep_alive=False,
            arrived_at=self.loop.time(),
        )
        self.exchanges.append(exchange)
        exchange.respond(messages.Response(status=status), close=True)

    def flush(self) -> None:
        """Write the responses that are ready, in the order of requests.

        A response waits until the client has read the one before it.
        """
        while (
            self.transport is not None
            and not self.writing_paused
            and self.exchanges
            and self.exchanges[0].response_parts is not None
        ):
            exchange = self.exchanges.popleft()
            self.write(exchange)
            if not exchange.keep_alive:
                self.ignores_input = True
                self.receiver.discard()
                self.discard_exchanges()
                self.close()
                return
        self.last_activity_at = self.loop.time()
        if (
            self.transport is not None
            and not self.writing_paused
            and not self.exchanges
            and not self.receiver.receiving_request
        ):
            self.listener.mark_idle(self)
        self.update_reading()

    def write(self, exchange: exchanges.Exchange) -> None:
        """Write a response, and return its memory once the client has it."""
        parts, exchange.response_parts = exchange.response_parts or (), ()
        for part in parts:
            self.transport.write(part)
        unsent = exchange.unsent
        if not self.writing_paused:
            if unsent is not None:
                unsent.release()
            return
        if unsent is None and len(parts) == 1:
            # Small, and so not reserved before.
            unsent = self.listener.room.open(memory.Holder.UNSENT)
            if not self.listener.room.grow(unsent, len(parts[0])):
                self.transport.abort()
        if unsent is not None and self.unread is not None:
            self.unread.held.append(unsent)

    def is_next(self, exchange: exchanges.Exchange) -> bool:
        """Return whether a response would be written at once."""
        return not self.writing_paused and self.exchanges[0] is exchange

    def pause_writing(self) -> None:
        """Count the written responses as unread; called by the transport."""
        self.writing_paused = True
        self.listener.mark_busy(self)
        self.listener.unread.add(self)
        if self.unread is not None:
            self.unread.restart(self.loop.time())
        self.update_reading()

    def resume_writing(self) -> None:
        """Write further responses; called when the transport's are read."""
        self.writing_paused = False
        self.listener.unread.discard(self)
        if self.unread is not None:
            self.unread.release()
        if not self.is_closing:
            self.flush()

    def unread_stalled_seconds(self, now: float) -> float:
        """Return for how long the client has read almost nothing."""
        if self.unread is None or self.transport is None:
            return 0.0
        self.unread.observe(now)
        return now - self.unread.pace.since

    # Time-outs.

    def check_timeouts(self) -> None:
        """Close the connection if it is idle or its request head is late."""
        if self.transport is None or self.unread is None:
            return
        limits = self.listener.limits
        now = self.loop.time()
        idle_seconds = now - self.last_activity_at
        if self.writing_paused or self.is_closing:
            # A large response takes long on a slow link, so only the time
            # since the last progress counts.
            self.unread.observe(now)
            stalled_seconds = now - self.unread.progress.since
            allowed_seconds = CLOSE_SECONDS
            if not self.is_closing:
                allowed_seconds += limits.idle_seconds
            if stalled_seconds > allowed_seconds:
                self.transport.abort()
                return
        elif not self.exchanges:
            if self.receiver.receiving_request and self.is_late(now):
                self.refuse(408)
            elif idle_seconds > limits.idle_seconds:
                self.close()
        self.timer = self.loop.call_later(
            TIMEOUT_CHECK_SECONDS, self.check_timeouts
        )

    def is_late(self, now: float) -> bool:
        """Return whether a request that is received has taken too long."""
        header_seconds: float = self.listener.limits.header_seconds
        allowed_seconds = header_seconds
        if self.receiver.has_headers:
            allowed_seconds += BODY_SECONDS
        return (
            now - self.last_activity_at > header_seconds
            or now - self.receiver.began_at > allowed_seconds
        )
