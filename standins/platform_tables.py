"""Tables of the platform stand-in: conditional writes and paged queries."""

import collections
import dataclasses
import json
import threading
import typing

from standins import platform_conditions

__all__ = [
    "Refused",
    "Tables",
    "delete_item",
    "get_item",
    "put_item",
    "query",
    "transact",
]

Attributes = dict[str, typing.Any]

MAX_TRANSACTION_WRITES = 100
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024
MAX_ITEM_BYTES = 400 * 1024


class Refused(Exception):
    """The request is refused and nothing was written."""

    def __init__(self, kind: str, message: str, **fields: typing.Any) -> None:
        super().__init__(message)
        self.kind = kind
        self.fields = fields


@dataclasses.dataclass(kw_only=True)
class Tables:
    """Contents of all tables, by table, partition and sort key.

    ``writes`` counts items written, ``rejected`` those whose condition did
    not hold; the service charges for both.
    """

    items: dict[str, dict[str, dict[str, Attributes]]] = dataclasses.field(
        default_factory=dict
    )
    tokens: dict[str, str] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    page_bytes: int = 1024 * 1024
    reads: int = 0
    writes: int = 0
    rejected: int = 0
    writes_of: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def get_item(tables: Tables, body: Attributes) -> Attributes:
    """Carry out GetItem."""
    with tables.lock:
        tables.reads += 1
        item = _find(tables, body["TableName"], body["Key"])
    return {} if item is None else {"Item": item}


def query(tables: Tables, body: Attributes) -> Attributes:
    """Carry out Query on ``pk = :pk`` with or without ``AND sk > :sk``."""
    values = body["ExpressionAttributeValues"]
    after = values[":sk"]["S"] if ":sk" in values else ""
    if "ExclusiveStartKey" in body:
        after = max(after, body["ExclusiveStartKey"]["sk"]["S"])
    found: list[Attributes] = []
    size = 0
    with tables.lock:
        tables.reads += 1
        table = tables.items.get(body["TableName"], {})
        rows = table.get(values[":pk"]["S"], {})
        keys = sorted(key for key in rows if key > after)
        for key in keys:
            size += len(json.dumps(rows[key]))
            if found and size > tables.page_bytes:
                break
            found.append(rows[key])
            if len(found) == body.get("Limit"):
                break
    answer: Attributes = {"Items": found, "Count": len(found)}
    if len(found) < len(keys):
        last = found[-1]
        answer["LastEvaluatedKey"] = {"pk": last["pk"], "sk": last["sk"]}
    return answer


def put_item(tables: Tables, body: Attributes) -> Attributes:
    """Carry out PutItem."""
    return _write_one(tables, "Put", body)


def delete_item(tables: Tables, body: Attributes) -> Attributes:
    """Carry out DeleteItem."""
    return _write_one(tables, "Delete", body)


def transact(tables: Tables, body: Attributes) -> Attributes:
    """Carry out TransactWriteItems.

    Raises
    ------
    Refused
        Nothing was written.
    """
    entries = [
        (operation, fields)
        for entry in body["TransactItems"]
        for operation, fields in entry.items()
    ]
    _check_limits(entries)
    token = body.get("ClientRequestToken")
    content = json.dumps(body["TransactItems"], sort_keys=True)
    with tables.lock:
        if token in tables.tokens:
            if tables.tokens[token] != content:
                raise Refused("IdempotentParameterMismatchException", token)
            return {}
        held = [_holds(tables, fields) for _, fields in entries]
        if not all(held):
            tables.rejected += len(entries)
            codes = ["None" if ok else "ConditionalCheckFailed" for ok in held]
            raise Refused(
                "TransactionCanceledException",
                f"Transaction cancelled, reasons {codes}",
                CancellationReasons=[{"Code": code} for code in codes],
            )
        for operation, fields in entries:
            _write(tables, operation, fields)
        if token:
            tables.tokens[token] = content
    return {}


def _write_one(
    tables: Tables, operation: str, fields: Attributes
) -> Attributes:
    _check_limits([(operation, fields)])
    with tables.lock:
        if not _holds(tables, fields):
            tables.rejected += 1
            more = {}
            if fields.get("ReturnValuesOnConditionCheckFailure") == "ALL_OLD":
                item = _find(tables, fields["TableName"], _key_of(fields))
                more = {} if item is None else {"Item": item}
            raise Refused(
                "ConditionalCheckFailedException",
                "The conditional request failed",
                **more,
            )
        _write(tables, operation, fields)
    return {}


def _check_limits(entries: list[tuple[str, Attributes]]) -> None:
    keys = [
        (fields["TableName"], json.dumps(_key_of(fields), sort_keys=True))
        for _, fields in entries
    ]
    sizes = [len(json.dumps(fields.get("Item", {}))) for _, fields in entries]
    if len(set(keys)) != len(keys):
        raise Refused("ValidationException", "one item occurs twice")
    if len(keys) > MAX_TRANSACTION_WRITES:
        raise Refused("ValidationException", "too many items")
    # Base64 makes an item up to a third longer than what is stored of it.
    if max(sizes) > MAX_ITEM_BYTES * 4 / 3 + 1024:
        raise Refused("ValidationException", "an item is too large")
    if sum(sizes) > MAX_TRANSACTION_BYTES * 4 / 3:
        raise Refused("ValidationException", "the transaction is too large")


def _holds(tables: Tables, fields: Attributes) -> bool:
    item = _find(tables, fields["TableName"], _key_of(fields))
    return platform_conditions.holds(item, fields)


def _write(tables: Tables, operation: str, fields: Attributes) -> None:
    if operation == "ConditionCheck":
        return
    key = _key_of(fields)
    table = tables.items.setdefault(fields["TableName"], {})
    partition = table.setdefault(key["pk"]["S"], {})
    tables.writes += 1
    tables.writes_of[key["pk"]["S"]] += 1
    if operation == "Put":
        partition[key["sk"]["S"]] = fields["Item"]
    else:
        partition.pop(key["sk"]["S"], None)


def _key_of(fields: Attributes) -> Attributes:
    source = fields.get("Item") or fields["Key"]
    return {"pk": source["pk"], "sk": source["sk"]}


def _find(tables: Tables, name: str, key: Attributes) -> Attributes | None:
    partition = tables.items.get(name, {}).get(key["pk"]["S"], {})
    return partition.get(key["sk"]["S"])
