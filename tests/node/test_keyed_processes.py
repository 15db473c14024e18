"""Tests with real processes that a keyed call runs at most once."""

import concurrent.futures
import contextlib
import time
import unittest

import urllib3

from apricotpost import model
from standins import fleet as fleets

__all__ = ["KeyedProcessesTest"]

BODY = b'{"defect": "crack"}'
CONFIGURATION = model.Snapshot(
    version=1,
    services=(
        model.Service(
            name="fieldbook",
            team="baltkalns",
            versions=(model.VersionShare(version="v1", share=1000),),
        ),
    ),
    routes=(
        model.Route(
            name="reports",
            service="fieldbook",
            prefix="/reports",
            methods=("POST",),
            idempotent=False,
        ),
    ),
    data_centres=(
        model.DataCentre(name="dc1", region="lv-riga"),
        model.DataCentre(name="dc2", region="lv-riga"),
    ),
)


class KeyedProcessesTest(unittest.TestCase):
    def setUp(self):
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        self.fleet = stack.enter_context(fleets.open_fleet())
        fleets.commit_first_snapshot(self.fleet, CONFIGURATION)
        self.members = [
            fleets.start_member(
                self.fleet,
                instance=f"fieldbook-{centre}",
                data_centre=centre,
                service="fieldbook",
                version="v1",
            )
            for centre in ("dc1", "dc2")
        ]
        self.pool = urllib3.PoolManager(maxsize=32, retries=False)
        stack.callback(self.pool.clear)
        for number, member in enumerate(self.members):
            waited = fleets.wait_for(
                lambda m=member, n=number: self.is_served(m, n), seconds=30
            )
            self.assertIsNotNone(waited)

    def is_served(self, member, number):
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.post(member, f"ready-{number}").status == 200
        return False

    def post(self, member, key):
        """Send a report by POST; the request identifier equals the key."""
        return self.pool.request(
            "POST",
            f"http://{member.ingress}/reports",
            body=BODY,
            headers={"Idempotency-Key": key, "X-Request-Id": key},
            timeout=30.0,
        )

    def executions(self, key):
        states = [
            fleets.call_json(
                self.fleet, f"http://{member.backend}", "/-/state"
            )
            for member in self.members
        ]
        return sum(state["executions"].get(key, 0) for state in states)

    def set_faults(self, **faults):
        fleets.call_json(
            self.fleet, self.fleet.platform_url, "/-/faults", faults
        )

    def set_service_ms(self, milliseconds):
        for member in self.members:
            fleets.call_json(
                self.fleet,
                f"http://{member.backend}",
                "/-/behaviour",
                {"service_ms": milliseconds},
            )

    def test_two_data_centres_at_once_under_lost_answers(self):
        """Guards against a report that both data centres file.

        Both get the call at once, while the table's responses are lost.
        """
        answered = 0
        with concurrent.futures.ThreadPoolExecutor(4) as threads:
            for number in range(15):
                key = f"both-{number}"
                self.set_faults(lose_answers=number % 4)
                results = list(
                    threads.map(lambda m, k=key: self.post(m, k), self.members)
                )
                statuses = sorted(result.status for result in results)
                self.assertIn(statuses, ([200, 200], [200, 409]))
                self.assertEqual(1, self.executions(key))
                answered += statuses == [200, 200]
                self.set_faults()
                self.assert_replayed_everywhere(key)
                self.assertEqual(1, self.executions(key))
        self.assertLess(answered, 15)

    def assert_replayed_everywhere(self, key):
        """Repeat the call at each member until its outcome is replayed."""
        for member in self.members:
            responses = []

            def is_replayed(member=member, responses=responses):
                responses[:] = [self.post(member, key)]
                return responses[0].status == 200

            self.assertIsNotNone(fleets.wait_for(is_replayed, seconds=20))
            headers = responses[0].headers
            self.assertEqual("1", headers.get("X-Apricotpost-Replayed"))

    def test_node_killed_between_begin_and_answer(self):
        """Guards against a second run after the first node has died."""
        first, second = self.members
        self.set_service_ms(800)
        with concurrent.futures.ThreadPoolExecutor(1) as threads:
            pending = threads.submit(self.post, first, "killed")
            time.sleep(0.3)
            first.node.kill()
            first.node.wait()
            with self.assertRaises(urllib3.exceptions.HTTPError):
                pending.result()
        self.set_service_ms(2)
        for _ in range(3):
            repeated = self.post(second, "killed")
            outcome = repeated.headers["X-Apricotpost-Outcome"]
            self.assertEqual((409, "unknown"), (repeated.status, outcome))
        self.assertLessEqual(self.executions("killed"), 1)
        self.assertEqual(200, self.post(second, "another").status)

    def test_table_down_between_begin_and_answer(self):
        """Guards against an outcome that is lost in a table outage."""
        first, second = self.members
        self.set_service_ms(800)
        with concurrent.futures.ThreadPoolExecutor(1) as threads:
            pending = threads.submit(self.post, first, "outage")
            time.sleep(0.3)
            self.set_faults(table_down=True)
            self.assertEqual(200, pending.result().status)
        refused = self.post(second, "outage")
        reason = refused.headers["X-Apricotpost-Reason"]
        self.assertEqual("platform-unavailable", reason)
        self.set_faults()
        self.assert_replayed_everywhere("outage")
        self.assertEqual(1, self.executions("outage"))
