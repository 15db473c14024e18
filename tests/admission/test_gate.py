"""Tests of the gate's decisions."""

import dataclasses
import typing
import unittest

from apricotpost.admission import gate
from apricotpost.admission import limits
from apricotpost.admission import recent
from apricotpost import wire

__all__ = ["GateTest", "LimitTest", "RecentTest"]

WALL = 1_700_000_000.0


def make_call(name: str, *, seconds: float = 4.0, **changes) -> wire.Call:
    call = wire.Call(
        call=name,
        route="records",
        service="portal",
        version="v1",
        method="GET",
        target="/records/1",
        headers=(),
        body=b"",
        deadline=WALL + seconds,
        idempotent=False,
        depth=0,
        retried=False,
        config_version=1,
    )
    return dataclasses.replace(call, **changes)


def make_announcement(**changes) -> wire.BackendServerAnnounced:
    announced = wire.BackendServerAnnounced(
        service="portal",
        version="v1",
        address="127.0.0.1:1",
        slots=8,
        connections=20,
        cold=False,
    )
    return dataclasses.replace(announced, **changes)


@dataclasses.dataclass(kw_only=True)
class Gate:
    """Runs the gate's decisions on a fake clock."""

    state: gate.GateState
    policy: gate.Policy = gate.Policy()
    seconds: float = 100.0

    def handle(self, event: gate.Event) -> tuple[typing.Any, ...]:
        self.state, actions = gate.handle(
            self.state,
            event,
            now=self.seconds,
            wall=WALL + self.seconds - 100.0,
            policy=self.policy,
        )
        return actions

    def announce(self, **changes) -> None:
        announced = make_announcement(**changes)
        self.handle(gate.Announced(announcement=announced))

    def arrive(
        self, name: str, seconds: float = 4.0, **changes
    ) -> tuple[typing.Any, ...]:
        deadline_seconds = self.seconds - 100.0 + seconds
        call = make_call(name, seconds=deadline_seconds, **changes)
        return self.handle(gate.Arrived(reply_to=b"d", call=call))

    def finish(self, name: str, **changes) -> tuple[typing.Any, ...]:
        result = wire.BackendResult(
            call=name,
            outcome=wire.Outcome.ANSWERED,
            status=200,
            duration_ms=2.0,
        )
        result = dataclasses.replace(result, **changes)
        return self.handle(gate.Finished(result=result))

    def run_and_finish(self, count: int, **changes) -> None:
        for number in range(count):
            name = f"{self.seconds}-{len(self.state.known_calls.newest)}"
            self.arrive(f"{name}-{number}")
            self.finish(f"{name}-{number}", **changes)


def make_gate(**changes) -> Gate:
    node_gate = Gate(
        state=gate.GateState(limit=limits.start(slots=1, cold=True))
    )
    node_gate.announce(**changes)
    return node_gate


class GateTest(unittest.TestCase):
    def setUp(self):
        self.gate = make_gate()

    def reasons(self, actions):
        return [str(action.message.reason) for action in actions]

    def test_second_message_with_an_identifier_runs_nothing(self):
        """Guards against a duplicated message that runs a call twice."""
        self.assertEqual(1, len(self.gate.arrive("a")))
        self.gate.finish("a")
        self.gate.seconds += 59.0
        self.assertEqual((), self.gate.arrive("a"))

    def test_limit_and_queue_bound_what_is_admitted(self):
        """Guards against more calls than the backend server's limit."""
        actions = [self.gate.arrive(str(n))[:1] for n in range(10)]
        runs = [a for a in actions if a and isinstance(a[0], gate.Run)]
        self.assertEqual(4, len(runs))
        self.assertEqual(4, len(self.gate.state.queue))
        self.assertEqual(["cold"], self.reasons(actions[-1]))

    def test_queued_call_is_refused_after_200_ms(self):
        """Guards against a call that waits while other servers are free."""
        for number in range(5):
            self.gate.arrive(str(number))
        self.assertAlmostEqual(100.2, gate.next_expiry(self.gate.state))
        self.gate.seconds += 0.21
        self.assertEqual(
            ["gate-full"], self.reasons(self.gate.handle(gate.Tick()))
        )

    def test_frozen_gate_runs_no_late_call(self):
        """Guards against old calls that run after a process was frozen."""
        for number in range(4):
            self.gate.arrive(str(number))
        self.gate.arrive("queued", seconds=0.1)
        self.gate.seconds += 0.15
        actions = self.gate.finish("0")
        self.assertEqual(["deadline-passed"], self.reasons(actions[1:]))
        self.gate.seconds += 10.0
        self.assertEqual(
            ["deadline-passed"],
            self.reasons(self.gate.arrive("late", seconds=0.0)),
        )

    def test_queued_call_does_not_run_at_another_version(self):
        """Guards against a call for one version that runs at another."""
        for number in range(5):
            self.gate.arrive(str(number))
        self.gate.announce(version="v2")
        actions = self.gate.finish("0")
        self.assertEqual(["not-ready"], self.reasons(actions[1:]))

    def test_policy_refuses_as_not_run(self):
        """Guards against calls to a data centre or version out of use."""
        self.gate.policy = gate.Policy(data_centre_out=True)
        self.assertEqual(
            ["data-centre-out"], self.reasons(self.gate.arrive("a"))
        )
        self.gate.policy = gate.Policy(withdrawn=True)
        self.assertEqual(
            ["version-withdrawn"], self.reasons(self.gate.arrive("b"))
        )
        self.assertEqual(1.0, self.gate.state.limit.value)

    def test_cancel_removes_only_queued_calls(self):
        """Guards against "not run" for a call that is already running."""
        for number in range(5):
            self.gate.arrive(str(number))
        self.assertEqual((), self.gate.handle(gate.Cancelled(call="0")))
        actions = self.gate.handle(gate.Cancelled(call="4"))
        self.assertEqual(["cancelled"], self.reasons(actions))

    def test_drain_refuses_new_calls_and_runs_queued_ones(self):
        """Guards against a shutdown that aborts queued calls."""
        for number in range(5):
            self.gate.arrive(str(number))
        self.gate.handle(gate.DrainStarted(refuse_from=102.0))
        self.gate.handle(gate.DrainStarted(refuse_from=100.0))
        self.assertEqual(["draining"], self.reasons(self.gate.arrive("new")))
        self.assertIsInstance(self.gate.finish("0")[1], gate.Run)

    def test_second_result_of_a_call_is_dropped(self):
        """Guards against two answers to one call."""
        self.gate.arrive("a")
        self.assertEqual(1, len(self.gate.finish("a")))
        self.assertEqual((), self.gate.finish("a"))

    def test_silent_backend_server_gets_no_calls(self):
        """Guards against calls to a backend server that has died."""
        self.gate.seconds += 16.0
        actions = self.gate.arrive("a", seconds=30.0)
        self.assertEqual(["not-ready"], self.reasons(actions))


class LimitTest(unittest.TestCase):
    def test_announced_cold_server_starts_with_one_call(self):
        """Guards against full load on a server during its cold start."""
        node_gate = make_gate(cold=True)
        self.assertEqual(1.0, node_gate.state.limit.value)
        cold = (("X-Backend-Cold", "1"),)
        node_gate.run_and_finish(30, headers=cold)
        self.assertEqual(2.0, node_gate.state.limit.value)
        node_gate.run_and_finish(8)
        self.assertEqual(8.0, node_gate.state.limit.value)

    def test_lasting_cold_report_does_not_hold_the_limit_down(self):
        """Guards against lost capacity if a server always reports cold."""
        node_gate = make_gate(cold=True)
        cold = (("X-Backend-Cold", "1"),)
        for _ in range(15):
            node_gate.run_and_finish(20, headers=cold)
            node_gate.seconds += 5.0
            node_gate.announce(cold=True)
        self.assertEqual(8.0, node_gate.state.limit.value)

    def test_unannounced_cold_start_resets_the_limit(self):
        """Guards against full load on a server that turned cold silently."""
        node_gate = make_gate()
        node_gate.run_and_finish(20)
        self.assertEqual(8.0, node_gate.state.limit.value)
        node_gate.run_and_finish(3, duration_ms=40.0)
        self.assertEqual(1.0, node_gate.state.limit.value)

    def test_cold_header_of_a_warm_server_resets_the_limit(self):
        """Guards against a cold start that only response headers report."""
        node_gate = make_gate()
        node_gate.run_and_finish(20)
        node_gate.run_and_finish(1, headers=(("X-Backend-Cold", "1"),))
        self.assertLessEqual(node_gate.state.limit.value, 2.0)

    def test_restart_at_the_same_address_is_cold(self):
        """Guards against full load on a server that has just restarted."""
        node_gate = make_gate()
        node_gate.run_and_finish(20)
        node_gate.arrive("x")
        node_gate.finish("x", outcome=wire.Outcome.NOT_RUN, reason="not-sent")
        node_gate.announce(cold=False)
        self.assertEqual(1.0, node_gate.state.limit.value)

    def test_burst_of_shed_answers_halves_the_limit_once(self):
        """Guards against a limit of one after a single burst of 503s."""
        node_gate = make_gate()
        node_gate.run_and_finish(20)
        node_gate.run_and_finish(5, status=503)
        self.assertEqual(4.0, node_gate.state.limit.value)

    def test_slow_route_does_not_look_like_a_cold_start(self):
        """Guards against a reset because routes differ in latency."""
        limit = limits.start(slots=8, cold=False)
        for number in range(60):
            slow = number % 6 > 2
            limit = limits.record_success(
                limit,
                "export" if slow else "preview",
                90.0 if slow else 2.0,
                float(number),
            )
        self.assertEqual(8.0, limit.value)

    def test_short_caller_timeout_does_not_lower_the_limit(self):
        """Guards against short time-outs of callers that lower the limit."""
        node_gate = make_gate()
        node_gate.run_and_finish(20)
        node_gate.arrive("x")
        node_gate.finish(
            "x",
            outcome=wire.Outcome.UNKNOWN,
            reason="timeout",
            duration_ms=0.5,
        )
        self.assertEqual(8.0, node_gate.state.limit.value)


class RecentTest(unittest.TestCase):
    def test_identifiers_are_kept_for_a_minute_and_then_dropped(self):
        """Guards against a call that runs twice and against growing memory."""
        recent_calls = recent.RecentCalls()
        for number in range(2000):
            recent_calls = recent.record_call(
                recent_calls, str(number), number * 0.1
            )
        self.assertTrue(recent.is_known(recent_calls, str(1999 - 590)))
        kept = len(recent_calls.newest) + sum(
            len(b) for _, b in recent_calls.older
        )
        self.assertLess(kept, 670)
