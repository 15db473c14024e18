"""Check that good versions finish on time and bad ones are withdrawn."""

from collections.abc import Iterable
import concurrent.futures
import typing

from bench import rollout_cases
from bench import rollout_faults

__all__ = ["run", "summarize_results"]

QUICK_SEEDS = 4
FULL_SEEDS = 100
PROCESSES = 4
# The sequential test may miss a bad version with a probability of 1e-2.
TARGET = 0.99


def run(full: bool) -> dict[str, typing.Any]:
    """Simulate seeded rollouts of every kind.

    Parameters
    ----------
    full : bool
        Whether to run 100 seeds of each kind instead of 4.

    Returns
    -------
    dict
        The value is the share of rollouts that ended as expected;
        ``kinds`` has the figures of each kind.
    """
    seeds = FULL_SEEDS if full else QUICK_SEEDS
    kinds = (*rollout_faults.GOOD_KINDS, *rollout_faults.BAD_KINDS)
    jobs = [(kind, seed) for kind in kinds for seed in range(seeds)]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        results = list(pool.map(_simulate, jobs, chunksize=4))
    return summarize_results(results)


def summarize_results(
    results: Iterable[rollout_cases.Result],
) -> dict[str, typing.Any]:
    """Return the benchmark's result for simulated rollouts."""
    results = list(results)
    expected = [result for result in results if _ended_as_expected(result)]
    by_kind: dict[str, list[rollout_cases.Result]] = {}
    for result in results:
        by_kind.setdefault(result.kind, []).append(result)
    value = len(expected) / len(results)
    return {
        "name": "moves",
        "value": round(value, 5),
        "unit": "share of rollouts that ended as they must",
        "target": TARGET,
        "holds": value >= TARGET,
        "rollouts": len(results),
        "wrong": [
            {"kind": result.kind, "seed": result.seed, "reason": result.reason}
            for result in results
            if not _ended_as_expected(result)
        ],
        "kinds": {
            kind: _summarize_kind(kind_results)
            for kind, kind_results in by_kind.items()
        },
    }


def _simulate(job: tuple[str, int]) -> rollout_cases.Result:
    return rollout_cases.simulate(rollout_faults.make_case(*job))


def _ended_as_expected(result: rollout_cases.Result) -> bool:
    if result.bad:
        return result.state == "withdrawn"
    return result.state == "done" and result.on_time


def _summarize_kind(
    results: list[rollout_cases.Result],
) -> dict[str, typing.Any]:
    withdrawn = [result for result in results if result.state == "withdrawn"]
    summary: dict[str, typing.Any] = {
        "rollouts": len(results),
        "withdrawn": len(withdrawn),
    }
    if not results[0].bad:
        full_share_seconds = [
            result.full_at for result in results if result.full_at is not None
        ]
        summary["on_time"] = sum(result.on_time for result in results)
        summary["full_share_seconds"] = _quantiles(full_share_seconds)
        return summary
    faulty_calls = [result.faulty_calls for result in results]
    faulty_fractions = [
        result.faulty_calls / result.all_calls for result in results
    ]
    withdrawal_seconds = [
        result.seconds - result.fault_at
        for result in withdrawn
        if result.fault_at is not None
    ]
    summary["faulty_calls"] = _quantiles(faulty_calls)
    summary["faulty_share_of_calls"] = _quantiles(faulty_fractions)
    summary["withdrawn_after_seconds"] = _quantiles(withdrawal_seconds)
    return summary


def _quantiles(values: Iterable[float]) -> dict[str, float]:
    ordered = sorted(values)
    if not ordered:
        return {}
    last_index = len(ordered) - 1
    return {
        "median": round(ordered[last_index // 2], 5),
        "p95": round(ordered[int(0.95 * last_index)], 5),
        "max": round(ordered[-1], 5),
    }
