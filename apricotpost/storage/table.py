"""Client of the table service, which speaks the DynamoDB JSON protocol.

References
----------
Amazon DynamoDB API Reference, version 2012-08-10.
"""

from collections.abc import Iterable
import dataclasses
import typing

import msgspec

from apricotpost import errors
from apricotpost.storage import faults
from apricotpost.storage import http
from apricotpost.storage import items
from apricotpost.storage.items import absent
from apricotpost.storage.items import Check
from apricotpost.storage.items import Condition
from apricotpost.storage.items import Delete
from apricotpost.storage.items import equals
from apricotpost.storage.items import Item
from apricotpost.storage.items import Key
from apricotpost.storage.items import Put
from apricotpost.storage.items import Value
from apricotpost.storage.items import Write

__all__ = [
    "Check",
    "Condition",
    "Delete",
    "Item",
    "Key",
    "Put",
    "Table",
    "Value",
    "Write",
    "absent",
    "delete",
    "equals",
    "get",
    "put",
    "put_or_get",
    "query",
    "transact",
]

_TARGET = "DynamoDB_20120810."


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """A table and the channel to it."""

    channel: http.Channel
    url: str
    name: str


def get(table: Table, key: Key) -> Item | None:
    """Read one item with a consistent read.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The table did not answer.
    apricotpost.errors.PlatformDataDamaged
        The answer is not an item.
    """
    answer = _read(
        table,
        "GetItem",
        {"Key": items.encode_key(key), "ConsistentRead": True},
    )
    raw = answer.get("Item")
    return items.decode_item(raw) if raw else None


def query(
    table: Table, *, pk: str, after: str = "", limit: int = 1000
) -> tuple[Item, ...]:
    """Read the items of a partition in the order of their sort keys.

    The table may return fewer items than asked for in one answer, even none;
    only ``LastEvaluatedKey`` tells whether there are more.

    Parameters
    ----------
    table : Table
        Where to read.
    pk : str
        Partition key.
    after : str
        Only items with a greater sort key are returned.
    limit : int
        Largest number of items.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The table did not answer.
    apricotpost.errors.PlatformDataDamaged
        An answer is malformed.
    """
    found: list[Item] = []
    start = after
    body: dict[str, typing.Any] = _query_body(pk, after)
    while len(found) < limit:
        body["Limit"] = limit - len(found)
        answer = _read(table, "Query", body)
        raw_items = answer.get("Items", ())
        found.extend(items.decode_item(raw) for raw in raw_items)
        last = answer.get("LastEvaluatedKey")
        if not last:
            break
        position = items.decode_item(last).key.sk
        if position <= start:
            raise errors.PlatformDataDamaged(
                f"Query of {pk}: the pages do not advance past {start!r}"
            )
        start = position
        body["ExclusiveStartKey"] = last
    return tuple(found[:limit])


def put(table: Table, write: Put) -> None:
    """Write one item.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        The condition did not hold; nothing was written.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        It may have been written.
    """
    _write(table, "PutItem", items.encode_write(table.name, write))


def put_or_get(table: Table, write: Put) -> Item | None:
    """Write one item, or return the one that stands in the way.

    Returns
    -------
    Item or None
        None when the item was written. Otherwise nothing was written, and
        this is the item for which the condition did not hold.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        The condition did not hold, and the item has gone since.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        It may have been written.
    """
    fields = items.encode_write(table.name, write)
    # Saves the read of the other item after a rejection.
    fields["ReturnValuesOnConditionCheckFailure"] = "ALL_OLD"
    reply = _post(table, "PutItem", fields)
    if reply.status == 200:
        faults.decode_answer("PutItem", reply)
        return None
    fault = faults.decode_fault(reply)
    if not faults.is_rejection(fault):
        raise faults.failure("PutItem", reply, fault)
    if fault.get("Item"):
        return items.decode_item(fault["Item"])
    current = get(table, write.item.key)
    if current is None:
        raise errors.TransactionRejected("PutItem: nothing was written")
    return current


def delete(table: Table, write: Delete) -> None:
    """Remove one item; see `put` for the failures."""
    _write(table, "DeleteItem", items.encode_write(table.name, write))


def transact(table: Table, writes: Iterable[Write], *, token: str) -> None:
    """Carry out writes and checks together or not at all.

    Parameters
    ----------
    table : Table
        Where to write.
    writes : iterable of Write
        At most 100, each of another item.
    token : str
        Identifier of the request, at most 36 characters. The table takes a
        repeated token for the same request, so it must be unique.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        The writes exceed a limit of the protocol; nothing was written.
    apricotpost.errors.TransactionRejected
        A condition did not hold; nothing was written.
    apricotpost.errors.PlatformThrottled
        The table is over its rate or busy; nothing was written.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        It may have been carried out.
    """
    entries = tuple(writes)
    items.check_limits(entries)
    body = {
        "TransactItems": [
            {_KINDS[type(entry)]: items.encode_write(table.name, entry)}
            for entry in entries
        ],
        "ClientRequestToken": token,
    }
    _write(table, "TransactWriteItems", body)


_KINDS = {Put: "Put", Check: "ConditionCheck", Delete: "Delete"}


def _query_body(pk: str, after: str) -> dict[str, typing.Any]:
    values = {":pk": {"S": pk}}
    expression = "pk = :pk"
    if after:
        values[":sk"] = {"S": after}
        expression += " AND sk > :sk"
    return {
        "KeyConditionExpression": expression,
        "ExpressionAttributeValues": values,
        "ConsistentRead": True,
    }


def _read(
    table: Table, operation: str, body: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Read; every failure means that nothing is known and nothing changed."""
    body["TableName"] = table.name
    try:
        reply = _post(table, operation, body)
    except errors.PlatformOutcomeUnknown as error:
        raise errors.PlatformUnavailable(
            f"{operation}: the table did not answer a read: {error.message}"
        ) from error
    if reply.status != 200:
        raise faults.failure(operation, reply, faults.decode_fault(reply))
    try:
        return faults.decode_answer(operation, reply)
    except errors.PlatformOutcomeUnknown as error:
        raise errors.PlatformDataDamaged(error.message) from error


def _write(table: Table, operation: str, body: dict[str, typing.Any]) -> None:
    reply = _post(table, operation, body)
    if reply.status == 200:
        faults.decode_answer(operation, reply)
        return
    raise faults.failure(operation, reply, faults.decode_fault(reply))


def _post(
    table: Table, operation: str, body: dict[str, typing.Any]
) -> http.Reply:
    return http.request(
        table.channel,
        service="dynamodb",
        method="POST",
        url=table.url,
        headers={
            "Content-Type": "application/x-amz-json-1.0",
            "X-Amz-Target": _TARGET + operation,
        },
        body=msgspec.json.encode(body),
    )
