"""Outcomes of the demo: what was expected, what was seen, how long."""

import dataclasses

__all__ = ["Outcome", "print_table"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """One outcome of the demo.

    Parameters
    ----------
    name : str
        What was done.
    expected, seen : str
        In words.
    holds : bool
        Whether what was seen is what was expected.
    seconds : float
        How long it took.
    """

    name: str
    expected: str
    seen: str
    holds: bool
    seconds: float


def print_table(outcomes: list[Outcome]) -> None:
    """Print one block per outcome and a summary line."""
    print()
    for outcome in outcomes:
        mark = "ok  " if outcome.holds else "FAIL"
        print(f"{mark} {outcome.name} ({outcome.seconds:.1f} s)")
        print(f"       expected: {outcome.expected}")
        print(f"       seen:     {outcome.seen}")
    good = sum(outcome.holds for outcome in outcomes)
    print(f"\n{good} of {len(outcomes)} outcomes hold")
