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
    """Error response to a request; nothing was written."""

    def __init__(
        self, error_type: str, message: str, **fields: typing.Any
    ) -> None:
        super().__init__(message)
        self.error_type = error_type
        self.fields = fields


@dataclasses.dataclass(kw_only=True)
class Tables:
    """Contents of all tables, by table, partition and sort key.

    ``writes`` counts the written items, ``rejected`` the items of writes whose
    condition was not met; the service charges for both.
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
    writes_by_partition: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def get_item(tables: Tables, body: Attributes) -> Attributes:
    """Execute GetItem."""
    with tables.lock:
        tables.reads += 1
        item = _find_item(tables, body["TableName"], body["Key"])
    return {} if item is None else {"Item": item}


def query(tables: Tables, body: Attributes) -> Attributes:
    """Execute Query on ``pk = :pk`` with or without ``AND sk > :sk``."""
    values = body["ExpressionAttributeValues"]
    start_key = values[":sk"]["S"] if ":sk" in values else ""
    if "ExclusiveStartKey" in body:
        start_key = max(start_key, body["ExclusiveStartKey"]["sk"]["S"])
    page: list[Attributes] = []
    size = 0
    with tables.lock:
        tables.reads += 1
        table = tables.items.get(body["TableName"], {})
        rows = table.get(values[":pk"]["S"], {})
        keys = sorted(key for key in rows if key > start_key)
        for key in keys:
            size += len(json.dumps(rows[key]))
            if page and size > tables.page_bytes:
                break
            page.append(rows[key])
            if len(page) == body.get("Limit"):
                break
    response: Attributes = {"Items": page, "Count": len(page)}
    if len(page) < len(keys):
        last_item = page[-1]
        response["LastEvaluatedKey"] = {
            "pk": last_item["pk"],
            "sk": last_item["sk"],
        }
    return response


def put_item(tables: Tables, body: Attributes) -> Attributes:
    """Execute PutItem."""
    return _write_one(tables, "Put", body)


def delete_item(tables: Tables, body: Attributes) -> Attributes:
    """Execute DeleteItem."""
    return _write_one(tables, "Delete", body)


def transact(tables: Tables, body: Attributes) -> Attributes:
    """Execute TransactWriteItems.

    Raises
    ------
    Refused
        A limit is exceeded, a condition is not met, or the token was used
        with other content. Nothing was written.
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
        conditions_met = [
            _meets_condition(tables, fields) for _, fields in entries
        ]
        if not all(conditions_met):
            tables.rejected += len(entries)
            codes = [
                "None" if ok else "ConditionalCheckFailed"
                for ok in conditions_met
            ]
            raise Refused(
                "TransactionCanceledException",
                f"Transaction cancelled, reasons {codes}",
                CancellationReasons=[{"Code": code} for code in codes],
            )
        for operation, fields in entries:
            _apply_write(tables, operation, fields)
        if token:
            tables.tokens[token] = content
    return {}


def _write_one(
    tables: Tables, operation: str, fields: Attributes
) -> Attributes:
    _check_limits([(operation, fields)])
    with tables.lock:
        if not _meets_condition(tables, fields):
            tables.rejected += 1
            extra_fields = {}
            if fields.get("ReturnValuesOnConditionCheckFailure") == "ALL_OLD":
                item = _find_item(
                    tables, fields["TableName"], _read_key(fields)
                )
                extra_fields = {} if item is None else {"Item": item}
            raise Refused(
                "ConditionalCheckFailedException",
                "The conditional request failed",
                **extra_fields,
            )
        _apply_write(tables, operation, fields)
    return {}


def _check_limits(entries: list[tuple[str, Attributes]]) -> None:
    keys = [
        (fields["TableName"], json.dumps(_read_key(fields), sort_keys=True))
        for _, fields in entries
    ]
    sizes = [len(json.dumps(fields.get("Item", {}))) for _, fields in entries]
    if len(set(keys)) != len(keys):
        raise Refused("ValidationException", "one item occurs twice")
    if len(keys) > MAX_TRANSACTION_WRITES:
        raise Refused("ValidationException", "too many items")
    # The request encodes binary values as Base64, which makes an item up to a
    # third longer than the stored item, to which the limits apply.
    if max(sizes) > MAX_ITEM_BYTES * 4 / 3 + 1024:
        raise Refused("ValidationException", "an item is too large")
    if sum(sizes) > MAX_TRANSACTION_BYTES * 4 / 3:
        raise Refused("ValidationException", "the transaction is too large")


def _meets_condition(tables: Tables, fields: Attributes) -> bool:
    item = _find_item(tables, fields["TableName"], _read_key(fields))
    return platform_conditions.is_met(item, fields)


def _apply_write(tables: Tables, operation: str, fields: Attributes) -> None:
    if operation == "ConditionCheck":
        return
    key = _read_key(fields)
    table = tables.items.setdefault(fields["TableName"], {})
    partition = table.setdefault(key["pk"]["S"], {})
    tables.writes += 1
    tables.writes_by_partition[key["pk"]["S"]] += 1
    if operation == "Put":
        partition[key["sk"]["S"]] = fields["Item"]
    else:
        partition.pop(key["sk"]["S"], None)


def _read_key(fields: Attributes) -> Attributes:
    source = fields.get("Item") or fields["Key"]
    return {"pk": source["pk"], "sk": source["sk"]}


def _find_item(
    tables: Tables, name: str, key: Attributes
) -> Attributes | None:
    partition = tables.items.get(name, {}).get(key["pk"]["S"], {})
    return partition.get(key["sk"]["S"])
