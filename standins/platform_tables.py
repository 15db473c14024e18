"""Tables of the platform stand-in: conditional writes in transactions."""

import dataclasses
import re
import threading
import typing

__all__ = ["ConditionFailed", "Tables", "get_item", "query", "transact"]

_TERM = re.compile(r"(\S+)\s*(=|<|<=|>|>=)\s*(:\S+)")
_FUNCTION = re.compile(r"(attribute_exists|attribute_not_exists)\((\S+)\)")

Attributes = dict[str, typing.Any]


class ConditionFailed(Exception):
    """A condition of a transaction does not hold."""


@dataclasses.dataclass(kw_only=True)
class Tables:
    """Contents of all tables, by table, partition and sort key."""

    items: dict[str, dict[str, dict[str, Attributes]]] = dataclasses.field(
        default_factory=dict
    )
    tokens: set[str] = dataclasses.field(default_factory=set)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    reads: int = 0
    writes: int = 0


def get_item(tables: Tables, body: Attributes) -> Attributes:
    """Carry out GetItem."""
    with tables.lock:
        tables.reads += 1
        item = _find(tables, body["TableName"], body["Key"])
    return {} if item is None else {"Item": item}


def query(tables: Tables, body: Attributes) -> Attributes:
    """Carry out Query on ``pk = :pk AND sk > :sk``."""
    values = body["ExpressionAttributeValues"]
    partition, after = values[":pk"]["S"], values[":sk"]["S"]
    with tables.lock:
        tables.reads += 1
        rows = tables.items.get(body["TableName"], {}).get(partition, {})
        keys = sorted(key for key in rows if key > after)
        found = [rows[key] for key in keys[: body.get("Limit", 1000)]]
    return {"Items": found, "Count": len(found)}


def transact(tables: Tables, body: Attributes) -> Attributes:
    """Carry out TransactWriteItems.

    Raises
    ------
    ConditionFailed
        Nothing was written.
    """
    with tables.lock:
        token = body.get("ClientRequestToken")
        if token in tables.tokens:
            return {}
        for entry in body["TransactItems"]:
            _check_entry(tables, entry)
        for entry in body["TransactItems"]:
            _write_entry(tables, entry)
        if token:
            tables.tokens.add(token)
    return {}


def _check_entry(tables: Tables, entry: Attributes) -> None:
    ((_, fields),) = entry.items()
    expression = fields.get("ConditionExpression")
    if not expression:
        return
    item = _find(tables, fields["TableName"], _key_of(fields))
    for term in expression.split(" AND "):
        if not _holds(term.strip(), item, fields):
            raise ConditionFailed(term)


def _holds(term: str, item: Attributes | None, fields: Attributes) -> bool:
    names = fields.get("ExpressionAttributeNames", {})
    function = _FUNCTION.fullmatch(term)
    if function:
        name = names.get(function[2], function[2])
        present = item is not None and name in item
        return present == (function[1] == "attribute_exists")
    comparison = _TERM.fullmatch(term)
    if comparison is None:
        raise ValueError(f"condition {term!r} is not supported")
    name = names.get(comparison[1], comparison[1])
    expected = fields["ExpressionAttributeValues"][comparison[3]]
    if item is None or name not in item:
        return False
    return _compare(item[name], comparison[2], expected)


def _compare(value: Attributes, operator: str, expected: Attributes) -> bool:
    ((kind, left),) = value.items()
    ((other_kind, right),) = expected.items()
    if kind != other_kind:
        return False
    if kind == "N":
        left, right = float(left), float(right)
    return {
        "=": left == right,
        "<": left < right,
        "<=": left <= right,
        ">": left > right,
        ">=": left >= right,
    }[operator]


def _write_entry(tables: Tables, entry: Attributes) -> None:
    ((operation, fields),) = entry.items()
    key = _key_of(fields)
    table = tables.items.setdefault(fields["TableName"], {})
    partition = table.setdefault(key["pk"]["S"], {})
    if operation == "Put":
        tables.writes += 1
        partition[key["sk"]["S"]] = fields["Item"]
    elif operation == "Delete":
        tables.writes += 1
        partition.pop(key["sk"]["S"], None)


def _key_of(fields: Attributes) -> Attributes:
    source = fields.get("Item") or fields["Key"]
    return {"pk": source["pk"], "sk": source["sk"]}


def _find(tables: Tables, name: str, key: Attributes) -> Attributes | None:
    partition = tables.items.get(name, {}).get(key["pk"]["S"], {})
    return partition.get(key["sk"]["S"])
