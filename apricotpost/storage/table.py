"""Client of the table service, which implements the DynamoDB JSON protocol.

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
    """A table and the channel for requests to it."""

    channel: http.Channel
    url: str
    name: str


def get(table: Table, key: Key) -> Item | None:
    """Read one item with a consistent read.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The table did not respond.
    apricotpost.errors.PlatformDataDamaged
        The response does not contain a valid item.
    """
    response = _send_read(
        table,
        "GetItem",
        {"Key": items.encode_key(key), "ConsistentRead": True},
    )
    raw = response.get("Item")
    return items.decode_item(raw) if raw else None


def query(
    table: Table, *, pk: str, after: str = "", limit: int = 1000
) -> tuple[Item, ...]:
    """Read the items of a partition in the order of their sort keys.

    A response may contain fewer items than requested, or even none, although
    more follow; it is the last one only if it has no ``LastEvaluatedKey``.

    Parameters
    ----------
    table : Table
        Table to read from.
    pk : str
        Partition key.
    after : str
        Only items with a greater sort key are returned.
    limit : int
        Largest number of items to return.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The table did not respond.
    apricotpost.errors.PlatformDataDamaged
        A response is malformed, or the pages do not advance.
    """
    collected: list[Item] = []
    previous_key = after
    body: dict[str, typing.Any] = _query_body(pk, after)
    while len(collected) < limit:
        body["Limit"] = limit - len(collected)
        response = _send_read(table, "Query", body)
        page = response.get("Items", ())
        collected.extend(items.decode_item(raw) for raw in page)
        last_key = response.get("LastEvaluatedKey")
        if not last_key:
            break
        sort_key = items.decode_item(last_key).key.sk
        if sort_key <= previous_key:
            raise errors.PlatformDataDamaged(
                f"Query of {pk}: the pages do not advance past "
                f"{previous_key!r}"
            )
        previous_key = sort_key
        body["ExclusiveStartKey"] = last_key
    return tuple(collected[:limit])


def put(table: Table, write: Put) -> None:
    """Write one item.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        The condition did not hold; nothing was written.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        The item may have been written.
    """
    _send_write(table, "PutItem", items.encode_write(table.name, write))


def put_or_get(table: Table, write: Put) -> Item | None:
    """Write one item, or return the existing item that prevents it.

    Returns
    -------
    Item or None
        None if the item was written. Otherwise nothing was written, and
        this is the existing item, for which the condition did not hold.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        The condition did not hold, and the item has been removed since.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        The item may have been written.
    """
    fields = items.encode_write(table.name, write)
    # With the existing item in the response, no read of it is needed.
    fields["ReturnValuesOnConditionCheckFailure"] = "ALL_OLD"
    response = _post(table, "PutItem", fields)
    if response.status == 200:
        faults.decode_success("PutItem", response)
        return None
    error_body = faults.decode_error(response)
    if not faults.is_condition_failure(error_body):
        raise faults.make_exception("PutItem", response, error_body)
    if error_body.get("Item"):
        return items.decode_item(error_body["Item"])
    existing = get(table, write.item.key)
    if existing is None:
        raise errors.TransactionRejected(
            "PutItem: the condition did not hold and the item was removed "
            "since; nothing was written"
        )
    return existing


def delete(table: Table, write: Delete) -> None:
    """Remove one item; raises the same errors as `put`."""
    _send_write(table, "DeleteItem", items.encode_write(table.name, write))


def transact(table: Table, writes: Iterable[Write], *, token: str) -> None:
    """Execute writes and checks in one transaction.

    Parameters
    ----------
    table : Table
        Table to write to.
    writes : iterable of Write
        At most 100 writes, each of a different item.
    token : str
        Idempotency token of at most 36 characters. The table treats requests
        with the same token as one request, so it must be unique.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        The writes exceed a limit of DynamoDB; nothing was written.
    apricotpost.errors.TransactionRejected
        A condition did not hold; nothing was written.
    apricotpost.errors.PlatformThrottled
        The table throttled the request, or an item was busy; nothing was
        written.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        The transaction may have been executed.
    """
    all_writes = tuple(writes)
    items.check_limits(all_writes)
    body = {
        "TransactItems": [
            {_OPERATIONS[type(entry)]: items.encode_write(table.name, entry)}
            for entry in all_writes
        ],
        "ClientRequestToken": token,
    }
    _send_write(table, "TransactWriteItems", body)


_OPERATIONS = {Put: "Put", Check: "ConditionCheck", Delete: "Delete"}


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


def _send_read(
    table: Table, operation: str, body: dict[str, typing.Any]
) -> dict[str, typing.Any]:
    """Send a read, which cannot have changed anything if it fails."""
    body["TableName"] = table.name
    try:
        response = _post(table, operation, body)
    except errors.PlatformOutcomeUnknown as error:
        raise errors.PlatformUnavailable(
            f"{operation}: the table did not respond to a read: "
            f"{error.message}"
        ) from error
    if response.status != 200:
        raise faults.make_exception(
            operation, response, faults.decode_error(response)
        )
    try:
        return faults.decode_success(operation, response)
    except errors.PlatformOutcomeUnknown as error:
        raise errors.PlatformDataDamaged(error.message) from error


def _send_write(
    table: Table, operation: str, body: dict[str, typing.Any]
) -> None:
    response = _post(table, operation, body)
    if response.status == 200:
        faults.decode_success(operation, response)
        return
    raise faults.make_exception(
        operation, response, faults.decode_error(response)
    )


def _post(
    table: Table, operation: str, body: dict[str, typing.Any]
) -> http.Response:
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
