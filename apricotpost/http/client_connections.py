"""Connections of an HTTP client, each with one request at a time."""

import asyncio
import re
import typing

import httptools

from apricotpost import heads
from apricotpost.http import bodies
from apricotpost.http import messages
from apricotpost.http import reading
from apricotpost.http import requests
from apricotpost import memory

__all__ = ["Connection"]

# The server may already be closing a connection whose announced keep-alive
# time-out ends within this time.
KEEP_ALIVE_MARGIN_SECONDS = 0.5
# Bytes of a response that are not body: status line, headers, trailers, chunk
# sizes and interim responses. A chunk of one byte takes five more bytes, hence
# the allowance for each byte of the body.
MAX_OVERHEAD_BYTES = 64 * 1024
OVERHEAD_PER_BODY_BYTE = 8
# The objects of a header take over a hundred bytes beside its text, so that
# the bytes of a head do not bound its memory.
MAX_HEADERS = 1000
# More digits than nine are no time-out that a server can mean.
_KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d{1,9})")


class Connection(asyncio.BufferedProtocol):
    """A connection, which carries one request at a time."""

    def __init__(self, *, client: typing.Any) -> None:
        self.client = client
        self.transport: typing.Any = None
        self.handle: requests.RequestHandle | None = None
        self.parser: typing.Any = None
        self.is_head_request = False
        self.request_count = 0
        # Bytes received, and those of them that are body, since the request
        # was sent.
        self.received_bytes = 0
        self.received_body_bytes = 0
        # Bytes received when the last part of a body came.
        self.parsed_bytes = 0
        # The body that is being received, and its wait for memory.
        self.body: bodies.BodyBuffer | None = None
        self.wait: memory.Wait | None = None
        self.lacks_memory = False
        self.idle_since = 0.0
        self.reuse_seconds = client.max_idle_seconds
        # Whether a response to an earlier request has arrived late, so that
        # more of them may follow.
        self.out_of_step = False
        self.reset_response()

    def reset_response(self) -> None:
        """Clear the state of the previous response."""
        self.reason = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.discard_body()
        self.has_headers = False
        self.is_complete = False
        self.has_extra_data = False
        self.status = 0
        self.keep_alive = False

    @property
    def body_bytes(self) -> int:
        """Bytes of the body that is being received."""
        return 0 if self.body is None else self.body.size

    def discard_body(self) -> None:
        """Drop what was received of the body."""
        self.client.room.cancel(self.wait)
        self.wait = None
        if self.body is not None:
            self.body.discard()
            self.body = None

    def start(
        self, request: messages.Request, handle: requests.RequestHandle
    ) -> None:
        """Send a request on this connection."""
        self.request_count += 1
        self.received_bytes = 0
        self.received_body_bytes = 0
        self.parsed_bytes = 0
        self.out_of_step = False
        self.lacks_memory = False
        self.handle = handle
        handle.connection = self
        self.is_head_request = request.method == b"HEAD"
        self.parser = httptools.HttpResponseParser(self)
        self.reset_response()
        if not self.is_open():
            self.report_failure(requests.Failure.CONNECTION_LOST)
            return
        if handle.before_send is not None and not handle.before_send(
            self.transport
        ):
            self.abort()
            self.report_failure(requests.Failure.NOT_CONNECTED)
            return
        # uvloop sends the parts from where they are, without a copy.
        self.transport.writelines(messages.split_request(request))
        if handle.on_sent is not None:
            handle.on_sent()

    def is_open(self) -> bool:
        """Return whether the connection can carry a request."""
        return self.transport is not None and not self.transport.is_closing()

    def abort(self) -> None:
        """Close the connection without sending buffered data."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and register with the client."""
        self.transport = transport
        self.client.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Complete or fail the open request, if any."""
        self.transport = None
        self.client.connections.discard(self)
        if self in self.client.idle_connections:
            self.client.idle_connections.remove(self)
        if self.handle is None:
            self.discard_body()
            return
        if exc is None and self.has_headers and self.is_delimited_by_close():
            self.finish_response()
        if self.is_complete:
            self.report_response()
        else:
            self.report_failure(requests.Failure.CONNECTION_LOST)

    def is_delimited_by_close(self) -> bool:
        """Return whether only the close of the connection ends the body."""
        headers = tuple(self.headers)
        return (
            messages.find_header(headers, b"content-length") is None
            and messages.find_header(headers, b"transfer-encoding") is None
        )

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next read."""
        buffer: bytearray = self.client.reader.buffer
        return buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse what was read, and pause if more is available."""
        reader = self.client.reader
        self.data_received(reader.take(nbytes))
        reader.pause_if_full(self.transport, nbytes, self.resume_reading)

    def resume_reading(self) -> None:
        """Read on after a pause, unless the body waits for memory."""
        if self.is_open() and self.wait is None:
            self.transport.resume_reading()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self.handle is None:
            # No request is open, so these bytes belong to no response.
            self.abort()
            return
        if not self.received_bytes and data.lstrip(b"\r\n")[:1] not in b"H":
            # The parser also takes responses of RTSP and ICE.
            self.fail_as_malformed()
            return
        self.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self.is_complete:
                self.fail_as_malformed()
                return
            self.has_extra_data = True
        if self.is_complete:
            self.report_response()
        elif self.lacks_memory:
            self.fail_for_memory()
        elif self.handle is not None and self.exceeds_limits():
            # Bytes that are no response may come without end.
            self.fail_as_malformed()
        elif self.body is not None:
            self.reserve_next(self.body)

    def reserve_next(self, body: bodies.BodyBuffer) -> None:
        """Reserve the memory of the next portion; wait if there is none."""
        missing_bytes = body.missing_bytes()
        if not missing_bytes:
            return
        self.wait = self.client.room.grow_or_wait(
            body.reservation,
            missing_bytes,
            on_granted=self.expand_body,
            on_refused=self.fail_for_memory,
        )
        if self.wait is not None and self.is_open():
            self.transport.pause_reading()

    def expand_body(self) -> None:
        """Receive the rest of a body whose memory is reserved."""
        has_waited = self.wait is not None
        self.wait = None
        if self.body is not None:
            self.body.expand()
        if has_waited:
            self.resume_reading()

    def fail_as_malformed(self) -> None:
        """Fail the request, as the server sends what is no response."""
        self.abort()
        self.report_failure(requests.Failure.MALFORMED)

    def fail_for_memory(self) -> None:
        """Fail the request, as its response does not fit into memory."""
        self.wait = None
        self.abort()
        self.report_failure(requests.Failure.NO_MEMORY)

    def exceeds_limits(self) -> bool:
        """Return whether the response is too large or is no response.

        The parser keeps an incomplete header, chunk size or trailer to
        itself, so that only the bytes since the last body show them.
        """
        overhead_bytes = self.received_bytes - self.received_body_bytes
        unparsed_bytes = self.received_bytes - self.parsed_bytes
        size = self.body_bytes
        if self.body is not None:
            size = max(size, self.body.declared_bytes or 0)
        return (
            size > self.client.max_response_bytes
            or unparsed_bytes > MAX_OVERHEAD_BYTES
            or overhead_bytes
            > MAX_OVERHEAD_BYTES
            + OVERHEAD_PER_BODY_BYTE * self.received_body_bytes
        )

    def report_failure(self, failure: requests.Failure) -> None:
        """Fail the open request."""
        handle = self.handle
        self.handle = None
        self.reset_response()
        if handle is not None:
            handle.connection = None
            handle.finish(
                requests.Result(failure=failure, reused=self.request_count > 1)
            )

    def report_response(self) -> None:
        """Report the response, and pool or close the connection."""
        handle = self.handle
        self.handle = None
        self.client.room.cancel(self.wait)
        self.wait = None
        body, self.body = self.body, None
        response = messages.Response(
            status=self.status,
            headers=tuple(self.headers),
            body=b"" if body is None else body.finish(),
        )
        if body is not None and len(response.body) <= memory.SMALL_BYTES:
            # A small body is counted again where it is kept.
            body.reservation.release()
        self.release(response.headers)
        self.reset_response()
        if handle is not None:
            handle.connection = None
            handle.finish(
                requests.Result(
                    response=response, reused=self.request_count > 1
                )
            )

    def release(self, headers: messages.Headers) -> None:
        """Return the connection to the pool, or close it if not reusable."""
        if not self.is_open():
            return
        if (
            self.has_extra_data
            or self.out_of_step
            or self.is_head_request
            or not self.keep_alive
            or self.is_delimited_by_close()
        ):
            self.transport.close()
            return
        if self.transport.get_write_buffer_size():
            # The server does not read the rest of the request.
            self.transport.abort()
            return
        self.reuse_seconds = self.client.max_idle_seconds
        announced = messages.find_header(headers, b"keep-alive")
        timeout_match = (
            _KEEP_ALIVE_TIMEOUT.search(announced)
            if announced is not None
            else None
        )
        if timeout_match is not None:
            self.reuse_seconds = min(
                self.reuse_seconds,
                int(timeout_match.group(1)) - KEEP_ALIVE_MARGIN_SECONDS,
            )
        self.idle_since = self.client.loop.time()
        self.client.idle_connections.append(self)

    # Callbacks of the httptools parser.

    def on_message_begin(self) -> None:
        """Record that another message follows the complete response."""
        if self.is_complete:
            self.has_extra_data = True

    def on_status(self, reason: bytes) -> None:
        """Store a piece of the reason phrase."""
        if not self.is_complete:
            self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped (RFC 9110, section 6.5.1).

        Raises
        ------
        ValueError
            There are too many; the parser then stops with an error.
        """
        if self.is_complete or self.has_headers:
            return
        if len(self.headers) >= MAX_HEADERS:
            raise ValueError(f"the head has over {MAX_HEADERS} fields")
        self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head; finish the response if the request was HEAD.

        Raises
        ------
        ValueError
            The head is invalid; the parser then stops with an error.
        """
        if self.is_complete:
            return
        status = self.parser.get_status_code()
        fault = heads.find_fault(
            version=self.parser.get_http_version(),
            status=status,
            reason=self.reason,
            headers=self.headers,
        )
        if fault:
            raise ValueError(fault)
        self.has_headers = True
        if self.is_head_request and status >= 200:
            self.finish_response()

    def on_body(self, body: bytes) -> None:
        """Store a chunk of the body, if there is memory for its start."""
        if self.is_complete or self.lacks_memory:
            return
        self.parsed_bytes = self.received_bytes
        if self.body is None:
            room = self.client.room
            self.body = bodies.BodyBuffer(
                reservation=room.open(memory.Holder.RESPONSE),
                declared_bytes=self.read_declared_bytes(),
            )
            # Smaller responses are not counted while they are received: there
            # are at most as many as the server has slots.
            if (
                self.body.declared_bytes is None
                or self.body.declared_bytes > reading.READ_BYTES
            ) and not room.grow(
                self.body.reservation, self.body.first_bytes()
            ):
                self.lacks_memory = True
                return
        self.received_body_bytes += len(body)
        self.body.append(body)

    def read_declared_bytes(self) -> int | None:
        """Return the size of the body that the head states, if any."""
        value = messages.find_header(tuple(self.headers), b"content-length")
        if value is None or not value.isdigit():
            return None
        # A larger body is refused before it is received.
        largest_bytes: int = self.client.max_response_bytes
        return min(int(value), largest_bytes + 1)

    def on_message_complete(self) -> None:
        """Finish the response, or discard an interim (1xx) one."""
        if self.is_complete:
            return
        if 100 <= self.parser.get_status_code() < 200:
            self.reset_response()
            return
        self.finish_response()

    def finish_response(self) -> None:
        """Store the status and keep-alive flag before more data is parsed.

        A response to another request is skipped.
        """
        self.status = self.parser.get_status_code()
        self.keep_alive = self.parser.should_keep_alive()
        verdict = requests.Verdict.ACCEPT
        if self.handle is not None and self.handle.check is not None:
            verdict = self.handle.check(self.status, tuple(self.headers))
        if verdict is not requests.Verdict.ACCEPT:
            self.out_of_step = True
        if verdict is requests.Verdict.OTHER_REQUEST:
            self.reset_response()
            return
        self.is_complete = True
