"""Replay of recorded traces, compared with their recorded outcomes."""

import collections
import dataclasses
import json
import pathlib
import typing
import unittest

import msgspec

from apricotpost.admission import gate
from apricotpost.admission import limits
from apricotpost import model
from apricotpost import routing
from apricotpost.routing import calls
from apricotpost import wire

__all__ = ["TraceTest"]

FOLDER = pathlib.Path(__file__).parents[2] / "traces"


def convert_value(value: typing.Any, kind: typing.Any) -> typing.Any:
    return msgspec.convert(value, kind)


@dataclasses.dataclass(kw_only=True)
class Replay:
    """Replays the events of a trace and collects the results."""

    dispatch: calls.CallState = calls.CallState(data_centre="riga-1")
    admission: gate.GateState = gate.GateState(
        limit=limits.start(slots=1, cold=True)
    )
    table: routing.RoutingTable | None = None
    results: dict[str, wire.CallResult] = dataclasses.field(
        default_factory=dict
    )
    executed_calls: list[str] = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    limits: list[float] = dataclasses.field(default_factory=list)

    def replay_line(self, line):
        if line["side"] == "view":
            self.table = routing.build_table(
                convert_value(line["view"], model.View)
            )
        elif line["side"] == "dispatch":
            self.replay_dispatch(line)
        else:
            self.replay_gate(line)

    def replay_dispatch(self, line):
        event = line["event"]
        if line["kind"] == "Answered":
            kind = getattr(wire, line["message"])
            event = calls.Answered(
                message=convert_value(event["message"], kind)
            )
        else:
            event = convert_value(event, getattr(calls, line["kind"]))
        self.dispatch, actions = calls.handle(
            self.dispatch,
            event,
            convert_value(line["now"], calls.Now),
            table=self.table,
            draws=convert_value(line["draws"], calls.Draws),
        )
        for action in actions:
            if isinstance(action, calls.Finish):
                name = action.result.request
                assert name not in self.results, f"two results for {name}"
                self.results[name] = action.result

    def replay_gate(self, line):
        self.admission, actions = gate.handle(
            self.admission,
            convert_value(line["event"], getattr(gate, line["kind"])),
            now=line["now"],
            wall=line["wall"],
            policy=convert_value(line["policy"], gate.Policy),
            checksum=line["checksum"],
        )
        self.limits.append(self.admission.limit.value)
        for action in actions:
            if isinstance(action, gate.Run):
                assert line["wall"] < action.call.deadline
                self.executed_calls.append(action.call.call)
            elif isinstance(action.message, wire.NotRun):
                self.refusals[action.message.reason.value] += 1


def replay(name: str) -> tuple[Replay, dict[str, typing.Any]]:
    """Replay a trace and return the replay and the recorded outcome."""
    with open(FOLDER / f"calls-{name}.jsonl", encoding="utf-8") as file:
        lines = [json.loads(line) for line in file]
    replayed = Replay()
    for line in lines[:-1]:
        replayed.replay_line(line)
    return replayed, lines[-1]["outcome"]


class TraceTest(unittest.TestCase):
    def test_killed_peer(self):
        """Guards against results that differ from the recorded ones."""
        replayed, outcome = replay("killed")
        counts = collections.Counter(
            result.outcome.value for result in replayed.results.values()
        )
        self.assertEqual(outcome["callers"], dict(counts))
        self.assertFalse(replayed.dispatch.attempts)

    def test_frozen_gate(self):
        """Guards against calls that run after their gate was frozen."""
        replayed, outcome = replay("frozen")
        self.assertEqual(outcome["executions"], len(replayed.executed_calls))
        self.assertTrue(replayed.refusals["deadline-passed"])

    def test_server_that_turns_cold(self):
        """Guards against a full limit for a server that turned cold."""
        replayed, outcome = replay("cold")
        self.assertEqual(outcome["executions"], len(replayed.executed_calls))
        warm = replayed.limits.index(max(replayed.limits))
        self.assertEqual(1.0, min(replayed.limits[warm:]))

    def test_draining_gate(self):
        """Guards against a drain that loses a call or runs a new one."""
        replayed, outcome = replay("draining")
        self.assertEqual(outcome["executions"], len(replayed.executed_calls))
        self.assertEqual(
            len(set(replayed.executed_calls)), len(replayed.executed_calls)
        )
        self.assertTrue(replayed.refusals["draining"])
        self.assertTrue(gate.is_idle(replayed.admission))
