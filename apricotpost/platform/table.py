"""Client of the table service, which speaks the DynamoDB JSON protocol.

References
----------
Amazon DynamoDB API Reference, version 2012-08-10.
"""

import base64
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import typing

import msgspec

from apricotpost import errors
from apricotpost.platform import http

__all__ = [
    "Check",
    "Condition",
    "Delete",
    "Item",
    "Key",
    "Put",
    "Table",
    "Write",
    "absent",
    "equals",
    "get",
    "query",
    "transact",
]

_TARGET = "DynamoDB_20120810."
# Limit of the protocol for one transaction.
MAX_TRANSACTION_WRITES = 100

Value = str | int | bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """A table and the channel to it."""

    channel: http.Channel
    url: str
    name: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """Partition and sort key of an item."""

    pk: str
    sk: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """An item: its key and its attributes."""

    key: Key
    attributes: Mapping[str, Value]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Condition of a write: an expression and its values."""

    expression: str
    names: Mapping[str, str] = dataclasses.field(default_factory=dict)
    values: Mapping[str, Value] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Write of a whole item."""

    item: Item
    condition: Condition | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """Check of an item that is not written."""

    key: Key
    condition: Condition


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """Removal of an item."""

    key: Key
    condition: Condition | None = None


Write = Put | Check | Delete


def absent() -> Condition:
    """Return the condition that no item has this key."""
    return Condition(expression="attribute_not_exists(pk)")


def equals(**values: Value) -> Condition:
    """Return the condition that attributes have these values."""
    terms = [f"#{name} = :{name}" for name in values]
    return Condition(
        expression=" AND ".join(terms),
        names={f"#{name}": name for name in values},
        values={f":{name}": value for name, value in values.items()},
    )


def get(table: Table, key: Key) -> Item | None:
    """Read one item with a consistent read.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer.
    """
    answer = _read(
        table,
        "GetItem",
        {"Key": _encode_key(key), "ConsistentRead": True},
    )
    raw = answer.get("Item")
    return _decode_item(raw) if raw else None


def query(
    table: Table, *, pk: str, after: str = "", limit: int = 1000
) -> tuple[Item, ...]:
    """Read the items of a partition in the order of their sort keys.

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
    apricotpost.errors.PlatformError
        The table did not answer.
    """
    answer = _read(
        table,
        "Query",
        {
            "KeyConditionExpression": "pk = :pk AND sk > :sk",
            "ExpressionAttributeValues": {
                ":pk": {"S": pk},
                ":sk": {"S": after or " "},
            },
            "ConsistentRead": True,
            "Limit": limit,
        },
    )
    return tuple(_decode_item(raw) for raw in answer.get("Items", ()))


def transact(table: Table, writes: Iterable[Write], *, token: str) -> None:
    """Carry out writes and checks together or not at all.

    Parameters
    ----------
    table : Table
        Where to write.
    writes : iterable of Write
        At most 100.
    token : str
        Identifier of the request, at most 36 characters.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        A condition did not hold; nothing was written.
    apricotpost.errors.PlatformUnavailable
        Nothing was written.
    apricotpost.errors.PlatformOutcomeUnknown
        It may have been carried out.
    """
    items = [_encode_write(table.name, write) for write in writes]
    body: dict[str, object] = {
        "TransactItems": items,
        "ClientRequestToken": token,
    }
    reply = _post(table, "TransactWriteItems", body)
    if reply.status == 200:
        return
    fault = _decode_fault(reply)
    if "TransactionCanceled" in fault or "ConditionalCheck" in fault:
        raise errors.TransactionRejected(f"transaction rejected: {fault}")
    raise errors.PlatformUnavailable(f"transaction refused: {fault}")


def _read(
    table: Table, operation: str, body: dict[str, object]
) -> dict[str, typing.Any]:
    body["TableName"] = table.name
    reply = _post(table, operation, body)
    if reply.status != 200:
        raise errors.PlatformUnavailable(
            f"{operation} refused: {_decode_fault(reply)}"
        )
    try:
        answer = msgspec.json.decode(reply.body)
    except msgspec.DecodeError as error:
        raise errors.PlatformUnavailable(
            f"{operation}: malformed answer: {error}"
        ) from error
    return dict(answer)


def _post(table: Table, operation: str, body: dict[str, object]) -> http.Reply:
    return http.request(
        table.channel,
        method="POST",
        url=table.url,
        headers={
            "Content-Type": "application/x-amz-json-1.0",
            "X-Amz-Target": _TARGET + operation,
        },
        body=msgspec.json.encode(body),
    )


def _decode_fault(reply: http.Reply) -> str:
    return reply.body[:300].decode("utf-8", "replace")


def _encode_write(table: str, write: Write) -> dict[str, object]:
    fields: dict[str, object] = {"TableName": table}
    condition = write.condition
    if condition is not None:
        fields["ConditionExpression"] = condition.expression
        if condition.names:
            fields["ExpressionAttributeNames"] = dict(condition.names)
        if condition.values:
            fields["ExpressionAttributeValues"] = {
                name: _encode_value(value)
                for name, value in condition.values.items()
            }
    if isinstance(write, Put):
        fields["Item"] = _encode_item(write.item)
        return {"Put": fields}
    fields["Key"] = _encode_key(write.key)
    return {
        "Delete" if isinstance(write, Delete) else "ConditionCheck": fields
    }


def _encode_key(key: Key) -> dict[str, object]:
    return {"pk": {"S": key.pk}, "sk": {"S": key.sk}}


def _encode_item(item: Item) -> dict[str, object]:
    encoded = _encode_key(item.key)
    for name, value in item.attributes.items():
        encoded[name] = _encode_value(value)
    return encoded


def _encode_value(value: Value) -> dict[str, object]:
    if isinstance(value, int):
        return {"N": str(value)}
    if isinstance(value, bytes):
        return {"B": value}
    return {"S": value}


def _decode_item(raw: typing.Any) -> Item:
    attributes = {
        name: _decode_value(value)
        for name, value in raw.items()
        if name not in ("pk", "sk")
    }
    key = Key(pk=raw["pk"]["S"], sk=raw["sk"]["S"])
    return Item(key=key, attributes=attributes)


def _decode_value(raw: typing.Any) -> Value:
    if "N" in raw:
        return int(raw["N"])
    if "B" in raw:
        return base64.b64decode(raw["B"])
    return str(raw["S"])
