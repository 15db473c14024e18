"""The report as text tables and as values for JSON."""

from collections.abc import Iterable
import typing

from apricotpost.ctl import tables
from apricotpost import model
from apricotpost.report import burn
from apricotpost.report import levels

__all__ = [
    "WINDOW_NAMES",
    "describe_report",
    "describe_objectives",
    "format_percent",
    "format_text",
]

WINDOW_NAMES = ("5 min", "1 h", "6 h", "3 d")


def format_text(
    reports: Iterable[burn.RouteReport], notes: Iterable[str]
) -> str:
    """Return the report as text tables."""
    rows = [row for report in reports for row in _make_rows(report)]
    header = (
        *("SERVICE", "ROUTE", "OBJECTIVE", "CALLS 3 D"),
        *(f"BURN {name.upper()}" for name in WINDOW_NAMES),
        *("BUDGET LEFT", "P50 MS", "P99 MS"),
    )
    text = tables.format_table(header, rows) if rows else "no calls counted"
    return "\n".join([text, "", *notes])


def describe_report(
    reports: Iterable[burn.RouteReport], notes: Iterable[str]
) -> dict[str, typing.Any]:
    """Return the report as values for JSON."""
    return {
        "windows_seconds": levels.WINDOWS_SECONDS,
        "percentiles": burn.PERCENTILES,
        "routes": tuple(reports),
        "notes": tuple(notes),
    }


def format_percent(ratio: float) -> str:
    """Return a ratio as a percentage."""
    return f"{ratio * 100:.1f} %"


def describe_objectives(objective: model.Objective) -> tuple[str, str]:
    """Return the availability and the latency objective in words."""
    return (
        f"{objective.availability_percent:g} % answered",
        f"{objective.latency_percent:g} % within {objective.latency_ms:g} ms",
    )


def _make_rows(report: burn.RouteReport) -> Iterable[tuple[typing.Any, ...]]:
    counts = report.windows[-1]
    calls = counts.good + counts.slow + counts.bad
    availability, latency = describe_objectives(report.objective)
    p50_ms, p99_ms = report.latency_ms
    service = report.service or "(removed)"
    yield (
        service,
        report.route,
        availability,
        calls,
        *(f"{rate:.2f}" for rate in report.availability_burn),
        format_percent(report.availability_left),
        f"{p50_ms:.0f}",
        f"{p99_ms:.0f}",
    )
    yield (
        service,
        report.route,
        latency,
        counts.good + counts.slow,
        *(f"{rate:.2f}" for rate in report.latency_burn),
        format_percent(report.latency_left),
        "",
        "",
    )
