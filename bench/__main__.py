"""Run benchmarks: ``python -m bench list|all|NAME [--json] [--full]``."""

import argparse
import importlib
import json
import pathlib
import sys
import typing

__all__ = ["BENCHMARKS", "main"]

BENCHMARKS = {
    "balance": "Load balancing compared with other policies.",
    "control_cost": "Bytes, processor time and memory of the control task.",
    "convergence": "Time until a change is in force on every node.",
    "data_centre_move": "Failed requests while a data centre is out.",
    "handover": "Latency between tasks: threads against asyncio.",
    "keyed_calls": "Cost of calls with an Idempotency-Key.",
    "moves": "Rollouts that finish on time or are withdrawn.",
    "overhead": "Latency and processor time that nodes add to a call.",
    "placement": "Policies of placing under load, by what callers get.",
    "restart_storm": "Table reads and messages when a data centre restarts.",
    "sidecar_overhead": "Latency that two event-loop nodes add to a call.",
    "state_at_target": "Memory and processor time of 1,200 instance records.",
    "verdict_rates": "False alarms and misses of the sequential test.",
}
BASELINE = pathlib.Path(__file__).with_name("baseline.json")

Result = dict[str, typing.Any]


def main(arguments: list[str] | None = None) -> int:
    """Run the command line.

    Returns
    -------
    int
        0 if every benchmark meets its target, otherwise 1.
    """
    parser = argparse.ArgumentParser(prog="python -m bench")
    parser.add_argument("name", choices=["list", "all", *BENCHMARKS])
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--full", action="store_true", help="larger fleets or longer runs"
    )
    options = parser.parse_args(arguments)
    if options.name == "list":
        for name, description in BENCHMARKS.items():
            print(f"{name:18} {description}")
        return 0
    names = list(BENCHMARKS) if options.name == "all" else [options.name]
    results = [run_benchmark(name, options.full) for name in names]
    if options.json:
        for result in results:
            print(json.dumps(result))
    else:
        _print_table(results)
    return 0 if all(result["holds"] for result in results) else 1


def run_benchmark(name: str, full: bool) -> Result:
    """Run one benchmark and compare it with its target and its baseline."""
    module = importlib.import_module(f"bench.{name}")
    result: Result = {**module.run(full), "name": name}
    baseline = json.loads(BASELINE.read_text()).get(name)
    if baseline is not None and not full:
        # A value above the baseline times its factor is a regression.
        limit = baseline["value"] * baseline["factor"]
        result["regression_limit"] = limit
        result["regressed"] = result["value"] > limit
    return result


def _print_table(results: list[Result]) -> None:
    print(f"{'name':36} {'value':>12} {'unit':10} {'target':>12} holds")
    for result in results:
        for row in result.get("rows", [result]):
            _print_row({**row, "regressed": result.get("regressed")})


def _print_row(row: Result) -> None:
    if row["target"] is None:
        print(f"{row['name']:36} {row['value']:12.4g} {row['unit']}")
        return
    status = "yes" if row["holds"] else "NO"
    if row["regressed"]:
        status += ", worse than the baseline"
    print(
        f"{row['name']:36} {row['value']:12.4g} {row['unit']:10} "
        f"{row['target']:12.4g} {status}"
    )


if __name__ == "__main__":
    sys.exit(main())
