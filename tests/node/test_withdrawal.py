"""Test with real processes: withdrawal of a version in a table outage."""

import concurrent.futures
import contextlib
import dataclasses
import threading
import time
import unittest

import urllib3

from apricotpost import config
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost import storage
from standins import fleet

__all__ = ["WithdrawalTest"]

SERVICE = model.Service(
    name="portal",
    team="platform",
    versions=(model.VersionShare(version="v1", share=1000),),
)
ROUTE = model.Route(
    name="records",
    service="portal",
    prefix="/records",
    methods=("GET",),
    idempotent=False,
)
AUTHORIZATION = {"Authorization": f"Bearer {fleet.TOKEN}"}
CALLERS = 3


class WithdrawalTest(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(
            fleet.open_fleet({"times": {"join_seconds": 0.1}})
        )
        centre = model.DataCentre(name="riga-1", region="lv-riga")
        first = fleet.commit_first_snapshot(
            self.fleet,
            model.Snapshot(
                version=1,
                services=(SERVICE,),
                routes=(ROUTE,),
                data_centres=(centre,),
            ),
        )
        self.members = [
            fleet.start_member(
                self.fleet,
                instance=f"a{number}",
                data_centre="riga-1",
                service="portal",
                version=version,
            )
            for number, version in enumerate(("v1", "v1", "v2", "v2"))
        ]
        self.start_rollout(first)
        self.stopped = threading.Event()
        callers = self.enterContext(
            concurrent.futures.ThreadPoolExecutor(CALLERS)
        )
        for _ in range(CALLERS):
            callers.submit(self.call)
        self.addCleanup(self.stopped.set)

    def start_rollout(self, first):
        """Commit a rollout whose new version gets a quarter of the calls."""
        now = time.time()
        planned = rollouts.plan_rollout(
            first, "portal", "v2", now + 300.0, now
        )
        (rollout,) = planned.rollouts
        stepped = rollouts.step_rollout(planned, rollout, 250, now)
        after = config.with_checksum(dataclasses.replace(stepped, version=2))
        self.store = storage.open_store(
            table_url=self.fleet.platform_url,
            object_url=self.fleet.platform_url,
            table_name="apricotpost",
            bucket="apricotpost",
            timeout_seconds=5.0,
        )
        self.addCleanup(self.store.channel.pool.clear)
        change = storage.Change(
            before=first,
            after=after,
            author="operator",
            reason="sheet",
            request="rollout",
            at=now,
        )
        storage.commit(self.store, change)

    def call(self):
        """Call a node of the old version until the test stops."""
        url = f"http://{self.members[0].ingress}/records/1"
        while not self.stopped.is_set():
            # The node may not be listening yet.
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                self.fleet.pool.request("GET", url, timeout=10.0)

    def count_served(self, version):
        """Count the calls that backend servers of a version answered."""
        states = [
            fleet.call_json(self.fleet, f"http://{m.backend}", "/-/state")
            for m in self.members
            if m.version == version
        ]
        return sum(state["served"] for state in states if state)

    def list_withdrawals(self):
        """List the withdrawals in each node's status."""
        answers = [
            fleet.call_json(
                self.fleet,
                f"http://{member.admin}",
                "/v1/status",
                headers=AUTHORIZATION,
            )
            for member in self.members
        ]
        return [answer and answer["withdrawals"] for answer in answers]

    def set_faults(self, **faults):
        fleet.call_json(
            self.fleet, self.fleet.platform_url, "/-/faults", faults
        )

    def outcomes(self):
        return storage.table.query(self.store.table, pk="outcome")

    def test_bad_version_is_withdrawn_while_the_table_is_down(self):
        """Guards against a withdrawal that waits for the table."""
        reached = fleet.wait_for(
            lambda: self.count_served("v2") > 100, seconds=40
        )
        self.assertIsNotNone(reached, "the new version gets no calls")
        self.set_faults(table_down=True)
        for member in self.members[2:]:
            fleet.call_json(
                self.fleet,
                f"http://{member.backend}",
                "/-/behaviour",
                {"failure_rate": 0.5},
            )
        elapsed_seconds = fleet.wait_for(
            lambda: all(self.list_withdrawals()), seconds=40
        )
        self.assertIsNotNone(
            elapsed_seconds, "not every node knows the withdrawal"
        )
        # Open calls end; after that the new version gets no further calls.
        fleet.wait_for(lambda: self._is_idle("v2"), seconds=10)
        before = self.count_served("v2")
        old = self.count_served("v1")
        moved = fleet.wait_for(
            lambda: self.count_served("v1") > old + 100, seconds=20
        )
        self.assertIsNotNone(moved, "the old version gets no calls")
        self.assertEqual(before, self.count_served("v2"))
        self.set_faults()
        ended = fleet.wait_for(self.outcomes, seconds=40)
        self.assertIsNotNone(ended, "the withdrawal is not durable")
        (outcome,) = self.outcomes()
        self.assertEqual("withdrawn", outcome.attributes["result"])
        self.assertIn("failures", outcome.attributes["reason"])

    def _is_idle(self, version):
        before = self.count_served(version)
        time.sleep(0.3)
        return self.count_served(version) == before
