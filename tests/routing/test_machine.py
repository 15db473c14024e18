"""Property-based test of dispatch, gates and an unreliable network."""

import collections
import dataclasses
import unittest

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from apricotpost.admission import gate
from apricotpost.admission import limits
from apricotpost.routing import calls
from apricotpost import wire
from tests.routing import builders

__all__ = ["IdempotentTest", "OnceTest"]

SERVERS = 3
SLOTS = 4


@dataclasses.dataclass(kw_only=True)
class _Gate:
    state: gate.GateState
    policy: gate.Policy = gate.Policy()
    cold: bool = False


class CallMachine(stateful.RuleBasedStateMachine):
    """Calls over an unreliable network.

    Messages are delayed, reordered, duplicated and lost.
    """

    idempotent = False

    def __init__(self):
        super().__init__()
        self.dispatch = builders.Calls(
            table=builders.make_table(
                servers=SERVERS, idempotent=self.idempotent
            )
        )
        self.gates = {}
        self.network = []
        self.requests = {}
        self.results = collections.defaultdict(list)
        self.executions = collections.Counter()
        for number in range(SERVERS):
            name = f"i{number}"
            limit = limits.start(slots=1, cold=True)
            self.gates[name] = _Gate(state=gate.GateState(limit=limit))
            self.announce(name, cold=number == 0)

    @property
    def now(self):
        return self.dispatch.seconds

    def announce(self, name, *, cold):
        self.gates[name].cold = cold
        message = wire.BackendServerAnnounced(
            service="portal",
            version="v1",
            address="127.0.0.1:1",
            slots=SLOTS,
            connections=10,
            cold=cold,
        )
        self.send_to_gate(name, gate.Announced(announcement=message))

    def send_to_gate(self, name, event):
        node_gate = self.gates[name]
        node_gate.state, actions = gate.handle(
            node_gate.state,
            event,
            now=self.now,
            wall=builders.NOW + self.now,
            policy=node_gate.policy,
        )
        for action in actions:
            if isinstance(action, gate.Run):
                self.record_run(name, action.call)
            else:
                self.network.append(("dispatch", action.message))

    def record_run(self, name, call):
        request = call.call.rpartition(".")[0]
        self.executions[request] += 1
        assert (
            builders.NOW + self.now < call.deadline
        ), "call ran after its deadline"
        in_flight = len(self.gates[name].state.running)
        assert in_flight <= int(self.gates[name].state.limit.value)

    def send_to_dispatch(self, event):
        for action in self.dispatch.handle(event):
            if isinstance(action, calls.Finish):
                self.record_result(action.result)
            elif isinstance(action, calls.CancelCall):
                cancel = gate.Cancelled(call=action.call)
                self.network.append((action.instance, cancel))
            else:
                arrived = gate.Arrived(reply_to=b"d", call=action.call)
                self.network.append((action.instance.instance, arrived))

    def record_result(self, result):
        self.results[result.request].append(result)
        if result.outcome is wire.Outcome.ANSWERED:
            assert (
                result.body == result.request.encode()
            ), "answer of another request"

    @stateful.rule(seconds=st.sampled_from((0.05, 0.5, 4.0)))
    def submit(self, seconds):
        name = f"r{len(self.requests)}"
        request = builders.make_request(name, seconds=self.now + seconds)
        self.requests[name] = request
        self.send_to_dispatch(calls.Submitted(reply_to=b"t", request=request))

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(data=st.data())
    def deliver(self, data):
        index = data.draw(st.integers(0, len(self.network) - 1))
        target, message = self.network.pop(index)
        if target == "dispatch":
            self.send_to_dispatch(calls.Answered(message=message))
        else:
            self.send_to_gate(target, message)

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(data=st.data())
    def duplicate(self, data):
        index = data.draw(st.integers(0, len(self.network) - 1))
        self.network.append(self.network[index])

    @stateful.precondition(lambda self: self.network)
    @stateful.rule(data=st.data())
    def lose(self, data):
        self.network.pop(data.draw(st.integers(0, len(self.network) - 1)))

    @stateful.rule(
        data=st.data(),
        status=st.sampled_from((200, 200, 200, 503, 500)),
        cold=st.booleans(),
    )
    def finish(self, data, status, cold):
        running = [
            (name, call)
            for name, node_gate in self.gates.items()
            for call in node_gate.state.running
        ]
        if not running:
            return
        name, call = data.draw(st.sampled_from(running))
        headers = (("X-Backend-Cold", "1"),) if cold else ()
        result = wire.BackendResult(
            call=call,
            outcome=wire.Outcome.ANSWERED,
            status=status,
            headers=headers,
            body=call.rpartition(".")[0].encode(),
            duration_ms=data.draw(st.sampled_from((1.0, 60.0))),
        )
        self.send_to_gate(name, gate.Finished(result=result))

    @stateful.rule(data=st.data())
    def lose_outcome(self, data):
        name = data.draw(st.sampled_from(sorted(self.gates)))
        for call in list(self.gates[name].state.running)[:1]:
            result = wire.BackendResult(
                call=call,
                outcome=wire.Outcome.UNKNOWN,
                reason=wire.UnknownReason.CONNECTION_LOST.value,
                duration_ms=5.0,
            )
            self.send_to_gate(name, gate.Finished(result=result))

    @stateful.rule(seconds=st.sampled_from((0.01, 0.06, 0.3, 2.0)))
    def wait(self, seconds):
        self.dispatch.seconds += seconds
        self.send_to_dispatch(calls.TimedOut())

    @stateful.rule(data=st.data())
    def tick(self, data):
        # A gate without ticks for a long time stands for a frozen process.
        name = data.draw(st.sampled_from(sorted(self.gates)))
        self.send_to_gate(name, gate.Tick())

    @stateful.rule(data=st.data(), cold=st.booleans())
    def announce_again(self, data, cold):
        name = data.draw(st.sampled_from(sorted(self.gates)))
        was_cold = self.gates[name].cold
        self.announce(name, cold=cold)
        if cold and not was_cold:
            assert self.gates[name].state.limit.value == limits.COLD_LIMIT

    @stateful.rule(data=st.data(), out=st.booleans())
    def move_data_centre(self, data, out):
        node_gate = self.gates[data.draw(st.sampled_from(sorted(self.gates)))]
        node_gate.policy = gate.Policy(data_centre_out=out)

    @stateful.rule(data=st.data())
    def hang_up(self, data):
        if self.requests:
            name = data.draw(st.sampled_from(sorted(self.requests)))
            self.send_to_dispatch(calls.CallerGone(request=name))

    @stateful.invariant()
    def one_result_each(self):
        for request, results in self.results.items():
            assert len(results) == 1, f"{request} has {len(results)} results"

    @stateful.invariant()
    def not_run_is_true(self):
        for request, (result, *_) in self.results.items():
            if result.outcome is wire.Outcome.NOT_RUN:
                assert not self.executions[request], f"{request} did run"

    @stateful.invariant()
    def runs_are_bounded(self):
        max_executions = 2 if self.idempotent else 1
        for request, count in self.executions.items():
            assert count <= max_executions, f"{request} ran {count} times"

    def teardown(self):
        self.dispatch.seconds += 100.0
        self.send_to_dispatch(calls.TimedOut())
        assert set(self.results) == set(
            self.requests
        ), "requests without a result"
        assert not self.dispatch.state.attempts


class IdempotentMachine(CallMachine):
    """The same machine with idempotent calls, which may be retried once."""

    idempotent = True


SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class OnceTest(unittest.TestCase):
    def test_calls_that_run_at_most_once(self):
        """Guards against calls that run twice or get a wrong result.

        Messages are lost, reordered and duplicated (P7 to P9).
        """
        stateful.run_state_machine_as_test(CallMachine, settings=SETTINGS)


class IdempotentTest(unittest.TestCase):
    def test_calls_that_may_be_repeated(self):
        """Guards against retries that swap or duplicate results."""
        stateful.run_state_machine_as_test(
            IdempotentMachine, settings=SETTINGS
        )
