"""Parser of the sheet: CSV text to rows."""

from collections.abc import Iterator
import csv
import dataclasses
import datetime
import io
import re

__all__ = ["Fault", "HEADER", "Row", "parse_text", "parse_time"]

HEADER = ("service", "version", "data_centre", "state", "finish_by")
_TIME_PATTERN = re.compile(
    r"\d{4}-\d{2}-\d{2}[Tt]\d{2}:\d{2}:\d{2}(\.\d+)?([Zz]|[+-]\d{2}:\d{2})"
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """A validation error in a cell; ``denied`` marks missing rights."""

    row: int
    column: str
    text: str
    denied: bool = False

    def __str__(self) -> str:
        return f"row {self.row}, column {self.column}: {self.text}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """One row with its cells as text; the header is row 1."""

    number: int
    service: str
    version: str
    data_centre: str
    state: str
    finish_by: str


def parse_text(text: str) -> tuple[list[Row], list[Fault]]:
    """Parse the rows of a sheet; none without a valid header."""
    # Spreadsheet programs write a byte order mark at the start.
    reader = csv.reader(io.StringIO(text.removeprefix("\ufeff")), strict=True)
    rows: list[Row] = []
    faults: list[Fault] = []
    number = 0
    try:
        for number, cells in enumerate(reader, start=1):
            fields = [cell.strip() for cell in cells]
            if number == 1:
                faults.extend(_find_header_faults(fields))
            elif _is_blank(cells):
                continue
            elif len(fields) == len(HEADER):
                rows.append(_make_row(number, fields))
            else:
                faults.append(_make_column_fault(number, len(fields)))
    except csv.Error as error:
        faults.append(Fault(row=number + 1, column="-", text=str(error)))
    if number == 0:
        faults.append(Fault(row=1, column="-", text="the sheet is empty"))
    if faults and not all(fault.row > 1 for fault in faults):
        # Without a valid header the order of the columns is unknown.
        return [], [fault for fault in faults if fault.row == 1]
    return rows, faults


def parse_time(text: str) -> float | None:
    """Return the Unix time of an RFC 3339 text, None if it is not one."""
    if not _TIME_PATTERN.fullmatch(text):
        return None
    try:
        parsed = datetime.datetime.fromisoformat(text.upper())
    except ValueError:
        return None
    return parsed.timestamp()


def _is_blank(cells: list[str]) -> bool:
    """Return whether a row has nothing in it.

    A quoted line break is content: an opening quote on one line and a closing
    one on a later line hide the rows between them.
    """
    return not any(cell.strip() or "\n" in cell for cell in cells)


def _find_header_faults(fields: list[str]) -> Iterator[Fault]:
    if tuple(fields) == HEADER:
        return
    expected = ",".join(HEADER)
    found = ",".join(fields)
    hint = "; use commas between columns" if ";" in found else ""
    yield Fault(
        row=1,
        column="-",
        text=f"header is {found!r}, expected {expected!r}{hint}",
    )


def _make_column_fault(number: int, count: int) -> Fault:
    return Fault(
        row=number,
        column="-",
        text=f"{count} columns, expected {len(HEADER)}",
    )


def _make_row(number: int, fields: list[str]) -> Row:
    service, version, data_centre, state, finish_by = fields
    return Row(
        number=number,
        service=service,
        version=version,
        data_centre=data_centre,
        state=state,
        finish_by=finish_by,
    )
