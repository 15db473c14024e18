"""Tests of the ranked queue before a backend server."""

import random
import unittest

from apricotpost.admission import ranked
from apricotpost import wire

__all__ = ["RankedQueueTest"]


def make_entry(
    name, *, rank=1, at=0.0, left=1.0, objective=0.5, patient=False
):
    return ranked.QueuedRequest(
        call=name,
        rank=rank,
        route="r",
        accepts_late=patient,
        arrived_at=at,
        expires_at=at + left,
        objective_at=at + objective,
    )


def make_queue(slots=2, mean_ms=100.0):
    queue = ranked.RankedQueue()
    ranked.set_backend(queue, slots=slots, limit=slots, now=0.0)
    queue.mean_ms = mean_ms
    return queue


def offer(queue, queued, now=0.0):
    refusal = ranked.admit(queue, queued, now)
    if refusal is None:
        ranked.enqueue(queue, queued)
    return refusal


class RankedQueueTest(unittest.TestCase):
    def test_urgent_requests_go_first(self):
        """Guards against urgent requests behind less urgent ones."""
        queue = make_queue(slots=1)
        for name, rank in (("low", 2), ("nested", -1000), ("high", 0)):
            ranked.enqueue(queue, make_entry(name, rank=rank))
        started = []
        while queue.queue:
            found, _ = ranked.start(queue, 0.0)
            started.extend(queued.call for queued in found)
            for queued in found:
                ranked.finish(
                    queue, queued.call, ran_ms=100.0, failed=False, now=0.0
                )
        self.assertEqual(["nested", "high", "low"], started)

    def test_never_more_than_the_slots(self):
        """Guards against a server that hangs when it cannot queue."""
        queue = make_queue(slots=3)
        for index in range(9):
            ranked.enqueue(queue, make_entry(str(index)))
        ranked.start(queue, 0.0)
        ranked.start(queue, 0.01)
        self.assertEqual(3, len(queue.running))

    def test_refuses_at_once_what_would_miss_its_objective(self):
        """Guards against requests that wait and are refused later.

        Load: 50 requests at once for 2 slots of 100 ms.
        """
        queue = make_queue()
        refused = [offer(queue, make_entry(str(index))) for index in range(50)]
        admitted = refused.count(None)
        # 450 ms hold four rounds of two, and two run at once.
        self.assertLessEqual(admitted, 10)
        self.assertGreaterEqual(admitted, 6)
        for refusal in refused:
            if refusal is not None:
                self.assertIs(wire.NotRunReason.GATE_FULL, refusal.reason)
                self.assertGreater(refusal.retry_ms, 0)

    def test_lasting_overload_serves_in_time(self):
        """Guards against a queue in which every answer is late.

        Load: 40 requests a second for 20 s, twice what 2 slots of 100 ms
        bear. What is served has to be served within its objective, and the
        slots must not idle.
        """
        rng = random.Random(5)
        queue = make_queue()
        entries, ends, in_time, served = {}, [], 0, 0
        for tick in range(20_000):
            now = tick / 1000
            for end, name in list(ends):
                if end <= now:
                    ends.remove((end, name))
                    ranked.finish(
                        queue, name, ran_ms=100.0, failed=False, now=0.0
                    )
                    served += 1
                    in_time += now <= entries[name].objective_at
            if rng.random() < 0.04:
                queued = make_entry(str(tick), at=now)
                entries[queued.call] = queued
                offer(queue, queued, now)
            started, refused = ranked.start(queue, now)
            self.assertEqual([], refused)
            ends.extend((now + 0.1, queued.call) for queued in started)
        self.assertGreater(served, 0.95 * 20 * 20)
        self.assertGreater(in_time, 0.98 * served)

    def test_cold_server_gets_its_rate_in_every_second(self):
        """Guards against the overload of a cold server across seconds."""
        queue = make_queue(slots=50, mean_ms=1.0)
        queue.cold_rate = 16.0
        queue.cold_until = 100.0
        sent = []
        for tick in range(5000):
            now = tick / 1000
            offer(queue, make_entry(str(tick), at=now), now)
            started, _ = ranked.start(queue, now)
            for queued in started:
                sent.append(now)
                ranked.finish(
                    queue, queued.call, ran_ms=1.0, failed=False, now=0.0
                )
        for first in sent:
            count = sum(first <= at < first + 1.0 for at in sent)
            self.assertLessEqual(count, 1.5 * 16 + 5)
        self.assertGreater(len(sent), 16 * 5)

    def test_rejection_of_a_full_server_lowers_the_limit_for_a_while(self):
        """Guards against sending on to a server that has no room."""
        queue = make_queue(slots=10)
        for index in range(8):
            ranked.enqueue(queue, make_entry(str(index)))
        ranked.start(queue, 0.0)
        ranked.finish(queue, "7", ran_ms=None, failed=False, now=0.0)
        ranked.record_rejection(queue, 0.0)
        self.assertEqual(7, ranked.current_limit(queue, 0.0))
        self.assertEqual(10, ranked.current_limit(queue, 5.0))

    def test_shedding_of_an_idle_server_keeps_the_limit(self):
        """Guards against a faulty server that starves its own queue.

        A server that turns requests away with free slots is faulty, not
        full; in a trial the limit fell to 1 and stayed there.
        """
        queue = make_queue(slots=10)
        ranked.enqueue(queue, make_entry("a"))
        ranked.start(queue, 0.0)
        ranked.finish(queue, "a", ran_ms=None, failed=False, now=0.0)
        ranked.record_rejection(queue, 0.0)
        self.assertEqual(10, ranked.current_limit(queue, 0.0))

    def test_hopeless_requests_are_refused_from_the_queue(self):
        """Guards against runs whose answer comes after the deadline."""
        queue = make_queue(slots=1)
        ranked.enqueue(queue, make_entry("late", left=0.2))
        started, refused = ranked.start(queue, 0.19)
        self.assertEqual([], started)
        self.assertEqual(["late"], [queued.call for queued, _ in refused])

    def test_server_without_answers_is_told(self):
        """Guards against callers that take a hung server for a busy one."""
        queue = make_queue()
        self.assertEqual(0, ranked.describe_load(queue, 5.0).quiet_ms)
        for name, now in (("a", 5.0), ("b", 5.1)):
            offer(queue, make_entry(name, at=now), now)
            ranked.start(queue, now)
        self.assertEqual(500, ranked.describe_load(queue, 5.5).quiet_ms)
        ranked.finish(queue, "a", ran_ms=600.0, failed=False, now=5.6)
        self.assertEqual(100, ranked.describe_load(queue, 5.7).quiet_ms)
        ranked.finish(queue, "b", ran_ms=None, failed=False, now=5.8)
        self.assertEqual(0, ranked.describe_load(queue, 9.0).quiet_ms)

    def test_failures_are_forgotten_while_nobody_calls(self):
        """Guards against a server that is never tried again.

        Callers avoid it for its failures, so no request shows that it is well.
        """
        queue = make_queue()
        for index in range(30):
            ranked.enqueue(queue, make_entry(str(index)))
            ranked.start(queue, 0.0)
            ranked.finish(queue, str(index), ran_ms=None, failed=True, now=1.0)
        self.assertGreater(ranked.describe_load(queue, 1.0).failing, 0.8)
        later = 1.0 + 2 * ranked.FAILING_HALF_LIFE_SECONDS
        self.assertLess(ranked.describe_load(queue, later).failing, 0.25)
