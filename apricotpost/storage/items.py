"""Items, conditions and writes of the table, with their JSON encoding."""

import base64
import binascii
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import typing

from apricotpost import errors

__all__ = [
    "Check",
    "Condition",
    "Delete",
    "Item",
    "Key",
    "MAX_ITEM_BYTES",
    "MAX_TRANSACTION_BYTES",
    "MAX_TRANSACTION_WRITES",
    "Put",
    "Value",
    "Write",
    "absent",
    "check_limits",
    "decode_item",
    "encode_key",
    "encode_write",
    "equals",
]

# Limits of DynamoDB.
MAX_TRANSACTION_WRITES = 100
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024
MAX_ITEM_BYTES = 400 * 1024

Value = str | int | bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Key:
    """Primary key of an item: partition key and sort key."""

    pk: str
    sk: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Item:
    """An item: its key and its attributes."""

    key: Key
    attributes: Mapping[str, Value]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Condition:
    """Condition of a write.

    Parameters
    ----------
    expression : str
        Condition expression of DynamoDB.
    names, values : mapping
        Attribute names and values for the placeholders in the expression.
    """

    expression: str
    names: Mapping[str, str] = dataclasses.field(default_factory=dict)
    values: Mapping[str, Value] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Put:
    """Write that creates or replaces an item."""

    item: Item
    condition: Condition | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Check:
    """Condition of a transaction on an item that it does not write."""

    key: Key
    condition: Condition


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delete:
    """Write that removes an item."""

    key: Key
    condition: Condition | None = None


Write = Put | Check | Delete


def absent() -> Condition:
    """Return the condition that no item has the key of the write."""
    return Condition(expression="attribute_not_exists(pk)")


def equals(**values: Value) -> Condition:
    """Return the condition that the named attributes have these values."""
    terms = [f"#{name} = :{name}" for name in values]
    return Condition(
        expression=" AND ".join(terms),
        names={f"#{name}": name for name in values},
        values={f":{name}": value for name, value in values.items()},
    )


def check_limits(writes: Iterable[Write]) -> None:
    """Check the writes of a transaction against the limits of DynamoDB.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        A limit is exceeded or two writes have the same key. The message
        says that nothing was written.
    """
    keys: set[Key] = set()
    total_bytes = 0
    for write in writes:
        key = write.item.key if isinstance(write, Put) else write.key
        if key in keys:
            raise _make_limit_error(f"item {key.pk}/{key.sk} is written twice")
        keys.add(key)
        item_bytes = _estimate_size(write)
        if item_bytes > MAX_ITEM_BYTES:
            raise _make_limit_error(
                f"item {key.pk}/{key.sk} has {item_bytes} bytes; "
                f"the limit is {MAX_ITEM_BYTES}"
            )
        total_bytes += item_bytes
    if len(keys) > MAX_TRANSACTION_WRITES:
        raise _make_limit_error(
            f"{len(keys)} items; the limit is {MAX_TRANSACTION_WRITES}"
        )
    if total_bytes > MAX_TRANSACTION_BYTES:
        raise _make_limit_error(
            f"{total_bytes} bytes; the limit is {MAX_TRANSACTION_BYTES}"
        )


def encode_write(table: str, write: Write) -> dict[str, typing.Any]:
    """Encode a write as the fields of a request."""
    encoded: dict[str, typing.Any] = {"TableName": table}
    condition = write.condition
    if condition is not None:
        encoded["ConditionExpression"] = condition.expression
        if condition.names:
            encoded["ExpressionAttributeNames"] = dict(condition.names)
        if condition.values:
            encoded["ExpressionAttributeValues"] = {
                name: _encode_value(value)
                for name, value in condition.values.items()
            }
    if isinstance(write, Put):
        encoded["Item"] = _encode_item(write.item)
    else:
        encoded["Key"] = encode_key(write.key)
    return encoded


def encode_key(key: Key) -> dict[str, typing.Any]:
    """Encode a key as the key attributes of an item."""
    return {"pk": {"S": key.pk}, "sk": {"S": key.sk}}


def decode_item(raw: typing.Any) -> Item:
    """Decode an item.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The value is not an encoded item of this table.
    """
    try:
        attributes = {
            name: _decode_value(value)
            for name, value in raw.items()
            if name not in ("pk", "sk")
        }
        key = Key(pk=raw["pk"]["S"], sk=raw["sk"]["S"])
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        binascii.Error,
    ) as error:
        raise errors.PlatformDataDamaged(
            f"the table returned a malformed item: {error!r}"
        ) from error
    return Item(key=key, attributes=attributes)


def _make_limit_error(reason: str) -> errors.RequestInvalid:
    return errors.RequestInvalid(
        f"the change exceeds the table's limits, nothing was written: {reason}"
    )


def _estimate_size(write: Write) -> int:
    if not isinstance(write, Put):
        return 0
    item = write.item
    item_bytes = len(item.key.pk.encode()) + len(item.key.sk.encode()) + 4
    for name, value in item.attributes.items():
        item_bytes += len(name)
        if isinstance(value, int):
            # A number takes a byte for each two digits and one more byte.
            item_bytes += len(str(value)) // 2 + 2
        else:
            item_bytes += len(
                value.encode() if isinstance(value, str) else value
            )
    return item_bytes


def _encode_item(item: Item) -> dict[str, typing.Any]:
    encoded = encode_key(item.key)
    for name, value in item.attributes.items():
        encoded[name] = _encode_value(value)
    return encoded


def _encode_value(value: Value) -> dict[str, typing.Any]:
    if isinstance(value, int):
        return {"N": str(value)}
    if isinstance(value, bytes):
        return {"B": base64.b64encode(value).decode()}
    return {"S": value}


def _decode_value(raw: typing.Any) -> Value:
    if "N" in raw:
        return int(raw["N"])
    if "B" in raw:
        return base64.b64decode(raw["B"], validate=True)
    return str(raw["S"])
