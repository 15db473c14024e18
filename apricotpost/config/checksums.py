"""Checksum of a configuration."""

import dataclasses

import msgspec
import xxhash

from apricotpost import model

__all__ = ["compute_checksum", "with_checksum"]

_ENCODER = msgspec.msgpack.Encoder(order="deterministic")


def compute_checksum(snapshot: model.Snapshot) -> str:
    """Compute the checksum of a snapshot's content.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Its ``checksum`` field is not included.

    Returns
    -------
    str
        XXH128 in hexadecimal. It detects accidental damage only; it is not
        a cryptographic hash.
    """
    content = dataclasses.replace(snapshot, checksum="")
    return xxhash.xxh128_hexdigest(_ENCODER.encode(content))


def with_checksum(snapshot: model.Snapshot) -> model.Snapshot:
    """Return a copy of the snapshot with its checksum set."""
    return dataclasses.replace(snapshot, checksum=compute_checksum(snapshot))
