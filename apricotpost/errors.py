"""Types of every failure, with stable codes."""

from collections.abc import Iterable

__all__ = [
    "AccessDenied",
    "ApricotpostError",
    "AuthenticationFailed",
    "ChangeConflict",
    "ConfigurationInvalid",
    "ConfigurationOutdated",
    "DeltaBaseMissing",
    "HistoryLost",
    "LeaseLost",
    "MalformedMessage",
    "NodeRefused",
    "NodeUnreachable",
    "PlatformDataDamaged",
    "PlatformError",
    "PlatformOutcomeUnknown",
    "PlatformThrottled",
    "PlatformUnavailable",
    "PortOccupied",
    "RequestInvalid",
    "RolloutRefused",
    "ResourceUnknown",
    "SettingsInvalid",
    "SheetInvalid",
    "TransactionRejected",
    "describe",
]


# Exit code of a command for the status of the node's answer.
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
        Single faults, where there can be more than one.

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
    """Settings are missing, malformed or out of range."""

    code = "AP101"
    exit_code = 2


class PortOccupied(ApricotpostError):
    """A listening address is already in use."""

    code = "AP102"
    exit_code = 3


class MalformedMessage(ApricotpostError):
    """A message from another node cannot be decoded."""

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
    """A delta does not start at the version in force."""

    code = "AP303"


class PlatformError(ApricotpostError):
    """Base of the failures of the table service and object store."""

    code = "AP400"
    exit_code = 4
    status = 503


class PlatformUnavailable(PlatformError):
    """The platform refused or could not be reached; nothing was written."""

    code = "AP401"


class PlatformOutcomeUnknown(PlatformError):
    """The answer to a write was lost; it may or may not have taken effect."""

    code = "AP402"


class PlatformThrottled(PlatformUnavailable):
    """The table is over its rate or busy with the same item."""

    code = "AP405"


class PlatformDataDamaged(PlatformError):
    """A record or an object of the platform cannot be used as it is."""

    code = "AP406"


class HistoryLost(PlatformError):
    """The changes that a watch asks for are no longer kept."""

    code = "AP407"


class TransactionRejected(PlatformError):
    """A condition of a write to the table did not hold."""

    code = "AP403"
    status = 409


class LeaseLost(PlatformError):
    """A lease has another holder or a higher fencing number."""

    code = "AP404"


class AuthenticationFailed(ApricotpostError):
    """The bearer token is missing or unknown."""

    code = "AP501"
    exit_code = 3
    status = 401


class AccessDenied(ApricotpostError):
    """The token's team may not make this change."""

    code = "AP502"
    exit_code = 3
    status = 403


class RequestInvalid(ApricotpostError):
    """An administration request is malformed."""

    code = "AP503"
    exit_code = 2
    status = 400


class SheetInvalid(ApricotpostError):
    """The morning sheet has faults; none of it was accepted."""

    code = "AP504"
    exit_code = 2
    status = 422


class ChangeConflict(ApricotpostError):
    """Another change was accepted first."""

    code = "AP505"
    exit_code = 3
    status = 409


class NodeRefused(ApricotpostError):
    """A node answered with an error, whose code and status it keeps."""

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
    """A rollout cannot be started; the message says why."""

    code = "AP601"
    exit_code = 3
    status = 409


class ResourceUnknown(ApricotpostError):
    """An administration request names something that does not exist."""

    code = "AP507"
    exit_code = 2
    status = 404


def describe(error: ApricotpostError) -> str:
    """Return the code, the message and each fault on a line of its own."""
    head = f"{error.code}: {error.message}"
    return "\n".join([head, *(f"  {fault}" for fault in error.faults)])
