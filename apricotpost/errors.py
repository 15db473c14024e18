"""Exceptions of the package, with stable codes for users and scripts."""

from collections.abc import Iterable

__all__ = [
    "AccessDenied",
    "AddressInUse",
    "ApricotpostError",
    "AuthenticationFailed",
    "ChangeConflict",
    "ConfigurationInvalid",
    "ConfigurationOutdated",
    "DeltaBaseMissing",
    "HistoryExpired",
    "LeaseLost",
    "MalformedMessage",
    "NodeErrorResponse",
    "NodeUnreachable",
    "PlatformDataDamaged",
    "PlatformError",
    "PlatformOutcomeUnknown",
    "PlatformThrottled",
    "PlatformUnavailable",
    "RequestInvalid",
    "ResourceUnknown",
    "RolloutRefused",
    "SettingsInvalid",
    "SheetInvalid",
    "TransactionRejected",
    "format_error",
]


# Exit code of a command for the HTTP status of the node's response.
_EXIT_CODES = {
    400: 2,
    404: 2,
    422: 2,
    401: 3,
    403: 3,
    409: 3,
    503: 4,
}


class ApricotpostError(Exception):
    """Base of all errors of this package.

    Parameters
    ----------
    message : str
        What failed and what was expected.
    faults : tuple of str
        Descriptions of the single faults, if there can be several.

    Attributes
    ----------
    code : str
        Stable identifier of the failure.
    exit_code : int
        Exit code of a command that ends with this error.
    status : int
        HTTP status of a response that reports this error.
    """

    code = "AP000"
    exit_code = 1
    status = 500

    def __init__(self, message: str, *, faults: Iterable[str] = ()) -> None:
        super().__init__(message)
        self.message = message
        self.faults = tuple(faults)


class SettingsInvalid(ApricotpostError):
    """Settings or credentials are missing, malformed or out of range."""

    code = "AP101"
    exit_code = 2


class AddressInUse(ApricotpostError):
    """A listening address is already in use."""

    code = "AP102"
    exit_code = 3


class MalformedMessage(ApricotpostError):
    """A received message cannot be decoded."""

    code = "AP201"


class ConfigurationInvalid(ApricotpostError):
    """A configuration version fails validation."""

    code = "AP301"
    status = 422


class ConfigurationOutdated(ApricotpostError):
    """A configuration version is not newer than the one in force."""

    code = "AP302"
    status = 409


class DeltaBaseMissing(ApricotpostError):
    """The base of a delta is not the version in force."""

    code = "AP303"


class PlatformError(ApricotpostError):
    """Base of the errors of the platform's table service and object store."""

    code = "AP400"
    exit_code = 4
    status = 503


class PlatformUnavailable(PlatformError):
    """The platform refused a request or was not reached; no write happened."""

    code = "AP401"


class PlatformOutcomeUnknown(PlatformError):
    """A write may have taken effect or not, as its response was lost."""

    code = "AP402"


class PlatformThrottled(PlatformUnavailable):
    """The platform throttled the request, or the item was busy."""

    code = "AP405"


class PlatformDataDamaged(PlatformError):
    """A record or object that was read from the platform is damaged."""

    code = "AP406"


class HistoryExpired(PlatformError):
    """The store no longer keeps the changes that a watch requests."""

    code = "AP407"


class TransactionRejected(PlatformError):
    """A condition of a write to the table did not hold; no write happened."""

    code = "AP403"
    status = 409


class LeaseLost(PlatformError):
    """The lease has another holder or a higher fencing number."""

    code = "AP404"


class AuthenticationFailed(ApricotpostError):
    """The bearer token is missing or unknown."""

    code = "AP501"
    exit_code = 3
    status = 401


class AccessDenied(ApricotpostError):
    """The token does not permit this request."""

    code = "AP502"
    exit_code = 3
    status = 403


class RequestInvalid(ApricotpostError):
    """An administration request is malformed."""

    code = "AP503"
    exit_code = 2
    status = 400


class SheetInvalid(ApricotpostError):
    """A sheet of changes has faults; no row of it was accepted."""

    code = "AP504"
    exit_code = 2
    status = 422


class ChangeConflict(ApricotpostError):
    """The change conflicts with one that was accepted earlier."""

    code = "AP505"
    exit_code = 3
    status = 409


class NodeErrorResponse(ApricotpostError):
    """A node sent an error response; carries its code and status."""

    def __init__(
        self, message: str, *, code: str, status: int, faults: Iterable[str]
    ) -> None:
        super().__init__(message, faults=faults)
        self.code = code
        self.status = status
        self.exit_code = _EXIT_CODES.get(status, 1)


class NodeUnreachable(ApricotpostError):
    """No node answered on the administration interface."""

    code = "AP506"
    exit_code = 4


class RolloutRefused(ApricotpostError):
    """A rollout cannot be started; the message gives the reason."""

    code = "AP601"
    exit_code = 3
    status = 409


class ResourceUnknown(ApricotpostError):
    """An administration request names something that does not exist."""

    code = "AP507"
    exit_code = 2
    status = 404


def format_error(error: ApricotpostError) -> str:
    """Return the code and message, followed by one line per fault."""
    summary = f"{error.code}: {error.message}"
    return "\n".join([summary, *(f"  {fault}" for fault in error.faults)])
