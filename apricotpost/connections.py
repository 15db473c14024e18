"""Connections of urllib3 that accept only well-formed responses.

`http.client` is lenient: it takes the end of a connection for the end of the
head, ignores the header fields after a line that is none, and reads bodies
with invalid chunk sizes. Such a response would be delivered without some of
its headers or with another body. Here, `httptools` checks each head and
decodes the chunked bodies, as in the event-loop node.
"""

import http.client
import io
import time
import typing

import httptools
import urllib3
import urllib3.connection

from apricotpost import heads

__all__ = ["Connection", "MalformedResponse", "make_pool", "read_body"]

READ_BYTES = 64 * 1024
# Bytes of a head, with the interim responses before it; also the bytes of
# chunk sizes and trailers between two parts of a body.
MAX_OVERHEAD_BYTES = 64 * 1024


class MalformedResponse(http.client.HTTPException):
    """The server has sent bytes that are no response."""


class _Decoder:
    """Parser of one response and the decoded part of its body."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.status = 0
        self.reason = b""
        self.headers: list[tuple[bytes, bytes]] = []
        self.is_complete = False
        self.body = bytearray()

    def feed(self, data: bytes) -> None:
        """Parse the next bytes; those after the response are ignored.

        Raises
        ------
        MalformedResponse
            The bytes are no part of a response.
        """
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            if not self.is_complete:
                raise MalformedResponse(str(e.__context__ or e)) from e

    # Callbacks of the httptools parser.

    def on_status(self, reason: bytes) -> None:
        """Store a piece of the reason phrase."""
        self.reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header; trailers are dropped (RFC 9110, section 6.5.1)."""
        if not self.status:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head."""
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
        self.status = status

    def on_body(self, body: bytes) -> None:
        """Store a part of the body."""
        if not self.is_complete:
            self.body += body

    def on_message_complete(self) -> None:
        """Record the end of the response."""
        self.is_complete = True


class _TimedReader(io.RawIOBase):
    """Reads a response from a socket within the socket's time-out.

    The time-out of a socket restarts with each read, so that it does not end
    a response that comes byte by byte.
    """

    def __init__(self, *, sock: typing.Any, file: io.RawIOBase) -> None:
        self.sock = sock
        self.file = file
        seconds: float | None = sock.gettimeout()
        self.ends_at = None if seconds is None else time.monotonic() + seconds

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what is there into a buffer, and return the number of bytes.

        Raises
        ------
        TimeoutError
            The time for the whole response has passed.
        """
        if self.ends_at is not None:
            remaining = self.ends_at - time.monotonic()
            if remaining <= 0:
                raise TimeoutError("the response takes too long")
            self.sock.settimeout(remaining)
        return self.file.readinto(buffer)

    def close(self) -> None:
        """Close the file."""
        self.file.close()
        super().close()


class _ChunkReader(io.RawIOBase):
    """Reads the decoded body of a response in chunks.

    Parameters
    ----------
    file : io.BufferedReader
        The response after its head.
    decoder : _Decoder
        Decoder that has parsed the head.
    """

    def __init__(self, *, file: io.BufferedReader, decoder: _Decoder) -> None:
        self.file = file
        self.decoder = decoder

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: typing.Any) -> int:
        """Decode the next part of the body, and return its size.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended before the body.
        MalformedResponse
            The bytes are no chunked body.
        """
        body = self.decoder.body
        overhead_bytes = 0
        while not body and not self.decoder.is_complete:
            if overhead_bytes > MAX_OVERHEAD_BYTES:
                raise MalformedResponse(
                    f"{overhead_bytes} bytes of chunk sizes or trailers"
                )
            data = self.file.read1(READ_BYTES)
            if not data:
                raise http.client.IncompleteRead(b"")
            self.decoder.feed(data)
            overhead_bytes += len(data)
        size = min(len(buffer), len(body))
        buffer[:size] = body[:size]
        del body[:size]
        return size

    def close(self) -> None:
        """Close the file."""
        self.file.close()
        super().close()


class _Response(http.client.HTTPResponse):
    """Response whose head, and whose chunks, are well-formed."""

    fp: typing.Any

    def __init__(
        self, sock: typing.Any, *args: typing.Any, **kwargs: typing.Any
    ) -> None:
        super().__init__(sock, *args, **kwargs)
        self.fp = io.BufferedReader(
            _TimedReader(sock=sock, file=self.fp.detach())
        )

    def begin(self) -> None:
        """Read the head of the response, and skip interim responses.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended in the middle of the head.
        MalformedResponse
            The head is invalid or too long.
        """
        if self.headers is not None:
            return
        file = self.fp
        head, decoder = _read_final_head(file)
        self.fp = io.BytesIO(head)
        try:
            super().begin()
        finally:
            self.fp = file
        if self.chunked:
            self.fp = io.BufferedReader(
                _ChunkReader(file=file, decoder=decoder), READ_BYTES
            )
            # The reader decodes the chunks.
            self.chunked = False


def _read_final_head(file: io.BufferedReader) -> tuple[bytes, _Decoder]:
    """Return the first head that is not interim, and its decoder."""
    size = 0
    while True:
        head = _read_head(file, MAX_OVERHEAD_BYTES - size)
        size += len(head)
        decoder = _Decoder()
        decoder.feed(head)
        if not decoder.status:
            raise MalformedResponse("the response has no status line")
        if decoder.status >= 200:
            return head, decoder


def _read_head(file: io.BufferedReader, max_bytes: int) -> bytes:
    """Read lines up to an empty one."""
    head = b""
    line = b""
    while line not in (b"\r\n", b"\n"):
        line = file.readline(max_bytes - len(head) + 1)
        head += line
        if not head:
            raise http.client.RemoteDisconnected("there is no response")
        if len(head) > max_bytes:
            raise MalformedResponse(f"the head has over {max_bytes} bytes")
        if not line.endswith(b"\n"):
            raise http.client.IncompleteRead(head)
    return head


class Connection(urllib3.connection.HTTPConnection):
    """Connection that accepts only well-formed responses."""

    response_class = _Response


class _SecureConnection(urllib3.connection.HTTPSConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


def make_pool(**options: typing.Any) -> urllib3.PoolManager:
    """Return a pool of such connections.

    Parameters
    ----------
    **options
        Parameters of `urllib3.PoolManager`.
    """
    pool = urllib3.PoolManager(**options)
    pool.pool_classes_by_scheme = {"http": _Pool, "https": _SecurePool}
    return pool


def read_body(response: urllib3.BaseHTTPResponse, *, max_bytes: int) -> bytes:
    """Read the body of a response whose content is not preloaded.

    Parameters
    ----------
    response : urllib3.BaseHTTPResponse
        Response of a connection of this module, which limits its time.
    max_bytes : int
        Largest size of the body.

    Raises
    ------
    urllib3.exceptions.HTTPError
        The body is too large, late, incomplete or malformed.
    """
    # One buffer: an object for each chunk of a few bytes would take many
    # times the memory of the body.
    body = bytearray()
    while chunk := response.read1(READ_BYTES):
        body += chunk
        if len(body) > max_bytes:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f"the body of the response has over {max_bytes} bytes"
            )
    response.release_conn()
    return bytes(body)
