"""Tests of retries in nested calls and of overload, without a network."""

import collections
import random
import unittest

from apricotpost.routing import calls
from apricotpost import wire
from tests.admission import test_gate
from tests.routing import builders

__all__ = ["AmplificationTest", "OverloadTest"]

DEPTH = 18


class Chain:
    """A chain of services that call each other; the deepest one always fails.

    With ``keeps_marks``, backend servers forward the retry mark on requests
    and answers, as section 12 of the design requires. Without, they drop it
    on answers.
    """

    def __init__(self, *, keeps_marks):
        self.keeps_marks = keeps_marks
        self.executions = collections.Counter()
        self.nodes = [
            builders.Calls(table=builders.make_table()) for _ in range(DEPTH)
        ]

    def call(self, depth, number, *, retried=False):
        """Call the service at a depth and return its status and retry mark."""
        request = builders.make_request(
            f"{depth}.{number}.{sum(self.executions.values())}",
            depth=depth,
            retried=retried,
        )
        node = self.nodes[depth]
        action = node.submit(request)
        while isinstance(action, calls.SendCall):
            status, retry_marked = self.execute(
                depth, number, action.call.retried
            )
            headers = (("X-Apricotpost-Retried", "1"),) if retry_marked else ()
            action = node.answer(
                action.call.call, status=status, headers=headers
            )[-1]
        return action.result.status, action.result.retried

    def execute(self, depth, number, retried):
        self.executions[depth] += 1
        if depth + 1 == DEPTH:
            return 503, False
        status, retried_below = self.call(depth + 1, number, retried=retried)
        return status, retried_below and self.keeps_marks


class AmplificationTest(unittest.TestCase):
    def test_one_failure_is_retried_once_over_all_depths(self):
        """Guards against retries that multiply to 2**18 over 18 depths."""
        chain = Chain(keeps_marks=True)
        self.assertEqual((503, True), chain.call(0, 0))
        self.assertEqual(2, chain.executions[DEPTH - 1])
        self.assertEqual(1, chain.executions[0])

    def test_without_marks_on_answers_retries_grow_linearly(self):
        """Guards against exponential growth if servers drop the mark."""
        chain = Chain(keeps_marks=False)
        chain.call(0, 0)
        self.assertEqual(DEPTH + 1, chain.executions[DEPTH - 1])

    def test_budget_bounds_the_retries_of_a_long_outage(self):
        """Guards against retries that double the load during an outage."""
        chain = Chain(keeps_marks=True)
        for number in range(200):
            chain.call(0, number)
        executions = chain.executions[DEPTH - 1]
        self.assertLessEqual(executions, 200 * 1.1 + 10)


class OverloadTest(unittest.TestCase):
    def test_twice_the_load_still_serves_what_fits(self):
        """Guards against lost throughput when load exceeds capacity."""
        rng = random.Random(18)
        node_gate = test_gate.make_gate()
        node_gate.run_and_finish(30)
        slots, service, steps = 8, 0.1, 3000
        finishes, served, refused = {}, 0, 0
        for step in range(steps):
            node_gate.seconds += 0.01
            done = [k for k, at in finishes.items() if at <= node_gate.seconds]
            actions = [
                action
                for name in done
                if finishes.pop(name)
                for action in node_gate.finish(name, duration_ms=100.0)
            ]
            if step % 100 == 0:
                node_gate.announce()
            # On average 1.6 calls in 10 ms, or 160 a second; 8 slots
            # serve 80.
            for number in range(2 if rng.random() < 0.6 else 1):
                actions += node_gate.arrive(f"{step}.{number}", seconds=2.0)
            for action in actions:
                if isinstance(action, test_gate.gate.Run):
                    finishes[action.call.call] = node_gate.seconds + service
                elif isinstance(action.message, wire.NotRun):
                    refused += 1
                else:
                    served += 1
            self.assertLessEqual(len(finishes), slots)
        fits = steps * 0.01 * slots / service
        self.assertGreaterEqual(served, 0.9 * fits)
        self.assertGreater(refused, 0)
