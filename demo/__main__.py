"""Run the demo against the stand-ins: ``python -m demo``."""

import sys
import time

from demo import environment
from demo import outcomes
from demo import steps

__all__ = ["main"]


def main() -> int:
    """Run all steps of the demo.

    Returns
    -------
    int
        0 if every outcome is as expected, otherwise 1.
    """
    started_at = time.monotonic()
    results: list[outcomes.Outcome] = []
    with environment.open_environment() as running:
        for step in steps.STEPS:
            outcome = step(running)
            print("." if outcome.holds else "F", end="", flush=True)
            results.append(outcome)
    outcomes.print_table(results)
    print(f"total {time.monotonic() - started_at:.0f} s")
    return 0 if all(outcome.holds for outcome in results) else 1


if __name__ == "__main__":
    sys.exit(main())
