"""Tests of the adapter's decoding against forged and malformed input."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import msgspec

from apricotpost import errors
from apricotpost import http
from apricotpost import platform
from standins import mesh

__all__ = [
    "AnnouncementTest",
    "ConfigurationTest",
    "HeaderTest",
    "RouteCacheTest",
]

BEAT = {
    "service": "portal",
    "address": "127.0.0.1:1",
    "zone": "dc-a",
    "version": "v1",
    "slots": 12,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 4,
    "born": 17,
}


def make_post(path, body=b""):
    return http.Request(method=b"POST", target=path, body=body)


class AnnouncementTest(unittest.TestCase):
    def test_heartbeat(self):
        """Guards against a field that is taken for another."""
        found = platform.parse_announcement(
            make_post(
                b"/v1/Instances.Heartbeat/i-7", msgspec.json.encode(BEAT)
            )
        )
        self.assertEqual("i-7", found.backend)
        self.assertEqual(
            (12, 4, 17), (found.slots, found.sequence, found.started_at_ms)
        )

    def test_withdrawal_with_and_without_start(self):
        """Guards against a deregistration that is not understood."""
        path = b"/v1/Instances.Deregister/i-7"
        for body, born in ((b"", 0), (b"{}", 0), (b'{"born": 9}', 9)):
            found = platform.parse_announcement(make_post(path, body))
            self.assertEqual(
                ("i-7", born), (found.backend, found.started_at_ms)
            )

    def test_forged_heartbeats_name_no_server(self):
        """Guards against entries of another writer."""
        for change in (
            {"slots": "12"},
            {"slots": 0},
            {"state": "broken"},
            {"service": None},
            {"seq": 1.5},
            {"born": "x"},
        ):
            body = msgspec.json.encode({**BEAT, **change})
            with self.assertRaises(errors.MalformedMessage):
                platform.parse_heartbeat("i-7", body)

    @settings(derandomize=True, max_examples=200)
    @given(strategies.binary(max_size=60))
    def test_any_bytes_raise_one_type(self, body):
        """Guards against bytes that end the task."""
        with self.assertRaises(errors.MalformedMessage):
            platform.parse_heartbeat("i-7", body)


class ConfigurationTest(unittest.TestCase):
    def test_route_with_weights(self):
        """Guards against weights that are lost on the way."""
        body = mesh.make_config(
            7,
            routes=[
                {
                    "prefix": "/a/",
                    "weighted_services": [
                        {"service": "portal", "weight": 90},
                        {"service": "fieldbook", "weight": 10},
                    ],
                }
            ],
            services=("portal", "fieldbook"),
        )
        found = platform.parse_configuration(body)
        weights = [(t.service, t.weight) for t in found.routes[0].targets]
        self.assertEqual([("portal", 90), ("fieldbook", 10)], weights)
        self.assertEqual(20.0, found.services["portal"].cold_per_second)

    def test_route_to_unknown_service_refuses_all(self):
        """Guards against a configuration that is applied in part."""
        body = mesh.make_config(
            7,
            routes=[
                {"prefix": "/a/", "service": "portal"},
                {"prefix": "/b/", "service": "gone"},
            ],
        )
        with self.assertRaises(errors.ConfigurationInvalid) as caught:
            platform.parse_configuration(body)
        self.assertEqual(1, len(caught.exception.faults))

    @settings(derandomize=True, max_examples=100)
    @given(strategies.integers(0, 400))
    def test_cut_configurations_are_refused(self, length):
        """Guards against a row that is cut short."""
        body = mesh.make_config(
            7, routes=[{"prefix": "/a/", "service": "portal"}]
        )
        with self.assertRaises(errors.ConfigurationInvalid):
            platform.parse_configuration(body[: min(length, len(body) - 1)])


class HeaderTest(unittest.TestCase):
    def test_forged_headers_are_replaced(self):
        """Guards against a client that names another caller."""
        found = platform.call_headers(
            ((b"x-caller-service", b"forged"), (b"X-Deadline-Ms", b"9")),
            backend="b",
            left_ms=5,
            caller="portal",
        )
        self.assertEqual(3, len(found))
        self.assertIn((b"X-Caller-Service", b"portal"), found)

    def test_success_needs_the_seal_and_the_identifier(self):
        """Guards against answers of another request or sender."""
        mine = (b"X-Request-Id", b"q1")
        seal = (b"X-Response-Seal", b"s")
        zipped = (b"Content-Encoding", b"gzip")
        cases = (
            ((mine, seal), ""),
            ((mine,), "unsigned"),
            ((seal,), "request-id"),
            (((b"X-Request-Id", b"q2"), seal), "request-id"),
            ((mine, seal, zipped), "content-encoding"),
        )
        for headers, fault in cases:
            response = http.Response(status=200, headers=headers)
            self.assertEqual(
                fault, platform.find_response_fault(response, "q1")
            )


class RouteCacheTest(unittest.TestCase):
    """Decoding of a configuration after an earlier one."""

    def parse(self, version, routes, cache):
        body = mesh.make_config(version, routes=routes)
        return platform.parse_configuration(body, cache)

    def test_cached_routes_are_those_of_the_new_version(self):
        """Guards against routes of an older version.

        Only routes with the same name and the same content are kept.
        """
        cache = platform.RouteCache()
        first = {"prefix": "/a/", "service": "portal"}
        second = {"prefix": "/b/", "service": "portal"}
        before = self.parse(1, [first, second], cache)
        changed = {**second, "timeout_ms": 77}
        after = self.parse(2, [first, changed], cache)
        self.assertIs(before.routes[0], after.routes[0])
        self.assertEqual(77, after.routes[1].timeout_ms)
        fewer = self.parse(3, [changed], cache)
        self.assertEqual(["/b/"], [route.prefix for route in fewer.routes])
        self.assertEqual(1, len(cache.routes))

    def test_refused_configuration_leaves_the_cache(self):
        """Guards against a bad configuration that empties the cache."""
        cache = platform.RouteCache()
        good = {"prefix": "/a/", "service": "portal"}
        self.parse(1, [good], cache)
        with self.assertRaises(errors.ConfigurationInvalid):
            self.parse(2, [{"prefix": "/a/", "service": "none"}], cache)
        self.assertEqual(1, len(cache.routes))
