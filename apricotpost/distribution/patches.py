"""Compression of orders that are sent between nodes.

A configuration of several hundred kilobytes usually changes in a few places.
Its new value is compressed with the old one as the dictionary (Zstandard,
RFC 8878, like `zstd --patch-from`). The patch takes several hundred bytes,
which matters on links of a few megabits per second.
"""

import zstandard

from apricotpost.distribution import orders
from apricotpost import errors
from apricotpost import wire

__all__ = ["MAX_VALUE_BYTES", "is_current", "pack", "unpack"]

# Limit for the size of an unpacked value; rows of the store are far smaller.
MAX_VALUE_BYTES = 16 * 1024 * 1024
# Shorter values are sent uncompressed.
MIN_PACKED_BYTES = 256
# Lowest level at which Zstandard finds matches in the whole dictionary.
PATCH_LEVEL = 3
COMPRESSED_LEVEL = 1


def pack(row: wire.OrderRow, base: wire.OrderRow | None) -> wire.PackedRow:
    """Compress the value of a row, as a patch if a base is given.

    Parameters
    ----------
    row : wire.OrderRow
        Row to be sent.
    base : wire.OrderRow or None
        Earlier revision of the row that the receiver is expected to hold.
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
            form = wire.PackedForm.COMPRESSED
            value = zstandard.ZstdCompressor(level=COMPRESSED_LEVEL).compress(
                value
            )
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
    """Restore a row; return None if the base of its patch is not held.

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
    """Return whether this revision of a row or a newer one is held."""
    held_row = order_store.rows.get(packed.key)
    return held_row is not None and held_row.revision >= packed.revision


def _dictionary(value: bytes) -> zstandard.ZstdCompressionDict:
    return zstandard.ZstdCompressionDict(
        value, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _compress_patch(value: bytes, base: bytes) -> bytes:
    # Matches anywhere in the base need a window that covers both values.
    window_log = max((len(value) + len(base)).bit_length(), 10)
    parameters = zstandard.ZstdCompressionParameters.from_level(
        PATCH_LEVEL, window_log=window_log, enable_ldm=True
    )
    compressor = zstandard.ZstdCompressor(
        dict_data=_dictionary(base), compression_params=parameters
    )
    return compressor.compress(value)
