"""Tests of the retry budget of a time window."""

import random
import unittest

from apricotpost.routing import retries

__all__ = ["WindowBudgetTest"]

BASE_LIMIT = 1.25
LIMIT_PER_CALL = 0.06
PER_CALL = 0.07
WINDOW_SECONDS = 10.0


def earn(budget, now):
    return retries.earn_in_window(
        budget,
        base_limit=BASE_LIMIT,
        limit_per_call=LIMIT_PER_CALL,
        window_seconds=WINDOW_SECONDS,
        now=now,
    )


def spend_all(budget):
    spent = 0
    while budget.tokens >= 1.0:
        budget = retries.spend(budget)
        spent += 1
    return budget, spent


class WindowBudgetTest(unittest.TestCase):
    def start(self):
        return retries.Budget(tokens=BASE_LIMIT, per_call=PER_CALL)

    def test_burst_of_failures_is_retried(self):
        """Guards against a budget too small for a burst of failures.

        Load: 4 calls a second for 20 s, then only failures. The limit used to
        be one token for a node of a large fleet.
        """
        budget = self.start()
        for index in range(80):
            budget = earn(budget, index * 0.25)
        _, spent = spend_all(budget)
        self.assertGreaterEqual(spent, 3)

    def test_no_window_exceeds_the_ratio(self):
        """Guards against retries that amplify an outage of the whole fleet."""
        rng = random.Random(5)
        budget = self.start()
        calls, spends = [], []
        now = 0.0
        for _ in range(2000):
            now += rng.expovariate(4.0 if int(now / 15) % 2 else 0.5)
            budget = earn(budget, now)
            calls.append(now)
            if int(now / 7) % 2:
                budget, spent = spend_all(budget)
                spends.extend([now] * spent)
        for end in spends:
            within = [t for t in spends if end - WINDOW_SECONDS < t <= end]
            window_calls = [
                t for t in calls if end - 2 * WINDOW_SECONDS < t <= end
            ]
            self.assertLessEqual(
                len(within),
                1.0
                + BASE_LIMIT
                + (LIMIT_PER_CALL + PER_CALL) * len(window_calls),
            )

    def test_quiet_node_keeps_the_base_only(self):
        """Guards against tokens saved from calls of long ago."""
        budget = self.start()
        for index in range(200):
            budget = earn(budget, index * 0.1)
        budget = earn(budget, 120.0)
        self.assertLess(budget.tokens, BASE_LIMIT + 0.1)
