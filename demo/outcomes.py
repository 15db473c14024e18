"""Outcomes of the steps of the demo, and their table."""

import dataclasses

__all__ = ["Outcome", "print_table"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """Outcome of one step.

    Parameters
    ----------
    name : str
        Action of the step.
    expected, seen : str
        Expected and observed result, as text.
    holds : bool
        Whether the observed result is as expected.
    seconds : float
        Duration of the step.
    """

    name: str
    expected: str
    seen: str
    holds: bool
    seconds: float


def print_table(outcomes: list[Outcome]) -> None:
    """Print a block for each outcome and a summary line."""
    print()
    for outcome in outcomes:
        label = "ok  " if outcome.holds else "FAIL"
        print(f"{label} {outcome.name} ({outcome.seconds:.1f} s)")
        print(f"       expected: {outcome.expected}")
        print(f"       seen:     {outcome.seen}")
    as_expected = sum(outcome.holds for outcome in outcomes)
    print(f"\n{as_expected} of {len(outcomes)} outcomes hold")
