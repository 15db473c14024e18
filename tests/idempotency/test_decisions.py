"""Tests of the decisions about keys, records and retries."""

import dataclasses
import unittest

from apricotpost import idempotency
from apricotpost.idempotency import backlog
from apricotpost.idempotency import records
from tests.idempotency import test_calls

__all__ = ["BacklogTest", "DecideTest", "KeyTest"]

CLAIM = test_calls.make_claim()
OTHER = test_calls.make_claim("two")


class KeyTest(unittest.TestCase):
    def test_syntax(self):
        """Guards against two joined headers taken for a key, and long keys."""
        for text in ("a", '"a"', "8e03978e-40d5-43e8-bc93-6894a57f9324"):
            self.assertEqual(text.strip('"'), idempotency.parse_key(text))
        for text in ("", '""', "a, b", "a b", "ä", "a\n", '"a', "x" * 129):
            self.assertIsNone(idempotency.parse_key(text))

    def test_fingerprint_separates_the_parts_of_a_request(self):
        """Guards against another request taken for a repeated one."""
        cases = (
            ("POST", "/a", b"b"),
            ("POST", "/ab", b""),
            ("PUT", "/a", b"b"),
        )
        hashes = {
            idempotency.fingerprint(method=method, target=target, body=body)
            for method, target, body in cases
        }
        self.assertEqual(3, len(hashes))


class DecideTest(unittest.TestCase):
    def test_each_verdict(self):
        """Guards against a decision that lets a second call run."""
        running = records.make_record(CLAIM)
        done = dataclasses.replace(running, outcome=b"x")
        other = test_calls.make_claim("two", body=b"other")
        cases = (
            (None, OTHER, 1000, "run"),
            (running, CLAIM, 1000, "run"),
            (running, OTHER, 1004, "in-progress"),
            (running, OTHER, 1005, "conflict"),
            (running, other, 1005, "mismatch"),
            (done, OTHER, 1005, "replay"),
            (done, other, 1005, "mismatch"),
            (done, other, 1000 + 24 * 3600, "run"),
        )
        for record, claim, now, expected in cases:
            self.assertEqual(expected, records.decide(record, claim, now))


class BacklogTest(unittest.TestCase):
    def make_job(self, size=0):
        outcome = records.Outcome(status=200, headers=(), body=bytes(size))
        return backlog.Job(
            kind=backlog.JobKind.FINISH,
            claim=CLAIM,
            outcome=outcome,
            failed_at=1000.0,
        )

    def test_retries_pause_and_end(self):
        """Guards against retries without pause or without end."""
        state, _ = backlog.add(backlog.Backlog(), self.make_job(), 1000.0)
        now, is_retried, attempts = 1000.0, True, 0
        while is_retried:
            self.assertEqual((state, None), backlog.pop_due(state, now + 0.4))
            now = backlog.next_due(state)
            state, job = backlog.pop_due(state, now)
            state, is_retried = backlog.reschedule(state, job, now)
            attempts += 1
        self.assertLessEqual(now, 1060.0)
        self.assertEqual((10, ()), (attempts, state.jobs))

    def test_backlog_size_is_bounded(self):
        """Guards against a backlog that fills the memory in an outage."""
        state = backlog.Backlog()
        for _ in range(3):
            state, added = backlog.add(state, self.make_job(3 << 20), 0.0)
        self.assertFalse(added)
        for _ in range(backlog.MAX_JOBS):
            state, added = backlog.add(state, self.make_job(), 0.0)
        self.assertFalse(added)
