"""Run the soak: ``python -m soak [--seeds N | --seed S] [--seconds S]``.

Examples
--------
Fifty seeds from 1::

    python -m soak --seeds 50

One seed again, with the logs of its processes kept::

    python -m soak --seed 17 --keep out/soak-17

Its report as text and as a page with plots::

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
from soak import report
from soak import schedule
from soak import world
from standins import mesh

__all__ = ["main", "run_seed"]

DEFAULT_SECONDS = 20.0
DEFAULT_NODES = 8
# Loopback networks for runs at the same time.
NETWORKS = 250
BOUNDS = checks.Bounds()


async def run_seed(
    *, seed: int, seconds: float, nodes: int, folder: pathlib.Path
) -> report.Outcome:
    """Run one seed.

    Parameters
    ----------
    seed : int
        Draws the faults.
    seconds : float
        Length of the load.
    nodes : int
        Number of nodes, each a process.
    folder : pathlib.Path
        For settings and logs.

    Returns
    -------
    report.Outcome
        Broken promises, answers and faults.
    """
    drawn = schedule.draw(seed=seed, seconds=seconds, nodes=nodes)
    network = 1 + os.getpid() % NETWORKS
    fleet = world.World(folder=folder, network=network)
    try:
        try:
            await fleet.start(nodes)
        except TimeoutError:
            detail = f"not ready within {mesh.START_SECONDS} s"
            failed = checks.Violation(promise="start", detail=detail)
            return report.Outcome(seed=seed, violations=(failed,))
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in drawn:
                group.create_task(faults.inject(fleet, fault, started=started))
        # The processes that were stopped last need some time to start.
        await asyncio.sleep(schedule.RECOVERY_SECONDS / 2)
        calm = time.monotonic()
        await asyncio.sleep(schedule.RECOVERY_SECONDS / 2)
        fleet.stopped = True
        await asyncio.sleep(world.DEADLINE_MS / 1000 + 1.2)
        answers = tuple(fleet.answers.values())
        runs = fleet.runs()
        found = [
            *checks.check_runs(fleet.answers, runs),
            *checks.check_answers(answers),
            *checks.check_configurations(answers),
            *checks.check_departures(runs, fleet.departures),
            *checks.check_exposure(runs, fleet.rollouts, BOUNDS),
            *checks.check_recovery(
                answers, since=calm, share=BOUNDS.recovery_share
            ),
            *fleet.check_resources(),
        ]
        return report.Outcome(
            seed=seed,
            violations=tuple(found),
            answers=answers,
            faults=drawn,
            started=started,
            reasons=report.count_reasons(
                place.node.log for place in fleet.places
            ),
        )
    finally:
        await fleet.close()


def main(arguments: list[str] | None = None) -> int:
    """Run the command line.

    Returns
    -------
    int
        0 if every promise held in every run.
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
    broken = 0
    for seed in range(options.seed, options.seed + options.seeds):
        with contextlib.ExitStack() as stack:
            folder = options.keep
            if folder is None:
                folder = pathlib.Path(
                    stack.enter_context(tempfile.TemporaryDirectory())
                )
            folder = folder / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            outcome = asyncio.run(
                run_seed(
                    seed=seed,
                    seconds=options.seconds,
                    nodes=options.nodes,
                    folder=folder,
                )
            )
        broken += bool(outcome.violations)
        verdict = "BROKEN" if outcome.violations else "held"
        statuses = dict(outcome.statuses())
        print(f"seed {seed}: {verdict}, answers {statuses}", flush=True)
        for violation in outcome.violations:
            print(f"  {violation.promise}: {violation.detail}", flush=True)
        if options.report is not None:
            print(report.format_text(outcome), flush=True)
            report.write_page(outcome, options.report)
    print(f"{options.seeds} runs, {broken} with a broken promise")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
