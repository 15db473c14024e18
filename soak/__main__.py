"""Run the soak: ``python -m soak [--seeds N | --seed S] [--seconds S]``.

Examples
--------
Fifty seeds from 1::

    python -m soak --seeds 50

A single seed, keeping the logs of its processes::

    python -m soak --seed 17 --keep out/soak-17

The same seed with a report as text and as an HTML page with plots::

    python -m soak --seed 17 --report out/soak-17.html
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import sys
import tempfile
import time

from soak import checks
from soak import faults
from soak import fleets
from soak import report
from soak import schedule
from standins import mesh

__all__ = ["main", "run_seed"]

DEFAULT_SECONDS = 20.0
DEFAULT_NODES = 8
# Loopback networks, of which concurrent runs use different ones.
LOOPBACK_NETWORKS = 250
BOUNDS = checks.Bounds()


async def run_seed(
    *, seed: int, seconds: float, nodes: int, folder: pathlib.Path
) -> report.RunResult:
    """Run the soak with one seed.

    Parameters
    ----------
    seed : int
        Seed of the schedule of faults.
    seconds : float
        Duration of the load.
    nodes : int
        Number of nodes. Each is a process.
    folder : pathlib.Path
        Directory of the settings and logs.

    Returns
    -------
    report.RunResult
        Broken promises, results of the requests, and faults.
    """
    drawn_faults = schedule.draw(seed=seed, seconds=seconds, nodes=nodes)
    network = 1 + os.getpid() % LOOPBACK_NETWORKS
    fleet = fleets.Fleet(folder=folder, network=network)
    try:
        try:
            await fleet.start(nodes)
        except TimeoutError:
            detail = f"not ready within {mesh.START_SECONDS} s"
            start_failure = checks.Violation(promise="start", detail=detail)
            return report.RunResult(seed=seed, violations=(start_failure,))
        load_started_at = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in drawn_faults:
                group.create_task(
                    faults.inject(
                        fleet, fault, load_started_at=load_started_at
                    )
                )
        # Nodes that were restarted last need some time until they serve.
        await asyncio.sleep(schedule.RECOVERY_SECONDS / 2)
        recovery_since = time.monotonic()
        await asyncio.sleep(schedule.RECOVERY_SECONDS / 2)
        fleet.load_stopped = True
        await asyncio.sleep(fleets.DEADLINE_MS / 1000 + 1.2)
        versions = await fleet.read_configurations()
        results = tuple(fleet.results.values())
        executions = fleet.executions()
        violations = [
            *checks.check_executions(fleet.results, executions),
            *checks.check_integrity(results),
            *checks.check_configurations(results),
            *checks.check_in_force(versions, fleet.config_version),
            *checks.check_exclusions(executions, fleet.exclusions),
            *checks.check_exposure(executions, fleet.rollouts, BOUNDS),
            *checks.check_budget(
                executions,
                {
                    backend.identifier: backend.service
                    for backend in fleet.backends
                },
                BOUNDS,
            ),
            *checks.check_recovery(
                results, since=recovery_since, min_ratio=BOUNDS.recovery_ratio
            ),
            *fleet.check_resources(),
        ]
        return report.RunResult(
            seed=seed,
            violations=tuple(violations),
            results=results,
            faults=drawn_faults,
            started_at=load_started_at,
            reasons=report.count_reasons(
                instance.node.log_path for instance in fleet.instances
            ),
        )
    finally:
        await fleet.close()


def main(arguments: list[str] | None = None) -> int:
    """Run the soak with the given command-line arguments.

    Returns
    -------
    int
        0 if no promise was broken in any run, else 1.
    """
    parser = argparse.ArgumentParser(
        prog="python -m soak", description="Randomized soak with faults."
    )
    parser.add_argument("--seeds", type=int, default=1, help="number of runs")
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS)
    parser.add_argument("--nodes", type=int, default=DEFAULT_NODES)
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder for settings and logs"
    )
    parser.add_argument(
        "--report",
        type=pathlib.Path,
        help="HTML page to write; a text report is printed, too. With "
        "several seeds it shows the last one.",
    )
    options = parser.parse_args(arguments)
    broken_runs = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with contextlib.ExitStack() as stack:
            folder = options.keep
            if folder is None:
                folder = pathlib.Path(
                    stack.enter_context(tempfile.TemporaryDirectory())
                )
            folder = folder / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            run_result = asyncio.run(
                run_seed(
                    seed=seed,
                    seconds=options.seconds,
                    nodes=options.nodes,
                    folder=folder,
                )
            )
        broken_runs += bool(run_result.violations)
        verdict = "BROKEN" if run_result.violations else "held"
        statuses = dict(run_result.count_statuses())
        print(f"seed {seed}: {verdict}, answers {statuses}", flush=True)
        for violation in run_result.violations:
            print(f"  {violation.promise}: {violation.detail}", flush=True)
        if options.report is not None:
            print(report.format_text(run_result), flush=True)
            report.write_page(run_result, options.report)
    print(f"{options.seeds} runs, {broken_runs} with a broken promise")
    return 1 if broken_runs else 0


if __name__ == "__main__":
    sys.exit(main())
