"""Tests of the outcomes of data centre moves."""

import dataclasses
import unittest

from apricotpost.admin import moves
from apricotpost import model

__all__ = ["MovesTest"]

MOVE = moves.PendingMove(
    identifier="000000000009-riga-2",
    data_centre="riga-2",
    state="out",
    version=9,
    started_at=100.0,
    finish_by=110.0,
    author="ilze",
)


def make_view(*versions, state=model.InstanceState.UP):
    """Return a view of instances that hold these versions."""
    records = [
        model.InstanceRecord(
            instance=f"i{number}",
            data_centre="riga-1",
            region="lv-riga",
            call_address="",
            control_address="",
            state=state,
            config_version=version,
        )
        for number, version in enumerate(versions)
    ]
    return model.View(snapshot=model.EMPTY_SNAPSHOT, instances=tuple(records))


class MovesTest(unittest.TestCase):
    def test_done_only_when_every_instance_reports_the_version(self):
        """Guards against a move reported as done too early.

        An instance with an older version still routes by the old state.
        """
        self.assertIsNone(moves.decide_outcome(MOVE, make_view(9, 8), 105.0))
        self.assertIsNone(moves.decide_outcome(MOVE, make_view(), 105.0))
        ended = moves.decide_outcome(MOVE, make_view(9, 10), 105.0)
        self.assertFalse(ended.late)
        self.assertTrue(moves.decide_outcome(MOVE, make_view(9), 110.5).late)

    def test_suspect_instances_count_and_down_ones_do_not(self):
        """Guards against a move reported as done during a network partition.

        A suspect instance may still run behind the partition with the older
        version; one that is down does not.
        """
        suspect = model.InstanceState.SUSPECT
        view = make_view(9, 8, state=suspect)
        self.assertIsNone(moves.decide_outcome(MOVE, view, 105.0))
        down = dataclasses.replace(
            view.instances[1], state=model.InstanceState.DOWN
        )
        view = dataclasses.replace(view, instances=(view.instances[0], down))
        self.assertIsNotNone(moves.decide_outcome(MOVE, view, 105.0))

    def test_outcome_keeps_the_time_it_took(self):
        """Guards against an outcome without its duration or lateness."""
        ended = moves.decide_outcome(MOVE, make_view(9), 112.5)
        _, put = moves.make_outcome_writes(ended)
        self.assertEqual(12_500, put.item.attributes["taken_ms"])
        self.assertEqual("done late", put.item.attributes["result"])
        item = moves.pending_write(MOVE).item
        self.assertEqual(MOVE, moves.decode_pending(item))
