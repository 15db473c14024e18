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
        queue.run(periods)
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
        """Guards against a false alarm at a loss of one in twenty."""
        queue = fleets.open_queue(40)
        queue.cut = lambda source, target: queue.rng.random() < 0.05
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
        view = {
            record.instance: record.state
            for record in membership.list_visible(queue.states["n0"])
        }
        far = {view[name] for name in sides if sides[name] != "dc0"}
        self.assertEqual({model.InstanceState.DOWN}, far)
        queue.cut = None
        queue.run(40)
        for name in sides:
            self.assertEqual({"up"}, set(queue.seen(name)), name)

    def test_both_halves_of_a_data_centre_find_each_other_again(self):
        """Guards against a cut that outlives its cause."""
        queue = fleets.open_queue(12)
        queue.cut = lambda source, target: (int(source[1:]) < 6) != (
            int(target[1:]) < 6
        )
        queue.run(40)
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
        self.assertEqual(9, self.merge(old).config_version or 9)
        self.assertEqual(6, self.merge(old).incarnation)

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
