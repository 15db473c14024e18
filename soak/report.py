"""Report of a soak run, as text and as an HTML page with plots."""

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
    "RunResult",
    "SecondCounts",
    "count_by_second",
    "count_reasons",
    "format_text",
    "percentile",
    "write_page",
]

ROUTE_KINDS = {True: "repeatable", False: "not repeatable"}
# Number of the log event of a request that a node refused or failed.
REQUEST_ENDED = 601


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RunResult:
    """Result of one soak run.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    violations : tuple of checks.Violation
        Broken promises.
    results : tuple of checks.CallResult
        Results of the requests of all callers.
    faults : tuple of schedule.Fault
        Injected faults.
    started_at : float
        Monotonic time of the start of the load, in seconds.
    reasons : Counter
        Refusals and failures by logged reason. These are lower bounds, since
        nodes limit their log lines.
    """

    seed: int
    violations: tuple[checks.Violation, ...]
    results: tuple[checks.CallResult, ...] = ()
    faults: tuple[schedule.Fault, ...] = ()
    started_at: float = 0.0
    reasons: Counter[str] = dataclasses.field(default_factory=Counter)

    def count_statuses(self) -> Counter[int]:
        """Count the results by HTTP status; 0 stands for no response."""
        return Counter(result.status for result in self.results)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SecondCounts:
    """Outcomes of the requests sent in one second of the run."""

    second_index: int
    served: int
    refused: int
    failed: int


def count_reasons(logs: Iterable[pathlib.Path]) -> Counter[str]:
    """Count refusals and failures by reason, from the nodes' logs."""
    counts: Counter[str] = Counter()
    for path in logs:
        for line in path.read_text(encoding="utf-8").splitlines():
            try:
                record = json.loads(line)
            except ValueError:
                # The last line of a killed process may be incomplete.
                continue
            if record.get("event") == REQUEST_ENDED:
                counts[f"{record['outcome']}: {record['reason']}"] += 1
    return counts


def count_by_second(run_result: RunResult) -> tuple[SecondCounts, ...]:
    """Count the outcomes of the requests sent in each second of the run."""
    counts: dict[int, Counter[str]] = {}
    for result in run_result.results:
        second_index = int(result.sent - run_result.started_at)
        counts.setdefault(second_index, Counter())[_classify(result)] += 1
    return tuple(
        SecondCounts(
            second_index=second_index,
            served=counts[second_index]["served"],
            refused=counts[second_index]["refused"],
            failed=counts[second_index]["failed"],
        )
        for second_index in sorted(counts)
    )


def percentile(values: Iterable[float], percent: float) -> float:
    """Return a percentile by nearest rank, or 0 if there are no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    rank = max(int(len(ordered) * percent / 100.0 + 0.5), 1)
    return ordered[min(rank, len(ordered)) - 1]


def format_text(run_result: RunResult) -> str:
    """Return the report as text."""
    verdict = "BROKEN" if run_result.violations else "held"
    lines = [f"seed {run_result.seed}: {verdict}"]
    lines += [f"  {v.promise}: {v.detail}" for v in run_result.violations]
    for idempotent, kind in ROUTE_KINDS.items():
        kind_results = [
            result
            for result in run_result.results
            if result.idempotent is idempotent
        ]
        outcomes = Counter(map(_classify, kind_results))
        latencies_ms = _list_served_ms(kind_results)
        lines.append(
            f"{kind}: {len(kind_results)} requests, "
            f"{outcomes['served']} served, "
            f"{outcomes['refused']} refused, {outcomes['failed']} failed; "
            f"p50 {percentile(latencies_ms, 50):.0f} ms, "
            f"p99 {percentile(latencies_ms, 99):.0f} ms"
        )
    for reason, count in run_result.reasons.most_common():
        lines.append(f"{reason}: {count}")
    for fault in run_result.faults:
        location = f" at n{fault.node}" if fault.node >= 0 else ""
        lines.append(
            f"{fault.starts_at:5.1f} s  {fault.kind}{location} "
            f"for {fault.duration_seconds:.1f} s"
        )
    return "\n".join(lines)


def write_page(run_result: RunResult, path: pathlib.Path) -> None:
    """Write the report as one HTML page with plots.

    Raises
    ------
    OSError
        The page cannot be written.
    """
    title = f"Soak, seed {run_result.seed}"
    path.write_text(
        "<!DOCTYPE html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{title}</title>'
        f"</head><body><h1>{title}</h1>\n"
        f"{_plot(run_result)}\n"
        f"<pre>{html.escape(format_text(run_result))}</pre>\n"
        "</body></html>\n",
        encoding="utf-8",
    )


def _classify(result: checks.CallResult) -> str:
    if 200 <= result.status < 300:
        return "served"
    if result.status in checks.NOT_RUN_STATUSES:
        return "refused"
    return "failed"


def _list_served_ms(results: Iterable[checks.CallResult]) -> list[float]:
    return [
        (result.ended - result.sent) * 1000.0
        for result in results
        if _classify(result) == "served"
    ]


def _plot(run_result: RunResult) -> str:
    """Return the plots as SVG."""
    plot_figure = figure.Figure(figsize=(11, 13), layout="constrained")
    outcome_axes, latency_axes, fault_axes, reason_axes = plot_figure.subplots(
        4, 1
    )
    _plot_outcomes(outcome_axes, count_by_second(run_result))
    _plot_latency(latency_axes, run_result)
    _plot_faults(fault_axes, run_result.faults)
    fault_axes.sharex(outcome_axes)
    latency_axes.sharex(outcome_axes)
    _plot_reasons(reason_axes, run_result.reasons)
    output = io.StringIO()
    plot_figure.savefig(output, format="svg")
    svg = output.getvalue()
    return svg[svg.index("<svg") :]


def _plot_outcomes(axes: plots.Axes, seconds: Sequence[SecondCounts]) -> None:
    second_indexes = [second.second_index for second in seconds]
    bar_bottoms = [0] * len(seconds)
    for name, colour in (
        ("served", "tab:green"),
        ("refused", "tab:orange"),
        ("failed", "tab:red"),
    ):
        values = [getattr(second, name) for second in seconds]
        axes.bar(
            second_indexes,
            values,
            1.0,
            bar_bottoms,
            align="edge",
            color=colour,
            label=name,
        )
        bar_bottoms = [
            bottom + value for bottom, value in zip(bar_bottoms, values)
        ]
    axes.set(title="Requests by second", ylabel="requests")
    axes.legend()


def _plot_latency(axes: plots.Axes, run_result: RunResult) -> None:
    for idempotent, kind in ROUTE_KINDS.items():
        by_second: dict[int, list[checks.CallResult]] = {}
        for result in run_result.results:
            if result.idempotent is idempotent:
                second_index = int(result.sent - run_result.started_at)
                by_second.setdefault(second_index, []).append(result)
        second_indexes = sorted(by_second)
        for percent, style in ((50, "-"), (99, ":")):
            values = [
                percentile(_list_served_ms(by_second[s]), percent)
                for s in second_indexes
            ]
            axes.plot(
                second_indexes, values, style, label=f"{kind}, p{percent}"
            )
    axes.set(title="Latency of served requests", ylabel="ms")
    axes.legend()


def _plot_faults(axes: plots.Axes, faults: Sequence[schedule.Fault]) -> None:
    for row, fault in enumerate(faults):
        axes.barh(
            row,
            max(fault.duration_seconds, 0.1),
            left=fault.starts_at,
            color="tab:red",
        )
    axes.set(title="Faults", xlabel="seconds since the start of the load")
    labels = [
        f"{f.kind} n{f.node}" if f.node >= 0 else str(f.kind) for f in faults
    ]
    axes.set_yticks(range(len(faults)), labels, fontsize=7)


def _plot_reasons(axes: plots.Axes, reasons: Counter[str]) -> None:
    names = [name for name, _ in reasons.most_common()]
    axes.barh(names, [reasons[name] for name in names])
    axes.set(title="Refusals and failures by reason", xlabel="requests")
