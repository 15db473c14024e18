"""Messages between sidecar nodes with the orders of the store."""

import enum

import msgspec

from apricotpost import decoding

__all__ = [
    "KINDS",
    "OrderRow",
    "OrdersPull",
    "OrdersPush",
    "PackedForm",
    "PackedRow",
]


class OrderRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A row with an order, as read from the store."""

    key: str
    value: bytes
    revision: decoding.Count
    removed: bool


class PackedForm(enum.IntEnum):
    """Encoding of a row's value between nodes."""

    PLAIN = 0
    # Compressed without a dictionary.
    COMPRESSED = 1
    # Compressed with an earlier value of the row as the dictionary.
    PATCH = 2


class PackedRow(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """A row with an order, as sent between nodes.

    Parameters
    ----------
    key, revision, removed
        As in `OrderRow`.
    value : bytes
        Value, encoded as `form` states.
    base : int
        Store revision of the earlier value that a patch is based on.
    """

    key: str
    value: bytes
    revision: decoding.Count
    removed: bool
    form: PackedForm
    base: decoding.Count = 0


class OrdersPush(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """All orders that changed after one store revision, up to another."""

    after_revision: decoding.Count
    revision: decoding.Count
    rows: tuple[PackedRow, ...]


class OrdersPull(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Request for the orders that changed after a store revision."""

    node: str
    after_revision: decoding.Count


KINDS: dict[int, type] = {71: OrdersPush, 72: OrdersPull}
