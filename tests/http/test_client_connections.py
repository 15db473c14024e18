"""Tests of the parsing of responses, without a socket."""

import string
import tracemalloc
import unittest
from unittest import mock

from apricotpost import http
from apricotpost.http import client_connections

__all__ = ["HeadTest", "MemoryTest"]

GET = http.Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Bytes that may be in the name of a header field (RFC 9110, section 5.6.2).
TOKEN_BYTES = frozenset(
    b"!#$%&'*+-.^_`|~" + string.ascii_letters.encode() + b"0123456789"
)


def start_request(request):
    """Return a connection that waits for a response, and its results."""
    client = http.Client(host="127.0.0.1", port=1)
    connection = client_connections.Connection(client=client)
    connection.connection_made(mock.MagicMock())
    connection.transport.is_closing.return_value = False
    connection.transport.get_write_buffer_size.return_value = 0
    results = []
    handle = http.RequestHandle(done=results.append, check=None, on_sent=None)
    connection.start(request, handle)
    return connection, results


class HeadTest(unittest.IsolatedAsyncioTestCase):
    """A server sends a head that is faulty or unusual."""

    async def receive(self, *pieces, request=GET):
        """Return the results of a request that gets these bytes."""
        connection, results = start_request(request)
        for piece in pieces:
            connection.data_received(piece)
        return results

    async def check_malformed(self, data):
        """Check that there is no response, however its bytes arrive."""
        results = await self.receive(data)
        failures = [result.failure for result in results]
        self.assertEqual([http.Failure.MALFORMED], failures, data)
        single_bytes = [data[i : i + 1] for i in range(len(data))]
        results = await self.receive(*single_bytes)
        self.assertIsNone(results[0].response, data)

    async def test_invalid_name_of_a_header_is_no_response(self):
        """Guards against a head that is passed on with a broken line.

        A name with a blank or a control byte also hides the line, for example
        one with the length of the body.
        """
        self.assertEqual(77, len(TOKEN_BYTES))
        for byte in frozenset(range(256)) - TOKEN_BYTES - frozenset(b":"):
            for name in (b"X%cY", b"Content-Length%c"):
                line = b"\r\n" + name % byte + b": 2\r\n"
                await self.check_malformed(OK.replace(b"\r\n", line, 1))

    async def test_line_that_is_no_header_is_no_response(self):
        """Guards against lines that other clients read as other headers."""
        for line in (
            b": 1",
            b"X",
            b"X: 1\r\n folded",
            b"X: 1\nY: 1",
            b"X: 1\rY: 1",
            b"X: \x00",
            b"X: \x7f",
            b"Content-Length: 1",
            b"Transfer-Encoding: chunked",
        ):
            line = b"\r\n" + line + b"\r\n"
            await self.check_malformed(OK.replace(b"\r\n", line, 1))

    async def test_invalid_status_line_is_no_response(self):
        """Guards against another protocol's bytes, delivered as a response.

        The parser accepts every version that exists, and control bytes in the
        reason phrase.
        """
        for line in (
            b"HTTP/2.0 200 OK",
            b"HTTP/0.9 200 OK",
            b"RTSP/1.0 200 OK",
            b"ICE/1.0 200 OK",
            b"HTTP/1.1 200 O\x00K",
            b"HTTP/1.1 200 \x7f",
            b"HTTP/1.1 101 Switching Protocols",
        ):
            await self.check_malformed(OK.replace(b"HTTP/1.1 200 OK", line))

    async def test_other_codings_than_chunks_are_no_response(self):
        """Guards against compressed bytes, delivered as the body itself.

        Nodes do not ask for a transfer coding, and do not pass its name on.
        """
        body = b"\r\n\r\n2\r\nok\r\n0\r\n\r\n"
        for start in (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n"
            b"Transfer-Encoding: chunked",
            b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked",
        ):
            await self.check_malformed(start + body)
        [result] = await self.receive(
            b"HTTP/1.1 200 OK\r\nTRANSFER-ENCODING: Chunked" + body
        )
        self.assertEqual(b"ok", result.response.body)

    async def test_many_headers_are_a_response(self):
        """Guards against a limit that refuses a correct response."""
        [result] = await self.receive(
            OK.replace(b"\r\n", b"\r\n" + b"a: b\r\n" * 900, 1)
        )
        self.assertEqual(901, len(result.response.headers))

    async def test_interim_response_to_head_is_skipped(self):
        """Guards against a client that waits for ever behind an interim one.

        It was reported as the response to the request.
        """
        head = http.Request(method=b"HEAD", target=b"/", headers=GET.headers)
        [result] = await self.receive(
            b"HTTP/1.1 103 Early Hints\r\n\r\n",
            b"HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n",
            request=head,
        )
        self.assertEqual(404, result.response.status)


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """A server sends its response in chunks of two bytes."""

    async def start_response(self, head):
        """Return a connection that has received the head of a response."""
        connection, _ = start_request(GET)
        connection.data_received(head)
        return connection

    def measure_growth(self, connection, data):
        """Return the memory that is kept of received data, in bytes."""
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        before, _ = tracemalloc.get_traced_memory()
        connection.data_received(data)
        after, _ = tracemalloc.get_traced_memory()
        return after - before

    async def test_body_takes_about_the_memory_of_its_bytes(self):
        """Guards against an object for each chunk of a body.

        A body in chunks of two bytes took 28 times the memory that the limits
        count, so that an endless one ended the process (review case 1).
        """
        connection = await self.start_response(CHUNKED)
        body_bytes = 200_000
        growth = self.measure_growth(
            connection, b"2\r\nxx\r\n" * (body_bytes // 2)
        )
        self.assertEqual(body_bytes, connection.body_bytes)
        self.assertLess(growth, 1.5 * body_bytes)

    async def test_trailer_without_end_fails_the_request(self):
        """Guards against a field that grows while the parser waits for it.

        The parser keeps an incomplete field. The limit of bytes that are no
        body grows with the body, to eight times its size.
        """
        body = b"30d40\r\n" + b"x" * 200_000 + b"\r\n0\r\n"
        connection = await self.start_response(CHUNKED + body)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        connection.data_received(b"X: ")
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(40):
            if connection.handle is not None:
                connection.data_received(b"x" * 20_000)
        after, _ = tracemalloc.get_traced_memory()
        self.assertLess(after - before, 200_000)
        self.assertIsNone(connection.handle)

    async def test_tiny_headers_take_little_memory(self):
        """Guards against a head that takes many times its bytes.

        A server may send one on each connection, just short of the limit.
        """
        connection = await self.start_response(b"HTTP/1.1 200 OK\r\n")
        growth = self.measure_growth(connection, b"a:b\r\n" * 12_000)
        self.assertLess(growth, 200_000)
        self.assertIsNone(connection.handle)

    async def test_trailers_are_not_kept(self):
        """Guards against trailers that take more memory than the body.

        They also must not pass for headers: a trailer could add a signature.
        """
        connection = await self.start_response(
            CHUNKED + b"2710\r\n" + b"x" * 10_000 + b"\r\n0\r\n"
        )
        growth = self.measure_growth(connection, b"X: y\r\n" * 10_000)
        self.assertLess(growth, 10_000)
        self.assertEqual(
            [(b"Transfer-Encoding", b"chunked")], connection.headers
        )
