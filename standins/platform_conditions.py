"""Condition expressions of the platform stand-in's tables."""

import re
import typing

__all__ = ["holds"]

_TERM = re.compile(r"(\S+)\s*(<=|>=|=|<|>)\s*(:\S+)")
_FUNCTION = re.compile(r"(attribute_exists|attribute_not_exists)\((\S+)\)")

Attributes = dict[str, typing.Any]


def holds(item: Attributes | None, fields: Attributes) -> bool:
    """Tell whether a request's condition holds for an item.

    ``AND`` binds more closely than ``OR``; there are no brackets.
    """
    expression = fields.get("ConditionExpression")
    if not expression:
        return True
    return any(
        all(
            _term_holds(term.strip(), item, fields)
            for term in alternative.split(" AND ")
        )
        for alternative in expression.split(" OR ")
    )


def _term_holds(
    term: str, item: Attributes | None, fields: Attributes
) -> bool:
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
        left, right = int(left), int(right)
    return {
        "=": left == right,
        "<": left < right,
        "<=": left <= right,
        ">": left > right,
        ">=": left >= right,
    }[operator]
