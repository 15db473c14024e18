"""Reads of the configuration in the table and the object store."""

import dataclasses
import logging
import typing

import msgspec

from apricotpost import config
from apricotpost import errors
from apricotpost import events
from apricotpost import model
from apricotpost.storage import http
from apricotpost.storage import objects
from apricotpost.storage import signing
from apricotpost.storage import table

__all__ = [
    "HEAD",
    "SNAPSHOT",
    "Store",
    "bounded",
    "numbered",
    "open_store",
    "read_head",
    "read_newer",
    "read_number",
    "read_snapshot",
]

LOG = logging.getLogger(__name__)

# More missing deltas than this are replaced by a snapshot.
MAX_DELTAS = 64
DELTAS_PER_QUERY = 100

HEAD = table.Key(pk="config", sk="head")
SNAPSHOT = table.Key(pk="config", sk="snapshot")
_DELTA = msgspec.msgpack.Decoder(model.Delta)
_SNAPSHOT = msgspec.msgpack.Decoder(model.Snapshot)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """The platform's services as one thread uses them."""

    channel: http.Channel
    table: table.Table
    objects: objects.ObjectStore


def open_store(
    *,
    table_url: str,
    object_url: str,
    table_name: str,
    bucket: str,
    timeout_seconds: float,
    credentials: signing.Credentials | None = None,
) -> Store:
    """Make a store with a connection of its own."""
    channel = http.open_channel(
        timeout_seconds=timeout_seconds, credentials=credentials
    )
    return Store(
        channel=channel,
        table=table.Table(channel=channel, url=table_url, name=table_name),
        objects=objects.ObjectStore(
            channel=channel, url=object_url, bucket=bucket
        ),
    )


def bounded(store: Store, seconds: float) -> Store:
    """Return the store with at most this time for one answer."""
    channel = http.bounded(store.channel, seconds)
    return Store(
        channel=channel,
        table=dataclasses.replace(store.table, channel=channel),
        objects=dataclasses.replace(store.objects, channel=channel),
    )


def read_head(store: Store) -> int:
    """Read the current configuration version.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer, or its answer is damaged.
    """
    item = table.get(store.table, HEAD)
    return read_number(item, "version") if item is not None else 0


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
        The platform did not answer, or a record is damaged.
    apricotpost.errors.ConfigurationInvalid
        The records do not add up.
    """
    head = read_head(store)
    if head <= have:
        return head, (), None
    if head - have > MAX_DELTAS:
        return head, (), read_snapshot(store, head)
    return head, tuple(_read_deltas(store, have, head)), None


def read_snapshot(store: Store, version: int) -> model.Snapshot:
    """Build a version from the last stored snapshot and later deltas.

    A snapshot that is missing or damaged is replaced by all deltas from the
    first; while the object store does not answer, the caller waits, because
    all nodes reading all deltas would overload the table.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not answer, or a record is damaged.
    apricotpost.errors.ConfigurationInvalid
        The records do not add up.
    """
    base = model.EMPTY_SNAPSHOT
    item = table.get(store.table, SNAPSHOT)
    if item is not None and read_number(item, "version") <= version:
        try:
            base = _read_object(store, item)
        except errors.PlatformDataDamaged as error:
            events.emit(LOG, events.SNAPSHOT_DAMAGED, error=error)
    for delta in _read_deltas(store, base.version, version):
        base = config.apply_delta(base, delta)
    return base


def read_number(item: table.Item, name: str) -> int:
    """Return a number of an item.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The item has no such number.
    """
    value = item.attributes.get(name)
    if not isinstance(value, int):
        raise errors.PlatformDataDamaged(
            f"item {item.key.pk}/{item.key.sk} has no number {name!r}"
        )
    return value


def numbered(partition: str, version: int) -> table.Key:
    """Return the key of a record of one version."""
    return table.Key(pk=partition, sk=_number(version))


def _read_object(store: Store, item: table.Item) -> model.Snapshot:
    name = str(item.attributes.get("name"))
    body = objects.get_object(store.objects, name)
    try:
        snapshot = _SNAPSHOT.decode(body)
    except msgspec.DecodeError as error:
        raise errors.PlatformDataDamaged(
            f"object {name} is not a snapshot: {error}"
        ) from error
    if snapshot.version != read_number(item, "version"):
        raise errors.PlatformDataDamaged(
            f"object {name} holds version {snapshot.version}"
        )
    return snapshot


def _read_deltas(
    store: Store, have: int, head: int
) -> typing.Iterator[model.Delta]:
    while have < head:
        found = table.query(
            store.table,
            pk="version",
            after=_number(have),
            limit=min(head - have, DELTAS_PER_QUERY),
        )
        if not found:
            raise errors.PlatformDataDamaged(
                f"there is no record of version {have + 1}"
            )
        for item in found:
            have += 1
            yield _decode_delta(item, have)


def _decode_delta(item: table.Item, version: int) -> model.Delta:
    body = item.attributes.get("delta")
    if not isinstance(body, bytes):
        raise errors.PlatformDataDamaged(
            f"the record of version {item.key.sk} has no delta"
        )
    try:
        delta = _DELTA.decode(body)
    except msgspec.DecodeError as error:
        raise errors.PlatformDataDamaged(
            f"the delta of version {item.key.sk} is malformed: {error}"
        ) from error
    if delta.version != version:
        raise errors.PlatformDataDamaged(
            f"record {item.key.sk} holds the delta of version "
            f"{delta.version}; expected {version}"
        )
    return delta


def _number(version: int) -> str:
    return f"{version:012d}"
