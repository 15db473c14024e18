"""Reading of the configuration from the table and the object store."""

import dataclasses
import logging
import typing

from apricotpost import config
from apricotpost import decoding
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
    "open_store",
    "read_head",
    "read_number",
    "read_snapshot",
    "read_updates",
    "version_key",
    "with_time_limit",
]

LOG = logging.getLogger(__name__)

# A node that lacks more deltas than this reads a snapshot instead.
MAX_DELTAS = 64
DELTAS_PER_QUERY = 100

HEAD = table.Key(pk="config", sk="head")
SNAPSHOT = table.Key(pk="config", sk="snapshot")
_parse_delta = decoding.msgpack_decoder("stored delta", model.Delta)
_parse_snapshot = decoding.msgpack_decoder("stored snapshot", model.Snapshot)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """Table and object store, reached through one thread's channel."""

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
    """Return a store with a channel of its own."""
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


def with_time_limit(store: Store, seconds: float) -> Store:
    """Return the store with its timeout limited to these seconds."""
    channel = http.with_time_limit(store.channel, seconds)
    return Store(
        channel=channel,
        table=dataclasses.replace(store.table, channel=channel),
        objects=dataclasses.replace(store.objects, channel=channel),
    )


def read_head(store: Store) -> int:
    """Read the number of the current configuration version.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not respond, or its response is damaged.
    """
    item = table.get(store.table, HEAD)
    return read_number(item, "version") if item is not None else 0


def read_updates(
    store: Store, held_version: int
) -> tuple[int, tuple[model.Delta, ...], model.Snapshot | None]:
    """Read the deltas from a version to the current one, or a snapshot.

    Parameters
    ----------
    store : Store
        Store to read from.
    held_version : int
        Version that the reader already has.

    Returns
    -------
    head : int
        Current version.
    deltas : tuple of apricotpost.model.Delta
        Consecutive deltas after ``held_version``.
    snapshot : apricotpost.model.Snapshot, optional
        Current configuration, if there are too many deltas to read.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not respond, or a record is damaged.
    apricotpost.errors.ConfigurationInvalid
        The records do not result in a valid configuration.
    """
    head = read_head(store)
    if head <= held_version:
        return head, (), None
    if head - held_version > MAX_DELTAS:
        return head, (), read_snapshot(store, head)
    return head, tuple(_read_deltas(store, held_version, head)), None


def read_snapshot(store: Store, version: int) -> model.Snapshot:
    """Build a version from the last stored snapshot and the deltas after it.

    If the snapshot is missing or damaged, all deltas from the first one are
    read. If the object store does not respond, an error is raised instead,
    because the table would be overloaded by all nodes reading all deltas.

    Raises
    ------
    apricotpost.errors.PlatformError
        The platform did not respond, or a record is damaged.
    apricotpost.errors.ConfigurationInvalid
        The records do not result in a valid configuration.
    """
    snapshot = model.EMPTY_SNAPSHOT
    item = table.get(store.table, SNAPSHOT)
    if item is not None and read_number(item, "version") <= version:
        try:
            snapshot = _read_snapshot_object(store, item)
        except errors.PlatformDataDamaged as error:
            events.emit(LOG, events.SNAPSHOT_DAMAGED, error=error)
    for delta in _read_deltas(store, snapshot.version, version):
        snapshot = config.apply_delta(snapshot, delta)
    return snapshot


def read_number(item: table.Item, name: str) -> int:
    """Return an integer attribute of an item.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The item has no integer attribute of this name.
    """
    value = item.attributes.get(name)
    if not isinstance(value, int):
        raise errors.PlatformDataDamaged(
            f"item {item.key.pk}/{item.key.sk} has no integer attribute "
            f"{name!r}"
        )
    return value


def version_key(partition: str, version: int) -> table.Key:
    """Return the key of a version's record in a partition."""
    return table.Key(pk=partition, sk=_format_version(version))


def _read_snapshot_object(store: Store, item: table.Item) -> model.Snapshot:
    name = str(item.attributes.get("name"))
    body = objects.get_object(store.objects, name)
    try:
        snapshot: model.Snapshot = _parse_snapshot(body)
    except errors.MalformedMessage as error:
        raise errors.PlatformDataDamaged(
            f"object {name} is not a snapshot: {error}"
        ) from error
    if snapshot.version != read_number(item, "version"):
        raise errors.PlatformDataDamaged(
            f"object {name} contains version {snapshot.version}, which is not "
            "the version of the reference to it"
        )
    return snapshot


def _read_deltas(
    store: Store, version: int, head: int
) -> typing.Iterator[model.Delta]:
    while version < head:
        records = table.query(
            store.table,
            pk="version",
            after=_format_version(version),
            limit=min(head - version, DELTAS_PER_QUERY),
        )
        if not records:
            raise errors.PlatformDataDamaged(
                f"the record of version {version + 1} is missing"
            )
        for item in records:
            version += 1
            yield _decode_delta(item, version)


def _decode_delta(item: table.Item, version: int) -> model.Delta:
    body = item.attributes.get("delta")
    if not isinstance(body, bytes):
        raise errors.PlatformDataDamaged(
            f"the record of version {item.key.sk} has no delta"
        )
    try:
        delta: model.Delta = _parse_delta(body)
    except errors.MalformedMessage as error:
        raise errors.PlatformDataDamaged(
            f"the delta of version {item.key.sk} is malformed: {error}"
        ) from error
    if delta.version != version:
        raise errors.PlatformDataDamaged(
            f"record {item.key.sk} holds the delta of version "
            f"{delta.version}; expected {version}"
        )
    return delta


def _format_version(version: int) -> str:
    return f"{version:012d}"
