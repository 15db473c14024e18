"""Replay of recorded rollouts against their recorded outcomes."""

import json
import pathlib
import unittest

import msgspec

from apricotpost import model
from apricotpost.rollout import monitor
from apricotpost.rollout import steps

__all__ = ["TraceTest"]

FOLDER = pathlib.Path(__file__).parent.parent.parent / "traces"
TIMES = steps.Times(bake_seconds=30.0)
EVIDENCE_FIELDS = (
    "instance",
    "service",
    "version",
    "route",
    "epoch",
    "calls",
    "failures",
    "latency_counts",
)


class TraceTest(unittest.TestCase):
    def test_every_trace_ends_as_recorded(self):
        """Guards against good versions withdrawn and bad ones kept.

        Each evaluation must lead to the decision that the trace recorded
        at that time, and the last one to the recorded outcome.
        """
        paths = sorted(FOLDER.glob("rollout-*.jsonl"))
        self.assertGreaterEqual(len(paths), 19)
        for path in paths:
            with self.subTest(path.stem):
                self.replay(path.read_text(encoding="utf-8").splitlines())

    def replay(self, lines):
        events = [json.loads(line) for line in lines]
        view, state, decision = None, monitor.RolloutMonitor(), None
        share = 0
        for event in events:
            kind = event["event"]
            if kind == "instances":
                view = model.View(
                    snapshot=model.EMPTY_SNAPSHOT,
                    instances=msgspec.convert(
                        event["instances"],
                        tuple[model.InstanceRecord, ...],
                    ),
                )
            elif kind == "configuration":
                view, share = self.configure(view, event, decision, share)
                decision = None
            elif kind == "evidence":
                self.assertIsNone(
                    decision, "the trace has no step for the last decision"
                )
                # Traces leave out unchanged counts and have no lost reports,
                # so a long time between two reports is no gap: all reports
                # are received at the same time.
                state = monitor.receive(
                    state, _decode(event["counts"]), full=True, now=0.0
                )
            elif kind == "look":
                state, decision = _evaluate(state, view, event["at"])
            else:
                self.check_end(event["state"], decision)

    def configure(self, view, event, decision, share):
        snapshot = msgspec.convert(event["snapshot"], model.Snapshot)
        (rollout,) = snapshot.rollouts
        if rollout.share:
            expected = {
                steps.Advance: rollout.share,
                steps.StartBaking: steps.BAKING_SHARE,
            }
            self.assertEqual(expected.get(type(decision)), rollout.share)
            self.assertGreater(rollout.share, share)
        view = model.View(snapshot=snapshot, instances=view.instances)
        return view, rollout.share

    def check_end(self, state, decision):
        expected = steps.Finish if state == "done" else steps.Withdraw
        self.assertIsInstance(decision, expected)


def _decode(counts):
    return [
        msgspec.convert(
            dict(zip(EVIDENCE_FIELDS, entry, strict=True)), model.Evidence
        )
        for entry in counts
    ]


def _evaluate(state, view, at):
    instance = view.instances[0].instance
    state, observation = monitor.evaluate(
        state, view, instance=instance, now=at
    )
    decision = steps.decide(
        observation.rollout,
        observation.judgement,
        observation.server_counts,
        at,
        TIMES,
    )
    if isinstance(decision, steps.Hold):
        return state, None
    return state, decision
