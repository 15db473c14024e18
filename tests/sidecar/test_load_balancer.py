"""Tests of the load balancer's records and of outcome counters."""

import random
import types
import unittest

from apricotpost.membership import fleet
from apricotpost.rollout import trials
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import load_balancer
from apricotpost.sidecar import outcome_counters
from apricotpost.sidecar import server_index
from apricotpost.sidecar import views
from tests.sidecar import builders

__all__ = ["LoadBalancerTest", "OutcomeCountersTest"]


def make_view(phase):
    trial = trials.Trial(
        service="portal",
        old="v1",
        new="v2",
        order_revision=3,
        started_at=0.0,
        duration_seconds=12.0,
        phase=phase,
    )
    return views.with_trial(views.EMPTY, trial)


class LoadBalancerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.view = views.EMPTY
        self.balancer = load_balancer.LoadBalancer(
            read_view=lambda: self.view,
            servers=server_index.ServerIndex(
                members=fleet.Fleet(node="n0", data_centre="dc-a"),
                regions={},
                is_connected=lambda name: True,
            ),
            on_new_service=lambda: None,
            rng=random.Random(1),
        )

    async def test_no_hedges_during_a_trial(self):
        """Guards against a slow version without slow requests as evidence.

        A request counts as slow at 3 times the mean time. A hedge at 2.5
        times would cancel it before.
        """
        self.assertTrue(self.balancer.may_hedge("portal"))
        for phase in trials.Phase:
            self.view = make_view(phase)
            allowed = self.balancer.may_hedge("portal")
            self.assertEqual(phase in trials.FINAL_PHASES, allowed, phase)
            self.assertTrue(self.balancer.may_hedge("fieldbook"))

    async def test_failed_request_may_go_to_a_server_with_a_queue(self):
        """Guards against a safe request that fails beside a working server.

        One server refused the request because it would have waited, the other
        one was killed while it ran it. The first one did not count as left, so
        the caller got 502.
        """
        for name in ("n1", "n2"):
            state = builders.make_state(
                node=name, server=builders.make_server(backend=f"b-{name}")
            )
            fleet.record_state(
                self.balancer.servers.members, state, self.balancer.loop.time()
            )
        active = types.SimpleNamespace(
            service="portal",
            route=types.SimpleNamespace(
                name="r", regions=(), objective_ms=500
            ),
            version_draw=0.5,
            offers=2,
            accepts_late=False,
            possible_executions=1,
            tried_nodes={"n1", "n2"},
            busy_nodes={"n1"},
        )
        self.assertEqual(1, self.balancer.count_untried(active))
        for accepts_late in (False, True):
            active.accepts_late = accepts_late
            ranked = self.balancer.rank_candidates(active)
            self.assertEqual(["n1"], [c.node for c in ranked])

    async def test_cancelled_attempts_make_a_server_slow(self):
        """Guards against a hung server that still counts as fast."""
        self.balancer.latency_model.route_mean_ms["r"] = 10.0
        active = types.SimpleNamespace(route=types.SimpleNamespace(name="r"))
        attempt = active_requests.Attempt(
            node="n1", backend="b1", sent_at=self.balancer.loop.time() - 1.0
        )
        for _ in range(5):
            self.balancer.record_cancelled(active, attempt)
        self.assertGreater(
            self.balancer.latency_model.server("b1").own_relative_latency, 2.0
        )

    async def test_version_draws_are_evenly_spread(self):
        """Guards against bursts of requests to a new version."""
        version_draws = [
            self.balancer.next_version_draw("portal") for _ in range(100)
        ]
        for start in range(0, 100, 25):
            low = sum(
                version_draw < 0.2
                for version_draw in version_draws[start : start + 25]
            )
            self.assertIn(low, (4, 5, 6))


class OutcomeCountersTest(unittest.TestCase):
    def test_evidence_is_sent_during_a_trial_only(self):
        """Guards against needless traffic, and against lost evidence."""
        view = views.EMPTY
        counters = outcome_counters.OutcomeCounters(read_view=lambda: view)
        counters.count("r", failed=True, ran_ms=5.0)
        counters.count("r", failed=False, ran_ms=5.0)
        self.assertEqual((), counters.describe("portal"))
        view = make_view(trials.Phase.MOVING)
        (counts,) = counters.describe("portal")
        self.assertEqual((2, 1), (counts.calls, counts.failures))
        self.assertEqual(1, sum(counts.latencies))
        self.assertTrue(counters.is_loaded_trial("portal"))
        counters.reset()
        self.assertEqual((), counters.describe("portal"))
