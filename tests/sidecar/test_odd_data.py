"""Tests of nodes as processes with odd data of other writers."""

import asyncio
import json

from standins import mesh
from tests.sidecar import cases

__all__ = ["OddEntryTest", "RepeatedRefusalTest"]

DEEP = b"[" * 100_000 + b"]" * 100_000
ODD_VALUES = (
    b"",
    b"\xff\xfe",
    b"null",
    DEEP,
    b'{"order":1' + b"0" * 400 + b"}",
)
ODD_ADDRESSES = (
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "999.1.1.1:80",
    "[::::]:1",
    "host",
    "",
    "1" * 1000 + ":1",
)


class OddEntryTest(cases.MeshCase):
    """An entry of another writer is odd; the others are followed."""

    def put_config(self, version, prefix, odd=()):
        config = json.loads(
            mesh.make_config(
                version,
                routes=[cases.SAFE, {"prefix": prefix, "service": "portal"}],
            )
        )
        config["resources"].extend(odd)
        self.mesh.store.put("op", "config", json.dumps(config).encode())

    async def wait_in_force(self, prefix):
        """Wait until every node serves a route; none may have ended."""
        for node in self.nodes:
            async with asyncio.timeout(5.0):
                while True:
                    result = await self.call(node.ports.callers, f"{prefix}1")
                    if result.response and result.response.status == 200:
                        break
                    await asyncio.sleep(0.05)
        self.check_running()

    def check_running(self):
        for node in self.nodes:
            self.assertIsNone(node.process.poll())

    async def test_odd_rows_of_nodes_and_trials_are_skipped(self):
        """Guards against nodes that end while they read a list of entries.

        Ports out of range and deep nesting raised errors that ended the task
        of the reader; the process stopped, was started and read them again.
        """
        for index, value in enumerate(ODD_VALUES):
            self.mesh.store.put("nodes", f"odd{index}", value)
            self.mesh.store.put("trials", f"odd{index}", value)
        for index, address in enumerate(ODD_ADDRESSES):
            row = {"address": address, "data_centre": "dc-a"}
            self.mesh.store.put(
                "nodes", f"address{index}", json.dumps(row).encode()
            )
        self.mesh.store.put(
            "trials",
            "portal",
            b'{"order":9000000000,"version":"v9","old":"v1",'
            b'"phase":"rolled_back"}',
        )
        await self.start("dc-a", "dc-a", "dc-b")
        await asyncio.sleep(1.5)
        self.put_config(2, "/new/")
        await self.wait_in_force("/new/")
        for node in self.nodes:
            event_numbers = [line["event"] for line in node.read_log()]
            self.assertIn(736, event_numbers)

    async def test_odd_orders_are_skipped(self):
        """Guards against a watch that ends with one odd order."""
        await self.start("dc-a", "dc-a", "dc-b")
        for index, value in enumerate(ODD_VALUES):
            self.mesh.store.put("op", f"rollout/s{index}", value)
            self.mesh.store.put("op", f"evacuate/dc-{index}", value)
            self.mesh.store.put("op", "config", value)
        self.mesh.store.put("op", "config", b'{"version":8,"x":%s}' % DEEP)
        self.put_config(9, "/new/")
        await self.wait_in_force("/new/")

    async def test_odd_resource_of_a_configuration_is_left_out_alone(self):
        """Guards against a change that is not followed for one odd entry.

        The entry is taken up as soon as it is sound.
        """
        await self.start("dc-a", "dc-b")
        route = {
            "resource_type": "routes",
            "metadata": {"name": "odd"},
            "spec": {"host": "mesh.example", "timeout_ms": 10**30},
        }
        self.put_config(2, "/new/", odd=(route, 7, {"resource_type": []}))
        await self.wait_in_force("/new/")
        sound = {
            **route,
            "spec": {
                "host": "mesh.example",
                "prefix": "/odd/",
                "type": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 500,
                "max_attempts": 2,
                "service": "portal",
            },
        }
        self.put_config(3, "/new/", odd=(sound,))
        await self.wait_in_force("/odd/")
        # An odd new definition leaves the sound one in force.
        self.put_config(4, "/newer/", odd=(route,))
        await self.wait_in_force("/newer/")
        await self.wait_in_force("/odd/")

    async def test_odd_heartbeats_are_refused(self):
        """Guards against a node that ends with an odd heartbeat."""
        await self.start("dc-a", "dc-a")
        backend = self.backends[0]
        sound = json.loads(backend.make_heartbeat())
        for changes in (
            {"slots": 10**30},
            {"slots": 0},
            {"seq": 10**400},
            {"born": 10**30},
            {"cold_remaining_ms": -(10**30)},
            {"address": "127.0.0.1:99999"},
            {"address": "\u4e2d:1"},
            {"version": "v" * 100_000},
            {"zone": None},
        ):
            body = json.dumps({**sound, **changes}).encode()
            result = await self.mesh.announce(
                self.nodes[0], "Heartbeat", backend.identifier, body
            )
            self.assertEqual(400, result.response.status, changes)
        for body in (DEEP, b'{"x":' + DEEP + b"}", b"\xff", b""):
            result = await self.mesh.announce(
                self.nodes[0], "Heartbeat", backend.identifier, body
            )
            self.assertEqual(400, result.response.status)
        self.assertEqual([200] * 8, await self.call_all(8))
        self.check_running()

    async def test_deadline_of_any_number_of_digits_is_served(self):
        """Guards against a connection that ends with a client's number."""
        await self.start("dc-a")
        for digits in (20, 400, 5000):
            result = await self.call(
                self.nodes[0].ports.callers,
                headers=((b"X-Deadline-Ms", b"9" * digits),),
            )
            self.assertEqual(200, result.response.status)


class RepeatedRefusalTest(cases.MeshCase):
    """A backend server writes an earlier refusal once more."""

    async def refuse_one(self, mode):
        await self.start("dc-a")
        backend = self.backends[0]
        backend.fault_mode = "shed"
        [status] = await self.call_all(1, "/reports/1", method=b"POST")
        self.assertEqual(503, status)
        self.assertEqual(0, self.count_runs())
        backend.fault_mode = mode

    async def test_running_request_is_not_answered_as_not_run(self):
        """Guards against a retry of a request that runs.

        The repeated refusal counted for the next request on the connection,
        whose client was told that it had not run.
        """
        await self.refuse_one("repeat")
        for path, method in (("/reports/1", b"POST"), ("/records/1", b"GET")):
            before = self.count_runs()
            statuses = await self.call_all(1, path, method=method)
            self.assertEqual([200], statuses)
            self.assertEqual(before + 1, self.count_runs())

    async def test_refusal_of_another_request_proves_nothing(self):
        """Guards against "not run" on the strength of a repeated refusal."""
        await self.refuse_one("repeat-only")
        result = await self.call(
            self.nodes[0].ports.callers,
            "/reports/1",
            method=b"POST",
            deadline_ms=600,
        )
        self.assertIn(result.response.status, (502, 504))
        self.assertEqual(1, self.count_runs())

    async def test_request_does_not_run_at_a_second_server(self):
        """Guards against two runs of a request that may run once."""
        await self.start("dc-a", "dc-a")
        for backend in self.backends:
            backend.fault_mode = "shed"
        await self.call_all(2, "/reports/1", method=b"POST")
        for backend in self.backends:
            backend.fault_mode = "repeat"
        for _ in range(6):
            before = self.count_runs()
            statuses = await self.call_all(1, "/reports/1", method=b"POST")
            self.assertEqual([200], statuses)
            self.assertEqual(before + 1, self.count_runs())
