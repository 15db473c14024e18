"""Write the recorded traces that tests/rollout/test_traces.py replays.

The kind of a trace determines its outcome. A simulation that ends otherwise
is an error and its trace is not written.
"""

import argparse
import json
import pathlib
import typing

from bench import rollout_cases
from bench import rollout_faults

__all__ = ["main", "write_trace"]

FOLDER = pathlib.Path(__file__).parent.parent / "traces"
SEED = 8


def write_trace(folder: pathlib.Path, kind: str) -> None:
    """Write ``rollout-<kind>.jsonl``.

    Raises
    ------
    RuntimeError
        The simulation does not end as expected for its kind.
    """
    case = rollout_faults.make_case(
        kind,
        SEED,
        calls_per_second=60.0,
        servers=2,
        finish_seconds=90.0,
        base_failure_rate=0.001,
        latency_sigma=0.3,
        bake_seconds=30.0,
    )
    expected = "withdrawn" if case.bad else "done"
    events: list[dict[str, typing.Any]] = []
    result = rollout_cases.simulate(case, record=events.append)
    if result.state != expected:
        raise RuntimeError(
            f"rollout {kind} ended {result.state}, not {expected}"
        )
    outcome = {"event": "outcome", "state": expected, "kind": kind}
    lines = [
        json.dumps(event, separators=(",", ":"))
        for event in (*_drop_unchanged_counts(events), outcome)
    ]
    path = folder / f"rollout-{kind}.jsonl"
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def _drop_unchanged_counts(
    events: list[dict[str, typing.Any]],
) -> list[dict[str, typing.Any]]:
    """Drop counts that have not changed since the previous report."""
    reported: dict[tuple[typing.Any, ...], typing.Any] = {}
    kept = []
    for event in events:
        if event["event"] == "evidence":
            counts = [
                entry
                for entry in event["counts"]
                if reported.get(entry[:4]) != entry
            ]
            reported.update({entry[:4]: entry for entry in counts})
            if not counts:
                continue
            event = {**event, "counts": counts}
        kept.append(event)
    return kept


def main() -> int:
    """Write the trace of every kind."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=pathlib.Path, default=FOLDER)
    options = parser.parse_args()
    options.folder.mkdir(exist_ok=True)
    for kind in (*rollout_faults.GOOD_KINDS, *rollout_faults.BAD_KINDS):
        write_trace(options.folder, kind)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
