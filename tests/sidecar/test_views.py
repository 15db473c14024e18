"""Tests of the view of the orders and of the index of servers."""

import unittest

from apricotpost.membership import fleet
from apricotpost import model
from apricotpost.rollout import trials
from apricotpost.sidecar import server_index
from apricotpost.sidecar import views
from apricotpost import wire
from standins import mesh
from tests.sidecar import builders

__all__ = ["ServerIndexTest", "ViewTest"]


def make_row(key, value=b"{}", *, revision=1, removed=False):
    return wire.OrderRow(
        key=key, value=value, revision=revision, removed=removed
    )


def make_trial(phase):
    return trials.Trial(
        service="portal",
        old="v1",
        new="v2",
        order_revision=1,
        started_at=0.0,
        duration_seconds=12.0,
        phase=phase,
    )


def make_config(version, prefix="/a/"):
    routes = [{"prefix": prefix, "service": "portal"}]
    return make_row("config", mesh.make_config(version, routes=routes))


class ViewTest(unittest.TestCase):
    def test_older_configuration_is_refused(self):
        """Guards against a return to an older version."""
        view, _ = views.apply_orders(views.EMPTY, [make_config(5)])
        new_view, faults = views.apply_orders(view, [make_config(4, "/b/")])
        self.assertIs(view, new_view)
        self.assertEqual(1, len(faults))

    def test_invalid_row_does_not_stop_the_others(self):
        """Guards against an evacuation that is lost with an invalid row."""
        view, faults = views.apply_orders(
            views.EMPTY,
            [make_row("config", b"{"), make_row("evacuate/dc-a")],
        )
        self.assertEqual(frozenset(("dc-a",)), view.evacuated)
        self.assertEqual(1, len(faults))

    def test_removed_orders_are_no_longer_in_force(self):
        """Guards against a data centre that stays evacuated."""
        value = b'{"service": "portal", "to": "v2", "duration_s": 12}'
        rows = [make_row("evacuate/dc-a"), make_row("rollout/portal", value)]
        view, _ = views.apply_orders(views.EMPTY, rows)
        expected = model.RolloutOrder(
            service="portal", version="v2", seconds=12
        )
        self.assertEqual({"portal": (1, expected)}, view.rollouts)
        rows = [make_row(row.key, b"", removed=True) for row in rows]
        view, _ = views.apply_orders(view, rows)
        self.assertEqual((frozenset(), {}), (view.evacuated, view.rollouts))

    def choose(self, phase, version_draw, versions=("v1", "v2"), servers=4):
        view = views.EMPTY
        if phase is not None:
            view = views.with_trial(view, make_trial(phase))
        return views.choose_versions(
            view,
            "portal",
            versions,
            version_draw=version_draw,
            servers=servers,
        )

    def test_version_without_order_gets_no_requests(self):
        """Guards against requests to a version without a rollout order."""
        self.assertEqual({"v1"}, self.choose(None, 0.0))

    def test_shares_of_a_trial(self):
        """Guards against too many requests to an unproven version."""
        phases = trials.Phase
        cases = (
            (phases.RUNNING, 0.03, {"v2"}),
            (phases.RUNNING, 0.05, {"v1"}),
            (phases.MOVING, 0.24, {"v2"}),
            (phases.MOVING, 0.26, {"v1"}),
            (phases.SETTLING, 0.99, {"v2"}),
            (phases.COMPLETED, 0.99, {"v2"}),
            (phases.ROLLED_BACK, 0.0, {"v1"}),
        )
        for phase, version_draw, expected in cases:
            self.assertEqual(expected, self.choose(phase, version_draw), phase)

    def test_missing_version_is_replaced_by_the_other(self):
        """Guards against refusals while a version has no servers."""
        phases = trials.Phase
        self.assertEqual(
            {"v1"}, self.choose(phases.RUNNING, 0.0, versions=("v1",))
        )
        self.assertEqual(
            {"v2"}, self.choose(phases.RUNNING, 0.9, versions=("v2",))
        )
        self.assertEqual(
            set(), self.choose(phases.ROLLED_BACK, 0.0, versions=("v2",))
        )


class ServerIndexTest(unittest.TestCase):
    def setUp(self):
        self.fleet = fleet.Fleet(node="n0", data_centre="dc-a")
        self.disconnected = set()
        self.index = server_index.ServerIndex(
            members=self.fleet,
            regions={"dc-a": "r1", "dc-b": "r2"},
            is_connected=lambda name: name not in self.disconnected,
        )

    def add(
        self, node, *, now=0.0, data_centre="dc-a", leaving=False, **server
    ):
        state = builders.make_state(
            node=node,
            data_centre=data_centre,
            leaving=leaving,
            server=builders.make_server(backend=f"b-{node}", **server),
        )
        fleet.record_state(self.fleet, state, now)
        self.index.invalidate()

    def find(self, view=views.EMPTY, *, version_draw=0.5, regions=(), now=0.1):
        candidates = self.index.candidates(
            view, "portal", version_draw=version_draw, regions=regions, now=now
        )
        return {candidate.node for candidate in candidates}

    def test_only_servers_that_take_requests(self):
        """Guards against requests to leaving, cut-off or wrong servers."""
        self.add("n0")
        self.add("n1", ready=False)
        self.add("n2", leaving=True)
        self.add("n3", service="fieldbook")
        self.add("n4")
        self.add("n5")
        self.disconnected.add("n5")
        self.assertEqual({"n0", "n4"}, self.find())

    def test_evacuations_and_regions_are_respected(self):
        """Guards against requests that run where they may not."""
        self.add("n1")
        self.add("n2", data_centre="dc-b")
        view, _ = views.apply_orders(views.EMPTY, [make_row("evacuate/dc-a")])
        self.assertEqual({"n2"}, self.find(view))
        self.assertEqual({"n1"}, self.find(regions=("r1",)))

    def test_silent_nodes_are_the_last_choice(self):
        """Guards against requests to a lost node."""
        self.add("n1", now=0.0)
        self.add("n2", now=9.0)
        self.assertEqual({"n2"}, self.find(now=10.0))
        self.assertEqual({"n1", "n2"}, self.find(now=30.0))

    def test_one_server_gets_the_load_of_a_trial(self):
        """Guards against a fault that shows only with all servers loaded."""
        self.add("n1")
        for name in ("n2", "n3", "n4"):
            self.add(name, version="v2")
        view = views.with_trial(views.EMPTY, make_trial(trials.Phase.MOVING))
        self.assertEqual({"n2"}, self.find(view, version_draw=0.1))
        self.assertEqual({"n1"}, self.find(view, version_draw=0.9))
