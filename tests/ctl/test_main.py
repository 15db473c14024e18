"""Tests of the command line against a real node."""

import contextlib
import datetime
import io
import json
import os
import unittest
from unittest import mock

from apricotpost.ctl import client
from apricotpost.ctl import main
from standins import fleet

__all__ = ["MainTest"]

DEFINITIONS = """{
  // The service of this test.
  "services": [
    {"name": "portal", "team": "platform", "first_version": "v1"}
  ],
  "data_centres": [{"name": "riga-1", "region": "lv-riga"}]
}"""
HEADER = "service,version,data_centre,state,finish_by\n"


class MainTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(fleet.open_fleet())
        cls.member = fleet.start_member(
            cls.fleet,
            instance="a1",
            data_centre="riga-1",
            service="portal",
            version="v1",
        )
        (unused,) = fleet.free_ports(1)
        cls.nodes = [f"127.0.0.1:{unused}", cls.member.admin]
        fleet.wait_for(
            lambda: fleet.call_json(
                cls.fleet, f"http://{cls.member.admin}", "/v1/status"
            ),
            seconds=20,
        )
        code, _, error = cls.run_ctl(
            "apply", cls.write("d.jsonc", DEFINITIONS)
        )
        assert code == 0, error

    @classmethod
    def write(cls, name, text):
        path = cls.fleet.folder / name
        path.write_text(text)
        return str(path)

    @classmethod
    def run_ctl(cls, *arguments, token=fleet.TOKEN, nodes=None):
        """Run the program; return its exit code, output and error output."""
        environ = {
            client.TOKEN_VARIABLE: token,
            client.NODES_VARIABLE: ",".join(nodes or cls.nodes),
        }
        output, error = io.StringIO(), io.StringIO()
        with (
            mock.patch.dict(os.environ, environ),
            contextlib.redirect_stdout(output),
            contextlib.redirect_stderr(error),
        ):
            try:
                code = main.main(list(arguments))
            except SystemExit as ended:
                code = ended.code
        return code, output.getvalue(), error.getvalue()

    def sheet(self, version):
        moment = datetime.datetime.now(datetime.UTC)
        moment += datetime.timedelta(seconds=300)
        text = f"{HEADER}portal,{version},,,{moment.isoformat()}\n"
        return self.write("sheet.csv", text)

    def test_sheet_from_check_to_withdrawn(self):
        """Guards against a wrong exit code in the operators' usual sequence.

        A sheet is checked and submitted, its rollout withdrawn and watched.
        """
        code, output, _ = self.run_ctl("check", self.sheet("v2"))
        self.assertEqual((0, True), (code, "nothing was changed" in output))
        code, output, error = self.run_ctl(
            "submit", self.sheet("v2"), "--json"
        )
        self.assertEqual(0, code, error)
        (rollout,) = json.loads(output)["rollouts"]
        code, _, error = self.run_ctl(
            "withdraw", rollout, "--reason", "totals"
        )
        self.assertEqual(0, code, error)
        code, output, _ = self.run_ctl("watch", rollout)
        self.assertEqual(5, code)
        self.assertIn("withdrawn (totals)", output)
        code, output, _ = self.run_ctl("history")
        self.assertIn(rollout, output)
        self.assertIn("totals", self.run_ctl("audit")[1])
        self.assertIn("portal", self.run_ctl("status")[1])

    def test_bad_input_ends_with_2(self):
        """Guards against bad input whose faults are not reported."""
        path = self.write("bad.csv", HEADER + "other,v2,,,soon\n")
        code, _, error = self.run_ctl("submit", path)
        self.assertEqual(2, code)
        self.assertIn("row 2, column service", error)
        self.assertIn("row 2, column finish_by", error)
        self.assertEqual(2, self.run_ctl("status", token="")[0])
        self.assertEqual(2, self.run_ctl("nothing")[0])
        self.assertEqual(2, self.run_ctl("withdraw", "none")[0])
        self.assertEqual(2, self.run_ctl("submit", "/nowhere.csv")[0])

    def test_refusal_and_conflict_end_with_3(self):
        """Guards against a refused change that is reported as accepted."""
        code, _, error = self.run_ctl("status", token="wrong")
        self.assertEqual((3, True), (code, "AP501" in error))
        code, _, error = self.run_ctl(
            "submit", self.sheet("v3"), "--base", "0"
        )
        self.assertEqual(3, code)
        self.assertIn("version 1 was accepted first, from operator", error)

    def test_no_node_or_no_platform_ends_with_4(self):
        """Guards against an outage that is reported as a refusal."""
        self.assertEqual(4, self.run_ctl("status", nodes=self.nodes[:1])[0])
        url = self.fleet.platform_url
        fleet.call_json(self.fleet, url, "/-/faults", {"table_down": True})
        try:
            code, _, error = self.run_ctl("submit", self.sheet("v3"))
            self.assertEqual((4, True), (code, "--request" in error), error)
            self.assertEqual(0, self.run_ctl("status")[0])
        finally:
            fleet.call_json(self.fleet, url, "/-/faults", {})
