"""Tests of the command line's readers of answers, against raw bytes."""

import contextlib
import socket
import threading
import unittest

from apricotpost.ctl import client
from apricotpost.ctl import explain_route
from apricotpost import errors

__all__ = ["MalformedAnswerTest"]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Far above the largest answer, so that a client that reads on is noticed.
MAX_SENT_BYTES = 100 * 1024 * 1024


class MalformedAnswerTest(unittest.TestCase):
    """A node sends an answer that is none."""

    def setUp(self):
        self.stack = self.enterContext(contextlib.ExitStack())
        self.sent_bytes = 0

    def serve(self, start, piece=b""):
        """Answer one request, then repeat a piece; return the address."""
        listener = self.stack.enter_context(
            socket.create_server(("127.0.0.1", 0))
        )

        def answer():
            connection, _ = listener.accept()
            with connection, contextlib.suppress(OSError):
                while not connection.recv(65536).endswith(b"\r\n\r\n"):
                    pass
                connection.sendall(start)
                while piece and self.sent_bytes < MAX_SENT_BYTES:
                    connection.sendall(piece)
                    self.sent_bytes += len(piece)

        thread = threading.Thread(target=answer)
        thread.start()
        self.stack.callback(thread.join)
        return f"127.0.0.1:{listener.getsockname()[1]}"

    def send(self, node):
        """Read an answer of the administration API."""
        sender = client.open_client(nodes=[node], token="t")
        self.stack.callback(sender.pool.clear)
        return client.send_request(sender, "GET", "/v1/status")

    def ask(self, node):
        """Read the explanation of a route."""
        return explain_route.fetch_explanation(
            node, host="h", path="/", deadline_ms=None
        )

    def test_malformed_answer_is_an_error(self):
        """Guards against a broken answer that is shown as that of a node."""
        for answer in (
            OK.replace(b"200", b"600"),
            OK.replace(b"\r\n", b"\r\nX Y: 1\r\n", 1),
            OK.replace(b"\r\n", b"\r\nX\x01Y: 1\r\n", 1),
            OK.replace(b": 2", b": +2"),
            CHUNKED + b"0x2\r\n{}\r\n0\r\n\r\n",
        ):
            for read in (self.send, self.ask):
                with self.subTest(answer=answer, read=read.__name__):
                    with self.assertRaises(errors.NodeUnreachable):
                        read(self.serve(answer))

    def test_answer_without_end_is_an_error(self):
        """Guards against a command that takes all memory of its machine."""
        piece = b"2\r\n{}\r\n" * 10_000
        for start, piece in ((CHUNKED, piece), (OK[:19], b"x" * 70_000)):
            for read in (self.send, self.ask):
                with self.subTest(start=start, read=read.__name__):
                    self.sent_bytes = 0
                    with self.assertRaises(errors.NodeUnreachable):
                        read(self.serve(start, piece))
                    self.assertLess(self.sent_bytes, MAX_SENT_BYTES)
