"""Condition expressions of the platform stand-in's tables."""

import re
import typing

__all__ = ["is_met"]

_COMPARISON = re.compile(r"(\S+)\s*(<=|>=|=|<|>)\s*(:\S+)")
_FUNCTION = re.compile(r"(attribute_exists|attribute_not_exists)\((\S+)\)")

Attributes = dict[str, typing.Any]


def is_met(item: Attributes | None, fields: Attributes) -> bool:
    """Return whether an item meets the condition of a request.

    ``AND`` takes precedence over ``OR``; parentheses are not supported.
    """
    expression = fields.get("ConditionExpression")
    if not expression:
        return True
    return any(
        all(
            _is_term_met(term.strip(), item, fields)
            for term in alternative.split(" AND ")
        )
        for alternative in expression.split(" OR ")
    )


def _is_term_met(
    term: str, item: Attributes | None, fields: Attributes
) -> bool:
    names = fields.get("ExpressionAttributeNames", {})
    function = _FUNCTION.fullmatch(term)
    if function:
        name = names.get(function[2], function[2])
        present = item is not None and name in item
        return present == (function[1] == "attribute_exists")
    comparison = _COMPARISON.fullmatch(term)
    if comparison is None:
        raise ValueError(f"condition {term!r} is not supported")
    name = names.get(comparison[1], comparison[1])
    expected = fields["ExpressionAttributeValues"][comparison[3]]
    if item is None or name not in item:
        return False
    return _compare(item[name], comparison[2], expected)


def _compare(value: Attributes, operator: str, expected: Attributes) -> bool:
    ((value_type, left),) = value.items()
    ((expected_type, right),) = expected.items()
    if value_type != expected_type:
        return False
    if value_type == "N":
        left, right = int(left), int(right)
    return {
        "=": left == right,
        "<": left < right,
        "<=": left <= right,
        ">": left > right,
        ">=": left >= right,
    }[operator]
