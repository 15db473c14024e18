"""Tests of the worker's connection to the backend server."""

import time
import unittest

from apricotpost.node import backend
from apricotpost import wire
from standins import fleet as fleets
from tests.admission import test_gate
from tests.node import loads

__all__ = ["SendTest"]


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
