"""Items, conditions and writes of the table, and their JSON form."""

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

# Limits of the protocol: writes and bytes of a transaction, bytes of an item.
MAX_TRANSACTION_WRITES = 100
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024
MAX_ITEM_BYTES = 400 * 1024

Value = str | int | bytes


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


def check_limits(writes: Iterable[Write]) -> None:
    """Check writes that are carried out together against the protocol.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        A limit is exceeded; the message says that nothing was written.
    """
    keys: set[Key] = set()
    total = 0
    for write in writes:
        key = write.item.key if isinstance(write, Put) else write.key
        if key in keys:
            raise _too_large(f"item {key.pk}/{key.sk} occurs twice")
        keys.add(key)
        size = _size(write)
        if size > MAX_ITEM_BYTES:
            raise _too_large(
                f"item {key.pk}/{key.sk} has {size} bytes; "
                f"the limit is {MAX_ITEM_BYTES}"
            )
        total += size
    if len(keys) > MAX_TRANSACTION_WRITES:
        raise _too_large(
            f"{len(keys)} items; the limit is {MAX_TRANSACTION_WRITES}"
        )
    if total > MAX_TRANSACTION_BYTES:
        raise _too_large(
            f"{total} bytes; the limit is {MAX_TRANSACTION_BYTES}"
        )


def encode_write(table: str, write: Write) -> dict[str, typing.Any]:
    """Return the fields of a write."""
    fields: dict[str, typing.Any] = {"TableName": table}
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
    else:
        fields["Key"] = encode_key(write.key)
    return fields


def encode_key(key: Key) -> dict[str, typing.Any]:
    """Return the key attributes of an item."""
    return {"pk": {"S": key.pk}, "sk": {"S": key.sk}}


def decode_item(raw: typing.Any) -> Item:
    """Read an item.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        It is not an item of this table.
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


def _too_large(reason: str) -> errors.RequestInvalid:
    return errors.RequestInvalid(
        f"the change exceeds the table's limits, nothing was written: {reason}"
    )


def _size(write: Write) -> int:
    if not isinstance(write, Put):
        return 0
    item = write.item
    size = len(item.key.pk.encode()) + len(item.key.sk.encode()) + 4
    for name, value in item.attributes.items():
        size += len(name)
        if isinstance(value, int):
            # Two digits take a byte, and a number one byte more.
            size += len(str(value)) // 2 + 2
        else:
            size += len(value.encode() if isinstance(value, str) else value)
    return size


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
