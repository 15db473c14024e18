"""Tests of the worker's connection to the backend server."""

import threading
import time
import unittest

from apricotpost.node import backend
from apricotpost import wire
from standins import fleet as fleets
from tests.admission import test_gate
from tests.node import loads

__all__ = ["SendTest"]

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
MALFORMED_RESPONSES = (
    b"no answer at all\r\n\r\n",
    b"RTSP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    b"HTTP/1.1 200 O\x00K\r\nContent-Length: 2\r\n\r\nok",
    *(
        OK.replace(b"200", status)
        for status in (b"000", b"099", b"600", b"999", b"+200", b"2_00")
    ),
    *(
        OK.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1)
        for line in (
            b"X Y: 1",
            b"X : 1",
            b" X: 1",
            b"X\x00Y: 1",
            b"X\x01Y: 1",
            b"X\x7f: 1",
            b"X\x80: 1",
            b": 1",
            b"no field",
            b"X: 1\r\n folded",
            b"X: 1\rContent-Length: 1",
            b"X: \x01",
            b"Content-Length: 1",
            b"Transfer-Encoding: chunked",
        )
    ),
    *(
        OK.replace(b": 2", b": " + value)
        for value in (b"2, 2", b"+2", b"0_2", b"two", b"")
    ),
    CHUNKED.replace(b"chunked", b"gzip, chunked") + b"2\r\nok\r\n0\r\n\r\n",
    *(
        CHUNKED + body
        for body in (
            b"+2\r\nok\r\n0\r\n\r\n",
            b"0x2\r\nok\r\n0\r\n\r\n",
            b"0_2\r\nok\r\n0\r\n\r\n",
            b"2\r\nok--0\r\n\r\n",
            b"2\r\nok\r\n0\r\nX Y: 1\r\n\r\n",
        )
    ),
)
ENDLESS_RESPONSES = (
    (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    (b"HTTP/1.1 200 OK\r\nX: ", b"x" * 1000),
    (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n" * 100),
    (CHUNKED + b"1;", b"x" * 1000),
    (CHUNKED + b"2\r\nok\r\n0\r\n", b"X: y\r\n" * 100),
    (CHUNKED + b"2\r\nok\r\n0\r\nX: ", b"x" * 1000),
)


class SendTest(unittest.TestCase):
    def setUp(self):
        self.address = self.enterContext(loads.serve_fake_backend())
        self.connection = backend.Connection()

    def send(self, path, body=b"q1", *, seconds=2.0, address=None):
        deadline = time.time() + seconds
        call = test_gate.make_call(
            "a.1", target=path, method="POST", body=body
        )
        job = wire.BackendJob(
            call=test_gate.dataclasses.replace(call, deadline=deadline),
            address=address or self.address,
        )
        return backend.send(self.connection, job)

    def test_answer_after_a_time_out_is_its_own(self):
        """Guards against a late response that the next call reads (P7)."""
        self.send("/x")
        late = self.send("/crossed", seconds=0.1)
        self.assertEqual("timeout", late.reason)
        result = self.send("/x", body=b"q2")
        self.assertEqual((200, b"q2"), (result.status, result.body))

    def test_slow_call_has_time_until_its_deadline(self):
        """Guards against a call cut off by the connect time-out."""
        result = self.send("/slow", seconds=5.0)
        self.assertEqual((200, b"q1"), (result.status, result.body))

    def test_connection_is_kept(self):
        """Guards against a new connection for each call."""
        self.send("/x")
        channel = self.connection.channel
        self.send("/x", body=b"")
        self.send("/x")
        self.assertIs(channel, self.connection.channel)

    def test_response_cut_in_its_head_is_no_response(self):
        """Guards against an empty body that is delivered as the whole one.

        A server stopped in the middle of the head and closed; without the
        header with the length, the response seemed to end there.
        """
        for size in range(len(loads.CUT_HEAD)):
            with self.subTest(size=size):
                result = self.send("/cut-head", body=b"%d" % size)
                self.assertEqual(wire.Outcome.UNKNOWN, result.outcome)

    def test_malformed_response_is_no_response(self):
        """Guards against broken answers that reach callers.

        `http.client` ignores the header fields after a line that is none, and
        takes chunk framing or a part of the bytes for the body.
        """
        for response in MALFORMED_RESPONSES:
            with self.subTest(response=response):
                result = self.send("/raw", body=response)
                self.assertEqual(wire.Outcome.UNKNOWN, result.outcome)

    def test_interim_responses_are_skipped(self):
        """Guards against an interim response that is delivered as the answer.

        The final one would be the answer to the next call.
        """
        final = OK.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)
        for status in (b"100 Continue", b"103 Early Hints"):
            interim = b"HTTP/1.1 " + status + b"\r\nX: a\r\n\r\n"
            result = self.send("/raw", body=interim + final)
            self.assertEqual((200, b"ok"), (result.status, result.body))

    def test_chunked_response_is_decoded(self):
        """Guards against strict rules that refuse a correct response."""
        body = b"2\r\nok\r\n3;name=value\r\nay!\r\n0\r\nX: trailer\r\n\r\n"
        result = self.send("/raw", body=CHUNKED + body)
        self.assertEqual((200, b"okay!"), (result.status, result.body))

    def send_for_a_while(self, start, piece, *, pause, seconds):
        """Send a call in a thread; return its results after ten seconds."""
        results = []
        body = b"|".join((start, piece, pause))
        thread = threading.Thread(
            target=lambda: results.append(
                self.send("/endless", body=body, seconds=seconds)
            ),
            daemon=True,
        )
        thread.start()
        thread.join(10.0)
        return results

    def test_response_without_end_is_no_response(self):
        """Guards against a worker that reads until its server stops."""
        for start, piece in ENDLESS_RESPONSES:
            with self.subTest(start=start, piece=piece[:20]):
                [result] = self.send_for_a_while(
                    start, piece, pause=b"0", seconds=5.0
                )
                self.assertEqual(wire.Outcome.UNKNOWN, result.outcome)

    def test_single_bytes_without_end_time_out(self):
        """Guards against a time limit that each byte restarts."""
        for start in (
            b"HTTP/1.1 200 OK\r\nX: ",
            CHUNKED + b"1;",
            CHUNKED + b"2\r\nok\r\n0\r\nX: ",
        ):
            with self.subTest(start=start):
                [result] = self.send_for_a_while(
                    start, b"x", pause=b"0.05", seconds=0.5
                )
                self.assertEqual("timeout", result.reason)

    def test_refused_connection_is_not_run(self):
        """Guards against an unknown outcome of a call that was not sent."""
        (port,) = fleets.free_ports(1)
        result = self.send("/x", address=f"{fleets.HOST}:{port}")
        self.assertEqual(
            (wire.Outcome.NOT_RUN, "not-sent"), (result.outcome, result.reason)
        )

    def test_call_past_its_deadline_is_not_sent(self):
        """Guards against a late call sent by a worker that was frozen."""
        result = self.send("/x", seconds=-1.0)
        self.assertEqual("deadline-passed", result.reason)
