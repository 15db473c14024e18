"""Tests of the weighted distribution of requests and of prefix lookup."""

import unittest

from apricotpost import model
from apricotpost.routing import prefixes
from apricotpost.routing import splits

__all__ = ["PrefixTest", "SplitTest"]


def make_route(name="r", *, prefix="/a/", host="h", **weights):
    return model.TrafficRoute(
        name=name,
        host=host,
        prefix=prefix,
        targets=tuple(
            model.Target(service=s, weight=w)
            for s, w in (weights or {"portal": 1}).items()
        ),
        idempotent=True,
        timeout_ms=1000,
        objective_ms=500,
        max_attempts=2,
        rank=0,
    )


class SplitTest(unittest.TestCase):
    def test_shares_follow_the_weights_exactly(self):
        """Guards against shares that hold only on average."""
        state = splits.RoundRobinCredits()
        route = make_route(a=90, b=10)
        chosen_services = [
            splits.choose_service(state, route) for _ in range(100)
        ]
        self.assertEqual(10, chosen_services.count("b"))
        self.assertEqual(1, chosen_services[:10].count("b"))

    def test_changed_weights_hold_at_once(self):
        """Guards against old credits that distort the new shares."""
        state = splits.RoundRobinCredits()
        for _ in range(55):
            splits.choose_service(state, make_route(a=50, b=50))
        route = make_route(a=10, b=90)
        chosen_services = [
            splits.choose_service(state, route) for _ in range(100)
        ]
        self.assertAlmostEqual(90, chosen_services.count("b"), delta=2)

    def test_weight_zero_gets_nothing(self):
        """Guards against requests to a service with weight 0."""
        state = splits.RoundRobinCredits()
        route = make_route(a=1, b=0)
        chosen_services = {
            splits.choose_service(state, route) for _ in range(20)
        }
        self.assertEqual({"a"}, chosen_services)


class PrefixTest(unittest.TestCase):
    def setUp(self):
        self.table = prefixes.build_prefixes(
            [
                make_route("short", prefix="/a/"),
                make_route("long", prefix="/a/b/"),
                make_route("root", prefix="/", host="other"),
            ]
        )

    def test_longest_prefix_of_the_host_wins(self):
        """Guards against a match of another host or a shorter prefix."""
        cases = (
            ("h", "/a/x", "short"),
            ("h", "/a/b/x", "long"),
            ("h", "/a/bx", "short"),
            ("h", "/a", None),
            ("h", "/b/x", None),
            ("none", "/a/x", None),
            ("other", "/any", "root"),
        )
        for host, path, expected in cases:
            matched = prefixes.match_prefix(self.table, host, path)
            self.assertEqual(expected, matched.name if matched else None)
