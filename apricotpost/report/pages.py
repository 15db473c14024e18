"""The report as one HTML page without outside parts."""

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
    """Plot the share of failed and of slow calls over the longest window.

    The dashed line is the share that the availability objective allows.
    """
    allowed = 1 - objective.availability_percent / 100
    points = [
        (entry.start, *_shares(entry.counts))
        for entry in buckets
        if entry.start >= now - levels.WINDOWS_SECONDS[-1]
    ]
    highest = max(
        [allowed * 2, *(share for point in points for share in point[1:])]
    )
    bars = [
        _bar(start, share, highest, colour, now)
        for start, failed, slow in points
        for share, colour in ((slow, "#d9a441"), (failed, "#b3372b"))
        if share
    ]
    line = HEIGHT * (1 - allowed / highest)
    label = f"failed (red) and slow (yellow), up to {highest * 100:.2f} %"
    return (
        f'<svg role="img" aria-label="{label}" width="{WIDTH}" '
        f'height="{HEIGHT + 20}" viewBox="0 0 {WIDTH} {HEIGHT + 20}">'
        + "".join(bars)
        + f'<line x1="0" x2="{WIDTH}" y1="{line:.1f}" y2="{line:.1f}" '
        'stroke="#444" stroke-dasharray="4 3"/>'
        f'<text x="4" y="{HEIGHT + 15}" font-size="12">3 days ago; '
        f'{label}</text><text x="{WIDTH - 4}" y="{HEIGHT + 15}" '
        'font-size="12" text-anchor="end">now</text></svg>'
    )


def _bar(
    start: int, share: float, highest: float, colour: str, now: float
) -> str:
    span = levels.WINDOWS_SECONDS[-1]
    width = WIDTH * levels.BUCKET_SECONDS / span
    left = WIDTH * (1 - (now - start) / span)
    height = HEIGHT * share / highest
    return (
        f'<rect x="{left:.1f}" y="{HEIGHT - height:.1f}" '
        f'width="{width:.1f}" height="{height:.1f}" fill="{colour}"/>'
    )


def _shares(counts: model.LevelCounts) -> tuple[float, float]:
    total = counts.good + counts.bad + counts.slow
    if not total:
        return 0.0, 0.0
    return counts.bad / total, counts.slow / total


def _format_route(report: burn.RouteReport, now: float) -> str:
    name = html.escape(f"{report.service or '(removed)'}: {report.route}")
    answered, fast = texts.describe_objectives(report.objective)
    heads = "".join(f"<th>burn {entry}</th>" for entry in texts.WINDOW_NAMES)
    middle, high = report.latency_ms
    return (
        f"<h2>{name}</h2><p>Half of the answered calls took at most "
        f"{middle:.0f} ms, 99 in 100 at most {high:.0f} ms.</p>"
        f"<table><tr><th>objective</th>{heads}<th>budget left</th></tr>"
        + _row(answered, report.availability_burn, report.availability_left)
        + _row(fast, report.latency_burn, report.latency_left)
        + "</table>"
        + format_plot(report.buckets, report.objective, now=now)
    )


def _row(name: str, rates: Iterable[float], left: float) -> str:
    cells = "".join(
        f'<td class="{"spent" if rate > 1 else ""}">{rate:.2f}</td>'
        for rate in rates
    )
    kind = "spent" if left <= 0 else ""
    return (
        f"<tr><td>{html.escape(name)}</td>{cells}"
        f'<td class="{kind}">{texts.format_percent(left)}</td></tr>'
    )
