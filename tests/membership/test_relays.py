"""Tests of relays and of the selection of remote servers."""

import unittest

import msgspec
import zstandard

from apricotpost import errors
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost import wire
from tests.sidecar import builders

__all__ = ["LocalStateTest", "RelayTest", "RemoteServerTest"]


def make_fleet(own, **data_centres):
    """Return the fleet as known to a node, from node names by data centre."""
    fleet_state = fleet.Fleet(node=own, data_centre=own[:1])
    for data_centre, names in data_centres.items():
        for name in names:
            state = builders.make_state(node=name, data_centre=data_centre)
            fleet.record_state(fleet_state, state, 0.0)
    return fleet_state


class RelayTest(unittest.TestCase):
    def test_two_relays_send_to_different_remote_relays(self):
        """Guards against a data centre that depends on a single relay."""
        names = {"a": ("a1", "a2", "a3"), "b": ("b1", "b2"), "c": ("c1",)}
        targets = {
            name: relays.remote_targets(make_fleet(name, **names), 0.0)
            for name in names["a"]
        }
        self.assertEqual(("b1", "c1"), targets["a1"])
        self.assertEqual(("b2", "c1"), targets["a2"])
        self.assertEqual((), targets["a3"])

    def test_lone_relay_sends_to_both_remote_relays(self):
        """Guards against states that reach only one relay of a data centre."""
        fleet_state = make_fleet("a1", a=("a1",), b=("b1", "b2", "b3"))
        self.assertEqual(("b1", "b2"), relays.remote_targets(fleet_state, 0.0))

    def test_silent_or_leaving_relay_is_replaced(self):
        """Guards against states that are not sent after a relay stopped."""
        fleet_state = make_fleet("a3", a=("a1", "a2", "a3"), b=("b1",))
        self.assertFalse(relays.is_relay(fleet_state, 0.0))
        later = fleet.SILENT_SECONDS + 0.1
        self.assertTrue(relays.is_relay(fleet_state, later))
        state = builders.make_state(
            node="a1", data_centre="a", sequence=2, leaving=True
        )
        fleet.record_state(fleet_state, state, 0.0)
        self.assertTrue(relays.is_relay(fleet_state, 0.0))

    def test_nodes_of_a_silent_data_centre_are_tried_in_turn(self):
        """Guards against data centres that do not reconnect after a partition.

        For an hour no message passes between two regions, so all nodes of
        each are silent for the other.
        """
        names = tuple(f"b{number:02}" for number in range(20))
        fleet_state = make_fleet("a1", a=("a1", "a2"), b=names)
        later = 3600.0
        for name in ("a1", "a2"):
            state = builders.make_state(node=name, data_centre="a", sequence=2)
            fleet.record_state(fleet_state, state, later)
        per_turn = relays.RELAYS * relays.CONNECT_ATTEMPTS
        tried = set()
        for turn in range(-(-20 // per_turn)):
            now = later + turn * relays.CONNECT_ATTEMPT_SECONDS
            for name in ("a1", "a2"):
                fleet.record_contact(fleet_state, "a1", now)
                fleet.record_contact(fleet_state, "a2", now)
                fleet_state.node = name
                targets = relays.remote_targets(fleet_state, now)
                self.assertLessEqual(len(targets), relays.CONNECT_ATTEMPTS)
                tried.update(targets)
        self.assertEqual(set(names), tried)
        unknown = make_fleet("a1", a=("a1",))
        self.assertEqual((), relays.remote_targets(unknown, 0.0))

    def test_started_node_tries_several_nodes_of_a_data_centre(self):
        """Guards against seconds without the servers of other data centres.

        After a loss of power, relays counted registered nodes as live and
        tried one of them for three seconds. Most had been replaced, and the
        clients of an evacuated data centre were refused for four seconds.
        """
        fleet_state = fleet.Fleet(node="a1", data_centre="a")
        names = tuple(f"b{number:02}" for number in range(20))
        for name in ("a0", "a1", *names):
            state = builders.make_state(
                node=name, data_centre=name[:1], boot=int(name == "a1")
            )
            fleet.record_state(fleet_state, state, 0.0)
            fleet_state.registered[name] = len(fleet_state.registered)
        # The neighbour may be starting as well, but not for long.
        self.assertEqual(("a0", "a1"), relays.relays_of(fleet_state, "a", 0.1))
        soon = relays.UNHEARD_SECONDS
        self.assertEqual(("a1",), relays.relays_of(fleet_state, "a", soon))
        self.assertEqual((), relays.relays_of(fleet_state, "b", 0.1))
        tried = []
        for turn in range(4):
            tried.extend(
                relays.remote_targets(
                    fleet_state, soon + turn * relays.CONNECT_ATTEMPT_SECONDS
                )
            )
        # Those that registered last come first: they were not replaced.
        self.assertIn("b19", tried[: relays.CONNECT_ATTEMPTS])

    def test_only_states_of_the_own_data_centre_are_forwarded(self):
        """Guards against states forwarded in loops, and against outdated ones.

        A node that the store lists and that no node has heard from counts as
        one without a process (``boot`` is 0); its state is not forwarded.
        """
        fleet_state = make_fleet("a1", a=("a1", "a2"), b=("b1",))
        registered_only = builders.make_state(
            node="a9", data_centre="a", boot=0
        )
        fleet.record_state(fleet_state, registered_only, 0.0)
        forwarded = relays.recent_states(
            fleet_state, 0.3, wanted=lambda state: True
        )
        self.assertEqual(["a1", "a2"], sorted(s.state.node for s in forwarded))
        self.assertEqual({300}, {aged.age_ms for aged in forwarded})
        late = relays.MAX_FORWARD_AGE_SECONDS + 0.1
        self.assertFalse(
            relays.recent_states(fleet_state, late, wanted=lambda state: True)
        )

    def test_second_relay_sends_all_states_less_often(self):
        """Guards against states that are sent twice on a charged link."""
        counts = {}
        for name in ("a1", "a2"):
            fleet_state = make_fleet(name, a=("a1", "a2"), b=("b1",))
            rounds = [
                relays.sends_full_round(fleet_state, 0.0, i) for i in range(40)
            ]
            counts[name] = sum(rounds)
        self.assertEqual({"a1": 20, "a2": 10}, counts)
        late = fleet.SILENT_SECONDS + 0.1
        self.assertTrue(relays.sends_full_round(fleet_state, late, 2))

    def test_states_are_compressed(self):
        """Guards against states that are altered or not compressed."""
        states = tuple(
            wire.AgedState(
                state=builders.make_state(
                    node=f"sidecar-riga-a-{index}",
                    address=f"10.1.0.{index}:7600",
                    server=builders.make_server(backend=f"i-{index:08x}"),
                ),
                age_ms=index,
            )
            for index in range(20)
        )
        packed = relays.pack_states(states)
        self.assertEqual(states, relays.unpack_states(packed))
        plain = msgspec.msgpack.encode(states)
        self.assertLess(len(packed), 0.5 * len(plain))

    def test_damaged_states_are_refused(self):
        """Guards against an unexpected exception from a damaged batch."""
        packed = relays.pack_states(())
        for data in (b"", b"garbage", packed[:-1]):
            with self.assertRaises(errors.MalformedMessage):
                relays.unpack_states(data)
        wrong = zstandard.ZstdCompressor().compress(b"\x01")
        with self.assertRaises(errors.MalformedMessage):
            relays.unpack_states(wrong)

    def test_age_includes_the_time_before_forwarding(self):
        """Guards against a dead node that its relay makes appear live."""
        fleet_state = make_fleet("a1", a=("a1",))
        state = builders.make_state(node="b1", data_centre="b")
        fleet.record_state(fleet_state, state, 10.0, age=4.0)
        self.assertEqual(6.0, fleet_state.nodes["b1"].heard_at)


class LocalStateTest(unittest.TestCase):
    """States within a data centre."""

    def targets(self, fleet_state, *, urgent=False, unreachable=()):
        return relays.local_targets(
            fleet_state,
            0.0,
            urgent=urgent,
            is_connected=lambda name: name not in unreachable,
        )

    def test_messages_of_a_node_do_not_grow_with_the_fleet(self):
        """Guards against messages that grow with the square of the nodes.

        With a state from each node to each other one of its data centre twice
        a second, a node of 33 in a data centre handled 128 messages a second.
        """
        for nodes in (30, 200, 1243):
            count = nodes // 6
            names = tuple(f"a{number:04}" for number in range(count))
            fleet_state = make_fleet(names[0], a=names, b=("b1",))
            sent = received = 0
            for name in names:
                fleet_state.node = name
                sent += len(self.targets(fleet_state))
                if relays.relays_states_locally(
                    fleet_state
                ) and relays.is_relay(fleet_state, 0.0):
                    sent += count - 1
            received = sent
            with self.subTest(nodes=nodes):
                self.assertLessEqual((sent + received) / count, 8)

    def test_changed_states_go_to_all_nodes(self):
        """Guards against requests to a server that has begun to drain."""
        names = tuple(f"a{number:02}" for number in range(30))
        fleet_state = make_fleet("a20", a=names, b=("b1",))
        self.assertEqual(("a00", "a01"), self.targets(fleet_state))
        self.assertEqual(29, len(self.targets(fleet_state, urgent=True)))

    def test_states_do_not_depend_on_the_relays(self):
        """Guards against nodes that count as silent while both relays are."""
        names = tuple(f"a{number:02}" for number in range(30))
        fleet_state = make_fleet("a20", a=names)
        self.assertEqual(
            ("a01",), self.targets(fleet_state, unreachable=("a00",))
        )
        self.assertEqual(
            29, len(self.targets(fleet_state, unreachable=("a00", "a01")))
        )

    def test_nodes_of_a_small_data_centre_send_to_each_other(self):
        """Guards against older load reports where they cost little."""
        names = tuple(f"a{number:02}" for number in range(8))
        fleet_state = make_fleet("a05", a=names)
        self.assertEqual(7, len(self.targets(fleet_state)))
        self.assertFalse(relays.relays_states_locally(fleet_state))


class RemoteServerTest(unittest.TestCase):
    def make(self, count):
        fleet_state = make_fleet("a1", a=("a1",))
        for index in range(count):
            version = "v2" if index % 5 == 0 else "v1"
            state = builders.make_state(
                node=f"b{index}",
                data_centre="b",
                server=builders.make_server(
                    backend=f"s{index}", version=version
                ),
            )
            fleet.record_state(fleet_state, state, 0.0)
        return fleet_state

    def find(self, fleet_state, **options):
        return relays.remote_servers(
            fleet_state, 0.0, services=("portal",), **options
        )

    def test_connections_do_not_grow_with_the_fleet(self):
        """Guards against connections to every node of the fleet."""
        selected = self.find(self.make(200))
        # For each of the two versions; neither has a local server.
        self.assertEqual(2 * relays.REMOTE_SERVERS_FEW_LOCAL, len(selected))

    def test_every_server_of_a_version_on_trial_is_reached(self):
        """Guards against nodes that load different servers in a trial."""
        selected = self.find(
            self.make(200), fully_connected_versions=[("portal", "v2")]
        )
        self.assertEqual(relays.REMOTE_SERVERS_FEW_LOCAL + 40, len(selected))

    def add_local(self, fleet_state, count, **server):
        for index in range(count):
            state = builders.make_state(
                node=f"a-local{index}",
                data_centre="a",
                server=builders.make_server(backend=f"n{index}", **server),
            )
            fleet.record_state(fleet_state, state, 0.0)

    def test_evacuated_leaving_and_unready_servers_are_not_selected(self):
        """Guards against selected servers that get no requests.

        In a load test two data centres were out. A third of the few servers
        that were selected for callers in one were in the other.
        """
        fleet_state = self.make(30)
        self.add_local(fleet_state, 5)
        state = builders.make_state(
            node="c1", data_centre="c", server=builders.make_server()
        )
        fleet.record_state(fleet_state, state, 0.0)
        selected = self.find(fleet_state, evacuated=("b",))
        self.assertEqual({"c1"}, selected)
        for change in (
            {"leaving": True},
            {"server": builders.make_server(ready=False)},
        ):
            state = builders.make_state(
                node="c1",
                data_centre="c",
                sequence=fleet_state.nodes["c1"].state.sequence + 1,
                **change,
            )
            fleet.record_state(fleet_state, state, 0.0)
            self.assertEqual(set(), self.find(fleet_state, evacuated=("b",)))

    def test_more_remote_servers_if_few_are_local(self):
        """Guards against callers that know only slow servers.

        A third of the servers take 2.3 times as long as the others.
        """
        fleet_state = self.make(200)
        self.add_local(fleet_state, 5, version="v1")
        selected = self.find(fleet_state)
        # The second version has no local server.
        many = relays.REMOTE_SERVERS + relays.REMOTE_SERVERS_FEW_LOCAL
        self.assertEqual(many, len(selected))
        without_local = self.find(fleet_state, evacuated=("a",))
        self.assertEqual(
            2 * relays.REMOTE_SERVERS_FEW_LOCAL, len(without_local)
        )

    def test_callers_spread_over_the_servers(self):
        """Guards against servers that no remote caller selects."""
        names = {f"a{i}" for i in range(60)}
        counts = {}
        for name in names:
            fleet_state = self.make(40)
            fleet_state.node = name
            for server in self.find(fleet_state):
                counts[server] = counts.get(server, 0) + 1
        self.assertEqual(40, len(counts))

    def test_own_data_centre_and_other_services_are_left_out(self):
        """Guards against connections that are not used."""
        fleet_state = self.make(3)
        self.assertEqual(
            set(), relays.remote_servers(fleet_state, 0.0, services=("other",))
        )
        silent = relays.REMOTE_SILENT_SECONDS + 1
        self.assertEqual(
            set(),
            relays.remote_servers(fleet_state, silent, services=("portal",)),
        )
