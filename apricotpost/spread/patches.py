"""Compression of orders on their way between nodes.

A configuration of some hundred kilobytes changes in a few places. Its new
value is compressed with the old one as the dictionary (Zstandard, RFC 8878,
as `zstd --patch-from` does), which leaves some hundred bytes for a link of a
few megabits a second.
"""

import zstandard

from apricotpost import errors
from apricotpost.spread import orders
from apricotpost import wire

__all__ = ["MAX_VALUE_BYTES", "is_current", "pack", "unpack"]

# Largest value that is unpacked; a row of the store is far below.
MAX_VALUE_BYTES = 16 * 1024 * 1024
# Shorter values are sent as they are.
MIN_PACKED_BYTES = 256
# The lowest level at which matches are found over the whole dictionary.
PATCH_LEVEL = 3
WHOLE_LEVEL = 1


def pack(row: wire.OrderRow, base: wire.OrderRow | None) -> wire.PackedRow:
    """Compress a row.

    Parameters
    ----------
    row : wire.OrderRow
        The row.
    base : wire.OrderRow or None
        An earlier state of it that the receiver is expected to hold.
    """
    value = row.value
    form = wire.PackedForm.PLAIN
    revision = 0
    if len(value) >= MIN_PACKED_BYTES:
        if base is not None and base.value:
            form = wire.PackedForm.PATCH
            revision = base.revision
            value = _compress_patch(value, base.value)
        else:
            form = wire.PackedForm.WHOLE
            value = zstandard.ZstdCompressor(level=WHOLE_LEVEL).compress(value)
    return wire.PackedRow(
        key=row.key,
        value=value,
        revision=row.revision,
        removed=row.removed,
        form=form,
        base=revision,
    )


def unpack(
    packed: wire.PackedRow, order_store: orders.OrderStore
) -> wire.OrderRow | None:
    """Restore a row; None if its base is not held here.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The value cannot be decompressed.
    """
    value = packed.value
    if packed.form is not wire.PackedForm.PLAIN:
        dictionary = None
        if packed.form is wire.PackedForm.PATCH:
            base = order_store.rows.get(packed.key)
            if base is None or base.revision != packed.base:
                return None
            dictionary = _dictionary(base.value)
        try:
            value = zstandard.ZstdDecompressor(
                dict_data=dictionary
            ).decompress(value, max_output_size=MAX_VALUE_BYTES)
        except zstandard.ZstdError as error:
            raise errors.MalformedMessage(
                f"order {packed.key} cannot be decompressed: {error}"
            ) from error
    return wire.OrderRow(
        key=packed.key,
        value=value,
        revision=packed.revision,
        removed=packed.removed,
    )


def is_current(packed: wire.PackedRow, order_store: orders.OrderStore) -> bool:
    """Tell whether a row of this revision or a newer one is held."""
    known = order_store.rows.get(packed.key)
    return known is not None and known.revision >= packed.revision


def _dictionary(value: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        value, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _compress_patch(value: bytes, base: bytes) -> bytes:
    # The window has to hold both values for matches anywhere in the base.
    window_log = max((len(value) + len(base)).bit_length(), 10)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        PATCH_LEVEL, window_log=window_log, enable_ldm=True
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(value)
