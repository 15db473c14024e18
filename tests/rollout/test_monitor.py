"""Tests of how a node evaluates the rollout of its own service."""

import dataclasses
import unittest

from apricotpost import config
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost.rollout import monitor

__all__ = ["RolloutMonitorTest"]


def make_instance(name, service="portal", version="v1"):
    """Return the record of an instance that is up."""
    return model.InstanceRecord(
        instance=name,
        data_centre="riga-1",
        region="lv-riga",
        call_address="",
        control_address="",
        service=service,
        version=version,
        state=model.InstanceState.UP,
        slots=12,
    )


def make_view():
    """Return a view with an open rollout of one of two services."""
    services = tuple(
        model.Service(
            name=name,
            team="t",
            versions=(model.VersionShare(version="v1", share=1000),),
        )
        for name in ("fieldbook", "portal")
    )
    first = config.with_checksum(model.Snapshot(version=1, services=services))
    planned = rollouts.plan_rollout(first, "portal", "v2", 2000.0, 1000.0)
    instances = (
        make_instance("f", service="fieldbook"),
        make_instance("p1"),
        make_instance("p2", version="v2"),
        make_instance("p3"),
    )
    return model.View(snapshot=planned, instances=instances)


def observe(view, instance, state=None, now=1001.0):
    """Return the observation of an instance."""
    return monitor.evaluate(
        state or monitor.RolloutMonitor(), view, instance=instance, now=now
    )[1]


class RolloutMonitorTest(unittest.TestCase):
    def test_node_of_another_service_has_no_observation(self):
        """Guards against work that grows with the number of services."""
        self.assertIsNone(observe(make_view(), "f"))
        self.assertIsNotNone(observe(make_view(), "p1"))

    def test_one_live_node_is_first_and_the_next_takes_over(self):
        """Guards against no holder or two holders while all views agree."""
        view = make_view()
        names = ("p1", "p2", "p3")
        first = [
            name for name in names if observe(view, name).is_holder_candidate
        ]
        self.assertEqual(1, len(first))
        instances = tuple(
            (
                dataclasses.replace(entry, state=model.InstanceState.SUSPECT)
                if entry.instance == first[0]
                else entry
            )
            for entry in view.instances
        )
        view = dataclasses.replace(view, instances=instances)
        successors = [
            name for name in names if observe(view, name).is_holder_candidate
        ]
        self.assertEqual(1, len(successors))
        self.assertNotEqual(first, successors)

    def test_only_withdrawal_of_this_rollout_counts(self):
        """Guards against an old withdrawal that ends a new rollout."""
        view = make_view()
        for rollout, expected in (
            (view.snapshot.rollouts[0].identifier, "fails"),
            ("000000000001-portal", ""),
        ):
            notice = model.Withdrawal(
                rollout=rollout,
                service="portal",
                version="v2",
                reason="fails",
                at=1000.0,
            )
            observation = observe(
                dataclasses.replace(view, withdrawals=(notice,)), "p1"
            )
            self.assertEqual(
                expected, observation.server_counts.withdrawal_reason
            )

    def test_server_that_changes_its_version_is_cold_again(self):
        """Guards against slots that count as warm after a version change."""
        view = make_view()
        state, _ = monitor.evaluate(
            monitor.RolloutMonitor(), view, instance="p1", now=1000.0
        )
        instances = tuple(
            (
                dataclasses.replace(entry, version="v2")
                if entry.instance == "p3"
                else entry
            )
            for entry in view.instances
        )
        changed = dataclasses.replace(view, instances=instances)
        observation = observe(changed, "p1", state=state, now=1020.0)
        self.assertEqual(2, observation.server_counts.new_servers)
        self.assertEqual(12, observation.server_counts.new_slots)
