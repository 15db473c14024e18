"""Tests of data centre moves with real nodes."""

import dataclasses
import json
import unittest

from apricotpost import model
from apricotpost.node import moves
from standins import fleet
from tests.admin import test_moves

__all__ = ["MovesTest", "RecorderTest"]

HEADERS = {"Authorization": f"Bearer {fleet.TOKEN}"}


class RecorderTest(unittest.TestCase):
    def test_one_live_node_is_the_recorder(self):
        """Guards against moves that no node, or each node, records."""
        view = test_moves.make_view(9, 9, 9)
        view = dataclasses.replace(view, ready=True)

        def recorders():
            names = [record.instance for record in view.instances]
            return [name for name in names if moves.is_recorder(view, name)]

        (first,) = recorders()
        records = tuple(
            (
                dataclasses.replace(record, state=model.InstanceState.DOWN)
                if record.instance == first
                else record
            )
            for record in view.instances
        )
        view = dataclasses.replace(view, instances=records)
        (second,) = recorders()
        self.assertNotEqual(first, second)


class MovesTest(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(fleet.open_fleet())
        fleet.commit_first_snapshot(
            self.fleet,
            model.Snapshot(
                version=1,
                data_centres=tuple(
                    model.DataCentre(name=name, region="lv-riga")
                    for name in ("riga-1", "riga-2")
                ),
            ),
        )
        self.members = [
            fleet.start_member(
                self.fleet,
                instance=f"a{number}",
                data_centre=f"riga-{number}",
                service="portal",
                version="v1",
            )
            for number in (1, 2)
        ]

    def get(self, member, path):
        return fleet.call_json(
            self.fleet, f"http://{member.admin}", path, headers=HEADERS
        )

    def test_outcome_is_kept_once_every_node_holds_the_version(self):
        """Guards against a move outcome that is missing or too early."""
        first, second = self.members

        def both_are_known():
            answer = self.get(first, "/v1/instances") or {"instances": ()}
            return [e["config_version"] for e in answer["instances"]] == [1, 1]

        self.assertIsNotNone(fleet.wait_for(both_are_known, seconds=30))
        answer = fleet.call_json(
            self.fleet,
            f"http://{first.admin}",
            "/v1/data-centres/riga-2",
            {"state": "out", "reason": "power work"},
            HEADERS,
        )
        (identifier,) = answer["moves"]
        path = f"/v1/history/{identifier}"
        done = fleet.wait_for(
            lambda: (self.get(second, path) or {}).get("state") == "done",
            seconds=30,
        )
        move = self.get(second, path)
        self.assertIsNotNone(done, json.dumps(move))
        self.assertEqual(("riga-2", "out"), (move["data_centre"], move["to"]))
        self.assertGreater(move["taken_ms"], 0)
        versions = [
            self.get(member, "/v1/status")["version"]
            for member in self.members
        ]
        self.assertEqual([2, 2], versions)
        history = self.get(first, "/v1/history")
        self.assertEqual([], history["pending"])
        self.assertEqual(
            [identifier], [e["identifier"] for e in history["outcomes"]]
        )
