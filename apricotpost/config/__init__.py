"""Validation, checksums and deltas of configuration versions."""

from apricotpost.config.checksums import compute_checksum
from apricotpost.config.checksums import with_checksum
from apricotpost.config.deltas import apply_chain
from apricotpost.config.deltas import apply_delta
from apricotpost.config.deltas import apply_snapshot
from apricotpost.config.deltas import compute_delta
from apricotpost.config.validation import find_faults
from apricotpost.config.validation import validate

__all__ = [
    "apply_chain",
    "apply_delta",
    "apply_snapshot",
    "compute_checksum",
    "compute_delta",
    "find_faults",
    "with_checksum",
    "validate",
]
