"""Sequential probability ratio test of two versions at the same time.

Calls are compared in slices that cover the same period for both versions.
Within a slice both have a common event rate if the new version is no worse,
whatever that rate is. The likelihood ratio of a slice is taken against the
weighted mean of the two alternatives' rates. Its expectation is at most 1
for every common rate, so a general slowdown is no evidence, and the product
over slices crosses ``1 / FALSE_ALARM_RATE`` with at most that probability.

References
----------
Wald, Sequential Tests of Statistical Hypotheses, Ann. Math. Stat. 16 (1945).
Turner, Ly, Grünwald, Generic E-variables for exact sequential k-sample
tests that allow for optional stopping, arXiv:2106.02693 (2021).
"""

import dataclasses
import math

__all__ = [
    "ALARM",
    "FALSE_ALARM_RATE",
    "MISS_RATE",
    "Plan",
    "Slice",
    "Test",
    "level",
    "start",
    "update",
]

FALSE_ALARM_RATE = 1e-4
MISS_RATE = 1e-2
# Wald's boundaries. A test that reaches the lower one stays there instead
# of ending, so that a fault that begins later is still found.
ALARM = math.log((1 - MISS_RATE) / FALSE_ALARM_RATE)
FLOOR = math.log(MISS_RATE / (1 - FALSE_ALARM_RATE))
# Gates report at different moments of a second, so the onset of a general
# fault reaches the two versions' counts up to two slices apart. Two slices
# alone must not raise the alarm.
MAX_GAIN = 0.45 * ALARM
# Weight of the past when the old version's event rate is estimated anew.
RATE_MEMORY = 0.9
MAX_SAVED_EVENTS = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """What one test looks for.

    Parameters
    ----------
    excesses : tuple of float
        Alternatives: additional probability of an event in a call of the
        new version that has none in the old version.
    tolerance : float
        Part of the new version's calls whose events are overlooked.
    pardon : float
        Events that are overlooked in addition, once.
    least_rate : float
        Lowest rate assumed for the old version.
    """

    excesses: tuple[float, ...]
    tolerance: float
    pardon: float
    least_rate: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slice:
    """Calls and events of both versions over the same period."""

    new_calls: int
    new_events: int
    old_calls: int
    old_events: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Test:
    """State of one test.

    Parameters
    ----------
    logs : tuple of float
        Logarithm of the likelihood ratio for each alternative.
    old_calls, old_events : float
        Recent history of the old version, fading.
    saved : float
        Events that may still be overlooked.
    """

    logs: tuple[float, ...]
    saved: float
    old_calls: float = 0.0
    old_events: float = 0.0


def start(plan: Plan) -> Test:
    """Return the state before the first call."""
    return Test(logs=(0.0,) * len(plan.excesses), saved=plan.pardon)


def update(test: Test, plan: Plan, found: Slice) -> Test:
    """Account for one slice.

    The alternatives are fixed before the slice is looked at: the rate of
    the old version is estimated from earlier slices only.
    """
    saved = test.saved + plan.tolerance * found.new_calls
    overlooked = min(found.new_events, int(saved))
    saved = min(saved - overlooked, max(MAX_SAVED_EVENTS, plan.pardon))
    tested = dataclasses.replace(
        found, new_events=found.new_events - overlooked
    )
    rate = _estimate(test, plan)
    logs = tuple(
        max(log + min(_log_ratio(tested, rate, excess), MAX_GAIN), FLOOR)
        for log, excess in zip(test.logs, plan.excesses, strict=True)
    )
    return Test(
        logs=logs,
        saved=saved,
        old_calls=RATE_MEMORY * test.old_calls + found.old_calls,
        old_events=RATE_MEMORY * test.old_events + found.old_events,
    )


def level(test: Test) -> float:
    """Return the evidence; at `ALARM` the new version is worse.

    The best alternative, reduced by the logarithm of their number, is below
    the mixture of all, for which the false alarm rate holds.
    """
    return max(test.logs) - math.log(len(test.logs))


def _estimate(test: Test, plan: Plan) -> float:
    rate = (test.old_events + 0.5) / (test.old_calls + 1.0)
    return min(max(rate, plan.least_rate), 0.95)


def _log_ratio(found: Slice, old_rate: float, excess: float) -> float:
    calls = found.new_calls + found.old_calls
    if not found.new_calls or not found.old_calls:
        return 0.0
    new_rate = 1 - (1 - old_rate) * (1 - excess)
    common = (found.new_calls * new_rate + found.old_calls * old_rate) / calls
    return _log_likelihood(
        found.new_calls, found.new_events, new_rate, common
    ) + _log_likelihood(found.old_calls, found.old_events, old_rate, common)


def _log_likelihood(
    calls: int, hits: int, rate: float, common: float
) -> float:
    return hits * math.log(rate / common) + (calls - hits) * math.log(
        (1 - rate) / (1 - common)
    )
