"""Tests of single rules of the configuration distribution."""

import dataclasses
import unittest

from apricotpost import config
from apricotpost import distribution
from apricotpost import membership
from apricotpost import model
from apricotpost import wire
from tests.distribution import simulation
from tests.membership import simulation as records

__all__ = ["JoinTest", "NoticeTest", "ReadTest", "RefusalTest"]


def make_delta(base):
    return config.compute_delta(
        simulation.make_snapshot(base), simulation.make_snapshot(base + 1)
    )


class RefusalTest(unittest.TestCase):
    def make_fleet(self, refusing):
        fleet = simulation.make_fleet(12)
        # The readers accept the version; otherwise no node would push it.
        self.refusing = [
            name for name in fleet.nodes if not fleet.cluster(name).is_reader
        ][:refusing]
        for name in self.refusing:
            fleet.nodes[name].damaged_versions = frozenset((2,))
        fleet.commit()
        return fleet

    def test_version_refused_by_half_stops(self):
        """Guards against a faulty version that is still distributed."""
        fleet = self.make_fleet(8)
        fleet.run(8)
        held = [fleet.nodes[n].state.snapshot for n in self.refusing]
        self.assertEqual([simulation.make_snapshot(1)] * 8, held)
        stops = [
            a for a in fleet.actions if isinstance(a, distribution.Stopped)
        ]
        self.assertEqual(12, len(stops))
        fleet.delivered.clear()
        fleet.run(20)
        pushed = [
            message
            for _, _, message in fleet.delivered
            if isinstance(message, (wire.ConfigDelta, wire.ConfigSnapshot))
        ]
        self.assertEqual([], pushed)

    def test_correction_reaches_those_that_refused(self):
        """Guards against a refused version that blocks all later ones."""
        fleet = self.make_fleet(8)
        fleet.run(8)
        fleet.commit()
        fleet.run(8)
        self.assertEqual({3}, fleet.ready_versions())

    def test_damaged_copy_is_fetched_again(self):
        """Guards against a node that refuses a valid version for good.

        It received one damaged copy of the version.
        """
        fleet = self.make_fleet(1)
        fleet.run(2)
        fleet.nodes[self.refusing[0]].damaged_versions = frozenset()
        # A refused version is tried again after 10 s.
        fleet.run(16)
        self.assertEqual({2}, fleet.ready_versions())

    def test_joining_node_is_not_held_up_by_a_stopped_version(self):
        """Guards against a restart that waits for a stopped version."""
        fleet = self.make_fleet(8)
        fleet.run(8)
        accepting = next(n for n in fleet.nodes if fleet.cluster(n).is_reader)
        for name in (self.refusing[0], accepting):
            fleet.restart(name)
        refused = wire.ConfigRefused(
            sender="n1",
            version=2,
            reason="",
            refusers=tuple(self.refusing),
        )
        fleet.handle(accepting, distribution.Received(message=refused))
        fleet.run(15)
        for name in (self.refusing[0], accepting):
            self.assertTrue(fleet.nodes[name].state.ready, name)


class ReadTest(unittest.TestCase):
    def test_two_nodes_of_a_data_centre_read(self):
        """Guards against a number of reads that grows with the fleet."""
        fleet = simulation.make_fleet(40, centres=2)
        fleet.run(20)
        # Four readers, each once a second with a jitter of up to 0.5 s.
        self.assertEqual(4, len(fleet.read_counts))
        self.assertLessEqual(fleet.read_counts.total(), 4 * 20 * 2)
        self.assertGreaterEqual(fleet.read_counts.total(), 4 * 20 / 1.5)

    def test_reads_back_off_while_the_table_is_out(self):
        """Guards against frequent reads while the table is unavailable."""
        fleet = simulation.make_fleet(12, centres=1)
        fleet.table_unavailable = True
        fleet.run(20)
        fleet.read_counts.clear()
        fleet.run(40)
        # Two readers with pauses of at least 2 s.
        self.assertLessEqual(fleet.read_counts.total(), 2 * 40 / 2)

    def test_committed_delta_spreads_without_the_table(self):
        """Guards against a committed version that is lost in an outage."""
        fleet = simulation.make_fleet(12)
        fleet.commit()
        fleet.table_unavailable = True
        fleet.handle(
            "n3", distribution.Committed(version=2, delta=make_delta(1))
        )
        fleet.run(8)
        self.assertEqual({2}, fleet.ready_versions())

    def test_commit_during_a_read_is_read_at_once(self):
        """Guards against a commit that is read only at the next poll."""
        fleet = simulation.make_fleet(3)
        state = dataclasses.replace(fleet.nodes["n0"].state, reading=True)
        fleet.nodes["n0"].state = state
        fleet.handle("n0", distribution.Committed(version=2))
        old = wire.ConfigRead(available=True, head=1)
        fleet.handle("n0", distribution.TableRead(result=old))
        self.assertEqual("n0", fleet.pending_reads[0][0])

    def test_readers_are_the_same_two_for_all(self):
        """Guards against nodes that disagree on which nodes are readers."""
        all_members = {
            f"n{number}": membership.Member(
                record=records.make_record(f"n{number}"), recorded_at=0.0
            )
            for number in range(40)
        }
        readers = [
            name
            for name in all_members
            if distribution.make_cluster_view(
                membership.Membership(own=name, members=all_members), ()
            ).is_reader
        ]
        self.assertEqual(2, len(readers))
        # The next node in rendezvous order replaces one that is down.
        down = dataclasses.replace(
            all_members[readers[0]].record, state=model.InstanceState.DOWN
        )
        all_members[readers[0]] = membership.Member(
            record=down, recorded_at=0.0
        )
        others = [
            name
            for name in all_members
            if name != readers[0]
            and distribution.make_cluster_view(
                membership.Membership(own=name, members=all_members), ()
            ).is_reader
        ]
        self.assertEqual(2, len(others))
        self.assertIn(readers[1], others)

    def test_digests_repair_lost_pushes(self):
        """Guards against a node that misses a version after lost pushes."""
        fleet = simulation.make_fleet(40)
        fleet.commit()
        fleet.handle(
            "n3", distribution.Committed(version=2, delta=make_delta(1))
        )
        fleet.table_unavailable = True
        fleet.in_flight.clear()
        fleet.pending_reads.clear()
        fleet.run(30)
        self.assertEqual({2}, fleet.ready_versions())

    def test_late_messages_do_not_bring_an_older_version_back(self):
        """Guards against older versions from messages that arrive late."""
        fleet = simulation.make_fleet(3, versions=3)
        for message in (
            wire.ConfigSnapshot(sender="n1", snapshot=fleet.history[2]),
            wire.ConfigDelta(sender="n1", deltas=(make_delta(1),)),
        ):
            event = distribution.Received(message=message, reply_to=b"n1")
            fleet.handle("n0", event)
        self.assertEqual({3}, fleet.ready_versions())


class JoinTest(unittest.TestCase):
    def test_restarted_data_centre_causes_bounded_reads(self):
        """Guards against a burst of reads and snapshots after a restart.

        All nodes of a data centre restart at once.
        """
        fleet = simulation.make_fleet(80, centres=4, versions=200)
        restarted = [
            name
            for name, node in fleet.nodes.items()
            if node.record.data_centre == "dc1"
        ]
        for name in restarted:
            fleet.restart(name)
        fleet.run(8)
        self.assertEqual({200}, fleet.ready_versions())
        # One read for each node that is not a reader; readers poll as well.
        counts = {
            fleet.read_counts[name]
            for name in restarted
            if not fleet.cluster(name).is_reader
        }
        self.assertEqual({1}, counts)
        snapshots = [
            target
            for _, target, message in fleet.delivered
            if isinstance(message, wire.ConfigSnapshot)
        ]
        self.assertLessEqual(len(snapshots), 3 * len(restarted))

    def test_snapshots_are_served_at_a_bounded_rate(self):
        """Guards against a node that is busy with serving snapshots."""
        fleet = simulation.make_fleet(2)
        for number in range(50):
            asked = wire.ConfigRequest(sender="n1", have=0)
            event = distribution.Received(message=asked, reply_to=b"n1")
            fleet.now = number / 100
            fleet.handle("n0", event)
        self.assertEqual(20, len(fleet.in_flight))

    def test_silent_seeds_are_asked_again_within_a_second(self):
        """Guards against a start that waits for seeds that failed too."""
        fleet = simulation.make_fleet(6)
        fleet.restart("n0")
        for pause in (2.0, 1.0):
            fleet.in_flight.clear()
            fleet.now += pause
            fleet.tick("n0")
            joins = [
                message
                for _, _, message in fleet.in_flight
                if isinstance(message, wire.Join)
            ]
            self.assertEqual(3, len(joins))

    def test_stale_peers_do_not_make_a_node_ready(self):
        """Guards against a ready node with an older version than before.

        Its peers have not received the version that it held.
        """
        fleet = simulation.make_fleet(6, versions=2)
        fleet.commit()
        fleet.restart("n0")
        stale = wire.Welcome(sender="n1", version=2, checksum="", floor=0)
        fleet.handle(
            "n0", distribution.Received(message=stale, reply_to=b"n1")
        )
        whole = wire.ConfigSnapshot(sender="n1", snapshot=fleet.history[2])
        fleet.handle(
            "n0", distribution.Received(message=whole, reply_to=b"n1")
        )
        self.assertFalse(fleet.nodes["n0"].state.ready)

    def test_stale_welcome_and_stale_read_do_not_make_a_node_ready(self):
        """Guards against an older version after a restart."""
        fleet = simulation.make_fleet(2, versions=3)
        fleet.restart("n0")
        state = fleet.nodes["n0"].state
        state = dataclasses.replace(
            state, snapshot=simulation.make_snapshot(2)
        )
        fleet.nodes["n0"].state = state
        stale = wire.Welcome(sender="n1", version=2, checksum="", floor=3)
        fleet.handle(
            "n0", distribution.Received(message=stale, reply_to=b"n1")
        )
        old = wire.ConfigRead(available=True, head=2)
        fleet.handle("n0", distribution.TableRead(result=old))
        self.assertFalse(fleet.nodes["n0"].state.ready)

    def test_node_without_peers_and_table_stays_not_ready(self):
        """Guards against calls that are routed without a configuration."""
        fleet = simulation.make_fleet(6)
        fleet.table_unavailable = True
        fleet.restart("n0")
        fleet.cut_data_centres = {"dc0"}
        for name in ("n2", "n4"):
            fleet.restart(name)
        fleet.run(30)
        self.assertEqual({1, -1}, fleet.ready_versions())
        fleet.cut_data_centres = set()
        fleet.run(12)
        self.assertEqual({1}, fleet.ready_versions())


class NoticeTest(unittest.TestCase):
    def setUp(self):
        self.fleet = simulation.make_fleet(12)
        first = self.fleet.history[1]
        self.rollout = model.Rollout(
            identifier="r1",
            service=first.services[0].name,
            old="v1",
            new="v2",
            state=model.RolloutState.RUNNING,
            share=10,
            started_at=0.0,
            finish_by=900.0,
            changed_at=0.0,
        )
        self.notice = wire.WithdrawalNotice(
            sender="n0",
            withdrawals=(
                model.Withdrawal(
                    rollout="r1", service="s", version="v2", reason="", at=1.0
                ),
            ),
        )

    def apply_version(self, state, version):
        """Commit a version with the rollout in a state; wait for all nodes."""
        rollout = dataclasses.replace(self.rollout, state=state)
        first = self.fleet.history[1]
        service = dataclasses.replace(
            first.services[0],
            versions=(
                model.VersionShare(version="v1", share=990),
                model.VersionShare(version="v2", share=10),
            ),
        )
        self.fleet.history.append(
            config.with_checksum(
                dataclasses.replace(
                    first,
                    version=version,
                    rollouts=(rollout,),
                    services=(service, *first.services[1:]),
                )
            )
        )
        self.fleet.run(6)
        self.assertEqual({version}, self.fleet.ready_versions())

    def count_holders(self):
        nodes = self.fleet.nodes.values()
        return sum("r1" in node.state.withdrawals for node in nodes)

    def test_notice_reaches_all_and_ends_with_its_rollout(self):
        """Guards against a withdrawn version that some nodes still select."""
        self.apply_version(model.RolloutState.RUNNING, 2)
        event = distribution.Received(message=self.notice)
        self.fleet.handle("n0", event)
        # The first pushes are lost; the digests reveal the difference.
        self.fleet.in_flight.clear()
        self.fleet.run(16)
        self.assertEqual(12, self.count_holders())
        self.apply_version(model.RolloutState.WITHDRAWN, 3)
        self.assertEqual(0, self.count_holders())
        self.fleet.handle("n0", event)
        self.assertEqual(0, self.count_holders())

    def test_notice_of_an_unknown_rollout_expires(self):
        """Guards against expired notices that peers reintroduce."""
        self.fleet.handle("n0", distribution.Received(message=self.notice))
        self.fleet.run(10)
        self.assertEqual(12, self.count_holders())
        self.fleet.run(distribution.Policy().notice_seconds + 10)
        self.assertEqual(0, self.count_holders())
