"""Tests of the errors that failed requests to the platform raise."""

import contextlib
import logging
import socket
import threading
import unittest

from apricotpost import errors
from apricotpost.storage import http

__all__ = ["ExchangeTest"]

BODY = b'{"ok": 1}'
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        # urllib3 logs a stack trace for a truncated header section.
        logging.disable(logging.WARNING)
        self.addCleanup(logging.disable, logging.NOTSET)

    def exchange(self, chunks, *, pause=0.0, timeout=5.0):
        """Send a request to a server that responds with these chunks."""
        listener = self.stack.enter_context(socket.create_server(("", 0)))
        ended = threading.Event()
        self.stack.callback(ended.set)

        def serve():
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                # Closing with unread bytes would also truncate the response.
                request = b""
                while not request.endswith(b"{}"):
                    request += connection.recv(65536)
                for chunk in chunks:
                    connection.sendall(chunk)
                    if ended.wait(pause):
                        return

        thread = threading.Thread(target=serve)
        thread.start()
        self.stack.callback(thread.join)
        self.stack.callback(ended.set)
        return self.request(listener.getsockname()[1], timeout)

    def request(self, port, timeout=5.0):
        channel = http.open_channel(timeout_seconds=timeout)
        self.stack.callback(channel.pool.clear)
        return http.request(
            channel,
            service="dynamodb",
            method="POST",
            url=f"http://127.0.0.1:{port}/",
            headers={},
            body=b"{}",
        )

    def test_response_in_several_chunks(self):
        """Guards against a truncated body if it arrives in several chunks."""
        response = self.exchange([HEAD, BODY[:4], BODY[4:]])
        self.assertEqual((200, BODY), (response.status, response.body))

    def test_refused_connection_was_not_sent(self):
        """Guards against an unknown outcome reported for an unsent request."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(errors.PlatformUnavailable):
            self.request(port)

    def test_no_time_left_sends_nothing(self):
        """Guards against a request that is sent after its deadline."""
        with self.assertRaises(errors.PlatformUnavailable):
            self.request(9, timeout=0.0)

    def test_incomplete_response_is_unknown(self):
        """Guards against a write reported as failed that may have happened."""
        cases = {
            "closed without a response": [],
            "truncated in the headers": [HEAD[:20]],
            "truncated in the body": [HEAD, BODY[:4]],
            "not HTTP": [b"\0\1\2 garbage\r\n\r\n"],
            "status 500": [HEAD.replace(b"200 OK", b"500 No"), BODY],
            "status 503": [HEAD.replace(b"200 OK", b"503 No"), BODY],
        }
        for name, chunks in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.PlatformOutcomeUnknown):
                    self.exchange(chunks)

    def test_response_cut_in_its_head_is_unknown(self):
        """Guards against an empty response to a request that failed.

        The store's process stopped in the middle of the head; without a
        usable length, the response seemed to end there.
        """
        for size in range(len(HEAD)):
            with self.subTest(size=size):
                with self.assertRaises(errors.PlatformOutcomeUnknown):
                    self.exchange([HEAD[:size]])

    def test_malformed_response_is_unknown(self):
        """Guards against data of a store that are not what it has sent.

        `http.client` takes invalid statuses and chunk sizes for numbers, and
        ignores the header fields after a line that is none.
        """
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = {
            "status": [HEAD.replace(b"200", b"2_00"), BODY],
            "name": [HEAD.replace(b"\r\n\r\n", b"\r\nX Y: 1\r\n\r\n"), BODY],
            "chunk size": [chunked, b"+9\r\n" + BODY + b"\r\n0\r\n\r\n"],
            "end of a chunk": [chunked, b"9\r\n" + BODY + b"--0\r\n\r\n"],
        }
        for name, chunks in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.PlatformOutcomeUnknown):
                    self.exchange(chunks)
        body = b"9\r\n" + BODY + b"\r\n0\r\n\r\n"
        self.assertEqual(BODY, self.exchange([chunked, body]).body)

    def test_missing_response_ends_with_the_timeout(self):
        """Guards against a thread blocked by a platform that hangs."""
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            self.exchange([b""], pause=30.0, timeout=0.2)

    def test_slow_response_ends_with_the_timeout(self):
        """Guards against a timeout that restarts with each received byte."""
        head = HEAD.replace(b": 9", b": 40")
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            self.exchange([head, *[b"x"] * 40], pause=0.05, timeout=0.3)
