"""Tests of the decisions on the attempts of a request."""

import types
import unittest

from apricotpost import http
from apricotpost import model
from apricotpost import platform
from apricotpost.routing import retries
from apricotpost.sidecar import flights
from apricotpost import wire

__all__ = ["FlightTest", "HedgeTest"]

FULL = wire.NotRunReason.GATE_FULL


def make_flight(*, idempotent=True, offers=1, arrivals=0, max_attempts=2):
    route = model.TrafficRoute(
        name="r",
        host="h",
        prefix="/a/",
        targets=(model.Target(service="portal", weight=1),),
        idempotent=idempotent,
        timeout_ms=1000,
        objective_ms=500,
        max_attempts=max_attempts,
        rank=0,
    )
    exchange = types.SimpleNamespace(
        request=http.Request(method=b"GET", target=b"/a/"), arrived=0.0
    )
    head = platform.RequestHead(
        request_id="q", host="h", path="/a/", deadline_ms=1200
    )
    flight = flights.Flight(
        exchange=exchange,
        head=head,
        route=route,
        service="portal",
        nested=False,
        turn=0.5,
    )
    flight.offers = offers
    flight.arrivals = arrivals
    return flight


def refuse(flight, *, tokens=5.0, others=2, now=0.1, **changes):
    values = {
        "call": "c",
        "reason": FULL,
        "retry_ms": 0,
        "offered": False,
        "load": None,
    }
    return flights.after_refusal(
        flight,
        wire.Refused(**{**values, **changes}),
        retries.Budget(tokens=tokens),
        now=now,
        others=others,
    )


def fail(flight, *, tokens=5.0, others=2, now=0.1):
    return flights.after_failure(
        flight,
        retries.Budget(tokens=tokens),
        usual_ms=100.0,
        now=now,
        others=others,
    ).next


class FlightTest(unittest.TestCase):
    def test_time_is_the_shorter_of_deadline_and_timeout(self):
        """Guards against work beyond the route's timeout."""
        self.assertEqual(1.0, make_flight().expires)

    def test_full_gate_costs_no_budget(self):
        """Guards against refusals while other servers have room."""
        verdict = refuse(make_flight(), tokens=0.0)
        self.assertEqual(flights.Next.OFFER, verdict.next)
        self.assertFalse(verdict.patient)

    def test_last_offer_is_patient_and_the_end(self):
        """Guards against offers without end."""
        flight = make_flight(offers=3)
        self.assertTrue(refuse(flight).patient)
        flight.patient = True
        self.assertEqual(flights.Next.REFUSE, refuse(flight).next)

    def test_rejection_by_a_server_needs_budget(self):
        """Guards against arrivals beyond the retry budget.

        Requests that faulty servers turned away went to another server
        without a bound: 485 arrivals in 10 s, of 462 allowed.
        """
        flight = make_flight(arrivals=1)
        found = refuse(flight, offered=True, tokens=0.5)
        self.assertEqual(flights.Next.REFUSE, found.next)
        found = refuse(flight, offered=True, tokens=1.0)
        self.assertEqual(flights.Next.OFFER, found.next)

    def test_passed_deadline_is_final(self):
        """Guards against offers that nobody waits for."""
        reason = wire.NotRunReason.DEADLINE_PASSED
        found = refuse(make_flight(), reason=reason)
        self.assertEqual(flights.Next.REFUSE, found.next)

    def test_only_idempotent_requests_are_repeated(self):
        """Guards against a request that runs twice."""
        offer, over = flights.Next.OFFER, flights.Next.FAIL
        self.assertEqual(offer, fail(make_flight(arrivals=1)))
        unsafe = make_flight(idempotent=False, arrivals=1)
        self.assertEqual(over, fail(unsafe))

    def test_repeats_are_bounded(self):
        """Guards against repeats without budget, time or servers."""
        over = flights.Next.FAIL
        flight = make_flight(arrivals=1)
        self.assertEqual(over, fail(flight, tokens=0.9))
        self.assertEqual(over, fail(flight, now=0.95))
        self.assertEqual(over, fail(flight, others=0))
        self.assertEqual(over, fail(make_flight(arrivals=2)))

    def test_returning_clients_are_spread(self):
        """Guards against refused clients that come back together."""
        times = [flights.refusal_seconds(500, i / 10) for i in range(11)]
        self.assertGreater(max(times), 1.5 * min(times))
        self.assertLessEqual(
            flights.refusal_seconds(99_000, 1.0), flights.MAX_RETRY_SECONDS
        )


class HedgeTest(unittest.TestCase):
    """A second server is asked while the first one has not answered."""

    def may(self, flight, *, tokens=3.0, now=0.3, others=1, usual_ms=100.0):
        return flights.may_hedge(
            flight,
            retries.Budget(tokens=tokens),
            usual_ms=usual_ms,
            now=now,
            others=others,
        )

    def make(self, **options):
        flight = make_flight(**options)
        flight.open["c1"] = flights.Attempt(node="a", backend="b", sent=0.0)
        return flight

    def test_a_request_that_is_late_is_sent_once_more(self):
        """Guards against callers that wait for a server that hangs."""
        self.assertTrue(self.may(self.make()))

    def test_bounds(self):
        """Guards against hedges that double the load or run twice."""
        self.assertFalse(self.may(self.make(idempotent=False)))
        self.assertFalse(self.may(self.make(), tokens=0.9))
        self.assertFalse(self.may(self.make(), others=0))
        self.assertFalse(self.may(self.make(), now=0.95))
        self.assertFalse(self.may(self.make(), usual_ms=0.0))
        self.assertFalse(self.may(self.make(max_attempts=1)))
        self.assertFalse(self.may(self.make(arrivals=1)))
        again = self.make()
        again.hedged = True
        self.assertFalse(self.may(again))

    def test_an_answered_request_is_not_sent(self):
        """Guards against work for a caller that has its answer."""
        self.assertFalse(self.may(make_flight()))

    def test_large_request_of_a_sound_server_waits(self):
        """Guards against second runs of requests that are large themselves.

        Load: of 249 hedges of a calm day 16 were faster than the first
        attempt, and the late requests are the ones with most work.
        """
        flight = self.make()
        self.assertFalse(flights.is_overdue(flight, usual_ms=100.0, now=0.4))
        self.assertTrue(flights.is_overdue(flight, usual_ms=100.0, now=0.45))

    def test_time_follows_the_usual_time_of_the_route(self):
        """Guards against hedges of ordinary requests."""
        self.assertEqual(0.5, flights.hedge_seconds(200.0))
        self.assertEqual(flights.MIN_HEDGE_SECONDS, flights.hedge_seconds(1.0))
