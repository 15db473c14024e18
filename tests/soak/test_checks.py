"""Tests that each check of the soak reports its violations."""

import unittest

from soak import checks

__all__ = ["CheckTest"]


def make_result(request="q", **changes):
    values = {
        "request": request,
        "node": "n0#1",
        "sent": 1.0,
        "ended": 1.1,
        "idempotent": False,
        "status": 200,
    }
    return checks.CallResult(**{**values, **changes})


def make_execution(request="q", started_at=1.0, backend="b"):
    return checks.Execution(
        request=request, backend=backend, started_at=started_at
    )


def list_promises(violations):
    return [violation.promise for violation in violations]


class CheckTest(unittest.TestCase):
    def check_executions(self, result, *executions):
        return list_promises(
            checks.check_executions({result.request: result}, executions)
        )

    def test_configuration_that_is_not_in_force(self):
        """Guards against a check that misses a node with an older one."""
        versions = {"n0": 5, "n1": 4}
        self.assertEqual([], checks.check_in_force({"n0": 5}, 5))
        (violation,) = checks.check_in_force(versions, 5)
        self.assertEqual("in-force", violation.promise)
        self.assertIn("n1", violation.detail)

    def test_request_executed_twice(self):
        """Guards against a check that misses a second execution."""
        twice = (make_execution(), make_execution(started_at=2.0))
        self.assertEqual(
            ["at-most-once"], self.check_executions(make_result(), *twice)
        )
        repeatable = make_result(idempotent=True)
        self.assertEqual([], self.check_executions(repeatable, *twice))

    def test_refused_request_was_executed(self):
        """Guards against a check that misses a refused, executed request."""
        refused = make_result(status=503)
        self.assertEqual(
            ["true-refusal"], self.check_executions(refused, make_execution())
        )
        self.assertEqual([], self.check_executions(refused))
        unknown = make_result(status=502)
        self.assertEqual([], self.check_executions(unknown, make_execution()))

    def test_executed_request_that_no_caller_sent(self):
        """Guards against a check that misses a request without a caller."""
        self.assertEqual(
            ["own-requests"],
            self.check_executions(make_result(), make_execution("x")),
        )

    def test_response_to_another_request(self):
        """Guards against a check that misses a response that is not intact."""
        found = checks.check_integrity([make_result(intact=False)])
        self.assertEqual(["whole-answer"], list_promises(found))

    def test_return_to_an_older_configuration(self):
        """Guards against a check that misses a route that is lost again."""
        served = make_result("a", generation=3)
        refused = make_result(
            "b", generation=3, status=404, sent=2.0, ended=2.1
        )
        found = checks.check_configurations([refused, served])
        self.assertEqual(["never-older"], list_promises(found))
        crossed = make_result("b", generation=3, status=404, sent=1.05)
        self.assertEqual([], checks.check_configurations([served, crossed]))
        restarted = make_result(
            "b", generation=3, status=404, sent=2.0, node="n0#2"
        )
        self.assertEqual([], checks.check_configurations([served, restarted]))

    def check_exposure(self, bad_times, other_times, until=9.0):
        rollout = checks.Rollout(
            backend="new",
            other_backends=frozenset(("b",)),
            since=1.0,
            until=until,
        )
        executions = [
            make_execution(started_at=started_at, backend="new")
            for started_at in bad_times
        ]
        executions += [
            make_execution(started_at=started_at) for started_at in other_times
        ]
        bounds = checks.Bounds()
        return list_promises(
            checks.check_exposure(executions, [rollout], bounds)
        )

    def test_bad_version_with_too_many_requests(self):
        """Guards against a check that misses an overexposed version."""
        bad_times = [2.0] * 60
        self.assertEqual([], self.check_exposure(bad_times, [2.0] * 40))
        self.assertEqual(
            ["exposure"], self.check_exposure(bad_times, [2.0] * 30)
        )
        # Requests to the other servers before the order do not count.
        self.assertEqual(
            ["exposure"], self.check_exposure(bad_times, [0.5] * 400)
        )

    def test_bad_version_is_not_withdrawn(self):
        """Guards against a check that misses requests after the rollback."""
        bad_times = [2.0] * 50
        other_times = [3.0] * 1000
        self.assertEqual(
            [], self.check_exposure([*bad_times, 11.9], other_times)
        )
        late = [*bad_times, 12.1]
        self.assertEqual(["rollback"], self.check_exposure(late, other_times))

    def test_execution_after_the_drain(self):
        """Guards against a check that misses requests to a drained server."""
        exclusion = checks.Exclusion(
            backend="b", since=3.0, until=9.0, cause="drain"
        )
        for started_at, expected in ((2.9, []), (3.1, ["drain"]), (9.1, [])):
            found = checks.check_exclusions(
                [make_execution(started_at=started_at)], [exclusion]
            )
            self.assertEqual(expected, list_promises(found), started_at)

    def test_no_recovery(self):
        """Guards against a check that passes if no request was sent."""
        for results, expected in (
            ([], ["recovery"]),
            ([make_result(idempotent=True, status=503)], ["recovery"]),
            ([make_result(idempotent=True)], []),
        ):
            found = checks.check_recovery(results, since=0.0, min_ratio=0.9)
            self.assertEqual(expected, list_promises(found))

    def test_repeats_beyond_the_budget(self):
        """Guards against a check that misses repeats beyond the budget."""
        bounds = checks.Bounds()
        services = {"b": "portal"}
        executions = [
            make_execution(f"q{index}", index / 10) for index in range(100)
        ]
        allowed = int(bounds.budget_ratio * 100 + bounds.budget_slack_requests)
        repeats = [
            make_execution(f"q{index}", 9.95) for index in range(allowed + 1)
        ]
        for count, promises in (
            (allowed, []),
            (allowed + 1, ["retry-budget"]),
        ):
            with self.subTest(count=count):
                found = checks.check_budget(
                    executions + repeats[:count], services, bounds
                )
                self.assertEqual(promises, list_promises(found))
