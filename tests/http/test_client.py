"""Tests of the HTTP client against raw responses over loopback."""

import asyncio
import collections
import socket
import struct
import threading
import unittest
from unittest import mock

import uvloop

from apricotpost import http
from apricotpost.http import client_connections

__all__ = [
    "ClientTest",
    "EndlessResponseTest",
    "FairReadingTest",
    "StaleResponseTest",
]

GET = http.Request(method=b"GET", target=b"/", headers=((b"Host", b"h"),))
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ServerCase(unittest.IsolatedAsyncioTestCase):
    """Starts a server that sends prepared bytes."""

    async def start_server(self, *responses, end="keep"):
        self.responses = list(responses)
        self.end = end
        self.accepted_count = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        self.client = http.Client(host="127.0.0.1", port=port)
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        self.accepted_count += 1
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(self.responses.pop(0))
                await writer.drain()
                if self.end == "reset":
                    # With a linger time of zero, closing sends a reset.
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET,
                        socket.SO_LINGER,
                        struct.pack("ii", 1, 0),
                    )
                    writer.transport.abort()
                    return
                if self.end == "close":
                    writer.close()
                    return
        except (asyncio.IncompleteReadError, ConnectionError, IndexError):
            writer.close()
        except asyncio.CancelledError:
            writer.close()

    async def send(self, *, timeout=1.0, **options):
        future = asyncio.get_running_loop().create_future()
        self.client.send(
            GET, future.set_result, timeout_seconds=timeout, **options
        )
        return await future


class ClientTest(ServerCase):
    async def test_keeps_connections(self):
        """Guards against opening a new connection for every request."""
        await self.start_server(OK, OK)
        for _ in range(2):
            result = await self.send()
            self.assertEqual(b"ok", result.response.body)
        self.assertEqual(1, self.accepted_count)

    async def test_long_idle_connection_is_not_reused(self):
        """Guards against losing a request on a connection closed as idle.

        A request that must not be repeated sets a limit with
        ``max_idle_seconds``.
        """
        await self.start_server(OK, OK)
        await self.send()
        await asyncio.sleep(0.15)
        await self.send(max_idle_seconds=0.1)
        self.assertEqual(2, self.accepted_count)

    async def test_announced_keep_alive_timeout_is_respected(self):
        """Guards against sending while the server closes the connection."""
        response = OK.replace(b"\r\n", b"\r\nKeep-Alive: timeout=0\r\n", 1)
        await self.start_server(response, OK)
        await self.send()
        await self.send()
        self.assertEqual(2, self.accepted_count)

    async def test_close_delimits_response_without_length(self):
        """Guards against reporting a close-delimited response as truncated."""
        await self.start_server(b"HTTP/1.1 200 OK\r\n\r\nall", end="close")
        result = await self.send()
        self.assertEqual(b"all", result.response.body)

    async def test_reset_response_is_a_failure(self):
        """Guards against accepting a truncated response as complete."""
        for response in (
            b"HTTP/1.1 200 OK\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf",
        ):
            await self.start_server(response, end="reset")
            result = await self.send()
            self.assertIs(http.Failure.CONNECTION_LOST, result.failure)

    async def test_response_cut_in_its_head_is_a_failure(self):
        """Guards against an empty body that is taken for the whole one."""
        for head in (OK[:-2], b"HTTP/1.1 100 Continue\r\n\r\n" + OK[:-2]):
            for size in range(1, len(head)):
                with self.subTest(head=head[:size]):
                    await self.start_server(head[:size], end="close")
                    result = await self.send()
                    self.assertIsNone(result.response)

    async def test_surplus_response_is_discarded(self):
        """Guards against matching a surplus response to the next request."""
        await self.start_server(OK + OK.replace(b"ok", b"no"), OK)
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(2, self.accepted_count)

    async def test_data_on_idle_connection_closes_it(self):
        """Guards against reading unsolicited data as the next response."""
        await self.start_server(OK, OK)
        await self.send()
        connection = self.client.idle_connections[0]
        connection.data_received(b"HTTP/1.1 200 OK\r\n\r\n")
        self.assertEqual(b"ok", (await self.send()).response.body)
        self.assertEqual(2, self.accepted_count)

    async def test_malformed_response_is_a_failure(self):
        """Guards against accepting data that is not an HTTP response."""
        await self.start_server(b"no answer at all\r\n\r\n")
        result = await self.send()
        self.assertIs(http.Failure.MALFORMED, result.failure)

    async def test_status_out_of_range_is_a_failure(self):
        """Guards against an answer whose status no client can interpret.

        The parser takes any three digits; statuses are 100 to 599 (RFC 9110,
        section 15).
        """
        for status in (b"000", b"099", b"600", b"999"):
            for start in (b"", b"HTTP/1.1 100 Continue\r\n\r\n"):
                with self.subTest(status=status, start=start):
                    await self.start_server(start + OK.replace(b"200", status))
                    result = await self.send()
                    self.assertIs(http.Failure.MALFORMED, result.failure)

    async def test_first_and_last_status_are_responses(self):
        """Guards against a range that excludes a valid status."""
        for status in (200, 599):
            await self.start_server(OK.replace(b"200", b"%d" % status))
            result = await self.send()
            self.assertEqual(status, result.response.status)

    async def test_silent_server_times_out(self):
        """Guards against waiting forever for a server that never responds."""
        await self.start_server(b"")
        result = await self.send(timeout=0.2)
        self.assertIs(http.Failure.TIMED_OUT, result.failure)

    async def test_refused_connection_means_not_connected(self):
        """Guards against an unknown outcome for a request never sent."""
        await self.start_server()
        self.client.port = 1
        result = await self.send()
        self.assertIs(http.Failure.NOT_CONNECTED, result.failure)

    async def test_interim_response_is_skipped(self):
        """Guards against reporting a 100 response as the final one."""
        await self.start_server(b"HTTP/1.1 100 Continue\r\n\r\n" + OK)
        self.assertEqual(200, (await self.send()).response.status)


CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class EndlessResponseTest(unittest.IsolatedAsyncioTestCase):
    """A server sends bytes until the client closes the connection."""

    async def start_server(self, start, piece, *, pause=0.0):
        self.start, self.piece, self.pause = start, piece, pause
        self.sent_bytes = 0
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.client = http.Client(
            host="127.0.0.1",
            port=server.sockets[0].getsockname()[1],
            max_response_bytes=200_000,
        )
        self.addCleanup(self.client.close)

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.start)
            while True:
                writer.write(self.piece)
                self.sent_bytes += len(self.piece)
                await writer.drain()
                await asyncio.sleep(self.pause)
        except (ConnectionError, asyncio.CancelledError):
            writer.close()

    async def send(self, timeout):
        loop = asyncio.get_running_loop()
        future = loop.create_future()
        started_at = loop.time()
        self.client.send(GET, future.set_result, timeout_seconds=timeout)
        result = await future
        return result, loop.time() - started_at

    async def test_bytes_without_end_fail_the_request(self):
        """Guards against memory that grows until the process is killed.

        Neither an incomplete header nor a chunk extension nor interim
        responses reach the limit of bodies.
        """
        for start, piece in (
            (b"", b"x" * 1000),
            (b"HTTP/1.1 200 ", b"x" * 1000),
            (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000),
            (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 1000),
            (b"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n", b"x" * 99),
            (CHUNKED, b"3e8\r\n" + b"x" * 1000 + b"\r\n"),
            (CHUNKED + b"1;", b"x" * 1000),
            (CHUNKED + b"1\r\nx\r\n0\r\n", b"X: y\r\n" * 100),
        ):
            with self.subTest(start=start, piece=piece[:20]):
                await self.start_server(start, piece)
                result, _ = await self.send(30.0)
                self.assertIs(http.Failure.MALFORMED, result.failure)
                self.assertEqual(0, self.client.buffered_bytes)
                async with asyncio.timeout(3):
                    while self.client.connections:
                        await asyncio.sleep(0.01)

    async def test_single_bytes_without_end_time_out(self):
        """Guards against a time limit that each byte restarts."""
        for start in (b"HTTP/1.1 200 OK\r\nX: ", b"HTTP/1.1 200 OK\r\n\r\n"):
            with self.subTest(start=start):
                await self.start_server(start, b"x", pause=0.01)
                result, seconds = await self.send(0.5)
                self.assertIs(http.Failure.TIMED_OUT, result.failure)
                self.assertLess(seconds, 2.0)
                self.assertEqual(0, self.client.buffered_bytes)

    async def test_one_byte_chunks_are_a_response(self):
        """Guards against a limit that refuses a slow but correct response."""
        await self.start_server(
            CHUNKED + b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n", b""
        )
        result, _ = await self.send(10.0)
        self.assertEqual(20_000, len(result.response.body))


class FairReadingTest(unittest.TestCase):
    """A server sends faster than the client can parse."""

    def test_other_events_run_between_two_reads(self):
        """Guards against a response that stops the event loop for a second.

        uvloop reads up to 32 times in a row while data is available. With
        chunks of two bytes, parsing 8 MiB took 1.3 s, in which the process
        handled no other connection.
        """
        data = CHUNKED + b"2\r\nxx\r\n" * 600_000
        received = []
        turns = 0

        async def receive(port):
            nonlocal turns
            client = http.Client(host="127.0.0.1", port=port)
            loop = asyncio.get_running_loop()
            completed = loop.create_future()
            client.send(GET, completed.set_result, timeout_seconds=30.0)
            while not completed.done():
                await asyncio.sleep(0)
                turns += 1
            client.close()

        def record(connection, data):
            received.append((turns, len(data)))
            receive_data(connection, data)

        receive_data = client_connections.Connection.data_received
        with (
            socket.create_server(("127.0.0.1", 0)) as listener,
            mock.patch.object(
                client_connections.Connection, "data_received", record
            ),
        ):
            server = threading.Thread(
                target=send_and_close, args=(listener, data)
            )
            server.start()
            uvloop.run(receive(listener.getsockname()[1]))
            server.join()
        bytes_by_turn = collections.Counter()
        for turn, size in received:
            bytes_by_turn[turn] += size
        self.assertEqual(len(data), bytes_by_turn.total())
        self.assertLessEqual(max(bytes_by_turn.values()), 64 * 1024)


def send_and_close(listener, data):
    """Send data on the first connection of a listener, then close it."""
    connection, _ = listener.accept()
    with connection:
        connection.recv(65536)
        connection.sendall(data)


class StaleResponseTest(ServerCase):
    """A server sends an earlier response again where the next one is due."""

    async def send_checked(self, identifier):
        def check(status, headers):
            echoed = http.find_header(headers, b"x-request-id")
            if echoed == identifier:
                return http.Verdict.ACCEPT
            if echoed is None:
                return http.Verdict.FAULTY
            return http.Verdict.OTHER_REQUEST

        return await self.send(check=check)

    async def test_response_to_another_request_is_skipped(self):
        """Guards against the answer of one request for another one.

        The response of the request itself follows on the connection, which is
        not used again: all later responses would be one too late.
        """
        first = OK.replace(b"\r\n", b"\r\nX-Request-Id: r1\r\n", 1)
        second = OK.replace(b"\r\n", b"\r\nX-Request-Id: r2\r\n", 1)
        third = OK.replace(b"\r\n", b"\r\nX-Request-Id: r3\r\n", 1)
        await self.start_server(first, first + second, third)
        for identifier in (b"r1", b"r2", b"r3"):
            result = await self.send_checked(identifier)
            headers = result.response.headers
            self.assertEqual(
                identifier, http.find_header(headers, b"x-request-id")
            )
        self.assertEqual(2, self.accepted_count)

    async def test_faulty_response_ends_the_connection(self):
        """Guards against later responses that are matched one too late."""
        await self.start_server(OK, OK.replace(b"ok", b"no"))
        await self.send_checked(b"r1")
        await self.send_checked(b"r2")
        self.assertEqual(2, self.accepted_count)

    async def test_announced_time_out_may_have_any_number_of_digits(self):
        """Guards against a number that no integer or float can hold."""
        for digits in (400, 5000):
            header = b"\r\nKeep-Alive: timeout=" + b"9" * digits + b"\r\n"
            await self.start_server(OK.replace(b"\r\n", header, 1))
            result = await self.send()
            self.assertEqual(200, result.response.status)
