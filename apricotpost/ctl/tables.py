"""Answers of the administration API as tables and lines of text."""

from collections.abc import Iterable
from collections.abc import Sequence
import datetime
import typing

__all__ = [
    "format_accepted",
    "format_audit",
    "format_history",
    "format_move",
    "format_status",
    "format_table",
    "format_time",
]

Json = dict[str, typing.Any]


def format_table(
    header: Sequence[str], rows: Iterable[Sequence[typing.Any]]
) -> str:
    """Return left-aligned columns under their headings."""
    lines = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths)
        ).rstrip()
        for line in lines
    )


def format_time(seconds: float) -> str:
    """Return Unix time as local time with its UTC offset, - for 0."""
    if not seconds:
        return "-"
    moment = datetime.datetime.fromtimestamp(seconds).astimezone()
    return moment.isoformat(sep=" ", timespec="seconds")


def format_accepted(answer: Json, *, checked: bool) -> str:
    """Describe the effect of a change, or of one that was only checked."""
    lines = [f"  changed    {text}" for text in answer["changed"]]
    lines += [f"  unchanged  {text}" for text in answer["unchanged"]]
    if checked:
        headline = "valid; nothing was changed"
    elif answer["changed"]:
        headline = f"accepted as version {answer['version']}"
    else:
        headline = (
            f"version {answer['version']} already matches; nothing was changed"
        )
    moves = [*answer["rollouts"], *answer["moves"]]
    if moves and not checked:
        lines.append(
            "follow it with: apricotpost-ctl watch " + " ".join(moves)
        )
    return "\n".join([headline, *lines])


def format_status(answer: Json) -> str:
    """Return tables of versions, data centres and rollouts."""
    ready = "ready" if answer["ready"] else "NOT READY"
    sections = [
        f"{answer['instance']} in {answer['data_centre']}: {ready}, "
        f"configuration {answer['version']}",
        format_table(
            ("SERVICE", "TEAM", "VERSIONS"),
            [
                (entry["name"], entry["team"], _format_shares(entry))
                for entry in answer["services"]
            ],
        ),
        format_table(
            ("DATA CENTRE", "REGION", "STATE", "UP", "STARTING", "SUSPECT")
            + ("LEAVING", "DOWN", "BEHIND"),
            [_make_data_centre_row(entry) for entry in answer["data_centres"]],
        ),
    ]
    if answer["rollouts"]:
        sections.append(
            format_table(
                ("ROLLOUT", "FROM", "TO", "STATE", "SHARE", "FINISH BY")
                + ("REASON",),
                [_make_rollout_row(entry) for entry in answer["rollouts"]],
            )
        )
    return "\n\n".join(sections)


def format_history(answer: Json) -> str:
    """Return a table of running and ended moves."""
    rows = [_make_history_row(entry) for entry in answer["pending"]]
    rows += [_make_history_row(entry) for entry in answer["outcomes"]]
    return format_table(
        ("MOVE", "WHAT", "STATE", "ENDED", "TOOK", "REASON"), rows
    )


def format_audit(answer: Json) -> str:
    """Return a table of accepted changes, newest first."""
    text = format_table(
        ("VERSION", "BASE", "AT", "AUTHOR", "REASON", "REQUEST"),
        [
            (
                entry["version"],
                entry["base"],
                format_time(entry["at_ms"] / 1000),
                entry["author"],
                entry["reason"],
                entry["request"],
            )
            for entry in answer["records"]
        ],
    )
    if answer["next"]:
        text += f"\nmore: apricotpost-ctl audit --before {answer['next']}"
    return text


def format_move(move: Json) -> str:
    """Return the state of a move in one line."""
    text = f"{move['identifier']}: {_describe_move(move)}: {move['state']}"
    if move["state"] in ("running", "baking"):
        text += f", finish by {format_time(move.get('finish_by', 0))}"
    if "share" in move and move["state"] == "running":
        text += f", share {move['share'] / 10:.1f} %"
    if "outstanding" in move:
        outstanding = move["outstanding"]
        text += f", {move['reported']} instances hold it"
        text += f", {len(outstanding)} do not: {', '.join(outstanding[:3])}"
    if move.get("taken_ms"):
        text += f", took {move['taken_ms'] / 1000:.1f} s"
    if move.get("reason"):
        text += f" ({move['reason']})"
    return text


def _format_shares(service: Json) -> str:
    return ", ".join(
        f"{entry['version']} {entry['share'] / 10:.1f} %"
        for entry in service["versions"]
    )


def _make_data_centre_row(entry: Json) -> Sequence[typing.Any]:
    counts = entry["instances"]
    names = ("up", "starting", "suspect", "leaving", "down", "behind")
    return (
        entry["name"],
        entry["region"],
        entry["state"],
        *(counts[name] for name in names),
    )


def _make_rollout_row(entry: Json) -> Sequence[typing.Any]:
    return (
        entry["identifier"],
        entry["old"],
        entry["new"],
        entry["state"],
        f"{entry['share'] / 10:.1f} %",
        format_time(entry["finish_by"]),
        entry["reason"],
    )


def _make_history_row(entry: Json) -> Sequence[typing.Any]:
    ended_at_ms, started_at_ms = entry.get("at_ms", 0), entry.get(
        "started_at_ms", 0
    )
    duration_seconds = (
        max(ended_at_ms - started_at_ms, 0) / 1000 if started_at_ms else 0.0
    )
    return (
        entry["identifier"],
        _describe_move(entry),
        entry["state"],
        format_time(ended_at_ms / 1000),
        f"{duration_seconds:.1f} s" if duration_seconds else "-",
        entry.get("reason", ""),
    )


def _describe_move(move: Json) -> str:
    if move.get("kind") == "data-centre":
        return f"data centre {move['data_centre']} {move['to']}"
    return (
        f"service {move.get('service', '?')} "
        f"{move.get('old', '?')} to {move.get('new', '?')}"
    )
