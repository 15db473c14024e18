"""The report as text and as values for JSON."""

from collections.abc import Iterable
import typing

from apricotpost.ctl import tables
from apricotpost import model
from apricotpost.report import burn
from apricotpost.report import levels

__all__ = [
    "WINDOW_NAMES",
    "describe",
    "describe_objectives",
    "format_percent",
    "format_text",
]

WINDOW_NAMES = ("5 min", "1 h", "6 h", "3 d")


def format_text(
    reports: Iterable[burn.RouteReport], notes: Iterable[str]
) -> str:
    """Return the report as tables."""
    rows = [row for report in reports for row in _rows(report)]
    header = (
        *("SERVICE", "ROUTE", "OBJECTIVE", "CALLS 3 D"),
        *(f"BURN {name.upper()}" for name in WINDOW_NAMES),
        *("BUDGET LEFT", "P50 MS", "P99 MS"),
    )
    text = tables.format_table(header, rows) if rows else "no calls counted"
    return "\n".join([text, "", *notes])


def describe(
    reports: Iterable[burn.RouteReport], notes: Iterable[str]
) -> dict[str, typing.Any]:
    """Return the report for JSON."""
    return {
        "windows_seconds": levels.WINDOWS_SECONDS,
        "percentiles": burn.PERCENTILES,
        "routes": tuple(reports),
        "notes": tuple(notes),
    }


def format_percent(share: float) -> str:
    """Return a share of 1 in percent."""
    return f"{share * 100:.1f} %"


def describe_objectives(objective: model.Objective) -> tuple[str, str]:
    """Return the availability and the latency objective in words."""
    return (
        f"{objective.availability_percent:g} % answered",
        f"{objective.latency_percent:g} % within {objective.latency_ms:g} ms",
    )


def _rows(report: burn.RouteReport) -> Iterable[tuple[typing.Any, ...]]:
    last = report.windows[-1]
    calls = last.good + last.slow + last.bad
    answered, fast = describe_objectives(report.objective)
    middle, high = report.latency_ms
    service = report.service or "(removed)"
    yield (
        service,
        report.route,
        answered,
        calls,
        *(f"{rate:.2f}" for rate in report.availability_burn),
        format_percent(report.availability_left),
        f"{middle:.0f}",
        f"{high:.0f}",
    )
    yield (
        service,
        report.route,
        fast,
        last.good + last.slow,
        *(f"{rate:.2f}" for rate in report.latency_burn),
        format_percent(report.latency_left),
        "",
        "",
    )
