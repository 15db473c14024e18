"""Tests of which requests a stopping node accepts."""

import unittest

from apricotpost.admission import draining

__all__ = ["CanFinishTest"]


class CanFinishTest(unittest.TestCase):
    def can_finish(self, *, grace, at, mean_ms, left=9.0, idempotent=False):
        schedule = draining.make_schedule(
            started_at=100.0, grace_seconds=grace
        )
        return draining.can_finish(
            schedule,
            now=100.0 + at,
            expires_at=100.0 + at + left,
            expected_ms=mean_ms,
            idempotent=idempotent,
        )

    def test_usual_requests_are_accepted_while_clients_come(self):
        """Guards against refusals of what can end in the grace period."""
        for at in (0.0, 1.0, 2.5):
            self.assertTrue(self.can_finish(grace=6, at=at, mean_ms=400))
        self.assertFalse(self.can_finish(grace=6, at=2.7, mean_ms=400))

    def test_long_request_is_refused(self):
        """Guards against a request that is cut while it runs."""
        self.assertFalse(self.can_finish(grace=6, at=2.0, mean_ms=1000))
        self.assertFalse(self.can_finish(grace=3, at=0.0, mean_ms=1200))
        self.assertTrue(self.can_finish(grace=3, at=0.0, mean_ms=400))
        self.assertFalse(self.can_finish(grace=0.2, at=0.0, mean_ms=1))

    def test_request_that_may_be_repeated_is_refused_later(self):
        """Guards against the same risk for a report and for a lookup."""
        for idempotent in (False, True):
            self.assertIs(
                idempotent,
                self.can_finish(
                    grace=6, at=2.0, mean_ms=1000, idempotent=idempotent
                ),
            )

    def test_request_whose_deadline_comes_first_is_accepted(self):
        """Guards against a refusal of what ends at its deadline anyway."""
        self.assertTrue(
            self.can_finish(grace=6, at=2.0, mean_ms=5000, left=2.0)
        )
