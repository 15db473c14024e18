"""Changes of the configuration, each one transaction of the table."""

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

# A node without a usable base reads one snapshot and about so many deltas.
SNAPSHOT_EVERY_VERSIONS = 16
# Pauses before a refused transaction is sent again. Throttling and conflicts
# with another transaction pass within a second, and nothing was written.
THROTTLED_PAUSES_SECONDS = (0.1, 0.3, 0.6)


def commit(
    store: stores.Store,
    change: changes.Change,
    *,
    pause: Callable[[float], None] = time.sleep,
) -> int:
    """Make a configuration the current one.

    Parameters
    ----------
    store : Store
        Where to write.
    change : Change
        What to write.
    pause : callable
        Waits for some seconds.

    Returns
    -------
    int
        The accepted version.

    Raises
    ------
    apricotpost.errors.ConfigurationInvalid
        The new configuration has faults; nothing was written.
    apricotpost.errors.RequestInvalid
        The change is too large for a transaction; nothing was written.
    apricotpost.errors.ChangeConflict
        Another change was accepted first; the message names it.
    apricotpost.errors.LeaseLost
        The fence does not hold; nothing was written.
    apricotpost.errors.PlatformUnavailable
        The change was not accepted and will not be.
    apricotpost.errors.PlatformOutcomeUnknown
        The answer was lost and the table did not answer afterwards. The
        message names the request identifier, which tells later.

    Notes
    -----
    When the answer is lost and there is no record of the request, the
    transaction may still be on its way. A mark under the request identifier
    then makes its conditions fail for good, so the refusal is final.
    """
    config.validate(change.after)
    writes = changes.change_writes(change) + _snapshot_writes(store, change)
    try:
        _transact(store, writes, _token(change), pause)
    except errors.PlatformOutcomeUnknown:
        _resolve(store, change)
    except errors.TransactionRejected as error:
        if _was_accepted(store, change):
            return change.after.version
        raise _explain_rejection(store, change) from error
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


def _token(change: changes.Change) -> str:
    """Return the token of a change; another content has another token."""
    after = change.after
    text = f"{change.request}\n{after.version}\n{after.checksum}"
    return xxhash.xxh128_hexdigest(text.encode())


def _snapshot_writes(
    store: stores.Store, change: changes.Change
) -> list[table.Write]:
    """Store a snapshot if the last one is 16 versions old or older."""
    version = change.after.version
    if version < SNAPSHOT_EVERY_VERSIONS:
        return []
    try:
        item = table.get(store.table, stores.SNAPSHOT)
        last = stores.read_number(item, "version") if item is not None else 0
        if version - last < SNAPSHOT_EVERY_VERSIONS:
            return []
        name = objects.put_object(
            store.objects, msgspec.msgpack.encode(change.after)
        )
    except errors.PlatformError:
        # The deltas are enough; the next change tries again.
        return []
    return [
        table.Put(
            item=table.Item(
                key=stores.SNAPSHOT,
                attributes={"version": version, "name": name},
            )
        )
    ]


def _resolve(store: stores.Store, change: changes.Change) -> None:
    """Settle a change whose answer was lost; returns if it was accepted."""
    try:
        if _was_accepted(store, change):
            return
        mark = table.Item(
            key=changes.request_key(change.request),
            attributes={"version": 0, "checksum": ""},
        )
        table.put(store.table, table.Put(item=mark, condition=table.absent()))
    except errors.TransactionRejected:
        if _was_accepted(store, change):
            return
    except errors.PlatformError as error:
        raise _unknown(change) from error
    raise errors.PlatformUnavailable(
        f"request {change.request} was not accepted: the table lost the "
        "answer and holds no record of it; nothing was written, submit the "
        "change again under a new request identifier"
    )


def _was_accepted(store: stores.Store, change: changes.Change) -> bool:
    """Look a change up by its request identifier.

    Raises
    ------
    apricotpost.errors.ChangeConflict
        The identifier belongs to another change.
    apricotpost.errors.PlatformOutcomeUnknown
        The table did not answer.
    """
    try:
        item = table.get(store.table, changes.request_key(change.request))
    except errors.PlatformError as error:
        raise _unknown(change) from error
    if item is None:
        return False
    accepted = stores.read_number(item, "version")
    if not accepted:
        return False
    if (accepted, item.attributes.get("checksum")) != (
        change.after.version,
        change.after.checksum,
    ):
        raise errors.ChangeConflict(
            f"request {change.request} was used before, for version "
            f"{accepted}; this change was not written"
        )
    return True


def _unknown(change: changes.Change) -> errors.PlatformOutcomeUnknown:
    return errors.PlatformOutcomeUnknown(
        f"request {change.request}: the table's answer was lost and it does "
        f"not answer now; version {change.after.version} may or may not have "
        "been accepted, the audit record of that version tells"
    )


def _explain_rejection(
    store: stores.Store, change: changes.Change
) -> errors.ApricotpostError:
    """Say why a transaction was rejected; nothing was written by it."""
    version = change.after.version
    try:
        winner = table.get(store.table, stores.numbered("audit", version))
        mark = table.get(store.table, changes.request_key(change.request))
    except errors.PlatformError:
        return errors.ChangeConflict(
            f"version {version} was not written: another change was accepted "
            "first or the lease was lost; the table does not answer now"
        )
    if winner is not None:
        return errors.ChangeConflict(
            f"version {version} was accepted first, from "
            f"{winner.attributes.get('author')!s}: "
            f"{winner.attributes.get('reason')!s}; "
            "this change was not written"
        )
    if mark is not None:
        return errors.ChangeConflict(
            f"request {change.request} was given up before; submit the "
            "change again under a new request identifier"
        )
    if change.fence is not None:
        return errors.LeaseLost(
            "the lease has another holder; nothing was written"
        )
    return errors.ChangeConflict(
        f"version {change.before.version} is not the current one; "
        "this change was not written"
    )
