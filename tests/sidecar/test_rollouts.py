"""Tests of the task that carries out rollout orders."""

import asyncio
import dataclasses
import types
import unittest

import msgspec

from apricotpost.membership import fleet
from apricotpost import model
from apricotpost import platform
from apricotpost import revisions
from apricotpost.rollout import trials
from apricotpost.sidecar import rollouts
from apricotpost.sidecar import server_index
from apricotpost.sidecar import trial_records
from apricotpost.sidecar import views
from apricotpost import wire
from tests.sidecar import builders

__all__ = ["EraTest", "OldVersionTest"]

ORDER_REVISION = 7


class RecordingStore:
    """Store that keeps the rows written last by table and key."""

    def __init__(self):
        self.rows = {}
        self.revision = ORDER_REVISION

    async def read(self, table):
        return platform.Page(rows=(), revision=self.revision)

    async def write(self, change):
        self.revision += 1
        for table, key, value in change.put:
            self.rows[(table, key)] = value
        return self.revision


class RolloutCase(unittest.IsolatedAsyncioTestCase):
    """A node that has read a rollout order; it hears of servers later."""

    async def asyncSetUp(self):
        self.members = fleet.Fleet(node="n1", data_centre="dc-a")
        self.servers = server_index.ServerIndex(
            members=self.members, regions={}, is_connected=lambda name: True
        )
        self.orders = types.SimpleNamespace(
            view=views.EMPTY, store_lost_at=None, replace_view=self.replace
        )
        self.store = RecordingStore()
        self.task = rollouts.Rollouts(
            settings=types.SimpleNamespace(instance="n1"),
            store=self.store,
            members=self.members,
            servers=self.servers,
            order_task=self.orders,
        )

    def replace(self, view):
        self.orders.view = view

    def give_order(self, revision=ORDER_REVISION, version="v2"):
        order = model.RolloutOrder(
            service="portal", version=version, seconds=14.0
        )
        self.orders.view = views.TrafficView(
            rollouts={"portal": (revision, order)},
            service_trials=self.orders.view.service_trials,
        )
        self.task.start_trial("portal")

    def hear(self, version, *, sequence=1, calls=0, failures=0):
        """Receive the state of a node beside a server of a version."""
        counts = (
            wire.VersionCounts(
                route="r", calls=calls, failures=failures, latencies=()
            ),
        )
        state = builders.make_state(
            node=f"n-{version}",
            sequence=sequence,
            server=builders.make_server(backend=version, version=version),
            counts=counts if calls else (),
        )
        now = asyncio.get_running_loop().time()
        fleet.record_state(self.members, state, now)
        self.servers.invalidate()
        self.task.handle_state(state)

    def make_notice(
        self,
        *,
        phase="running",
        old_version="",
        version="v2",
        revision=ORDER_REVISION,
    ):
        return wire.TrialNotice(
            service="portal",
            version=version,
            order_revision=revision,
            phase=phase,
            old_version=old_version,
            reason="",
        )

    @property
    def trial(self):
        return self.orders.view.service_trials["portal"]

    def read_row(self):
        row = self.store.rows[(trial_records.TRIALS, "portal")]
        return msgspec.json.decode(row)


class OldVersionTest(RolloutCase):
    """Nodes that read an order before they hear of any backend server."""

    async def test_old_version_is_set_once_its_servers_are_known(self):
        """Guards against responses of the old version that do not count.

        After a restart of all nodes the old version was empty for good. The
        responses of the true one were ignored, and a bad version completed.
        """
        self.give_order()
        self.assertEqual("", self.trial.old)
        self.hear("v2")
        self.hear("v1")
        self.task.start_trial("portal")
        self.assertEqual("v1", self.trial.old)
        self.hear("v1", sequence=2, calls=40)
        counted = trials.count_calls(self.task.trial_evidence["portal"], "v1")
        self.assertEqual(40, counted)

    async def test_notice_of_the_same_phase_tells_the_old_version(self):
        """Guards against notices that are ignored for their known phase."""
        self.give_order()
        self.task.handle_notice(self.make_notice(old_version="v1"))
        self.assertEqual("v1", self.trial.old)

    async def test_notice_without_the_old_version_keeps_the_known_one(self):
        """Guards against a node that makes others forget the old version."""
        self.hear("v1")
        self.give_order()
        self.task.handle_notice(self.make_notice(phase="moving"))
        self.assertEqual("v1", self.trial.old)
        self.assertIs(trials.Phase.MOVING, self.trial.phase)

    async def test_stored_row_gets_the_old_version(self):
        """Guards against a stored trial that misleads the next holder."""
        self.give_order()
        await self.task.records.write(self.trial)
        self.assertEqual("", self.read_row()["old"])
        self.hear("v1")
        self.task.start_trial("portal")
        await self.task.records.write(self.trial)
        self.assertEqual("v1", self.read_row()["old"])

    async def test_next_order_after_a_rollback_keeps_the_old_version(self):
        """Guards against a comparison with a version that was rolled back.

        Its servers drain for some seconds, and a restarted node may hear of
        them before it hears of those of the stable version.
        """
        self.task.handle_notice(
            self.make_notice(phase="rolled-back", old_version="v1")
        )
        self.hear("v2")
        self.give_order(revision=ORDER_REVISION + 1, version="v3")
        self.assertEqual("v1", self.trial.old)

    async def test_notice_of_a_new_order_discards_the_evidence(self):
        """Guards against a rollback for what another version did.

        A notice may arrive before the order itself. The tests of the version
        that was rolled back before then still held their alarm.
        """
        self.hear("v1")
        self.give_order()
        self.hear("v2", calls=40, failures=40)
        self.task.handle_notice(
            self.make_notice(
                old_version="v1", version="v3", revision=ORDER_REVISION + 1
            )
        )
        trial_evidence = self.task.trial_evidence["portal"]
        self.assertEqual(0, trials.count_calls(trial_evidence, "v2"))


class EraTest(RolloutCase):
    """Trials after the store has returned from an older copy."""

    def in_new_era(self, version=ORDER_REVISION):
        return revisions.compose(era=1, version=version)

    async def test_rolled_back_version_stays_so_when_ordered_again(self):
        """Guards against a bad version that starts with the store's return.

        The operator writes the lost order again, with another revision.
        """
        self.hear("v1")
        self.give_order()
        self.task.handle_notice(self.make_notice(phase="rolled-back"))
        self.give_order(revision=self.in_new_era())
        self.assertIs(trials.Phase.ROLLED_BACK, self.trial.phase)

    async def test_order_within_the_new_era_starts_a_trial(self):
        """Guards against an order that is taken for one written again."""
        self.hear("v1")
        self.give_order()
        self.task.handle_notice(self.make_notice(phase="rolled-back"))
        for revision in (self.in_new_era(), self.in_new_era() + 1):
            self.give_order(revision=revision)
        self.assertIs(trials.Phase.RUNNING, self.trial.phase)

    async def test_new_version_with_a_lower_store_version_is_tried(self):
        """Guards against a rollout that is never begun."""
        self.hear("v1")
        self.give_order()
        self.give_order(revision=self.in_new_era(2), version="v3")
        self.assertEqual("v3", self.trial.new)

    async def test_node_that_restarted_learns_of_the_rollback(self):
        """Guards against a restarted node that starts a bad version again.

        It has read the order in the new era; the others rolled the version
        back in the former one.
        """
        self.hear("v1")
        self.give_order(revision=self.in_new_era(2))
        self.task.handle_notice(self.make_notice(phase="rolled-back"))
        self.assertIs(trials.Phase.ROLLED_BACK, self.trial.phase)
        self.assertEqual(self.in_new_era(2), self.trial.order_revision)

    async def test_lost_status_is_written_again(self):
        """Guards against operators who wait for a status that was lost."""
        self.hear("v1")
        self.give_order()
        await self.task.records.write(self.trial)
        self.store.rows.clear()
        self.task.records.forget()
        await self.task.records.write(self.trial)
        self.assertEqual("running", self.read_row()["phase"])

    async def test_running_trial_does_not_replace_a_stored_rollback(self):
        """Guards against a status that turns back to running."""
        self.hear("v1")
        self.give_order()
        self.task.handle_notice(self.make_notice(phase="rolled-back"))
        await self.task.records.write(self.trial)
        running = dataclasses.replace(
            self.trial,
            phase=trials.Phase.RUNNING,
            order_revision=self.in_new_era(2),
        )
        self.assertFalse(await self.task.records.write(running))
        self.assertEqual("rolled-back", self.read_row()["phase"])
