"""Benchmark of rollouts: good versions on time, bad ones withdrawn."""

from collections.abc import Iterable
import concurrent.futures
import typing

from bench import rollout_cases
from bench import rollout_faults

__all__ = ["figures_of", "run"]

QUICK_SEEDS = 4
FULL_SEEDS = 100
PROCESSES = 4
# Follows from the stated miss rate of a bad version, 1e-2.
TARGET = 0.99


def run(full: bool) -> dict[str, typing.Any]:
    """Play seeded rollouts of every kind.

    Parameters
    ----------
    full : bool
        Whether to play all seeds rather than a few of each kind.

    Returns
    -------
    dict
        Share of rollouts that ended as they must, and figures by kind.
    """
    seeds = FULL_SEEDS if full else QUICK_SEEDS
    kinds = (*rollout_faults.GOOD_KINDS, *rollout_faults.BAD_KINDS)
    jobs = [(kind, seed) for kind in kinds for seed in range(seeds)]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(_play, jobs, chunksize=4))
    return figures_of(results)


def figures_of(
    results: Iterable[rollout_cases.Result],
) -> dict[str, typing.Any]:
    """Summarize results."""
    results = list(results)
    right = [entry for entry in results if _is_right(entry)]
    by_kind: dict[str, list[rollout_cases.Result]] = {}
    for entry in results:
        by_kind.setdefault(entry.kind, []).append(entry)
    value = len(right) / len(results)
    return {
        "name": "moves",
        "value": round(value, 5),
        "unit": "share of rollouts that ended as they must",
        "target": TARGET,
        "holds": value >= TARGET,
        "rollouts": len(results),
        "wrong": [
            {"kind": entry.kind, "seed": entry.seed, "reason": entry.reason}
            for entry in results
            if not _is_right(entry)
        ],
        "kinds": {kind: _summary(found) for kind, found in by_kind.items()},
    }


def _play(job: tuple[str, int]) -> rollout_cases.Result:
    return rollout_cases.play(rollout_faults.make_case(*job))


def _is_right(entry: rollout_cases.Result) -> bool:
    if entry.bad:
        return entry.state == "withdrawn"
    return entry.state == "done" and entry.on_time


def _summary(found: list[rollout_cases.Result]) -> dict[str, typing.Any]:
    withdrawn = [entry for entry in found if entry.state == "withdrawn"]
    summary: dict[str, typing.Any] = {
        "rollouts": len(found),
        "withdrawn": len(withdrawn),
    }
    if not found[0].bad:
        full = [entry.full_at for entry in found if entry.full_at is not None]
        summary["on_time"] = sum(entry.on_time for entry in found)
        summary["full_share_seconds"] = _quantiles(full)
        return summary
    calls = [entry.faulty_calls for entry in found]
    shares = [entry.faulty_calls / entry.all_calls for entry in found]
    delays = [
        entry.seconds - entry.fault_at
        for entry in withdrawn
        if entry.fault_at is not None
    ]
    summary["faulty_calls"] = _quantiles(calls)
    summary["faulty_share_of_calls"] = _quantiles(shares)
    summary["withdrawn_after_seconds"] = _quantiles(delays)
    return summary


def _quantiles(values: Iterable[float]) -> dict[str, float]:
    ordered = sorted(values)
    if not ordered:
        return {}
    last = len(ordered) - 1
    return {
        "median": round(ordered[last // 2], 5),
        "p95": round(ordered[int(0.95 * last)], 5),
        "max": round(ordered[-1], 5),
    }
