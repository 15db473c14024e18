"""Tests of leases on the platform stand-in."""

import unittest

from apricotpost import errors
from apricotpost.storage import leases
from standins import platform as standin
from tests.storage import local

__all__ = ["LeaseTest"]


class LeaseTest(unittest.TestCase):
    def setUp(self):
        self.pool = local.LocalPool(state=standin.State())
        self.store = local.make_store(self.pool)

    def acquire(self, holder, now):
        return leases.acquire(
            self.store, service="portal", holder=holder, now=now
        )

    def test_second_node_waits_for_expiry_and_margin(self):
        """Guards against two holders because of a difference of clocks."""
        first = self.acquire("a", 100.0)
        for now in (105.0, 110.5):
            with self.assertRaises(errors.LeaseLost):
                self.acquire("b", now)
        second = self.acquire("b", 111.0)
        self.assertGreater(second.fence, first.fence)

    def test_paused_holder_cannot_renew(self):
        """Guards against a holder that resumes and regains a lost lease."""
        first = self.acquire("a", 100.0)
        self.acquire("b", 120.0)
        with self.assertRaises(errors.LeaseLost):
            leases.renew(self.store, first, now=121.0)
        with self.assertRaises(errors.LeaseLost):
            self.acquire("a", 121.0)

    def test_renewal_prevents_a_take_over(self):
        """Guards against a take-over based on an outdated expiry.

        The lease is renewed between the read and the write of the take-over.
        """
        first = self.acquire("a", 100.0)
        late_pool = local.LocalPool(state=self.pool.state, fault="late")
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            leases.acquire(
                local.make_store(late_pool),
                service="portal",
                holder="b",
                now=112.0,
            )
        renewed = leases.renew(self.store, first, now=112.1)
        late_pool.carry_out_late()
        renewed_again = leases.renew(self.store, renewed, now=113.0)
        self.assertEqual(first.fence, renewed_again.fence)

    def test_lost_response_of_an_acquisition_is_resolved(self):
        """Guards against a node that waits for its own lease to expire."""
        self.pool.fault = "lost"
        lease = self.acquire("a", 100.0)
        self.pool.fault = ""
        self.assertEqual(
            lease.fence, leases.renew(self.store, lease, now=101.0).fence
        )

    def test_release_frees_at_once_and_keeps_the_number(self):
        """Guards against a fencing number that restarts at 1."""
        first = self.acquire("a", 100.0)
        leases.release(self.store, first)
        self.assertEqual(first.fence + 1, self.acquire("b", 100.1).fence)
