"""Messages of the platform's store."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import logging
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import events
from apricotpost import revisions

__all__ = [
    "Row",
    "RowsResponse",
    "decode_era",
    "decode_response",
    "decode_rows",
    "decode_write",
]

_LOG = logging.getLogger(__name__)

_Version = typing.Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_VERSION)]
_Era = typing.Annotated[int, msgspec.Meta(ge=0, le=revisions.MAX_ERA)]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row of the store, or the record of its removal.

    Parameters
    ----------
    table, key : str
        Table and key of the row.
    value : bytes
        Content; empty if the row was removed.
    revision : int
        Store revision of the last change, as in `apricotpost.revisions`;
        increases across all tables.
    removed : bool
        Whether the row was removed.
    """

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False


class _EncodedRow(msgspec.Struct, frozen=True):
    table: decoding.Name
    key: decoding.Name
    # Version of the last change.
    ver: _Version = 0
    # Base64.
    value: str = ""
    tombstone: bool = False
    # The node uses only rows in which this is empty.
    part: str = ""


class RowsResponse(msgspec.Struct, frozen=True):
    # Version of the store.
    ver: _Version
    # Decoded one by one, so that a malformed row does not hide the others.
    rows: tuple[msgspec.Raw, ...] = ()
    has_more: bool = False


class _WriteResponse(msgspec.Struct, frozen=True):
    # Version of the write.
    ver: _Version = 0


decode_response = decoding.json_decoder("answer to a read", RowsResponse)
_decode_row = decoding.json_decoder("row", _EncodedRow)
decode_write = decoding.json_decoder("answer to a write", _WriteResponse)
decode_era = decoding.json_decoder("era of the store", _Era)


def decode_rows(
    encoded_rows: Iterable[msgspec.Raw], era: int
) -> Iterator[Row]:
    """Yield the rows that can be decoded; the others are logged."""
    for encoded in encoded_rows:
        try:
            row: _EncodedRow = _decode_row(bytes(encoded))
            if row.part:
                continue
            value = decoding.decode_base64(f"row {row.key}", row.value)
        except errors.MalformedMessage as error:
            events.emit(_LOG, events.ROW_MALFORMED, error=error.message)
            continue
        yield Row(
            table=row.table,
            key=row.key,
            value=value,
            revision=revisions.compose(era=era, version=row.ver),
            removed=row.tombstone,
        )
