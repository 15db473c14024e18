"""Run the whole path against the stand-ins: ``python -m demo``."""

import sys
import time

from demo import outcomes
from demo import steps
from demo import world

__all__ = ["main"]


def main() -> int:
    """Run all steps.

    Returns
    -------
    int
        0 only if every outcome holds.
    """
    started = time.monotonic()
    seen: list[outcomes.Outcome] = []
    with world.open_world() as opened:
        for step in steps.STEPS:
            outcome = step(opened)
            print("." if outcome.holds else "F", end="", flush=True)
            seen.append(outcome)
    outcomes.print_table(seen)
    print(f"total {time.monotonic() - started:.0f} s")
    return 0 if all(outcome.holds for outcome in seen) else 1


if __name__ == "__main__":
    sys.exit(main())
