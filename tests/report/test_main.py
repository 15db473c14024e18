"""Test of the report with a real node."""

import contextlib
import io
import json
import os
import unittest
from unittest import mock

from apricotpost import model
from apricotpost.report import main
from standins import fleet

__all__ = ["ReportTest"]

CALLS = 40


class ReportTest(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(fleet.open_fleet())
        share = model.VersionShare(version="v1", share=model.TOTAL_SHARE)
        route = model.Route(
            name="records",
            service="portal",
            prefix="/records",
            methods=("GET",),
            idempotent=False,
        )
        fleet.commit_first_snapshot(
            self.fleet,
            model.Snapshot(
                version=1,
                services=(
                    model.Service(
                        name="portal", team="platform", versions=(share,)
                    ),
                ),
                routes=(route,),
            ),
        )
        self.member = fleet.start_member(
            self.fleet,
            instance="a1",
            data_centre="riga-1",
            service="portal",
            version="v1",
            behaviour={"failure_rate": 0.2},
        )

    def get(self, path):
        url = f"http://{self.member.ingress}{path}"
        return self.fleet.pool.request("GET", url, timeout=5.0).status

    def report(self, *arguments):
        environ = {"APRICOTPOST_TOKEN": fleet.TOKEN}
        output = io.StringIO()
        with (
            mock.patch.dict(os.environ, environ),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(io.StringIO()),
        ):
            code = main.main([*arguments, "--node", self.member.admin])
        return code, output.getvalue()

    def test_counted_calls_are_those_that_callers_made(self):
        """Guards against calls that are not counted or are counted twice."""

        def is_up():
            with contextlib.suppress(Exception):
                return self.get("/records/up") == 200

        self.assertIsNotNone(fleet.wait_for(is_up, seconds=20))
        _, before = self.report("--format", "json")
        statuses = [self.get(f"/records/{n}") for n in range(CALLS)]
        code, after = self.report("--format", "json", "--node", "127.0.0.1:1")
        self.assertEqual(0, code)
        first, last = (
            json.loads(text)["routes"][0]["windows"][-1]
            for text in (before, after)
        )
        failed = sum(status >= 500 for status in statuses)
        self.assertEqual(failed, last["bad"] - first["bad"])
        answered = last["good"] + last["slow"] - first["good"] - first["slow"]
        self.assertEqual(CALLS - failed, answered)
        self.assertIn("Not counted: 127.0.0.1:1", after)
