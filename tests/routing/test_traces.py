"""Replay of recorded traces against their stated outcomes."""

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


def read(value: typing.Any, kind: typing.Any) -> typing.Any:
    return msgspec.convert(value, kind)


@dataclasses.dataclass(kw_only=True)
class Replay:
    """Decisions that follow from the events of one trace."""

    dispatch: calls.CallState = calls.CallState(data_centre="riga-1")
    admission: gate.GateState = gate.GateState(
        limit=limits.start(slots=1, cold=True)
    )
    table: routing.RoutingTable | None = None
    results: dict[str, wire.CallResult] = dataclasses.field(
        default_factory=dict
    )
    runs: list[str] = dataclasses.field(default_factory=list)
    refusals: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    limits: list[float] = dataclasses.field(default_factory=list)

    def feed(self, line):
        if line["side"] == "view":
            self.table = routing.build_table(read(line["view"], model.View))
        elif line["side"] == "dispatch":
            self.feed_dispatch(line)
        else:
            self.feed_gate(line)

    def feed_dispatch(self, line):
        event = line["event"]
        if line["kind"] == "Answered":
            kind = getattr(wire, line["message"])
            event = calls.Answered(message=read(event["message"], kind))
        else:
            event = read(event, getattr(calls, line["kind"]))
        self.dispatch, actions = calls.handle(
            self.dispatch,
            event,
            read(line["now"], calls.Now),
            table=self.table,
            draws=read(line["draws"], calls.Draws),
        )
        for action in actions:
            if isinstance(action, calls.Finish):
                name = action.result.request
                assert name not in self.results, f"two results for {name}"
                self.results[name] = action.result

    def feed_gate(self, line):
        self.admission, actions = gate.handle(
            self.admission,
            read(line["event"], getattr(gate, line["kind"])),
            now=line["now"],
            wall=line["wall"],
            policy=read(line["policy"], gate.Policy),
            checksum=line["checksum"],
        )
        self.limits.append(self.admission.limit.value)
        for action in actions:
            if isinstance(action, gate.Run):
                assert line["wall"] < action.call.deadline
                self.runs.append(action.call.call)
            elif isinstance(action.message, wire.NotRun):
                self.refusals[action.message.reason.value] += 1


def replay(name: str) -> tuple[Replay, dict[str, typing.Any]]:
    """Replay a trace; returns the decisions and the stated outcome."""
    with open(FOLDER / f"calls-{name}.jsonl", encoding="utf-8") as file:
        lines = [json.loads(line) for line in file]
    found = Replay()
    for line in lines[:-1]:
        found.feed(line)
    return found, lines[-1]["outcome"]


class TraceTest(unittest.TestCase):
    def test_killed_peer(self):
        """Guards against other results than the callers of a run saw."""
        found, outcome = replay("killed")
        counts = collections.Counter(
            result.outcome.value for result in found.results.values()
        )
        self.assertEqual(outcome["callers"], dict(counts))
        self.assertFalse(found.dispatch.attempts)

    def test_frozen_gate(self):
        """Guards against a run after the freeze of a recorded gate."""
        found, outcome = replay("frozen")
        self.assertEqual(outcome["executions"], len(found.runs))
        self.assertTrue(found.refusals["deadline-passed"])

    def test_server_that_turns_cold(self):
        """Guards against a full limit for a server that turned cold."""
        found, outcome = replay("cold")
        self.assertEqual(outcome["executions"], len(found.runs))
        warm = found.limits.index(max(found.limits))
        self.assertEqual(1.0, min(found.limits[warm:]))

    def test_draining_gate(self):
        """Guards against a drain that loses a call or runs a new one."""
        found, outcome = replay("draining")
        self.assertEqual(outcome["executions"], len(found.runs))
        self.assertEqual(len(set(found.runs)), len(found.runs))
        self.assertTrue(found.refusals["draining"])
        self.assertTrue(gate.is_idle(found.admission))
