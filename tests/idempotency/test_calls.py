"""Tests of single operations of keyed calls on the table."""

import dataclasses
import unittest

import urllib3

from apricotpost import errors
from apricotpost import idempotency
from apricotpost.idempotency import backlog
from apricotpost.idempotency import calls
from apricotpost.idempotency import records
from standins import direct
from standins import platform

__all__ = ["CallsTest"]

LOST = urllib3.exceptions.ProtocolError("answer lost")
OUTCOME = records.Outcome(status=201, headers=(("A", "b"),), body=b"first")


def make_claim(attempt="one", at=1000.0, body=b""):
    return idempotency.Claim(
        route="reports",
        key="k",
        fingerprint=idempotency.fingerprint(
            method="POST", target="/reports", body=body
        ),
        attempt=attempt,
        started_at=at,
        deadline=at + 5,
    )


class CallsTest(unittest.TestCase):
    def setUp(self):
        self.state = platform.State()
        self.script = []
        self.delayed = []
        self.store = direct.open_store(self.state, self.answer)

    def answer(self, exchange):
        step = self.script.pop(0) if self.script else "deliver"
        if step == "late":
            self.delayed.append(exchange)
            raise LOST
        reply = exchange.execute()
        if step == "lost":
            raise LOST
        return reply

    def begin(self, claim, now=None):
        now = claim.started_at if now is None else now
        return idempotency.begin(self.store, claim, clock=lambda: now)

    def test_owner_of_the_record_decides_after_a_lost_answer(self):
        """Guards against a call that runs without owning its key.

        Also guards against a call that owns its key and does not run.
        """
        self.script = ["lost"]
        decision = idempotency.KeyDecision.RUN
        self.assertEqual(decision, self.begin(make_claim()).decision)
        self.script = ["lost"]
        begun = self.begin(make_claim("two"))
        self.assertEqual(idempotency.KeyDecision.IN_PROGRESS, begun.decision)
        self.assertEqual(1, self.state.tables.writes)

    def test_lost_begin_behind_another_call_is_uncertain(self):
        """Guards against a key claimed for a day by a call that never ran.

        Its write reaches the table late, after the first owner freed the
        key.
        """
        self.begin(make_claim())
        self.script = ["late"]
        begun = self.begin(make_claim("two"))
        self.assertTrue(begun.uncertain)
        idempotency.abandon(self.store, make_claim())
        self.delayed[0].execute()
        self.assertTrue(calls.release(self.store, make_claim("two")))
        decision = idempotency.KeyDecision.RUN
        self.assertEqual(decision, self.begin(make_claim("three")).decision)

    def test_late_removal_does_not_affect_the_next_owner(self):
        """Guards against a key freed while another call runs under it."""
        self.begin(make_claim())
        self.script = ["late"]
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            idempotency.abandon(self.store, make_claim())
        idempotency.abandon(self.store, make_claim())
        self.begin(make_claim("two"))
        self.delayed[0].execute()
        begun = self.begin(make_claim("three"))
        self.assertEqual(idempotency.KeyDecision.IN_PROGRESS, begun.decision)

    def test_late_outcome_does_not_affect_the_next_owner(self):
        """Guards against an expired call that overwrites the next record."""
        claim = make_claim()
        self.begin(claim)
        self.script = ["late"]
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            idempotency.finish(self.store, claim, OUTCOME)
        later = make_claim("two", at=1000.0 + 24 * 3600)
        decision = idempotency.KeyDecision.RUN
        self.assertEqual(decision, self.begin(later).decision)
        self.delayed[0].execute()
        begun = self.begin(later)
        self.assertIsNone(begun.record.outcome)

    def test_key_is_taken_until_its_record_expires(self):
        """Guards against a key that is freed too early or never."""
        self.begin(make_claim())
        day = 24 * 3600
        early = self.begin(make_claim("two", at=1000.0 + day - 1))
        self.assertEqual(idempotency.KeyDecision.CONFLICT, early.decision)
        rows = self.state.tables.items["apricotpost"]["call#reports"]
        self.assertEqual({"N": str(1000 + day)}, rows["k"]["expires_at"])

    def test_outcome_in_the_table_and_in_the_object_store(self):
        """Guards against an outcome that is truncated or is not stored."""
        sizes = {10: 0, calls.MAX_INLINE_BYTES + 1: 1, 1_000_000: 2}
        for number, (size, objects) in enumerate(sizes.items()):
            claim = dataclasses.replace(make_claim(), key=f"k{number}")
            outcome = dataclasses.replace(OUTCOME, body=bytes(size))
            self.begin(claim)
            idempotency.finish(self.store, claim, outcome)
            begun = self.begin(dataclasses.replace(claim, attempt="two"))
            self.assertEqual(idempotency.KeyDecision.REPLAY, begun.decision)
            replayed = idempotency.replay(self.store, begun.record)
            self.assertEqual(outcome, replayed)
            self.assertEqual(objects, len(self.state.objects))

    def test_lost_finish_is_not_written_again(self):
        """Guards against a second write of an outcome that is stored."""
        claim = make_claim()
        self.begin(claim)
        self.script = ["lost"]
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            idempotency.finish(self.store, claim, OUTCOME)
        job = backlog.Job(
            kind=backlog.JobKind.FINISH,
            claim=claim,
            outcome=OUTCOME,
            failed_at=1000.0,
        )
        self.assertTrue(backlog.attempt(self.store, job))
        self.assertEqual(2, self.state.tables.writes)

    def test_damaged_record_raises_its_own_error(self):
        """Guards against a call that runs although its record is damaged."""
        self.begin(make_claim())
        rows = self.state.tables.items["apricotpost"]["call#reports"]
        del rows["k"]["attempt"]
        with self.assertRaises(errors.PlatformDataDamaged):
            self.begin(make_claim("two"))
