"""The report as one self-contained HTML page."""

from collections.abc import Iterable
import datetime
import html

from apricotpost import model
from apricotpost.report import burn
from apricotpost.report import levels
from apricotpost.report import texts

__all__ = ["format_page", "format_plot"]

WIDTH = 720
HEIGHT = 120
_STYLE = """
body { font: 15px/1.5 sans-serif; margin: 2em auto; max-width: 60em; }
table { border-collapse: collapse; margin: 0.5em 0; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.spent { background: #f7d4d0; }
svg { background: #f6f6f6; }
"""


def format_page(
    reports: Iterable[burn.RouteReport], notes: Iterable[str], *, now: float
) -> str:
    """Return the page; ``now`` is Unix time in seconds."""
    moment = datetime.datetime.fromtimestamp(now, datetime.UTC)
    title = f"Service levels at {moment.isoformat(timespec='minutes')}"
    sections = [_format_route(report, now) for report in reports]
    lines = "".join(f"<li>{html.escape(note)}</li>" for note in notes)
    return (
        '<!DOCTYPE html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>{title}</title><style>{_STYLE}</style></head><body>"
        f"<h1>{title}</h1><ul>{lines}</ul>"
        + ("\n".join(sections) or "<p>No calls were counted.</p>")
        + "</body></html>\n"
    )


def format_plot(
    buckets: Iterable[model.LevelBucket],
    objective: model.Objective,
    *,
    now: float,
) -> str:
    """Return an SVG plot of the ratios of failed and slow calls over 3 days.

    The dashed line is the ratio of failed calls that the availability
    objective allows.
    """
    allowed_ratio = 1 - objective.availability_percent / 100
    points = [
        (entry.start, *_failed_and_slow_ratios(entry.counts))
        for entry in buckets
        if entry.start >= now - levels.WINDOWS_SECONDS[-1]
    ]
    max_ratio = max(
        [
            allowed_ratio * 2,
            *(ratio for point in points for ratio in point[1:]),
        ]
    )
    bars = [
        _format_bar(start, ratio, max_ratio, colour, now)
        for start, failed, slow in points
        for ratio, colour in ((slow, "#d9a441"), (failed, "#b3372b"))
        if ratio
    ]
    line_y = HEIGHT * (1 - allowed_ratio / max_ratio)
    label = f"failed (red) and slow (yellow), up to {max_ratio * 100:.2f} %"
    return (
        f'<svg role="img" aria-label="{label}" width="{WIDTH}" '
        f'height="{HEIGHT + 20}" viewBox="0 0 {WIDTH} {HEIGHT + 20}">'
        + "".join(bars)
        + f'<line x1="0" x2="{WIDTH}" y1="{line_y:.1f}" y2="{line_y:.1f}" '
        'stroke="#444" stroke-dasharray="4 3"/>'
        f'<text x="4" y="{HEIGHT + 15}" font-size="12">3 days ago; '
        f'{label}</text><text x="{WIDTH - 4}" y="{HEIGHT + 15}" '
        'font-size="12" text-anchor="end">now</text></svg>'
    )


def _format_bar(
    start: int, ratio: float, max_ratio: float, colour: str, now: float
) -> str:
    window_seconds = levels.WINDOWS_SECONDS[-1]
    width = WIDTH * levels.COARSE_BUCKET_SECONDS / window_seconds
    x = WIDTH * (1 - (now - start) / window_seconds)
    height = HEIGHT * ratio / max_ratio
    return (
        f'<rect x="{x:.1f}" y="{HEIGHT - height:.1f}" '
        f'width="{width:.1f}" height="{height:.1f}" fill="{colour}"/>'
    )


def _failed_and_slow_ratios(counts: model.LevelCounts) -> tuple[float, float]:
    total = counts.good + counts.bad + counts.slow
    if not total:
        return 0.0, 0.0
    return counts.bad / total, counts.slow / total


def _format_route(report: burn.RouteReport, now: float) -> str:
    title = html.escape(f"{report.service or '(removed)'}: {report.route}")
    availability, latency = texts.describe_objectives(report.objective)
    headings = "".join(
        f"<th>burn {entry}</th>" for entry in texts.WINDOW_NAMES
    )
    p50_ms, p99_ms = report.latency_ms
    return (
        f"<h2>{title}</h2><p>Half of the answered calls took at most "
        f"{p50_ms:.0f} ms, 99 in 100 at most {p99_ms:.0f} ms.</p>"
        f"<table><tr><th>objective</th>{headings}<th>budget left</th></tr>"
        + _format_row(
            availability, report.availability_burn, report.availability_left
        )
        + _format_row(latency, report.latency_burn, report.latency_left)
        + "</table>"
        + format_plot(report.buckets, report.objective, now=now)
    )


def _format_row(
    objective: str, rates: Iterable[float], budget_left: float
) -> str:
    cells = "".join(
        f'<td class="{"spent" if rate > 1 else ""}">{rate:.2f}</td>'
        for rate in rates
    )
    css_class = "spent" if budget_left <= 0 else ""
    return (
        f"<tr><td>{html.escape(objective)}</td>{cells}"
        f'<td class="{css_class}">'
        f"{texts.format_percent(budget_left)}</td></tr>"
    )
