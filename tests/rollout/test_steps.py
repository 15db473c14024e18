"""Tests of the step rules and of starting a rollout."""

import dataclasses
import unittest

from apricotpost import config
from apricotpost import errors
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost.rollout import judgements
from apricotpost.rollout import steps
from apricotpost import routing

__all__ = ["PlanTest", "StepTest"]

SERVERS = steps.ServerCounts(
    old_servers=4, new_servers=4, old_slots=48, new_slots=48
)
TIMES = steps.Times()


def make_rollout(share=50, state=model.RolloutState.RUNNING):
    """Return a rollout whose finish_by is 1120."""
    return model.Rollout(
        identifier="r",
        service="portal",
        old="v1",
        new="v2",
        state=state,
        share=share,
        started_at=1000.0,
        finish_by=1120.0,
        changed_at=1000.0,
    )


def make_snapshot():
    """Return a configuration with one service."""
    service = model.Service(
        name="portal",
        team="t",
        versions=(model.VersionShare(version="v1", share=1000),),
    )
    return config.with_checksum(model.Snapshot(version=1, services=(service,)))


class StepTest(unittest.TestCase):
    def decide(self, now, *, server_counts=SERVERS, rollout=None, **judgement):
        fields = {"calls": 50, "heard_at": now, **judgement}
        return steps.decide(
            rollout or make_rollout(),
            judgements.Judgement(**fields),
            server_counts,
            now,
            TIMES,
        )

    def test_step_needs_fresh_evidence(self):
        """Guards against a share that rises on stale evidence."""
        self.assertEqual(steps.Advance(share=250), self.decide(1030.0))
        decision = self.decide(1030.0, heard_at=1020.0)
        self.assertIsInstance(decision, steps.Hold)

    def test_step_needs_servers_with_room(self):
        """Guards against more calls than the new servers can handle."""
        for change in (
            {"new_servers": 0},
            {"new_slots": 0},
            {"new_servers": 1},
            {"new_slots": 11},
        ):
            server_counts = dataclasses.replace(SERVERS, **change)
            with self.subTest(change):
                self.assertIsInstance(
                    self.decide(1030.0, server_counts=server_counts),
                    steps.Hold,
                )
        # Eleven slots are enough when few calls are in progress.
        server_counts = dataclasses.replace(SERVERS, new_slots=11)
        self.assertIsInstance(
            self.decide(1030.0, server_counts=server_counts, busy_slots=10.0),
            steps.Advance,
        )

    def test_full_share_in_time_or_withdrawn(self):
        """Guards against full share later than 10 s before finish_by."""
        last = make_rollout(share=500)
        self.assertIsInstance(
            self.decide(1105.0, rollout=last), steps.StartBaking
        )
        self.assertIsInstance(
            self.decide(1107.0, rollout=last), steps.Withdraw
        )
        # The time left is too short for the remaining steps of 5 s.
        self.assertIsInstance(self.decide(1100.0), steps.Withdraw)

    def test_late_evidence_withdraws_while_baking(self):
        """Guards against a bad version that is kept once it has full share."""
        baking = make_rollout(share=980, state=model.RolloutState.BAKING)
        self.assertIsInstance(
            self.decide(1010.0, rollout=baking, withdraw_reason="fails"),
            steps.Withdraw,
        )
        self.assertIsInstance(self.decide(1059.0, rollout=baking), steps.Hold)
        self.assertIsInstance(
            self.decide(1060.0, rollout=baking), steps.Finish
        )

    def test_recent_servers_are_cold(self):
        """Guards against a step that relies on servers that just came up."""
        record = model.InstanceRecord(
            instance="i",
            data_centre="d",
            region="r",
            call_address="",
            control_address="",
            service="portal",
            version="v2",
            state=model.InstanceState.UP,
            slots=12,
        )
        for since, slots in ((1000.0, 12), (1008.0, 0)):
            server_counts = steps.count_servers(
                make_rollout(), [record], {"i": since}, 1010.0
            )
            self.assertEqual(slots, server_counts.new_slots)


class PlanTest(unittest.TestCase):
    def test_refusals(self):
        """Guards against accepting a rollout that cannot succeed."""
        first = make_snapshot()
        second = rollouts.plan_rollout(first, "portal", "v2", 2000.0, 1000.0)
        for snapshot, service, version, finish_by, reason in (
            (first, "other", "v2", 2000.0, "does not exist"),
            (first, "portal", "v1", 2000.0, "already in force"),
            (first, "portal", "v2", 1009.0, "full share is due"),
            (second, "portal", "v3", 2000.0, "still running"),
        ):
            with self.subTest(reason):
                with self.assertRaisesRegex(errors.RolloutRefused, reason):
                    rollouts.plan_rollout(
                        snapshot, service, version, finish_by, 1000.0
                    )

    def test_unfinished_rollout_is_rolled_back_without_the_platform(self):
        """Guards against calls to an unfinished version after finish_by."""
        planned = rollouts.plan_rollout(
            make_snapshot(), "portal", "v2", 2000.0, 1000.0
        )
        (rollout,) = planned.rollouts
        stepped = rollouts.step_rollout(planned, rollout, 500, 1900.0)
        table = routing.build_table(model.View(snapshot=stepped))
        shares = [
            routing.effective_shares(table, stepped.services[0], wall=wall)
            for wall in (1999.0, 2000.0)
        ]
        self.assertEqual({"v1": 500, "v2": 500}, shares[0])
        self.assertEqual({"v1": 1000}, shares[1])
