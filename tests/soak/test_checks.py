"""Tests that each check of the soak finds what it is for."""

import unittest

from soak import checks

__all__ = ["CheckTest"]


def make_answer(request="q", **changes):
    values = {
        "request": request,
        "node": "n0#1",
        "sent": 1.0,
        "ended": 1.1,
        "idempotent": False,
        "status": 200,
    }
    return checks.Answer(**{**values, **changes})


def make_run(request="q", at=1.0, backend="b"):
    return checks.Run(request=request, backend=backend, at=at)


def promises(violations):
    return [violation.promise for violation in violations]


class CheckTest(unittest.TestCase):
    def check_runs(self, answer, *runs):
        return promises(checks.check_runs({answer.request: answer}, runs))

    def test_second_run(self):
        """Guards against a check that misses a request that runs twice."""
        twice = (make_run(), make_run(at=2.0))
        self.assertEqual(
            ["at-most-once"], self.check_runs(make_answer(), *twice)
        )
        repeatable = make_answer(idempotent=True)
        self.assertEqual([], self.check_runs(repeatable, *twice))

    def test_false_refusal(self):
        """Guards against a check that misses a refused request that ran."""
        refused = make_answer(status=503)
        self.assertEqual(
            ["true-refusal"], self.check_runs(refused, make_run())
        )
        self.assertEqual([], self.check_runs(refused))
        unknown = make_answer(status=502)
        self.assertEqual([], self.check_runs(unknown, make_run()))

    def test_request_of_nobody(self):
        """Guards against a check that misses an invented request."""
        self.assertEqual(
            ["own-requests"], self.check_runs(make_answer(), make_run("x"))
        )

    def test_answer_of_another_request(self):
        """Guards against a check that misses a wrong body."""
        found = checks.check_answers([make_answer(whole=False)])
        self.assertEqual(["whole-answer"], promises(found))

    def test_return_to_an_older_configuration(self):
        """Guards against a check that misses a route that disappears."""
        served = make_answer("a", generation=3)
        refused = make_answer(
            "b", generation=3, status=404, sent=2.0, ended=2.1
        )
        found = checks.check_configurations([refused, served])
        self.assertEqual(["never-older"], promises(found))
        crossed = make_answer("b", generation=3, status=404, sent=1.05)
        self.assertEqual([], checks.check_configurations([served, crossed]))
        restarted = make_answer(
            "b", generation=3, status=404, sent=2.0, node="n0#2"
        )
        self.assertEqual([], checks.check_configurations([served, restarted]))

    def check_exposure(self, bad, others, until=9.0):
        rollout = checks.Rollout(
            backend="new", others=frozenset(("b",)), since=1.0, until=until
        )
        runs = [make_run(at=at, backend="new") for at in bad]
        runs += [make_run(at=at) for at in others]
        bounds = checks.Bounds()
        return promises(checks.check_exposure(runs, [rollout], bounds))

    def test_bad_version_with_too_many_requests(self):
        """Guards against a check that misses an exposed version."""
        bad = [2.0] * 60
        self.assertEqual([], self.check_exposure(bad, [2.0] * 40))
        self.assertEqual(["exposure"], self.check_exposure(bad, [2.0] * 30))
        # Requests to the others before the order do not count.
        self.assertEqual(["exposure"], self.check_exposure(bad, [0.5] * 400))

    def test_bad_version_that_is_not_withdrawn(self):
        """Guards against a check that misses requests after the rollback."""
        bad = [2.0] * 50
        others = [3.0] * 1000
        self.assertEqual([], self.check_exposure([*bad, 11.9], others))
        late = [*bad, 12.1]
        self.assertEqual(["rollback"], self.check_exposure(late, others))

    def test_run_after_a_departure(self):
        """Guards against a check that misses work for a left server."""
        gone = checks.Departure(
            backend="b", since=3.0, until=9.0, cause="drain"
        )
        for at, expected in ((2.9, []), (3.1, ["drain"]), (9.1, [])):
            found = checks.check_departures([make_run(at=at)], [gone])
            self.assertEqual(expected, promises(found), at)

    def test_no_recovery(self):
        """Guards against a check that passes without any request."""
        for answers, expected in (
            ([], ["recovery"]),
            ([make_answer(idempotent=True, status=503)], ["recovery"]),
            ([make_answer(idempotent=True)], []),
        ):
            found = checks.check_recovery(answers, since=0.0, share=0.9)
            self.assertEqual(expected, promises(found))
