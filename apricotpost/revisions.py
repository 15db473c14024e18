"""Revisions of the platform's store, qualified by the store's era.

A store that returns from an older copy gives out its versions again. It then
counts a new era. A revision combines both, so that revisions are unique and
ordered as the states of the store are: first by era, then by version.
"""

__all__ = [
    "MAX_ERA",
    "MAX_VERSION",
    "compose",
    "era_of",
    "version_of",
]

# A version counts transactions: 400 a second for 20 years. Both together
# make up `decoding.MAX_INTEGER`.
VERSION_BITS = 38
MAX_VERSION = (1 << VERSION_BITS) - 1
MAX_ERA = (1 << 15) - 1


def compose(*, era: int, version: int) -> int:
    """Return the revision of a version in an era."""
    return (era << VERSION_BITS) + version


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 for a store without eras."""
    return revision >> VERSION_BITS


def version_of(revision: int) -> int:
    """Return the version, as the store knows it, of a revision."""
    return revision & MAX_VERSION
