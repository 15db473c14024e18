"""Tests of configuration distribution between real node processes."""

import contextlib
import unittest

from standins import fleet as fleets
from standins import observations

__all__ = ["ControlTest"]

WAIT_SECONDS = 60.0
OVERRIDES = {
    "logs": {"level": "DEBUG"},
    "times": {"join_seconds": 0.5, "leave_notice_seconds": 0.1},
    "ingress_threads": 1,
    "local_threads": 1,
}


class ControlTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.fleet = stack.enter_context(fleets.open_fleet(OVERRIDES))
        first = observations.make_configuration()
        self.snapshot = fleets.commit_first_snapshot(self.fleet, first)
        for number in range(6):
            fleets.start_member(
                self.fleet,
                instance=f"n{number}",
                data_centre=f"dc{number % 2 + 1}",
                service="portal",
                version="v1",
                with_backend_server=False,
            )
        self.require_version(1)
        # A pushed version may be in force before the join completes.
        self.wait_for(
            lambda: all(
                observations.list_ready_versions(self.fleet, member)
                for member in self.fleet.members
            )
        )

    def require_version(self, version):
        self.assertTrue(
            observations.wait_for_version(
                self.fleet, self.fleet.members, version, seconds=WAIT_SECONDS
            )
        )

    def commit(self):
        self.snapshot = observations.commit_route_change(
            self.fleet, self.snapshot
        )
        return self.snapshot.version

    def wait_for(self, condition):
        elapsed_seconds = fleets.wait_for(condition, seconds=WAIT_SECONDS)
        self.assertIsNotNone(elapsed_seconds)

    def test_readers_killed_and_table_down(self):
        """Guards against a version that is lost with the nodes that read it.

        Two nodes that read the table are killed right after a commit; then
        the table fails once one node has the next version.
        """
        first_data_centre = self.fleet.members[0::2]
        self.wait_for(
            lambda: any(
                observations.read_counters(self.fleet, member).get(
                    "table_reads", 0
                )
                > 2
                for member in first_data_centre
            )
        )
        readers = observations.sort_by_table_reads(
            self.fleet, first_data_centre
        )[:2]
        version = self.commit()
        for member in readers:
            member.node.kill()
            member.node.wait()
            self.fleet.members.remove(member)
        self.require_version(version)
        version = self.commit()
        self.wait_for(
            lambda: any(
                version == applied_version
                for member in self.fleet.members
                for applied_version, _ in observations.list_applied_versions(
                    self.fleet, member
                )
            )
        )
        observations.set_faults(self.fleet, table_down=True)
        self.require_version(version)

    def test_data_centre_restarts(self):
        """Guards against restarted nodes that use an older version."""
        version = self.commit()
        self.require_version(version)
        restarted = self.fleet.members[0::2]
        for member in restarted:
            member.node.kill()
            member.node.wait()
            before = observations.list_ready_versions(self.fleet, member)
            self.assertEqual(1, len(before))
        for member in restarted:
            fleets.start_node(self.fleet, member)
        self.wait_for(
            lambda: all(
                len(observations.list_ready_versions(self.fleet, member)) == 2
                for member in restarted
            )
        )
        for member in restarted:
            ready = observations.list_ready_versions(self.fleet, member)[-1]
            self.assertEqual(version, ready[0])

    def test_leaving_node_is_known_to_the_others(self):
        """Guards against calls to an instance that drains."""
        leaving, *others = self.fleet.members
        states = observations.list_states
        self.wait_for(
            lambda: all("n0" in states(self.fleet, m) for m in others)
        )
        self.assertEqual(0, fleets.stop(leaving.node))
        self.wait_for(
            lambda: all(
                states(self.fleet, m)["n0"] == "leaving" for m in others
            )
        )
