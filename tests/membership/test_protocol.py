"""Tests of the failure detection under loss, freezes and cuts."""

import dataclasses
import math
import unittest

from apricotpost import membership
from apricotpost import model
from apricotpost import wire
from tests.membership import fleets

__all__ = ["DetectionTest", "RecordTest"]

# One period until the first probe, one until it has failed, the suspicion,
# and two periods of margin; rumours double their reach each period.
FIXED_PERIODS = 1 + 1 + 3 + 2


class DetectionTest(unittest.TestCase):
    def detect(self, size):
        queue = fleets.open_queue(size)
        queue.silent.add("n7")
        periods = FIXED_PERIODS + math.ceil(math.log2(size))
        while queue.now < periods and set(queue.seen("n7")) != {"down"}:
            queue.run(1.0)
        self.assertEqual({"down"}, set(queue.seen("n7")))
        self.assertLessEqual(queue.largest, 6)
        others = {"up"}
        self.assertEqual(others, set(queue.seen("n8")))

    def test_dead_node_is_found_at_60_members(self):
        """Guards against a dead instance that keeps getting calls."""
        self.detect(60)

    def test_dead_node_is_found_at_1200_members(self):
        """Guards against a detection time that grows with the fleet."""
        self.detect(1200)

    def test_messages_do_not_grow_with_the_fleet(self):
        """Guards against a cost for each node that grows with the fleet."""
        rates = []
        for size in (30, 300):
            queue = fleets.open_queue(size)
            queue.run(20)
            rates.append(queue.sent / size / 20)
        self.assertLessEqual(rates[1], 1.05 * rates[0])

    def test_lost_messages_do_not_take_down_live_nodes(self):
        """Guards against a false alarm at a loss of one in ten."""
        queue = fleets.open_queue(40)
        queue.cut = lambda source, target: queue.rng.random() < 0.1
        queue.run(60)
        down = [
            name for name in queue.states if queue.seen(name).count("down") > 0
        ]
        self.assertEqual([], down)

    def test_frozen_node_refutes_when_it_returns(self):
        """Guards against a node that stays excluded after a pause."""
        queue = fleets.open_queue(20)
        queue.silent.add("n3")
        queue.run(15)
        self.assertEqual({"down"}, set(queue.seen("n3")))
        queue.silent.clear()
        queue.run(12)
        self.assertEqual({"up"}, set(queue.seen("n3")))
        # The frozen node must not take the others for dead either.
        for name in queue.states:
            self.assertNotIn("down", queue.seen(name))

    def test_lost_leave_message_is_covered_by_probes(self):
        """Guards against calls to an instance that left unheard."""
        queue = fleets.open_queue(20)
        queue.cut = lambda source, target: source == "n5"
        own = queue.states["n5"].record
        leaving = dataclasses.replace(own, state=model.InstanceState.LEAVING)
        event = membership.OwnChanged(record=leaving, draw=1)
        queue.handle("n5", event)
        queue.run(0.2)
        queue.silent.add("n5")
        queue.run(FIXED_PERIODS + 5)
        self.assertEqual({"down"}, set(queue.seen("n5")))

    def test_leave_reaches_all_within_two_seconds(self):
        """Guards against calls to an instance that is draining."""
        queue = fleets.open_queue(20)
        own = queue.states["n5"].record
        leaving = dataclasses.replace(own, state=model.InstanceState.LEAVING)
        queue.handle("n5", membership.OwnChanged(record=leaving, draw=1))
        queue.run(2.0)
        told = queue.seen("n5").count("leaving")
        self.assertGreaterEqual(told, 15)
        queue.run(2.0)
        self.assertEqual({"leaving"}, set(queue.seen("n5")))

    def test_cut_off_data_centre_keeps_its_records(self):
        """Guards against the loss of a region's records in a partition."""
        queue = fleets.open_queue(24, centres=2)
        sides = {
            name: state.record.data_centre
            for name, state in queue.states.items()
        }
        queue.cut = lambda source, target: sides[source] != sides[target]
        queue.run(60)
        self.assertLessEqual(queue.largest, 6)
        view = {
            record.instance: record.state
            for record in membership.list_visible(queue.states["n0"])
        }
        remote = {view[name] for name in sides if sides[name] != "dc0"}
        self.assertEqual({model.InstanceState.DOWN}, remote)
        queue.cut = None
        queue.run(40)
        for name in sides:
            self.assertEqual({"up"}, set(queue.seen(name)), name)

    def test_both_halves_of_a_data_centre_find_each_other_again(self):
        """Guards against a cut that outlives its cause."""
        queue = fleets.open_queue(12)
        queue.cut = lambda source, target: (int(source[1:]) < 3) != (
            int(target[1:]) < 3
        )
        queue.run(40)
        # Within a data centre a failed majority is down, not cut off.
        for number in range(3, 12):
            seen = queue.seen(f"n{number}")
            self.assertEqual(3, seen.count("down"), number)
        queue.cut = None
        queue.run(60)
        for name in queue.states:
            self.assertEqual({"up"}, set(queue.seen(name)), name)


class RecordTest(unittest.TestCase):
    def setUp(self):
        self.state = membership.start(fleets.make_record("a"), 0.0, draw=1)

    def merge(self, record):
        state = membership.merge(self.state, (record,), 1.0)
        self.state = state
        return state.members[record.instance].record

    def test_restarted_instance_wins_and_keeps_its_floor(self):
        """Guards against an older life of an instance that hides it."""
        old = dataclasses.replace(
            fleets.make_record("b", incarnation=5),
            state=model.InstanceState.DOWN,
            config_version=9,
        )
        self.merge(fleets.make_record("b", incarnation=5))
        self.merge(old)
        new = self.merge(fleets.make_record("b", incarnation=6))
        self.assertEqual(model.InstanceState.UP, new.state)
        self.assertEqual(9, new.config_version)
        self.assertEqual(6, self.merge(old).incarnation)

    def test_suspect_of_a_frozen_node_is_not_down_at_once(self):
        """Guards against a node that condemns others when it resumes."""
        up = fleets.make_record("b")
        self.merge(dataclasses.replace(up, state=model.InstanceState.SUSPECT))
        for at in (2.0, 22.0):
            self.state, _ = membership.handle(
                self.state, membership.Tick(draw=1), at
            )
        found = self.state.members["b"].record.state
        self.assertEqual(model.InstanceState.SUSPECT, found)

    def test_leaving_node_declares_nobody_down(self):
        """Guards against a drain that refuses calls for want of servers.

        A leaving node hears no refutations, so that a suspect from before
        its drain used to be down for the drain's last calls.
        """
        up = fleets.make_record("b")
        self.merge(dataclasses.replace(up, state=model.InstanceState.SUSPECT))
        leaving = dataclasses.replace(
            self.state.record, state=model.InstanceState.LEAVING
        )
        change = membership.OwnChanged(record=leaving, draw=1, spread=True)
        self.state, _ = membership.handle(self.state, change, 0.5)
        for second in range(1, 12):
            tick = membership.Tick(draw=1)
            self.state, _ = membership.handle(self.state, tick, float(second))
        found = self.state.members["b"].record.state
        self.assertEqual(model.InstanceState.SUSPECT, found)

    def test_worse_state_wins_at_equal_incarnation(self):
        """Guards against a late record that revives a dead instance."""
        up = fleets.make_record("b")
        self.merge(up)
        down = dataclasses.replace(up, state=model.InstanceState.DOWN)
        self.merge(down)
        self.assertEqual(down, self.merge(up))

    def test_higher_incarnation_of_an_earlier_life_is_refuted(self):
        """Guards against a restart with a clock that was set back."""
        old = dataclasses.replace(
            fleets.make_record("a", incarnation=50),
            state=model.InstanceState.LEAVING,
        )
        own = self.merge(old)
        self.assertEqual(51, own.incarnation)
        self.assertEqual(model.InstanceState.UP, own.state)

    def test_instance_without_its_backend_server_gets_no_calls(self):
        """Guards against calls to a node whose backend server is gone."""
        lost = dataclasses.replace(
            fleets.make_record("b"), state=model.InstanceState.STARTING
        )
        self.merge(lost)
        visible = tuple(membership.list_visible(self.state))
        self.assertEqual(model.InstanceState.DOWN, visible[1].state)

    def test_record_expires(self):
        """Guards against a memory that grows with each replacement."""
        up = fleets.make_record("b")
        self.merge(up)
        self.merge(dataclasses.replace(up, state=model.InstanceState.DOWN))
        for at in range(0, 700, 10):
            self.state, _ = membership.handle(
                self.state, membership.Tick(draw=1), float(at)
            )
        self.assertNotIn("b", self.state.members)

    def test_records_of_a_cut_off_data_centre_outlast_an_hour(self):
        """Guards against regions that do not find each other again."""
        kept = {}
        for failed in (1, 3):
            state = membership.start(fleets.make_record("a"), 0.0, draw=1)
            remote = [fleets.make_record(f"f{k}", "b") for k in range(4)]
            down = [
                dataclasses.replace(entry, state=model.InstanceState.DOWN)
                for entry in remote[:failed]
            ]
            state = membership.merge(state, (*remote, *down), 0.0)
            state, _ = membership.handle(
                state, membership.Tick(draw=1), 3600.0
            )
            kept[failed] = len(state.members)
        self.assertEqual({1: 4, 3: 5}, kept)

    def test_full_exchange_is_not_repeated_to_others(self):
        """Guards against a start whose cost grows with the fleet."""
        known = tuple(fleets.make_record(f"n{k}") for k in range(100))
        message = wire.Members(sender="n0", records=known)
        state, _ = membership.handle(
            self.state, membership.Received(message=message), 1.0
        )
        self.assertEqual(101, len(state.members))
        self.assertEqual(("a",), tuple(e.instance for e in state.updates))

    def test_unknown_node_is_told_to_introduce_itself(self):
        """Guards against a node that was forgotten during a long freeze."""
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
