"""Tests of the call path while node processes die, freeze or drain."""

import contextlib
import http.client
import signal
import time
import unittest

from standins import fleet as fleets
from tests.node import loads

__all__ = ["CallProcessTest"]

BEHAVIOUR = {"slots": 12, "service_ms": 5.0, "warm_after": 1}


class CallProcessTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.stack = contextlib.ExitStack()
        cls.addClassCleanup(cls.stack.close)
        cls.fleet = cls.stack.enter_context(fleets.open_fleet())
        fleets.commit_first_snapshot(
            cls.fleet, loads.make_snapshot("certdesk", "fieldbook", "portal")
        )
        cls.ingress_node, cls.one, cls.two, cls.fake_member = (
            fleets.start_member(
                cls.fleet,
                instance=f"node-{number}",
                data_centre="riga-1",
                service=service,
                version="v1",
                behaviour=BEHAVIOUR,
            )
            for number, service in enumerate(
                ("certdesk", "portal", "portal", "fieldbook")
            )
        )
        cls.wait_ready(cls.ingress_node.ingress, "/portal/x")
        cls.wait_ready(cls.ingress_node.ingress, "/fieldbook/x")

    @classmethod
    def wait_ready(cls, address, path, *, served_by=()):
        """Wait until calls succeed and reach all given backend servers."""

        def is_ready():
            connection = http.client.HTTPConnection(address, timeout=10)
            result = loads.send(connection, path)
            connection.close()
            return result.status == 200 and all(
                result.request
                and loads.count_executions(cls.fleet, member) != before
                for member, before in counts_before
            )

        counts_before = [
            (m, loads.count_executions(cls.fleet, m)) for m in served_by
        ]
        assert fleets.wait_for(is_ready, seconds=30) is not None

    def check_executions(self, results):
        """Check properties P7 to P9 for all results.

        A call runs at most once, one that is reported as not run does not
        run, and a response belongs to its own request.
        """
        counts = loads.count_executions(self.fleet, self.one, self.two)
        for result in results:
            count = counts.get(result.request, 0)
            self.assertLessEqual(count, 1, result)
            if result.outcome == "not-run":
                self.assertEqual(0, count, result)
            if result.status == 200:
                self.assertEqual(1, count, result)
                self.assertIn(result.request.encode(), result.body)

    def test_killed_node_repeats_no_call(self):
        """Guards against POST requests that run twice when a node dies."""
        self.wait_ready(
            self.ingress_node.ingress,
            "/portal/x",
            served_by=(self.one, self.two),
        )
        with loads.run_load(
            [self.ingress_node.ingress], "/portal/x"
        ) as results:
            time.sleep(0.5)
            self.one.node.kill()
            self.one.node.wait()
            time.sleep(1.0)
        fleets.start_node(self.fleet, self.one)
        self.check_executions(results)
        answered = [r for r in results if r.status == 200]
        self.assertGreater(
            len(answered), len(results) * 0.8, loads.describe_results(results)
        )

    def test_frozen_node_runs_nothing_late(self):
        """Guards against calls that run after their deadline.

        The node is stopped with SIGSTOP while it has calls, and resumed
        after the callers' time-out.
        """
        self.wait_ready(
            self.ingress_node.ingress,
            "/portal/x",
            served_by=(self.one, self.two),
        )
        with loads.run_load(
            [self.ingress_node.ingress], "/portal/x", timeout_ms=300
        ) as results:
            time.sleep(0.3)
            self.one.node.send_signal(signal.SIGSTOP)
            time.sleep(0.5)
            before = loads.count_executions(self.fleet, self.one)
        time.sleep(0.4)
        self.one.node.send_signal(signal.SIGCONT)
        time.sleep(0.5)
        self.assertEqual(before, loads.count_executions(self.fleet, self.one))
        self.check_executions(results)
        lost = [r for r in results if r.outcome == "unknown"]
        self.assertTrue(lost, "no call was at the frozen node")

    def test_graceful_stop_fails_no_call(self):
        """Guards against a shutdown that interrupts requests."""
        self.wait_ready(
            self.ingress_node.ingress,
            "/portal/x",
            served_by=(self.one, self.two),
        )
        addresses = [self.ingress_node.ingress, self.two.ingress]
        with loads.run_load(addresses, "/portal/x") as results:
            time.sleep(0.3)
            self.two.node.send_signal(signal.SIGTERM)
            code = self.two.node.wait(30)
            time.sleep(0.3)
        fleets.start_node(self.fleet, self.two)
        self.assertEqual(0, code)
        failed = [r for r in results if r.status != 200]
        self.assertEqual([], failed)
        self.assertTrue(any(r.closes for r in results))
        self.check_executions(results)

    def set_duration(self, service_ms):
        for member in (self.one, self.two):
            base = f"http://{member.backend}"
            change = {"service_ms": service_ms}
            fleets.call_json(self.fleet, base, "/-/behaviour", change)

    def test_second_signal_cuts_no_accepted_call(self):
        """Guards against a second SIGTERM that cuts accepted calls."""
        self.wait_ready(
            self.ingress_node.ingress,
            "/portal/x",
            served_by=(self.one, self.two),
        )
        self.set_duration(3000.0)
        self.addCleanup(self.set_duration, 5.0)
        with loads.run_load(
            [self.ingress_node.ingress], "/portal/x", threads=4
        ) as results:
            time.sleep(0.4)
            self.two.node.send_signal(signal.SIGTERM)
            time.sleep(0.1)
            self.two.node.send_signal(signal.SIGTERM)
        self.assertEqual(0, self.two.node.wait(30))
        fleets.start_node(self.fleet, self.two)
        self.assertEqual([], [r for r in results if r.status != 200])
        log = (self.fleet.folder / "node-2-node.log").read_text()
        self.assertNotIn("Traceback", log)
        self.assertIn("AP-107", log)

    def test_broken_and_crossed_answers(self):
        """Guards against truncated and crossed responses (P7).

        A crossed response belongs to another request.
        """
        fleets.stop(self.fake_member.backend_server)
        with loads.serve_fake_backend() as address:
            loads.announce(self.fleet, self.fake_member, address)
            self.wait_ready(self.ingress_node.ingress, "/fieldbook/x")
            expected = {
                "half": "body-incomplete",
                "half-chunk": "body-incomplete",
                "hang-up": "connection-lost",
            }
            for path, reason in expected.items():
                connection = http.client.HTTPConnection(
                    self.ingress_node.ingress
                )
                call_result = loads.send(connection, f"/fieldbook/{path}")
                connection.close()
                self.assertEqual(
                    (502, "unknown", reason),
                    (
                        call_result.status,
                        call_result.outcome,
                        call_result.reason,
                    ),
                )
            with loads.run_load(
                [self.ingress_node.ingress],
                "/fieldbook/crossed",
                timeout_ms=200,
            ) as results:
                time.sleep(1.0)
        statuses = {r.status for r in results}
        self.assertEqual({200, 504}, statuses & {200, 504})
        for result in results:
            if result.status == 200:
                self.assertEqual(result.request.encode(), result.body)
