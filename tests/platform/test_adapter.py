"""Tests of the platform adapter against forged and malformed input."""

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

HEARTBEAT = {
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
        """Guards against mixing up the fields of a heartbeat."""
        announcement = platform.parse_announcement(
            make_post(
                b"/v1/Instances.Heartbeat/i-7", msgspec.json.encode(HEARTBEAT)
            )
        )
        self.assertEqual("i-7", announcement.backend)
        self.assertEqual(
            (12, 4, 17),
            (
                announcement.slots,
                announcement.sequence,
                announcement.started_at_ms,
            ),
        )

    def test_deregistration_with_and_without_start_time(self):
        """Guards against failing to decode a deregistration."""
        path = b"/v1/Instances.Deregister/i-7"
        for body, started_at_ms in ((b"", 0), (b"{}", 0), (b'{"born": 9}', 9)):
            announcement = platform.parse_announcement(make_post(path, body))
            self.assertEqual(
                ("i-7", started_at_ms),
                (announcement.backend, announcement.started_at_ms),
            )

    def test_malformed_heartbeats_are_refused(self):
        """Guards against storing a heartbeat with an invalid field."""
        for change in (
            {"slots": "12"},
            {"slots": 0},
            {"state": "broken"},
            {"service": None},
            {"seq": 1.5},
            {"born": "x"},
        ):
            body = msgspec.json.encode({**HEARTBEAT, **change})
            with self.assertRaises(errors.MalformedMessage):
                platform.parse_heartbeat("i-7", body)

    @settings(derandomize=True, max_examples=200)
    @given(strategies.binary(max_size=60))
    def test_random_bytes_raise_malformed_message(self, body):
        """Guards against an unhandled exception that ends the task."""
        with self.assertRaises(errors.MalformedMessage):
            platform.parse_heartbeat("i-7", body)


class ConfigurationTest(unittest.TestCase):
    def test_weighted_services_become_targets(self):
        """Guards against losing or reordering the weights of a route."""
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
        configuration = platform.parse_configuration(body)
        weights = [
            (t.service, t.weight) for t in configuration.routes[0].targets
        ]
        self.assertEqual([("portal", 90), ("fieldbook", 10)], weights)
        self.assertEqual(
            20.0, configuration.services["portal"].cold_per_second
        )

    def test_unknown_service_refuses_whole_configuration(self):
        """Guards against applying only the valid part of a configuration."""
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
    def test_truncated_configuration_is_refused(self, length):
        """Guards against applying a truncated row."""
        body = mesh.make_config(
            7, routes=[{"prefix": "/a/", "service": "portal"}]
        )
        with self.assertRaises(errors.ConfigurationInvalid):
            platform.parse_configuration(body[: min(length, len(body) - 1)])


class HeaderTest(unittest.TestCase):
    def test_forged_headers_are_replaced(self):
        """Guards against a client that forges the calling service."""
        headers = platform.make_call_headers(
            ((b"x-caller-service", b"forged"), (b"X-Deadline-Ms", b"9")),
            backend="b",
            remaining_ms=5,
            caller="portal",
        )
        self.assertEqual(3, len(headers))
        self.assertIn((b"X-Caller-Service", b"portal"), headers)

    def test_success_needs_signature_and_request_id(self):
        """Guards against responses to another request or of another sender."""
        request_id = (b"X-Request-Id", b"q1")
        signature = (b"X-Response-Seal", b"s")
        compressed = (b"Content-Encoding", b"gzip")
        cases = (
            ((request_id, signature), ""),
            ((request_id,), "unsigned"),
            ((signature,), "request-id"),
            (((b"X-Request-Id", b"q2"), signature), "request-id"),
            ((request_id, signature, compressed), "content-encoding"),
        )
        for headers, fault in cases:
            response = http.Response(status=200, headers=headers)
            self.assertEqual(
                fault, platform.find_response_fault(response, "q1")
            )


class RouteCacheTest(unittest.TestCase):
    """Decoding of a configuration with the routes of the previous one."""

    def parse(self, version, routes, cache):
        body = mesh.make_config(version, routes=routes)
        return platform.parse_configuration(body, cache)

    def test_only_unchanged_routes_are_reused(self):
        """Guards against routes of an older configuration version.

        Only routes with the same name and the same content are reused.
        """
        cache = platform.RouteCache()
        first = {"prefix": "/a/", "service": "portal"}
        second = {"prefix": "/b/", "service": "portal"}
        old_configuration = self.parse(1, [first, second], cache)
        changed = {**second, "timeout_ms": 77}
        new_configuration = self.parse(2, [first, changed], cache)
        self.assertIs(old_configuration.routes[0], new_configuration.routes[0])
        self.assertEqual(77, new_configuration.routes[1].timeout_ms)
        reduced = self.parse(3, [changed], cache)
        self.assertEqual(["/b/"], [route.prefix for route in reduced.routes])
        self.assertEqual(1, len(cache.routes))

    def test_refused_configuration_keeps_the_cache(self):
        """Guards against an invalid configuration emptying the cache."""
        cache = platform.RouteCache()
        good = {"prefix": "/a/", "service": "portal"}
        self.parse(1, [good], cache)
        with self.assertRaises(errors.ConfigurationInvalid):
            self.parse(2, [{"prefix": "/a/", "service": "none"}], cache)
        self.assertEqual(1, len(cache.routes))
