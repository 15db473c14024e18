"""Tests of the decisions about calls in flight."""

import unittest

from apricotpost.routing import calls
from apricotpost.routing import retries
from apricotpost import wire
from tests.routing import builders

__all__ = ["CallsTest"]


class CallsTest(unittest.TestCase):
    def setUp(self):
        self.calls = builders.Calls(table=builders.make_table())
        self.non_idempotent = builders.Calls(
            table=builders.make_table(idempotent=False)
        )

    def test_refused_call_goes_to_another_server(self):
        """Guards against failed calls that another server could run."""
        first = self.non_idempotent.submit(builders.make_request())
        (second,) = self.non_idempotent.refuse(
            first.call.call, wire.NotRunReason.GATE_FULL
        )
        self.assertNotEqual(first.instance, second.instance)
        self.assertFalse(second.call.retried)

    def test_refusals_end_after_three_attempts(self):
        """Guards against a call that is sent to server after server."""
        action = self.non_idempotent.submit(builders.make_request())
        for _ in range(2):
            (action,) = self.non_idempotent.refuse(
                action.call.call, wire.NotRunReason.GATE_FULL
            )
        (action,) = self.non_idempotent.refuse(
            action.call.call, wire.NotRunReason.GATE_FULL
        )
        self.assertEqual("gate-full", action.result.reason)
        self.assertEqual(3, action.result.attempts)

    def test_call_that_may_run_once_is_not_repeated(self):
        """Guards against a non-idempotent call that runs twice."""
        first = self.non_idempotent.submit(builders.make_request())
        (action,) = self.non_idempotent.lose(first.call.call)
        self.assertEqual(wire.Outcome.UNKNOWN, action.result.outcome)

    def test_refused_retry_keeps_the_first_failure(self):
        """Guards against "not run" for a call whose first attempt ran."""
        two_servers = builders.Calls(table=builders.make_table(servers=2))
        first = two_servers.submit(builders.make_request())
        (second,) = two_servers.answer(
            first.call.call, status=503, body=b"busy"
        )
        self.assertTrue(second.call.retried)
        (action,) = two_servers.refuse(
            second.call.call, wire.NotRunReason.GATE_FULL
        )
        self.assertEqual(wire.Outcome.ANSWERED, action.result.outcome)
        self.assertEqual(b"busy", action.result.body)

    def test_slow_server_still_answers_after_half_of_the_time(self):
        """Guards against a route that always fails because it is slow."""
        first = self.calls.submit(builders.make_request())
        (second,) = self.calls.advance(2.1)
        self.assertNotEqual(first.instance, second.instance)
        actions = self.calls.answer(first.call.call, body=b"late")
        self.assertEqual(
            [calls.CancelCall, calls.Finish], [type(a) for a in actions]
        )
        self.assertEqual(b"late", actions[1].result.body)
        self.assertEqual((), self.calls.answer(second.call.call))

    def test_hedge_answers_for_a_frozen_server(self):
        """Guards against idempotent calls that time out at a frozen node."""
        first = self.calls.submit(builders.make_request())
        (second,) = self.calls.advance(2.1)
        self.calls.lose(first.call.call)
        (action,) = self.calls.answer(second.call.call, body=b"ok")
        self.assertEqual(b"ok", action.result.body)

    def test_answer_after_the_deadline_is_dropped(self):
        """Guards against an answer that is returned to a later request."""
        first = self.non_idempotent.submit(builders.make_request())
        actions = self.non_idempotent.advance(4.0)
        self.assertEqual(504, actions[-1].result.status)
        self.non_idempotent.submit(builders.make_request("r2", seconds=9.0))
        self.assertEqual((), self.non_idempotent.answer(first.call.call))

    def test_failed_send_is_not_run(self):
        """Guards against the result "unknown" for a call that was not sent."""
        non_idempotent = builders.Calls(
            table=builders.make_table(servers=1, idempotent=False)
        )
        first = non_idempotent.submit(builders.make_request())
        (action,) = non_idempotent.handle(
            calls.SendFailed(call=first.call.call)
        )
        self.assertEqual(wire.Outcome.NOT_RUN, action.result.outcome)
        self.assertEqual("not-sent", action.result.reason)

    def test_retries_are_bounded_by_the_budget(self):
        """Guards against retries that double the load during an outage."""
        retried = 0
        for number in range(100):
            first = self.calls.submit(builders.make_request(f"r{number}"))
            (action,) = self.calls.lose(first.call.call)
            if isinstance(action, calls.SendCall):
                retried += 1
                self.calls.lose(action.call.call)
        expected = retries.MAX_TOKENS + 100 * retries.TOKENS_PER_CALL
        self.assertLessEqual(retried, expected)
        self.assertGreaterEqual(retried, 10)

    def test_call_under_a_retry_is_not_retried(self):
        """Guards against retries that multiply with the call depth."""
        first = self.calls.submit(builders.make_request(retried=True))
        (action,) = self.calls.lose(first.call.call)
        self.assertIsInstance(action, calls.Finish)

    def test_answer_retried_below_is_not_retried(self):
        """Guards against retries of one failure at each depth above it."""
        first = self.calls.submit(builders.make_request())
        (action,) = self.calls.answer(
            first.call.call,
            status=502,
            headers=(("X-Apricotpost-Retried", "1"),),
        )
        self.assertIsInstance(action, calls.Finish)
        self.assertTrue(action.result.retried)

    def test_deep_call_is_refused_as_a_loop(self):
        """Guards against services that call each other endlessly."""
        action = self.calls.submit(builders.make_request(depth=33))
        self.assertEqual("loop", action.result.reason)

    def test_caller_that_left_gets_no_second_attempt(self):
        """Guards against retries for a caller that has disconnected."""
        first = self.calls.submit(builders.make_request())
        (cancel,) = self.calls.handle(calls.CallerGone(request="r1"))
        self.assertEqual(first.call.call, cancel.call)
        (action,) = self.calls.lose(first.call.call)
        self.assertIsInstance(action, calls.Finish)
