"""Tests of the results that callers of keyed calls get."""

import dataclasses
import subprocess
import sys
import threading
import unittest

from apricotpost.node import keyed_calls
from apricotpost import wire
from standins import direct
from standins import platform
from tests.node import test_at_most_once_faults

__all__ = ["ExecuteTest", "LazyImportTest"]

ROUTE = test_at_most_once_faults.ROUTE
BODY = b'{"number": 1}'


class ExecuteTest(unittest.TestCase):
    def setUp(self):
        self.state = platform.State()
        self.now = 1000.0
        self.runs = 0
        self.numbers = 0
        self.result = wire.CallResult(
            request="",
            outcome=wire.Outcome.ANSWERED,
            status=201,
            headers=(("X-Backend-Version", "v1"),),
            body=BODY,
        )
        self.hook = lambda exchange: exchange.execute()
        self.keyed = keyed_calls.KeyedCalls(
            open_store=lambda: direct.open_store(
                self.state, lambda exchange: self.hook(exchange)
            ),
            table_slots=threading.BoundedSemaphore(1),
            clock=lambda: self.now,
            retry_thread=threading.Thread(),
        )

    def dispatch(self):
        self.runs += 1
        return self.result

    def execute(self, key="k", body=b"", route=ROUTE):
        self.numbers += 1
        request = wire.CallRequest(
            request=f"r{self.numbers}",
            route=route.name,
            method="POST",
            target="/reports",
            headers=(),
            body=body,
            deadline=1005.0,
            depth=0,
            retried=False,
        )
        return keyed_calls.execute(
            self.keyed,
            key=key,
            route=route,
            request=request,
            dispatch=self.dispatch,
        )

    def assert_result(self, result, outcome, status, reason):
        actual = (result.outcome.value, result.status, result.reason)
        self.assertEqual((outcome, status, reason), actual)

    def test_repeat_gets_the_first_answer(self):
        """Guards against a repeated call that files a report twice."""
        first, second = self.execute(), self.execute()
        self.assertEqual((201, BODY), (second.status, second.body))
        replayed = ("X-Apricotpost-Replayed", "1")
        self.assertEqual((*first.headers, replayed), second.headers)
        self.assertEqual(1, self.runs)
        self.assertEqual(2, self.state.tables.writes)

    def test_invalid_and_reused_keys_are_refused(self):
        """Guards against an ignored or a reused key.

        An invalid key must be refused, and so must a key that was used for
        another call.
        """
        result = self.execute(key="a, b")
        self.assert_result(result, "not-run", 400, "key-invalid")
        self.execute()
        result = self.execute(body=b"other")
        self.assert_result(result, "not-run", 422, "key-mismatch")
        self.assertEqual(1, self.runs)

    def test_unknown_outcome_is_not_repeated(self):
        """Guards against a second run while the first one may have run."""
        self.result = dataclasses.replace(
            self.result, outcome=wire.Outcome.UNKNOWN, status=504
        )
        self.execute()
        result = self.execute()
        self.assert_result(result, "unknown", 409, "key-in-progress")
        self.now = 1004.0
        rows = self.state.tables.items["apricotpost"]["call#reports"]
        rows["k"]["deadline_ms"] = {"N": "1003000"}
        result = self.execute()
        self.assert_result(result, "unknown", 409, "key-outcome-unknown")
        self.assertEqual(1, self.runs)

    def test_refused_call_frees_its_key(self):
        """Guards against a key that stays claimed after a refused call."""
        answered = self.result
        self.result = dataclasses.replace(
            answered, outcome=wire.Outcome.NOT_RUN, status=503
        )
        self.execute()
        self.result = answered
        self.assertEqual(201, self.execute().status)

    def test_table_down_at_begin(self):
        """Guards against a keyed call that runs without a stored record."""
        self.state.faults = platform.Faults(table_down=True)
        result = self.execute()
        self.assert_result(result, "not-run", 503, "platform-unavailable")
        self.assertEqual(0, self.runs)

    def test_table_down_at_finish(self):
        """Guards against a response lost because it cannot be stored."""
        dispatch = self.dispatch

        def fail_after():
            self.state.faults = platform.Faults(table_down=True)
            return dispatch()

        self.dispatch = fail_after
        self.assertEqual((201, ()), (self.execute().status, ()))
        self.state.faults = platform.Faults()
        result = self.execute()
        self.assert_result(result, "unknown", 409, "key-in-progress")
        job = self.keyed.retry_queue.get_nowait()
        self.assertEqual(BODY, job.outcome.body)

    def test_late_record_frees_its_key(self):
        """Guards against a call that starts after its deadline.

        The write that claims the key takes until after the deadline.
        """

        def slow(exchange):
            reply = exchange.execute()
            self.now = 1006.0
            return reply

        self.hook = slow
        result = self.execute()
        self.assert_result(result, "not-run", 503, "deadline-passed")
        self.assertEqual(0, self.runs)
        rows = self.state.tables.items["apricotpost"]["call#reports"]
        self.assertEqual({}, rows)

    def test_waiting_calls_are_bounded(self):
        """Guards against a slow table that blocks every ingress thread."""
        self.keyed.table_slots.acquire()
        result = self.execute()
        self.assert_result(result, "not-run", 503, "platform-unavailable")
        self.assertEqual(201, self.execute(key=None).status)
        self.keyed.table_slots.release()
        self.assertEqual(201, self.execute().status)

    def test_outcome_that_cannot_be_read(self):
        """Guards against "not run" for a call that ran and has a record.

        The stored outcome is in the object store, which does not respond.
        """
        self.result = dataclasses.replace(self.result, body=bytes(300_000))
        self.execute()
        self.state.faults = platform.Faults(objects_down=True)
        with self.assertLogs("apricotpost.node.at_most_once", "ERROR"):
            result = self.execute()
        self.assert_result(result, "unknown", 503, "key-outcome-unavailable")

    def test_idempotent_route_writes_nothing(self):
        """Guards against table writes for calls that are safe to repeat."""
        route = dataclasses.replace(ROUTE, idempotent=True)
        self.execute(route=route)
        self.assertEqual(201, self.execute(route=route).status)
        self.assertEqual((2, 0), (self.runs, self.state.tables.writes))

    def test_outcome_is_stored_before_the_node_ends(self):
        """Guards against outcomes that are lost when the node stops.

        The first write of the outcome fails, so it waits for a retry.
        """
        self.keyed.retry_thread = None
        failures = iter((503,))

        def fail(exchange):
            if exchange.operation == "PutItem" and self.runs:
                status = next(failures, None)
                if status:
                    return status, b""
            return exchange.execute()

        self.hook = fail
        self.execute()
        keyed_calls.close(self.keyed)
        rows = self.state.tables.items["apricotpost"]["call#reports"]
        self.assertIn("outcome", rows["k"])


class LazyImportTest(unittest.TestCase):
    def test_node_without_keys_imports_nothing(self):
        """Guards against memory and start time spent on unused modules."""
        code = (
            "import sys, apricotpost.node.main\n"
            "sys.exit('apricotpost.idempotency' in sys.modules)"
        )
        process = subprocess.run([sys.executable, "-c", code], check=False)
        self.assertEqual(0, process.returncode)
