"""Refusals of the table service, sorted by what they mean."""

import typing

import msgspec

from apricotpost import errors
from apricotpost.storage import http

__all__ = ["decode_answer", "decode_fault", "failure", "is_rejection"]

# A mismatch says that the token was used before for another content.
_REJECTED = frozenset(
    ("ConditionalCheckFailed", "IdempotentParameterMismatch")
)
# Nothing was written, and the same request may succeed a moment later.
_BUSY = frozenset(
    (
        "ProvisionedThroughputExceeded",
        "RequestLimitExceeded",
        "ThrottlingError",
        "Throttling",
        "TransactionConflict",
    )
)
# An earlier request with the same token has not ended.
_IN_PROGRESS = "TransactionInProgress"


def decode_answer(operation: str, reply: http.Reply) -> dict[str, typing.Any]:
    """Read an answer with status 200.

    Raises
    ------
    apricotpost.errors.PlatformOutcomeUnknown
        It is malformed, so it confirms nothing.
    """
    try:
        return msgspec.json.decode(reply.body, type=dict[str, typing.Any])
    except msgspec.DecodeError as error:
        raise errors.PlatformOutcomeUnknown(
            f"{operation}: malformed answer: {error}"
        ) from error


def decode_fault(reply: http.Reply) -> dict[str, typing.Any]:
    """Read an answer with another status than 200."""
    try:
        return msgspec.json.decode(reply.body, type=dict[str, typing.Any])
    except msgspec.DecodeError:
        return {"message": reply.body[:300].decode("utf-8", "replace")}


def is_rejection(fault: dict[str, typing.Any]) -> bool:
    """Tell whether a condition did not hold."""
    return bool(_codes(fault) & _REJECTED)


def failure(
    operation: str, reply: http.Reply, fault: dict[str, typing.Any]
) -> errors.PlatformError:
    """Return the error for a refused request."""
    codes = _codes(fault)
    text = (
        f"{operation}: status {reply.status} {'/'.join(sorted(codes))}: "
        f"{fault.get('message') or fault.get('Message') or ''}"
    )
    if codes & _REJECTED:
        return errors.TransactionRejected(f"{text}; nothing was written")
    if _IN_PROGRESS in codes:
        return errors.PlatformOutcomeUnknown(text)
    if codes & _BUSY:
        return errors.PlatformThrottled(f"{text}; nothing was written")
    return errors.PlatformUnavailable(f"{text}; nothing was written")


def _codes(fault: dict[str, typing.Any]) -> set[str]:
    """Return the codes of a fault, those of single writes included."""
    kind = str(fault.get("__type", "")).rpartition("#")[2]
    codes = {kind.removesuffix("Exception")}
    reasons = fault.get("CancellationReasons") or ()
    codes.update(str(reason.get("Code", "None")) for reason in reasons)
    return codes - {"None"}
