"""Report of a soak run: as text, and as a page with plots."""

from collections.abc import Iterable
from collections.abc import Sequence
from collections import Counter
import dataclasses
import html
import io
import json
import pathlib

from matplotlib import axes as plots
from matplotlib import figure

from soak import checks
from soak import schedule

__all__ = [
    "Outcome",
    "Second",
    "count_reasons",
    "count_seconds",
    "format_text",
    "percentile",
    "write_page",
]

KINDS = {True: "repeatable", False: "not repeatable"}
# Event of a request that this node refused or failed.
REQUEST_ENDED = 601


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What came of a run.

    Parameters
    ----------
    seed : int
        Of the faults.
    violations : tuple of checks.Violation
        Broken promises.
    answers : tuple of checks.Answer
        Of all callers.
    faults : tuple of schedule.Fault
        What was injected.
    started : float
        Monotonic time of the load's start, in seconds.
    reasons : Counter
        Refusals and failures by the reason that the nodes logged; their
        lines are bounded, so these are the least.
    """

    seed: int
    violations: tuple[checks.Violation, ...]
    answers: tuple[checks.Answer, ...] = ()
    faults: tuple[schedule.Fault, ...] = ()
    started: float = 0.0
    reasons: Counter[str] = dataclasses.field(default_factory=Counter)

    def statuses(self) -> Counter[int]:
        """Return the number of answers by status; 0 is none."""
        return Counter(answer.status for answer in self.answers)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Second:
    """Requests that were sent in one second."""

    at: int
    served: int
    refused: int
    failed: int


def count_reasons(logs: Iterable[pathlib.Path]) -> Counter[str]:
    """Return refusals and failures by reason, from the nodes' logs."""
    found: Counter[str] = Counter()
    for path in logs:
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                # A killed process may leave half a line.
                continue
            if entry.get("event") == REQUEST_ENDED:
                found[f"{entry['outcome']}: {entry['reason']}"] += 1
    return found


def count_seconds(outcome: Outcome) -> tuple[Second, ...]:
    """Return what became of the requests of each second of the run."""
    counts: dict[int, Counter[str]] = {}
    for answer in outcome.answers:
        at = int(answer.sent - outcome.started)
        counts.setdefault(at, Counter())[_name_end(answer)] += 1
    return tuple(
        Second(
            at=at,
            served=counts[at]["served"],
            refused=counts[at]["refused"],
            failed=counts[at]["failed"],
        )
        for at in sorted(counts)
    )


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile by the nearest rank; 0 without values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = max(int(len(ordered) * percent / 100.0 + 0.5), 1)
    return ordered[min(rank, len(ordered)) - 1]


def format_text(outcome: Outcome) -> str:
    """Return the report as text."""
    verdict = "BROKEN" if outcome.violations else "held"
    lines = [f"seed {outcome.seed}: {verdict}"]
    lines += [f"  {v.promise}: {v.detail}" for v in outcome.violations]
    for idempotent, kind in KINDS.items():
        own = [a for a in outcome.answers if a.idempotent is idempotent]
        ends = Counter(map(_name_end, own))
        times = _served_ms(own)
        lines.append(
            f"{kind}: {len(own)} requests, {ends['served']} served, "
            f"{ends['refused']} refused, {ends['failed']} failed; "
            f"p50 {percentile(times, 50):.0f} ms, "
            f"p99 {percentile(times, 99):.0f} ms"
        )
    for reason, count in outcome.reasons.most_common():
        lines.append(f"{reason}: {count}")
    for fault in outcome.faults:
        where = f" at n{fault.node}" if fault.node >= 0 else ""
        lines.append(
            f"{fault.at:5.1f} s  {fault.kind}{where} "
            f"for {fault.seconds:.1f} s"
        )
    return "\n".join(lines)


def write_page(outcome: Outcome, path: pathlib.Path) -> None:
    """Write the report as one HTML page with plots.

    Raises
    ------
    OSError
        The page cannot be written.
    """
    title = f"Soak, seed {outcome.seed}"
    path.write_text(
        "<!DOCTYPE html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
        f"</head><body><h1>{title}</h1>\n"
        f"{_draw(outcome)}\n"
        f"<pre>{html.escape(format_text(outcome))}</pre>\n"
        "</body></html>\n",
        encoding="utf-8",
    )


def _name_end(answer: checks.Answer) -> str:
    if 200 <= answer.status < 300:
        return "served"
    if answer.status in checks.NOT_RUN_STATUSES:
        return "refused"
    return "failed"


def _served_ms(answers: Iterable[checks.Answer]) -> list[float]:
    return [
        (answer.ended - answer.sent) * 1000.0
        for answer in answers
        if _name_end(answer) == "served"
    ]


def _draw(outcome: Outcome) -> str:
    """Return the plots as SVG."""
    drawing = figure.Figure(figsize=(11, 13), layout="constrained")
    ends, latency, faults, reasons = drawing.subplots(4, 1)
    _draw_ends(ends, count_seconds(outcome))
    _draw_latency(latency, outcome)
    _draw_faults(faults, outcome.faults)
    faults.sharex(ends)
    latency.sharex(ends)
    _draw_reasons(reasons, outcome.reasons)
    output = io.StringIO()
    drawing.savefig(output, format="svg")
    svg = output.getvalue()
    return svg[svg.index("<svg") :]


def _draw_ends(axes: plots.Axes, seconds: Sequence[Second]) -> None:
    at = [second.at for second in seconds]
    below = [0] * len(seconds)
    for name, colour in (
        ("served", "tab:green"),
        ("refused", "tab:orange"),
        ("failed", "tab:red"),
    ):
        values = [getattr(second, name) for second in seconds]
        axes.bar(
            at, values, 1.0, below, align="edge", color=colour, label=name
        )
        below = [low + value for low, value in zip(below, values)]
    axes.set(title="Requests by second", ylabel="requests")
    axes.legend()


def _draw_latency(axes: plots.Axes, outcome: Outcome) -> None:
    for idempotent, kind in KINDS.items():
        by_second: dict[int, list[checks.Answer]] = {}
        for answer in outcome.answers:
            if answer.idempotent is idempotent:
                at = int(answer.sent - outcome.started)
                by_second.setdefault(at, []).append(answer)
        at = sorted(by_second)
        for percent, style in ((50, "-"), (99, ":")):
            values = [
                percentile(_served_ms(by_second[s]), percent) for s in at
            ]
            axes.plot(at, values, style, label=f"{kind}, p{percent}")
    axes.set(title="Latency of served requests", ylabel="ms")
    axes.legend()


def _draw_faults(axes: plots.Axes, faults: Sequence[schedule.Fault]) -> None:
    for row, fault in enumerate(faults):
        axes.barh(row, max(fault.seconds, 0.1), left=fault.at, color="tab:red")
    axes.set(title="Faults", xlabel="seconds since the start of the load")
    labels = [
        f"{f.kind} n{f.node}" if f.node >= 0 else str(f.kind) for f in faults
    ]
    axes.set_yticks(range(len(faults)), labels, fontsize=7)


def _draw_reasons(axes: plots.Axes, reasons: Counter[str]) -> None:
    names = [name for name, _ in reasons.most_common()]
    axes.barh(names, [reasons[name] for name in names])
    axes.set(title="Refusals and failures by reason", xlabel="requests")
