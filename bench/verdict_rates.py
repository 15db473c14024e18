"""Measure the error rates of the sequential test of a rollout.

Each run is one test over `SLICES_PER_TEST` slices of one second. If both
versions fail alike, an alarm is a false alarm; if the new version fails more
often by `EXCESS_FAILURE_RATE`, a run without an alarm is a miss.
"""

import concurrent.futures
import random
import typing

from apricotpost.rollout import route_trials
from apricotpost.rollout import sequential

__all__ = ["run"]

QUICK_RUNS = 100
FULL_RUNS = 2000
PROCESSES = 4
SLICES_PER_TEST = 100
CALLS_PER_SLICE = 80
SHARES = (10, 50, 250, 500, 980)
RATES = (0.0, 0.01, 0.1, 0.5)
# Probability that a call fails only in the new version.
EXCESS_FAILURE_RATE = 0.3
# A run tests four alternatives without a restart and may raise a false alarm
# at this rate. The lower bound of the statistic, `sequential.FLOOR`, adds less
# than the same rate again.
TARGET = 2 * sequential.FALSE_ALARM_RATE


def run(full: bool) -> dict[str, typing.Any]:
    """Measure false alarms and misses over seeded runs.

    Parameters
    ----------
    full : bool
        Whether to do 2000 runs of each combination of share and rate
        instead of 100.
    """
    runs = FULL_RUNS if full else QUICK_RUNS
    jobs = [
        (share, rate, excess, runs)
        for excess in (0.0, EXCESS_FAILURE_RATE)
        for share in SHARES
        for rate in RATES
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        measured = list(pool.map(_measure, jobs))
    without_excess = [entry for entry in measured if not entry["excess"]]
    with_excess = [entry for entry in measured if entry["excess"]]
    alarms = sum(entry["alarms"] for entry in without_excess)
    tests = runs * len(without_excess)
    return {
        "name": "false alarms of a verdict",
        "value": alarms / tests,
        "unit": "alarms per test of 100 s without a difference",
        "target": TARGET,
        "holds": alarms / tests <= TARGET,
        "runs": tests,
        "false_alarms": alarms,
        "misses": sum(runs - entry["alarms"] for entry in with_excess),
        "runs_with_excess": runs * len(with_excess),
        "by_share_and_rate": measured,
    }


def _measure(job: tuple[int, float, float, int]) -> dict[str, typing.Any]:
    share, rate, excess, runs = job
    results = [
        _run_test(random.Random(f"{job}-{seed}"), share, rate, excess)
        for seed in range(runs)
    ]
    calls_until_alarm = sorted(entry for entry in results if entry is not None)
    return {
        "share": share,
        "rate": rate,
        "excess": excess,
        "alarms": len(calls_until_alarm),
        "new_calls_median": (
            calls_until_alarm[len(calls_until_alarm) // 2]
            if calls_until_alarm
            else None
        ),
        "new_calls_max": calls_until_alarm[-1] if calls_until_alarm else None,
    }


def _run_test(
    rng: random.Random, share: int, rate: float, excess: float
) -> int | None:
    """Return the calls of the new version until the alarm, or None."""
    plan = route_trials.FAILURE_TEST
    test_state = sequential.start(plan)
    new_rate = 1 - (1 - rate) * (1 - excess)
    total_new_calls = 0
    for _ in range(SLICES_PER_TEST):
        new_calls = _binomial(rng, CALLS_PER_SLICE, share / 1000)
        old_calls = CALLS_PER_SLICE - new_calls
        total_new_calls += new_calls
        slice_counts = sequential.Slice(
            new_calls=new_calls,
            new_events=_binomial(rng, new_calls, new_rate),
            old_calls=old_calls,
            old_events=_binomial(rng, old_calls, rate),
        )
        test_state = sequential.update(test_state, plan, slice_counts)
        if sequential.evidence_level(test_state) >= sequential.ALARM_LEVEL:
            return total_new_calls
    return None


def _binomial(rng: random.Random, trials: int, probability: float) -> int:
    if not probability:
        return 0
    return sum(rng.random() < probability for _ in range(trials))
