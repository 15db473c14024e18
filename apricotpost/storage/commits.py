"""Commits of configuration changes, each in one table transaction."""

from collections.abc import Callable
import time

import msgspec
import xxhash

from apricotpost import config
from apricotpost import errors
from apricotpost.storage import changes
from apricotpost.storage import objects
from apricotpost.storage import store as stores
from apricotpost.storage import table

__all__ = ["SNAPSHOT_EVERY_VERSIONS", "commit"]

# A node that starts without a usable version reads one snapshot and about as
# many deltas as this.
SNAPSHOT_EVERY_VERSIONS = 16
# Pauses before a throttled transaction is retried. Throttling and conflicts
# with another transaction usually end within a second, and retries are safe
# because nothing was written.
THROTTLED_PAUSES_SECONDS = (0.1, 0.3, 0.6)


def commit(
    store: stores.Store,
    change: changes.Change,
    *,
    pause: Callable[[float], None] = time.sleep,
) -> int:
    """Commit a change, after which its configuration is the current one.

    Parameters
    ----------
    store : Store
        Store to write to.
    change : Change
        Change to commit.
    pause : callable
        Sleeps for a number of seconds.

    Returns
    -------
    int
        The accepted version.

    Raises
    ------
    apricotpost.errors.ConfigurationInvalid
        The new configuration has faults; nothing was written.
    apricotpost.errors.RequestInvalid
        The change exceeds a limit of the table; nothing was written.
    apricotpost.errors.ChangeConflict
        Another change was accepted first, or the request identifier was
        used before; the message says which, and nothing was written.
    apricotpost.errors.LeaseLost
        The writer does not hold the lease any more; nothing was written.
    apricotpost.errors.PlatformUnavailable
        The change was not accepted and will not be.
    apricotpost.errors.PlatformOutcomeUnknown
        The response was lost and the table did not respond afterwards. The
        message contains the request identifier, with which the outcome can
        be looked up later.

    Notes
    -----
    When the response is lost and there is no record of the request, the
    transaction may still arrive at the table. A placeholder record under the
    request identifier then makes its condition fail whenever it arrives, so
    that a change that was reported as not accepted stays so.
    """
    config.validate(change.after)
    writes = changes.make_writes(change) + _snapshot_writes(store, change)
    try:
        _transact(store, writes, _make_token(change), pause)
    except errors.PlatformOutcomeUnknown:
        _resolve_unknown(store, change)
    except errors.TransactionRejected as error:
        if _was_accepted(store, change):
            return change.after.version
        raise _make_rejection_error(store, change) from error
    return change.after.version


def _transact(
    store: stores.Store,
    writes: list[table.Write],
    token: str,
    pause: Callable[[float], None],
) -> None:
    for seconds in THROTTLED_PAUSES_SECONDS:
        try:
            return table.transact(store.table, writes, token=token)
        except errors.PlatformThrottled:
            pause(seconds)
    return table.transact(store.table, writes, token=token)


def _make_token(change: changes.Change) -> str:
    """Return an idempotency token that differs between different changes."""
    after = change.after
    content = f"{change.request}\n{after.version}\n{after.checksum}"
    return xxhash.xxh128_hexdigest(content.encode())


def _snapshot_writes(
    store: stores.Store, change: changes.Change
) -> list[table.Write]:
    """Store a snapshot if the stored one is at least 16 versions old.

    Returns the write of the reference to it, if any.
    """
    version = change.after.version
    if version < SNAPSHOT_EVERY_VERSIONS:
        return []
    try:
        item = table.get(store.table, stores.SNAPSHOT)
        stored_version = (
            stores.read_number(item, "version") if item is not None else 0
        )
        if version - stored_version < SNAPSHOT_EVERY_VERSIONS:
            return []
        name = objects.put_object(
            store.objects, msgspec.msgpack.encode(change.after)
        )
    except errors.PlatformError:
        # The snapshot is optional, as all deltas are stored; the next commit
        # tries again.
        return []
    return [
        table.Put(
            item=table.Item(
                key=stores.SNAPSHOT,
                attributes={"version": version, "name": name},
            )
        )
    ]


def _resolve_unknown(store: stores.Store, change: changes.Change) -> None:
    """Resolve a change whose response was lost; return if it was accepted.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The change was not accepted and will not be.
    apricotpost.errors.PlatformOutcomeUnknown
        The table did not respond.
    """
    try:
        if _was_accepted(store, change):
            return
        placeholder = table.Item(
            key=changes.request_key(change.request),
            attributes={"version": 0, "checksum": ""},
        )
        table.put(
            store.table, table.Put(item=placeholder, condition=table.absent())
        )
    except errors.TransactionRejected:
        if _was_accepted(store, change):
            return
    except errors.PlatformError as error:
        raise _make_unknown_error(change) from error
    raise errors.PlatformUnavailable(
        f"request {change.request} was not accepted: the response was lost "
        "and the table has no record of the request; nothing was written, "
        "submit the change again under a new request identifier"
    )


def _was_accepted(store: stores.Store, change: changes.Change) -> bool:
    """Return whether the record of the request shows an accepted change.

    Raises
    ------
    apricotpost.errors.ChangeConflict
        The request identifier was used for another change.
    apricotpost.errors.PlatformOutcomeUnknown
        The table did not respond.
    """
    try:
        item = table.get(store.table, changes.request_key(change.request))
    except errors.PlatformError as error:
        raise _make_unknown_error(change) from error
    if item is None:
        return False
    accepted_version = stores.read_number(item, "version")
    if not accepted_version:
        return False
    if (accepted_version, item.attributes.get("checksum")) != (
        change.after.version,
        change.after.checksum,
    ):
        raise errors.ChangeConflict(
            f"request {change.request} was used before, for version "
            f"{accepted_version}; this change was not written"
        )
    return True


def _make_unknown_error(
    change: changes.Change,
) -> errors.PlatformOutcomeUnknown:
    return errors.PlatformOutcomeUnknown(
        f"request {change.request}: the table's response was lost and it "
        f"does not respond now; version {change.after.version} may or may "
        "not have been accepted; see the audit record of that version"
    )


def _make_rejection_error(
    store: stores.Store, change: changes.Change
) -> errors.ApricotpostError:
    """Return the error that explains why a transaction was rejected."""
    version = change.after.version
    try:
        accepted = table.get(store.table, stores.version_key("audit", version))
        placeholder = table.get(
            store.table, changes.request_key(change.request)
        )
    except errors.PlatformError:
        return errors.ChangeConflict(
            f"version {version} was not written: another change was accepted "
            "first or the lease was lost; the table does not respond now"
        )
    if accepted is not None:
        return errors.ChangeConflict(
            f"version {version} was accepted first, from "
            f"{accepted.attributes.get('author')!s}: "
            f"{accepted.attributes.get('reason')!s}; "
            "this change was not written"
        )
    if placeholder is not None:
        return errors.ChangeConflict(
            f"request {change.request} was marked as not accepted before; "
            "submit the change again under a new request identifier"
        )
    if change.fence is not None:
        return errors.LeaseLost(
            "the lease has another holder; nothing was written"
        )
    return errors.ChangeConflict(
        f"version {change.before.version} is not the current one; "
        "this change was not written"
    )
