"""Rows of the lease and of the committed reports in the store."""

from collections.abc import Iterable
import logging

import msgspec

from apricotpost import decoding
from apricotpost import events
from apricotpost import platform
from apricotpost.usage import records

__all__ = ["make_removal", "make_transaction", "read_rows"]

_LOG = logging.getLogger(__name__)

LEASE_KEY = "lease"
WINDOW_PREFIX = "window/"


class _EncodedLease(msgspec.Struct, frozen=True):
    holder: decoding.Name
    token: decoding.Count
    attempt: decoding.Count
    last_window: decoding.Count


_decode_lease = decoding.json_decoder("row of the usage lease", _EncodedLease)


def make_transaction(change: records.Change) -> platform.Transaction:
    """Return a change of the lease as a transaction of the store."""
    row = change.row
    encoded = msgspec.json.encode(
        _EncodedLease(
            holder=row.holder,
            token=row.token,
            attempt=row.attempt,
            last_window=row.last_window,
        )
    )
    expected = [(platform.USAGE, LEASE_KEY, change.expected_revision)]
    put = []
    if change.commit is not None:
        key = _window_key(change.commit.window)
        expected.append((platform.USAGE, key, 0))
        put.append((platform.USAGE, key, change.commit.body))
    # Last, so that its revision is that of the transaction also in a store
    # that numbers the rows of a transaction one by one.
    put.append((platform.USAGE, LEASE_KEY, encoded))
    return platform.Transaction(expected=tuple(expected), put=tuple(put))


def make_removal(windows: Iterable[int]) -> platform.Transaction:
    """Return the removal of the rows of windows as a transaction."""
    return platform.Transaction(
        remove=tuple((platform.USAGE, _window_key(w)) for w in windows)
    )


async def read_rows(
    store: platform.Store,
) -> tuple[int, records.LeaseRow | None, tuple[records.Report, ...]]:
    """Return the revision and content of the lease, and all reports.

    Raises
    ------
    apricotpost.errors.PlatformError
        The store does not answer or refuses the request.
    apricotpost.errors.MalformedMessage
        The lease cannot be decoded. Nobody may take it then: its token is not
        known.
    """
    page = await store.read(platform.USAGE)
    revision = 0
    lease = None
    reports = []
    for row in page.rows:
        if row.key == LEASE_KEY:
            revision = row.revision
            encoded: _EncodedLease = _decode_lease(row.value)
            lease = records.LeaseRow(
                holder=encoded.holder,
                token=encoded.token,
                attempt=encoded.attempt,
                last_window=encoded.last_window,
            )
            continue
        number = row.key.removeprefix(WINDOW_PREFIX)
        if not (number.isascii() and number.isdecimal()):
            events.emit(
                _LOG,
                events.ROW_MALFORMED,
                table=platform.USAGE,
                key=row.key,
                error="key is no window",
            )
            continue
        reports.append(records.Report(window=int(number), body=row.value))
    return revision, lease, tuple(reports)


def _window_key(window: int) -> str:
    return f"{WINDOW_PREFIX}{window:015d}"
