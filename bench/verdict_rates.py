"""Measures the error rates of the sequential test itself.

Each run is one test over `SLICES` slices of one second. Without a difference
an alarm is false; with the stated excess a run without an alarm is a miss.
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
SLICES = 100
CALLS_PER_SLICE = 80
SHARES = (10, 50, 250, 500, 980)
RATES = (0.0, 0.01, 0.1, 0.5)
# Excess probability of a failure in a call of the new version.
EXCESS = 0.3
# Each run tests four alternatives and restarts nothing; one run may raise a
# false alarm with the stated rate, and the floor adds less than as much.
TARGET = 2 * sequential.FALSE_ALARM_RATE


def run(full: bool) -> dict[str, typing.Any]:
    """Measure false alarms and misses over seeded runs.

    Parameters
    ----------
    full : bool
        Whether to do all runs of each combination of share and rate.
    """
    runs = FULL_RUNS if full else QUICK_RUNS
    jobs = [
        (share, rate, excess, runs)
        for excess in (0.0, EXCESS)
        for share in SHARES
        for rate in RATES
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        found = list(pool.map(_measure, jobs))
    null = [entry for entry in found if not entry["excess"]]
    worse = [entry for entry in found if entry["excess"]]
    alarms = sum(entry["alarms"] for entry in null)
    total = runs * len(null)
    return {
        "name": "false alarms of a verdict",
        "value": alarms / total,
        "unit": "alarms per test of 100 s without a difference",
        "target": TARGET,
        "holds": alarms / total <= TARGET,
        "runs": total,
        "false_alarms": alarms,
        "misses": sum(runs - entry["alarms"] for entry in worse),
        "runs_with_excess": runs * len(worse),
        "by_share_and_rate": found,
    }


def _measure(job: tuple[int, float, float, int]) -> dict[str, typing.Any]:
    share, rate, excess, runs = job
    calls = [
        _run_test(random.Random(f"{job}-{seed}"), share, rate, excess)
        for seed in range(runs)
    ]
    until = sorted(entry for entry in calls if entry is not None)
    return {
        "share": share,
        "rate": rate,
        "excess": excess,
        "alarms": len(until),
        "new_calls_median": until[len(until) // 2] if until else None,
        "new_calls_max": until[-1] if until else None,
    }


def _run_test(
    rng: random.Random, share: int, rate: float, excess: float
) -> int | None:
    """Return the calls of the new version until the alarm, if any."""
    plan = route_trials.FAILURES
    test = sequential.start(plan)
    new_rate = 1 - (1 - rate) * (1 - excess)
    total = 0
    for _ in range(SLICES):
        new_calls = _binomial(rng, CALLS_PER_SLICE, share / 1000)
        old_calls = CALLS_PER_SLICE - new_calls
        total += new_calls
        found = sequential.Slice(
            new_calls=new_calls,
            new_events=_binomial(rng, new_calls, new_rate),
            old_calls=old_calls,
            old_events=_binomial(rng, old_calls, rate),
        )
        test = sequential.update(test, plan, found)
        if sequential.level(test) >= sequential.ALARM:
            return total
    return None


def _binomial(rng: random.Random, number: int, probability: float) -> int:
    if not probability:
        return 0
    return sum(rng.random() < probability for _ in range(number))
