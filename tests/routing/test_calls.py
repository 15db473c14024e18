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
        self.once = builders.Calls(table=builders.make_table(idempotent=False))

    def test_refused_call_goes_to_another_server(self):
        """Guards against a refusal that ends a call others could serve."""
        first = self.once.submit(builders.make_request())
        (second,) = self.once.refuse(
            first.call.call, wire.NotRunReason.GATE_FULL
        )
        self.assertNotEqual(first.instance, second.instance)
        self.assertFalse(second.call.retried)

    def test_refusals_end_after_three_attempts(self):
        """Guards against a call that is sent around without an end."""
        action = self.once.submit(builders.make_request())
        for _ in range(2):
            (action,) = self.once.refuse(
                action.call.call, wire.NotRunReason.GATE_FULL
            )
        (action,) = self.once.refuse(
            action.call.call, wire.NotRunReason.GATE_FULL
        )
        self.assertEqual("gate-full", action.result.reason)
        self.assertEqual(3, action.result.attempts)

    def test_call_that_may_run_once_is_not_repeated(self):
        """Guards against a report that is filed twice."""
        first = self.once.submit(builders.make_request())
        (action,) = self.once.lose(first.call.call)
        self.assertEqual(wire.Outcome.UNKNOWN, action.result.outcome)

    def test_refused_retry_keeps_the_first_failure(self):
        """Guards against "not run" for a call whose first attempt ran."""
        calls_ = builders.Calls(table=builders.make_table(servers=2))
        first = calls_.submit(builders.make_request())
        (second,) = calls_.answer(first.call.call, status=503, body=b"busy")
        self.assertTrue(second.call.retried)
        (action,) = calls_.refuse(
            second.call.call, wire.NotRunReason.GATE_FULL
        )
        self.assertEqual(wire.Outcome.ANSWERED, action.result.outcome)
        self.assertEqual(b"busy", action.result.body)

    def test_slow_server_still_answers_after_half_of_the_time(self):
        """Guards against a route that fails because it is slow."""
        first = self.calls.submit(builders.make_request())
        (second,) = self.calls.advance(2.1)
        self.assertNotEqual(first.instance, second.instance)
        actions = self.calls.answer(first.call.call, body=b"late")
        self.assertEqual(
            [calls.CancelCall, calls.Finish], [type(a) for a in actions]
        )
        self.assertEqual(b"late", actions[1].result.body)
        self.assertEqual((), self.calls.answer(second.call.call))

    def test_frozen_server_does_not_use_up_the_time(self):
        """Guards against a frozen node that fails idempotent calls."""
        first = self.calls.submit(builders.make_request())
        (second,) = self.calls.advance(2.1)
        self.calls.lose(first.call.call)
        (action,) = self.calls.answer(second.call.call, body=b"ok")
        self.assertEqual(b"ok", action.result.body)

    def test_late_answer_belongs_to_nobody(self):
        """Guards against an answer handed to a later request."""
        first = self.once.submit(builders.make_request())
        actions = self.once.advance(4.0)
        self.assertEqual(504, actions[-1].result.status)
        self.once.submit(builders.make_request("r2", seconds=9.0))
        self.assertEqual((), self.once.answer(first.call.call))

    def test_failed_send_is_not_run(self):
        """Guards against an unknown outcome where nothing was sent."""
        once = builders.Calls(
            table=builders.make_table(servers=1, idempotent=False)
        )
        first = once.submit(builders.make_request())
        (action,) = once.handle(calls.SendFailed(call=first.call.call))
        self.assertEqual(wire.Outcome.NOT_RUN, action.result.outcome)
        self.assertEqual("not-sent", action.result.reason)

    def test_retries_draw_on_the_budget(self):
        """Guards against retries that double the load of an outage."""
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
        """Guards against retries that multiply with the depth."""
        first = self.calls.submit(builders.make_request(retried=True))
        (action,) = self.calls.lose(first.call.call)
        self.assertIsInstance(action, calls.Finish)

    def test_answer_retried_below_is_not_retried(self):
        """Guards against retries that multiply on the way up."""
        first = self.calls.submit(builders.make_request())
        (action,) = self.calls.answer(
            first.call.call,
            status=502,
            headers=(("X-Apricotpost-Retried", "1"),),
        )
        self.assertIsInstance(action, calls.Finish)
        self.assertTrue(action.result.retried)

    def test_deep_call_is_refused_as_a_loop(self):
        """Guards against services that call each other without an end."""
        action = self.calls.submit(builders.make_request(depth=33))
        self.assertEqual("loop", action.result.reason)

    def test_caller_that_left_gets_no_second_attempt(self):
        """Guards against work for a caller that hung up."""
        first = self.calls.submit(builders.make_request())
        (cancel,) = self.calls.handle(calls.CallerGone(request="r1"))
        self.assertEqual(first.call.call, cancel.call)
        (action,) = self.calls.lose(first.call.call)
        self.assertIsInstance(action, calls.Finish)
