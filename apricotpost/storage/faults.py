"""Classification of the table service's error responses."""

import typing

from apricotpost import decoding
from apricotpost import errors
from apricotpost.storage import http

__all__ = [
    "decode_error",
    "decode_success",
    "is_condition_failure",
    "make_exception",
]

# IdempotentParameterMismatch: the token was used before for another content.
_CONDITION_FAILED = frozenset(
    ("ConditionalCheckFailed", "IdempotentParameterMismatch")
)
# Nothing was written, and a retry of the same request may succeed.
_THROTTLED = frozenset(
    (
        "ProvisionedThroughputExceeded",
        "RequestLimitExceeded",
        "ThrottlingError",
        "Throttling",
        "TransactionConflict",
    )
)
# An earlier request with the same token is still being executed.
_IN_PROGRESS = "TransactionInProgress"

_decode_object = decoding.json_decoder(
    "response of the table", dict[str, typing.Any]
)


def decode_success(
    operation: str, response: http.Response
) -> dict[str, typing.Any]:
    """Decode the body of a response with status 200.

    Raises
    ------
    apricotpost.errors.PlatformOutcomeUnknown
        The body is malformed, so it does not confirm the operation.
    """
    try:
        return typing.cast(
            dict[str, typing.Any], _decode_object(response.body)
        )
    except errors.MalformedMessage as error:
        raise errors.PlatformOutcomeUnknown(
            f"{operation}: {error.message}"
        ) from error


def decode_error(response: http.Response) -> dict[str, typing.Any]:
    """Decode the body of a response with a status other than 200."""
    try:
        return typing.cast(
            dict[str, typing.Any], _decode_object(response.body)
        )
    except errors.MalformedMessage:
        return {"message": response.body[:300].decode("utf-8", "replace")}


def is_condition_failure(error_body: dict[str, typing.Any]) -> bool:
    """Return whether an error means that a condition did not hold."""
    return bool(_error_codes(error_body) & _CONDITION_FAILED)


def make_exception(
    operation: str, response: http.Response, error_body: dict[str, typing.Any]
) -> errors.PlatformError:
    """Return the exception for an error response."""
    codes = _error_codes(error_body)
    message = (
        f"{operation}: status {response.status} {'/'.join(sorted(codes))}: "
        f"{error_body.get('message') or error_body.get('Message') or ''}"
    )
    if codes & _CONDITION_FAILED:
        return errors.TransactionRejected(f"{message}; nothing was written")
    if _IN_PROGRESS in codes:
        return errors.PlatformOutcomeUnknown(message)
    if codes & _THROTTLED:
        return errors.PlatformThrottled(f"{message}; nothing was written")
    return errors.PlatformUnavailable(f"{message}; nothing was written")


def _error_codes(error_body: dict[str, typing.Any]) -> set[str]:
    """Return the codes of an error and of the single writes' errors."""
    error_type = str(error_body.get("__type", "")).rpartition("#")[2]
    codes = {error_type.removesuffix("Exception")}
    reasons = error_body.get("CancellationReasons") or ()
    codes.update(str(reason.get("Code", "None")) for reason in reasons)
    return codes - {"None"}
