"""Tests of the failure detector under loss, freezes and partitions."""

import dataclasses
import math
import unittest

from apricotpost import membership
from apricotpost import model
from apricotpost import wire
from tests.membership import simulation

__all__ = ["DetectionTest", "RecordTest"]

# One period until the first probe, one until it has failed, three of suspicion
# and two of margin. Dissemination adds log2 of the fleet's size, as a record
# reaches twice as many nodes in each period.
BASE_PERIODS = 1 + 1 + 3 + 2


class DetectionTest(unittest.TestCase):
    def check_detection(self, size):
        network = simulation.make_network(size)
        network.silent.add("n7")
        periods = BASE_PERIODS + math.ceil(math.log2(size))
        while network.now < periods and set(network.observed_states("n7")) != {
            "down"
        }:
            network.run(1.0)
        self.assertEqual({"down"}, set(network.observed_states("n7")))
        self.assertLessEqual(network.max_records, 6)
        others = {"up"}
        self.assertEqual(others, set(network.observed_states("n8")))

    def test_dead_node_is_detected_at_60_members(self):
        """Guards against a dead instance that keeps receiving calls."""
        self.check_detection(60)

    def test_dead_node_is_detected_at_1200_members(self):
        """Guards against a detection time that grows with the fleet."""
        self.check_detection(1200)

    def test_messages_do_not_grow_with_the_fleet(self):
        """Guards against a load on each node that grows with the fleet."""
        rates = []
        for size in (30, 300):
            network = simulation.make_network(size)
            network.run(20)
            rates.append(network.sent_count / size / 20)
        self.assertLessEqual(rates[1], 1.05 * rates[0])

    def test_lost_messages_do_not_take_down_live_nodes(self):
        """Guards against false detections when 10 % of messages are lost."""
        network = simulation.make_network(40)
        network.is_cut = lambda source, target: network.rng.random() < 0.1
        network.run(60)
        down = [
            name
            for name in network.states
            if network.observed_states(name).count("down") > 0
        ]
        self.assertEqual([], down)

    def test_frozen_node_refutes_when_it_returns(self):
        """Guards against a node that stays down after a freeze."""
        network = simulation.make_network(20)
        network.silent.add("n3")
        network.run(15)
        self.assertEqual({"down"}, set(network.observed_states("n3")))
        network.silent.clear()
        network.run(12)
        self.assertEqual({"up"}, set(network.observed_states("n3")))
        # The frozen node must not declare the others down either.
        for name in network.states:
            self.assertNotIn("down", network.observed_states(name))

    def test_lost_leave_message_is_covered_by_probes(self):
        """Guards against calls to an instance with lost leave messages."""
        network = simulation.make_network(20)
        network.is_cut = lambda source, target: source == "n5"
        own = network.states["n5"].record
        leaving = dataclasses.replace(own, state=model.InstanceState.LEAVING)
        event = membership.OwnChanged(record=leaving, seed=1)
        network.handle("n5", event)
        network.run(0.2)
        network.silent.add("n5")
        network.run(BASE_PERIODS + 5)
        self.assertEqual({"down"}, set(network.observed_states("n5")))

    def test_leave_reaches_all_within_two_seconds(self):
        """Guards against calls to an instance that is draining."""
        network = simulation.make_network(20)
        own = network.states["n5"].record
        leaving = dataclasses.replace(own, state=model.InstanceState.LEAVING)
        network.handle("n5", membership.OwnChanged(record=leaving, seed=1))
        network.run(2.0)
        informed_count = network.observed_states("n5").count("leaving")
        self.assertGreaterEqual(informed_count, 15)
        network.run(2.0)
        self.assertEqual({"leaving"}, set(network.observed_states("n5")))

    def test_cut_off_data_centre_keeps_its_records(self):
        """Guards against records of a region that are lost in a partition."""
        network = simulation.make_network(24, centres=2)
        sides = {
            name: state.record.data_centre
            for name, state in network.states.items()
        }
        network.is_cut = lambda source, target: sides[source] != sides[target]
        network.run(60)
        self.assertLessEqual(network.max_records, 6)
        view = {
            record.instance: record.state
            for record in membership.list_visible(network.states["n0"])
        }
        remote = {view[name] for name in sides if sides[name] != "dc0"}
        self.assertEqual({model.InstanceState.DOWN}, remote)
        network.is_cut = None
        network.run(40)
        for name in sides:
            self.assertEqual({"up"}, set(network.observed_states(name)), name)

    def test_split_data_centre_recovers_after_a_partition(self):
        """Guards against a partition that persists after its cause has ended.

        Each side has declared the other one down and no longer probes it
        regularly.
        """
        network = simulation.make_network(12)
        network.is_cut = lambda source, target: (int(source[1:]) < 3) != (
            int(target[1:]) < 3
        )
        network.run(40)
        # Within a data centre a failed majority counts as down, not as
        # partitioned.
        for number in range(3, 12):
            observed_states = network.observed_states(f"n{number}")
            self.assertEqual(3, observed_states.count("down"), number)
        network.is_cut = None
        network.run(60)
        for name in network.states:
            self.assertEqual({"up"}, set(network.observed_states(name)), name)


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.state = membership.start(simulation.make_record("a"), 0.0, seed=1)

    def merge(self, record):
        state = membership.merge(self.state, (record,), 1.0)
        self.state = state
        return state.members[record.instance].record

    def test_restarted_instance_supersedes_and_keeps_its_version(self):
        """Guards against an earlier process's record that hides a restart."""
        old = dataclasses.replace(
            simulation.make_record("b", incarnation=5),
            state=model.InstanceState.DOWN,
            config_version=9,
        )
        self.merge(simulation.make_record("b", incarnation=5))
        self.merge(old)
        new = self.merge(simulation.make_record("b", incarnation=6))
        self.assertEqual(model.InstanceState.UP, new.state)
        self.assertEqual(9, new.config_version)
        self.assertEqual(6, self.merge(old).incarnation)

    def test_suspect_of_a_frozen_node_is_not_down_at_once(self):
        """Guards against a resumed node that declares others down.

        The suspicion timeout must not include the time of the freeze.
        """
        up = simulation.make_record("b")
        self.merge(dataclasses.replace(up, state=model.InstanceState.SUSPECT))
        for at in (2.0, 22.0):
            self.state, _ = membership.handle(
                self.state, membership.Tick(seed=1), at
            )
        observed = self.state.members["b"].record.state
        self.assertEqual(model.InstanceState.SUSPECT, observed)

    def test_leaving_node_declares_nobody_down(self):
        """Guards against a drain that lacks servers for its last calls.

        A leaving node receives no refutations. It used to declare a suspect
        down that became suspect before the drain and was alive.
        """
        up = simulation.make_record("b")
        self.merge(dataclasses.replace(up, state=model.InstanceState.SUSPECT))
        leaving = dataclasses.replace(
            self.state.record, state=model.InstanceState.LEAVING
        )
        change = membership.OwnChanged(
            record=leaving, seed=1, disseminate=True
        )
        self.state, _ = membership.handle(self.state, change, 0.5)
        for second in range(1, 12):
            tick = membership.Tick(seed=1)
            self.state, _ = membership.handle(self.state, tick, float(second))
        observed = self.state.members["b"].record.state
        self.assertEqual(model.InstanceState.SUSPECT, observed)

    def test_worse_state_wins_at_equal_incarnation(self):
        """Guards against a late record that revives a dead instance."""
        up = simulation.make_record("b")
        self.merge(up)
        down = dataclasses.replace(up, state=model.InstanceState.DOWN)
        self.merge(down)
        self.assertEqual(down, self.merge(up))

    def test_higher_incarnation_of_an_earlier_process_is_refuted(self):
        """Guards against a hidden restart with a clock that was set back.

        The earlier process then has the higher incarnation.
        """
        old = dataclasses.replace(
            simulation.make_record("a", incarnation=50),
            state=model.InstanceState.LEAVING,
        )
        own = self.merge(old)
        self.assertEqual(51, own.incarnation)
        self.assertEqual(model.InstanceState.UP, own.state)

    def test_instance_without_its_backend_server_gets_no_calls(self):
        """Guards against calls to a node that has lost its backend server."""
        lost = dataclasses.replace(
            simulation.make_record("b"), state=model.InstanceState.STARTING
        )
        self.merge(lost)
        visible = tuple(membership.list_visible(self.state))
        self.assertEqual(model.InstanceState.DOWN, visible[1].state)

    def test_record_expires(self):
        """Guards against memory use that grows with each replaced instance."""
        up = simulation.make_record("b")
        self.merge(up)
        self.merge(dataclasses.replace(up, state=model.InstanceState.DOWN))
        for at in range(0, 700, 10):
            self.state, _ = membership.handle(
                self.state, membership.Tick(seed=1), float(at)
            )
        self.assertNotIn("b", self.state.members)

    def test_records_of_a_cut_off_data_centre_outlast_an_hour(self):
        """Guards against regions that cannot reconnect after a partition.

        Only a data centre with most instances down counts as partitioned.
        """
        kept = {}
        for failed in (1, 3):
            state = membership.start(simulation.make_record("a"), 0.0, seed=1)
            remote = [simulation.make_record(f"f{k}", "b") for k in range(4)]
            down = [
                dataclasses.replace(record, state=model.InstanceState.DOWN)
                for record in remote[:failed]
            ]
            state = membership.merge(state, (*remote, *down), 0.0)
            state, _ = membership.handle(
                state, membership.Tick(seed=1), 3600.0
            )
            kept[failed] = len(state.members)
        self.assertEqual({1: 4, 3: 5}, kept)

    def test_records_of_a_full_exchange_are_not_disseminated(self):
        """Guards against a start that resends the whole fleet's records."""
        known = tuple(simulation.make_record(f"n{k}") for k in range(100))
        message = wire.Members(sender="n0", records=known)
        state, _ = membership.handle(
            self.state, membership.Received(message=message), 1.0
        )
        self.assertEqual(101, len(state.members))
        self.assertEqual(("a",), tuple(e.instance for e in state.updates))

    def test_unknown_node_is_asked_to_send_its_record(self):
        """Guards against a node that stays unknown after a long freeze.

        Its record has expired at the other nodes.
        """
        ping = wire.Ping(sender="z", sequence=1)
        _, actions = membership.handle(
            self.state, membership.Received(message=ping), 1.0
        )
        self.assertFalse(actions[0].message.known)
        self.state = dataclasses.replace(self.state, updates=())
        state, _ = membership.handle(
            self.state, membership.Received(message=actions[0].message), 1.0
        )
        self.assertEqual(("a",), tuple(e.instance for e in state.updates))
