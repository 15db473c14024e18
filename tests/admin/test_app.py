"""Tests of the administration API with the platform stand-in."""

import datetime
import json
import threading
import unittest

from standins import platform as stand_in
from tests.admin import harness

__all__ = ["AppTest"]

HEADER = "service,version,data_centre,state,finish_by\n"
DEFINITIONS = {
    "services": [
        {"name": "portal", "team": "portal-team", "first_version": "v1"}
    ],
    "routes": [
        {
            "name": "records",
            "service": "portal",
            "prefix": "/records",
            "methods": ["GET"],
            "idempotent": True,
        }
    ],
    "data_centres": [{"name": "riga-1", "region": "lv-riga"}],
}


def later(seconds=600):
    """Return a time in the future in RFC 3339 format."""
    moment = datetime.datetime.now(datetime.UTC)
    moment += datetime.timedelta(seconds=seconds)
    return moment.isoformat(timespec="seconds")


class AppTest(unittest.TestCase):
    def setUp(self):
        self.api = self.enterContext(harness.open_api())
        status, answer = self.api.call(
            "POST", "/v1/services", json.dumps(DEFINITIONS)
        )
        self.assertEqual((200, 1), (status, answer.get("version")), answer)
        self.sheet = HEADER + f"portal,v2,,,{later()}\n"
        self.audit = lambda: self.api.items("audit")

    def post(self, target, body, **headers):
        body = body if isinstance(body, str) else json.dumps(body)
        return self.api.call("POST", target, body, **headers)

    def test_nothing_is_shown_without_a_token(self):
        """Guards against a path that answers without a valid token.

        Unknown paths are refused alike, so that they cannot be told apart.
        """
        for method, path in (
            ("GET", "/v1/status"),
            ("GET", "/v1/nothing"),
            ("POST", "/v1/sheet"),
        ):
            for token in ("", "wrong"):
                status, answer = self.api.call(method, path, token=token)
                self.assertEqual((401, "AP501"), (status, answer["code"]))

    def test_wrong_team_and_rights_change_nothing(self):
        """Guards against a change that the token's team or rights forbid."""
        routes = {"routes": [{**DEFINITIONS["routes"][0], "timeout_ms": 9}]}
        other_team = {"services": [{"name": "portal", "team": "cert-team"}]}
        centres = {"data_centres": [{"name": "x", "region": "r"}]}
        for token, path, body in (
            ("t-cert", "/v1/sheet", self.sheet),
            ("t-reader", "/v1/sheet", self.sheet),
            ("t-cert", "/v1/services", routes),
            ("t-cert", "/v1/services", other_team),
            ("t-cert", "/v1/services", {"remove_services": ["portal"]}),
            ("t-second", "/v1/services", centres),
            ("t-second", "/v1/data-centres/riga-1", {"state": "out"}),
        ):
            status, answer = self.post(path, body, token=token)
            self.assertEqual((403, "AP502"), (status, answer["code"]), path)
        status, _ = self.api.call("GET", "/v1/config", token="t-blind")
        self.assertEqual(403, status)
        self.assertEqual(1, len(self.audit()))

    def test_sheet_is_one_version_with_an_audit_record(self):
        """Guards against a sheet that is committed as several versions."""
        sheet = self.sheet + f",,riga-1,out,{later()}\n"
        status, answer = self.post("/v1/sheet", sheet)
        self.assertEqual((200, 2), (status, answer["version"]))
        _, audit = self.api.call("GET", "/v1/audit")
        newest = audit["records"][0]
        self.assertEqual(("ilze", 1), (newest["author"], newest["base"]))
        self.assertTrue(newest["request"].startswith(answer["request"]))
        self.assertEqual([1, 2], [d.version for d in self.api.announced])
        self.assertEqual(answer["moves"], self.api.items("move"))

    def test_check_writes_nothing(self):
        """Guards against a check that commits the change."""
        status, answer = self.post("/v1/sheet?check=1", self.sheet)
        self.assertEqual((200, 2), (status, answer["version"]))
        self.assertEqual(1, len(self.audit()))

    def test_repeated_request_returns_the_first_result(self):
        """Guards against a change committed twice.

        A client whose answer was lost sends the same request again, here
        after another change was accepted.
        """
        key = {"idempotency_key": "morning-1"}
        first = self.post("/v1/sheet", self.sheet, **key)
        removal = {"remove_routes": ["records"], "remove_services": ["portal"]}
        self.assertEqual(200, self.post("/v1/services", removal)[0])
        self.assertEqual(first, self.post("/v1/sheet", self.sheet, **key))
        self.assertEqual(3, len(self.audit()))
        other = self.sheet.replace("v2", "v3")
        status, answer = self.post("/v1/sheet", other, **key)
        self.assertEqual((400, "AP503"), (status, answer["code"]))

    def test_lost_answer_of_the_table_is_resolved_by_reading(self):
        """Guards against a change reported as failed, or committed twice.

        The table commits the change, but its answer is lost.
        """
        self.api.platform.faults = stand_in.Faults(lose_answers=1)
        status, answer = self.post("/v1/sheet", self.sheet)
        self.assertEqual((200, 2), (status, answer["version"]), answer)
        self.assertEqual(2, len(self.audit()))

    def test_table_down_is_a_typed_refusal(self):
        """Guards against an untyped error and a partly written change.

        The table is unavailable, then available again.
        """
        self.api.platform.faults = stand_in.Faults(table_down=True)
        for method, path in (("POST", "/v1/sheet"), ("GET", "/v1/audit")):
            status, answer = self.api.call(method, path, self.sheet)
            self.assertEqual(503, status)
            self.assertTrue(answer["code"].startswith("AP40"), answer)
        self.api.platform.faults = stand_in.Faults()
        self.assertEqual(1, len(self.audit()))
        self.assertEqual(200, self.post("/v1/sheet", self.sheet)[0])

    def test_conflict_names_the_accepted_change(self):
        """Guards against a conflict that does not name the accepted change.

        Both changes build on the same base version.
        """
        self.post("/v1/sheet?reason=new+totals", self.sheet, if_match='"1"')
        status, answer = self.post(
            "/v1/services",
            {"remove_routes": ["records"]},
            token="t-second",
            if_match='"1"',
        )
        self.assertEqual((409, "AP505"), (status, answer["code"]))
        self.assertIn("version 2", answer["message"])
        self.assertIn("ilze: new totals", answer["message"])

    def test_racing_operators_all_get_an_answer(self):
        """Guards against a change lost when two operators submit at once.

        Without a base version both are accepted; with one only the first.
        """
        results = []

        def add_route(name, headers):
            route = {**DEFINITIONS["routes"][0], "name": name}
            route["prefix"] = f"/{name}"
            result = self.post("/v1/services", {"routes": [route]}, **headers)
            results.append(result)

        def race(headers):
            results.clear()
            names = [f"r{len(self.audit())}-{n}" for n in range(2)]
            threads = [
                threading.Thread(target=add_route, args=(name, headers))
                for name in names
            ]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
            return sorted(status for status, _ in results)

        self.api.platform.faults = stand_in.Faults(delay_seconds=0.02)
        self.assertEqual([200, 200], race({}))
        self.assertEqual(3, len(self.audit()))
        self.assertEqual([200, 409], race({"if_match": "3"}))
        self.assertEqual(4, len(self.audit()))

    def test_withdrawal_restores_the_old_version(self):
        """Guards against a withdrawn version that keeps receiving calls."""
        _, answer = self.post("/v1/sheet", self.sheet)
        (rollout,) = answer["rollouts"]
        path = f"/v1/rollouts/{rollout}/withdraw"
        self.assertEqual(403, self.post(path, {}, token="t-cert")[0])
        body = {"reason": "wrong totals"}
        self.assertEqual(200, self.post(path, body, token="t-second")[0])
        _, move = self.api.call("GET", f"/v1/history/{rollout}")
        self.assertEqual(
            ("withdrawn", "wrong totals"), (move["state"], move["reason"])
        )
        again = HEADER + f"portal,v1,,,{later()}\n"
        _, answer = self.post("/v1/sheet", again)
        self.assertEqual(["service portal at v1"], answer["unchanged"])

    def test_malformed_definitions_are_listed_whole(self):
        """Guards against a misspelt field that is ignored without an error."""
        route = {"name": 1, "idempotant": True, "service": "portal"}
        status, answer = self.post("/v1/services", {"routes": [route]})
        self.assertEqual(400, status)
        text = "\n".join(answer["faults"])
        for expected in (
            "$.routes[0].idempotant: unknown",
            "$.routes[0].name: Expected `str`",
            "$.routes[0].prefix: missing",
        ):
            self.assertIn(expected, text)
