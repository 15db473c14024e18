"""The configuration in the table and the object store."""

import dataclasses

import msgspec

from apricotpost import config
from apricotpost import errors
from apricotpost import model
from apricotpost.platform import http
from apricotpost.platform import objects
from apricotpost.platform import table

__all__ = [
    "Change",
    "Fence",
    "SNAPSHOT_EVERY_VERSIONS",
    "Store",
    "commit",
    "open_store",
    "read_head",
    "read_newer",
    "read_snapshot",
]

# A node without a usable base reads one snapshot and at most this many deltas.
SNAPSHOT_EVERY_VERSIONS = 16
# More missing deltas than this are replaced by a snapshot.
MAX_DELTAS = 64

_HEAD = table.Key(pk="config", sk="head")
_DELTA = msgspec.msgpack.Decoder(model.Delta)
_SNAPSHOT = msgspec.msgpack.Decoder(model.Snapshot)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """The platform's services as one thread uses them."""

    channel: http.Channel
    table: table.Table
    objects: objects.ObjectStore


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Proof that the writer still holds a lease."""

    key: table.Key
    holder: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A new configuration and who asked for it.

    Parameters
    ----------
    before, after : apricotpost.model.Snapshot
        Sealed; ``after`` has the next version number.
    author, reason : str
        Kept in the audit record.
    request : str
        Unique identifier of the request.
    at : float
        Unix time in seconds.
    fence : Fence, optional
        Checked in the same transaction.
    """

    before: model.Snapshot
    after: model.Snapshot
    author: str
    reason: str
    request: str
    at: float
    fence: Fence | None = None
    extra: tuple[table.Write, ...] = ()


def open_store(
    *,
    table_url: str,
    object_url: str,
    table_name: str,
    bucket: str,
    timeout_seconds: float,
) -> Store:
    """Make a store with a connection of its own."""
    channel = http.open_channel(timeout_seconds=timeout_seconds)
    return Store(
        channel=channel,
        table=table.Table(channel=channel, url=table_url, name=table_name),
        objects=objects.ObjectStore(
            channel=channel, url=object_url, bucket=bucket
        ),
    )


def read_head(store: Store) -> int:
    """Read the current configuration version.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer.
    """
    item = table.get(store.table, _HEAD)
    return int(item.attributes["version"]) if item is not None else 0


def read_newer(
    store: Store, have: int
) -> tuple[int, tuple[model.Delta, ...], model.Snapshot | None]:
    """Read what leads from a version to the current one.

    Parameters
    ----------
    store : Store
        Where to read.
    have : int
        Version held.

    Returns
    -------
    head : int
        Current version.
    deltas : tuple of apricotpost.model.Delta
        Consecutive deltas after ``have``.
    snapshot : apricotpost.model.Snapshot, optional
        The whole configuration, where the deltas were too many.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not answer.
    """
    head = read_head(store)
    if head <= have:
        return head, (), None
    if head - have > MAX_DELTAS:
        return head, (), read_snapshot(store, head)
    return head, _read_deltas(store, have, head), None


def read_snapshot(store: Store, version: int) -> model.Snapshot:
    """Build a version from the last stored snapshot and later deltas.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not answer.
    apricotpost.errors.ConfigurationInvalid
        The records do not add up.
    """
    base = model.EMPTY_SNAPSHOT
    item = table.get(store.table, table.Key(pk="config", sk="snapshot"))
    if item is not None and int(item.attributes["version"]) <= version:
        body = objects.get_object(store.objects, str(item.attributes["name"]))
        base = _SNAPSHOT.decode(body)
    for delta in _read_deltas(store, base.version, version):
        base = config.apply_delta(base, delta)
    return base


def commit(store: Store, change: Change) -> int:
    """Make a configuration the current one.

    Parameters
    ----------
    store : Store
        Where to write.
    change : Change
        What to write.

    Returns
    -------
    int
        The accepted version.

    Raises
    ------
    apricotpost.errors.ConfigurationInvalid
        The new configuration has faults; nothing was written.
    apricotpost.errors.ChangeConflict
        Another change was accepted first; the message names it.
    apricotpost.errors.LeaseLost
        The fence does not hold; nothing was written.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        The answer was lost and the table could not be read afterwards.
    """
    config.validate(change.after)
    writes = _change_writes(change) + _snapshot_writes(store, change)
    try:
        table.transact(store.table, writes, token=change.request[:36])
    except errors.PlatformOutcomeUnknown:
        if _was_carried_out(store, change):
            return change.after.version
        raise errors.PlatformUnavailable(
            "the change was not accepted; the table did not answer in time"
        ) from None
    except errors.TransactionRejected as error:
        if _was_carried_out(store, change):
            return change.after.version
        raise _explain_conflict(store, change) from error
    return change.after.version


def _change_writes(change: Change) -> list[table.Write]:
    version = change.after.version
    delta = config.compute_delta(change.before, change.after)
    record: dict[str, table.Value] = {
        "author": change.author,
        "reason": change.reason,
        "request": change.request,
        "at_ms": int(change.at * 1000),
        "base": change.before.version,
        "version": version,
    }
    head_condition = (
        table.equals(version=change.before.version)
        if change.before.version
        else table.absent()
    )
    writes: list[table.Write] = [
        table.Put(
            item=table.Item(key=_HEAD, attributes={"version": version}),
            condition=head_condition,
        ),
        table.Put(
            item=table.Item(
                key=_numbered("version", version),
                attributes={**record, "delta": msgspec.msgpack.encode(delta)},
            ),
            condition=table.absent(),
        ),
        table.Put(
            item=table.Item(key=_numbered("audit", version), attributes=record)
        ),
        table.Put(
            item=table.Item(
                key=_request_key(change.request),
                attributes={"version": version},
            ),
            condition=table.absent(),
        ),
    ]
    if change.fence is not None:
        writes.append(
            table.Check(
                key=change.fence.key,
                condition=table.equals(
                    holder=change.fence.holder, fence=change.fence.number
                ),
            )
        )
    writes.extend(change.extra)
    return writes


def _snapshot_writes(store: Store, change: Change) -> list[table.Write]:
    if change.after.version % SNAPSHOT_EVERY_VERSIONS:
        return []
    try:
        name = objects.put_object(
            store.objects, msgspec.msgpack.encode(change.after)
        )
    except errors.PlatformError:
        # The deltas are enough; the next multiple stores a snapshot again.
        return []
    return [
        table.Put(
            item=table.Item(
                key=table.Key(pk="config", sk="snapshot"),
                attributes={"version": change.after.version, "name": name},
            )
        )
    ]


def _was_carried_out(store: Store, change: Change) -> bool:
    """Resolve a lost answer by reading the request identifier."""
    try:
        item = table.get(store.table, _request_key(change.request))
    except errors.PlatformError as error:
        raise errors.PlatformOutcomeUnknown(
            f"request {change.request}: the answer was lost and the table "
            "does not answer; look it up by this identifier"
        ) from error
    return item is not None


def _explain_conflict(store: Store, change: Change) -> errors.ApricotpostError:
    winner = table.get(store.table, _numbered("audit", change.after.version))
    if winner is None:
        return errors.LeaseLost("the lease has another holder")
    return errors.ChangeConflict(
        f"version {change.after.version} was accepted first, from "
        f"{winner.attributes['author']!s}: "
        f"{winner.attributes['reason']!s}"
    )


def _read_deltas(
    store: Store, have: int, head: int
) -> tuple[model.Delta, ...]:
    deltas: list[model.Delta] = []
    while have < head:
        items = table.query(
            store.table,
            pk="version",
            after=_number(have),
            limit=min(head - have, 100),
        )
        if not items:
            raise errors.PlatformUnavailable(
                f"no record of version {have + 1}"
            )
        for item in items:
            deltas.append(_decode_delta(item))
        have = deltas[-1].version
    return tuple(deltas)


def _decode_delta(item: table.Item) -> model.Delta:
    body = item.attributes["delta"]
    if not isinstance(body, bytes):
        raise errors.PlatformUnavailable(
            f"the record of version {item.key.sk} has no delta"
        )
    return _DELTA.decode(body)


def _numbered(partition: str, version: int) -> table.Key:
    return table.Key(pk=partition, sk=_number(version))


def _number(version: int) -> str:
    return f"{version:012d}"


def _request_key(request: str) -> table.Key:
    return table.Key(pk="request", sk=request)
