"""Configuration changes and the table writes that commit them."""

import dataclasses

import msgspec

from apricotpost import config
from apricotpost import model
from apricotpost.storage import store as stores
from apricotpost.storage import table

__all__ = ["Change", "Fence", "make_writes", "request_key"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Fence:
    """Check, made by the table, that the writer still holds a lease.

    Parameters
    ----------
    key : Key
        Key of the lease's item.
    holder : str
        Holder that the item must name.
    number : int
        Fencing number that the item must have.
    """

    key: table.Key
    holder: str
    number: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """A new configuration version and the request that it is based on.

    Parameters
    ----------
    before, after : apricotpost.model.Snapshot
        Current and new configuration, each with its checksum; ``after`` has
        the next version number.
    author, reason : str
        Who made the change and why, for the audit record.
    request : str
        Unique identifier of the request.
    at : float
        Unix time of the change in seconds.
    fence : Fence, optional
        Lease that the writer must hold; checked in the same transaction.
    extra : tuple of Write
        Further writes of the same transaction.
    """

    before: model.Snapshot
    after: model.Snapshot
    author: str
    reason: str
    request: str
    at: float
    fence: Fence | None = None
    extra: tuple[table.Write, ...] = ()


def make_writes(change: Change) -> list[table.Write]:
    """Return the writes of a change, to be executed in one transaction."""
    version = change.after.version
    delta = config.compute_delta(change.before, change.after)
    audit_record: dict[str, table.Value] = {
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
            item=table.Item(key=stores.HEAD, attributes={"version": version}),
            condition=head_condition,
        ),
        table.Put(
            item=table.Item(
                key=stores.version_key("version", version),
                attributes={
                    **audit_record,
                    "delta": msgspec.msgpack.encode(delta),
                },
            ),
            condition=table.absent(),
        ),
        table.Put(
            item=table.Item(
                key=stores.version_key("audit", version),
                attributes=audit_record,
            )
        ),
        table.Put(
            item=table.Item(
                key=request_key(change.request),
                attributes={
                    "version": version,
                    "checksum": change.after.checksum,
                },
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


def request_key(request: str) -> table.Key:
    """Return the key of the record of a request identifier."""
    return table.Key(pk="request", sk=request)
