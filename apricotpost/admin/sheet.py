"""Validation of the sheet, in which operators state what they want.

Each row sets the version of a service or the state of a data centre. The CSV
text becomes moves, or an error that lists every fault.
"""

from collections.abc import Iterator
import dataclasses
import re

from apricotpost.admin import requests
from apricotpost.admin import sheet_text
from apricotpost.admin import tokens
from apricotpost import errors
from apricotpost import model

__all__ = ["CheckedSheet", "check_sheet"]

_VERSION_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+-]{0,62}")
_COLUMN_ORDER = {
    name: index for index, name in enumerate(("-", *sheet_text.HEADER))
}
_ACTIVE_STATES = (model.RolloutState.RUNNING, model.RolloutState.BAKING)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CheckedSheet:
    """Moves that the sheet asks for, and what is in force already."""

    moves: tuple[requests.Move, ...]
    unchanged: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Context:
    """Configuration, actor and limits that rows are checked against."""

    services: dict[str, model.Service]
    data_centres: dict[str, model.DataCentre]
    active: dict[str, model.Rollout]
    actor: tokens.Actor
    minimum_durations: requests.MinimumDurations
    now: float


def check_sheet(
    text: str,
    snapshot: model.Snapshot,
    *,
    actor: tokens.Actor,
    minimum_durations: requests.MinimumDurations,
    now: float,
) -> CheckedSheet:
    """Check all rows of a sheet against the configuration in force.

    Parameters
    ----------
    text : str
        CSV with the columns of `sheet_text.HEADER`.
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    actor : Actor
        Who submits the sheet.
    minimum_durations : MinimumDurations
        Minimum durations of moves.
    now : float
        Unix time in seconds.

    Raises
    ------
    apricotpost.errors.SheetInvalid
        The sheet has faults; all are listed by row and column.
    apricotpost.errors.AccessDenied
        The actor lacks rights for some rows, and there is no other fault.
    """
    rows, faults = sheet_text.parse_text(text)
    context = _Context(
        services={entry.name: entry for entry in snapshot.services},
        data_centres={entry.name: entry for entry in snapshot.data_centres},
        active={
            entry.service: entry
            for entry in snapshot.rollouts
            if entry.state in _ACTIVE_STATES
        },
        actor=actor,
        minimum_durations=minimum_durations,
        now=now,
    )
    faults.extend(_find_duplicates(rows))
    moves: list[requests.Move] = []
    unchanged: list[str] = []
    for row in rows:
        row_faults = list(_find_row_faults(row, context))
        faults.extend(row_faults)
        if not row_faults and _is_in_force(row, context):
            unchanged.append(_describe(row))
        elif not row_faults:
            moves.append(_make_move(row))
    _raise_if_faulty(faults)
    return CheckedSheet(moves=tuple(moves), unchanged=tuple(unchanged))


def _find_duplicates(rows: list[sheet_text.Row]) -> Iterator[sheet_text.Fault]:
    first_rows: dict[tuple[str, str], int] = {}
    for row in rows:
        for column, name in (
            ("service", row.service),
            ("data_centre", row.data_centre),
        ):
            first_row = first_rows.setdefault((column, name), row.number)
            if name and first_row != row.number:
                yield sheet_text.Fault(
                    row=row.number,
                    column=column,
                    text=f"{name} is already listed in row {first_row}",
                )


def _find_row_faults(
    row: sheet_text.Row, context: _Context
) -> Iterator[sheet_text.Fault]:
    about_service = bool(row.service or row.version)
    about_centre = bool(row.data_centre or row.state)
    if about_service == about_centre:
        yield _make_fault(
            row,
            "service",
            "a row names either a service and a version, "
            "or a data centre and a state",
        )
    elif about_service:
        yield from _find_service_faults(row, context)
    else:
        yield from _find_centre_faults(row, context)
    yield from _find_time_faults(row, context)


def _find_service_faults(
    row: sheet_text.Row, context: _Context
) -> Iterator[sheet_text.Fault]:
    service = context.services.get(row.service)
    if not row.service:
        yield _make_fault(row, "service", "missing")
    elif service is None:
        known = ", ".join(context.services) or "none"
        yield _make_fault(
            row, "service", f"unknown service {row.service!r}; known: {known}"
        )
    if not _VERSION_PATTERN.fullmatch(row.version):
        yield _make_fault(row, "version", f"{row.version!r} is not a version")
    if service is None or _is_in_force(row, context):
        return
    yield from _find_team_faults(row, service, context)
    rollout = context.active.get(row.service)
    if rollout is not None:
        yield _make_fault(
            row,
            "version",
            f"rollout {rollout.identifier} to {rollout.new} is "
            f"{rollout.state.value}; wait for its end or withdraw it",
        )


def _find_team_faults(
    row: sheet_text.Row, service: model.Service, context: _Context
) -> Iterator[sheet_text.Fault]:
    actor = context.actor
    if service.team != actor.team or tokens.CHANGE not in actor.rights:
        yield _make_fault(
            row,
            "service",
            f"{row.service} belongs to team {service.team}; "
            f"{actor.author} of team {actor.team} may not change it",
            denied=True,
        )


def _find_centre_faults(
    row: sheet_text.Row, context: _Context
) -> Iterator[sheet_text.Fault]:
    if not row.data_centre:
        yield _make_fault(row, "data_centre", "missing")
    elif row.data_centre not in context.data_centres:
        known = ", ".join(context.data_centres) or "none"
        yield _make_fault(
            row,
            "data_centre",
            f"unknown data centre {row.data_centre!r}; known: {known}",
        )
    if row.state not in ("in", "out"):
        yield _make_fault(row, "state", f"{row.state!r} is not 'in' or 'out'")
    elif (
        row.data_centre in context.data_centres
        and not _is_in_force(row, context)
        and tokens.DATA_CENTRES not in context.actor.rights
    ):
        yield _make_fault(
            row,
            "data_centre",
            f"{context.actor.author} lacks the right "
            f"{tokens.DATA_CENTRES}",
            denied=True,
        )


def _find_time_faults(
    row: sheet_text.Row, context: _Context
) -> Iterator[sheet_text.Fault]:
    finish_by = sheet_text.parse_time(row.finish_by)
    if row.finish_by and finish_by is None:
        yield _make_fault(
            row,
            "finish_by",
            f"{row.finish_by!r} is not a time in RFC 3339 format, "
            "such as 2027-01-15T09:30:00+02:00",
        )
        return
    if _is_in_force(row, context):
        return
    if finish_by is None:
        yield _make_fault(row, "finish_by", "missing")
        return
    minimum_seconds = (
        context.minimum_durations.data_centre_seconds
        if row.data_centre
        else context.minimum_durations.rollout_seconds
    )
    remaining_seconds = finish_by - context.now
    if remaining_seconds <= 0:
        yield _make_fault(row, "finish_by", f"{row.finish_by} is in the past")
    elif remaining_seconds < minimum_seconds:
        yield _make_fault(
            row,
            "finish_by",
            f"{row.finish_by} is too soon: {remaining_seconds:.0f} s remain, "
            f"the move takes at least {minimum_seconds:.0f} s",
        )


def _make_fault(
    row: sheet_text.Row, column: str, text: str, *, denied: bool = False
) -> sheet_text.Fault:
    return sheet_text.Fault(
        row=row.number, column=column, text=text, denied=denied
    )


def _is_in_force(row: sheet_text.Row, context: _Context) -> bool:
    """Return whether the configuration already matches the row."""
    centre = context.data_centres.get(row.data_centre)
    if centre is not None:
        return centre.state.value == row.state
    service = context.services.get(row.service)
    if service is None:
        return False
    rollout = context.active.get(row.service)
    if rollout is None:
        return any(
            entry.version == row.version and entry.share == model.TOTAL_SHARE
            for entry in service.versions
        )
    return rollout.new == row.version and (
        not row.finish_by
        or sheet_text.parse_time(row.finish_by) == rollout.finish_by
    )


def _make_move(row: sheet_text.Row) -> requests.Move:
    finish_by = sheet_text.parse_time(row.finish_by)
    assert finish_by is not None
    if row.service:
        return requests.VersionMove(
            service=row.service, version=row.version, finish_by=finish_by
        )
    return requests.DataCentreMove(
        data_centre=row.data_centre,
        state=model.DataCentreState(row.state),
        finish_by=finish_by,
    )


def _describe(row: sheet_text.Row) -> str:
    if row.service:
        return f"service {row.service} at {row.version}"
    return f"data centre {row.data_centre} {row.state}"


def _raise_if_faulty(faults: list[sheet_text.Fault]) -> None:
    if not faults:
        return
    faults.sort(key=lambda fault: (fault.row, _COLUMN_ORDER[fault.column]))
    lines = tuple(str(fault) for fault in faults)
    message = f"the sheet has {len(lines)} faults; nothing was accepted"
    if all(fault.denied for fault in faults):
        raise errors.AccessDenied(message, faults=lines)
    raise errors.SheetInvalid(message, faults=lines)
