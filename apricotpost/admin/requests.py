"""Data classes of change requests and of their results."""

import dataclasses
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import model
from apricotpost import settings

__all__ = [
    "AppliedChange",
    "ChangeRequest",
    "DataCentreChange",
    "DataCentreDefinition",
    "DataCentreMove",
    "Definitions",
    "Move",
    "MinimumDurations",
    "ServiceDefinition",
    "SheetChange",
    "VersionMove",
    "WithdrawRollout",
    "decode",
]

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=63)
]
T = typing.TypeVar("T")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MinimumDurations:
    """Minimum durations of moves.

    Parameters
    ----------
    rollout_seconds : float
        From the accepted change to the end of a rollout, in seconds.
    data_centre_seconds : float
        From the accepted change to the end of a data centre move, in
        seconds.
    """

    rollout_seconds: float
    data_centre_seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SheetChange:
    """A submitted sheet; ``text`` is CSV."""

    text: str
    reason: str = "morning sheet"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDefinition:
    """A service; ``first_version`` is used only for a new service."""

    name: Name
    team: Name
    first_version: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreDefinition:
    """A data centre; a new one starts with the state ``in``."""

    name: Name
    region: Name


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Definitions:
    """Services, routes and data centres to create, replace or remove."""

    services: tuple[ServiceDefinition, ...] = ()
    routes: tuple[model.Route, ...] = ()
    data_centres: tuple[DataCentreDefinition, ...] = ()
    remove_services: tuple[str, ...] = ()
    remove_routes: tuple[str, ...] = ()
    remove_data_centres: tuple[str, ...] = ()
    reason: str = "definitions"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreChange:
    """Take a data centre out of service or return it to service.

    ``finish_by`` is Unix time in seconds; 0 selects the earliest time that
    the minimum duration allows.
    """

    state: model.DataCentreState
    name: str = ""
    finish_by: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawRollout:
    """Withdraw a rollout; the old version receives all calls again."""

    rollout: str = ""
    reason: str = "withdrawn by an operator"


ChangeRequest = SheetChange | Definitions | DataCentreChange | WithdrawRollout


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionMove:
    """Move a service to a version.

    ``finish_by`` is Unix time in seconds.
    """

    service: str
    version: str
    finish_by: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreMove:
    """Move a data centre in or out of service.

    ``finish_by`` is Unix time in seconds.
    """

    data_centre: str
    state: model.DataCentreState
    finish_by: float


Move = VersionMove | DataCentreMove


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AppliedChange:
    """A change applied to a snapshot, not yet committed.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        With its checksum; the previous snapshot if nothing changed.
    changed, unchanged : tuple of str
        Descriptions of what changes and of what is in force already.
    moves : tuple of DataCentreMove
        Data centre moves that start with this change; their outcomes are
        recorded later.
    withdrawn : tuple of (apricotpost.model.Rollout, ...)
        Rollouts that the change ended, each as it was before and after.
    """

    snapshot: model.Snapshot
    changed: tuple[str, ...] = ()
    unchanged: tuple[str, ...] = ()
    moves: tuple[DataCentreMove, ...] = ()
    withdrawn: tuple[tuple[model.Rollout, model.Rollout], ...] = ()


def decode(body: bytes, kind: type[T]) -> T:
    """Decode the JSON body of a request.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        The body is not JSON or does not match the type; all faults are
        listed.
    """
    try:
        raw = decoding.decode_json("body", body or b"{}")
    except errors.MalformedMessage as error:
        raise errors.RequestInvalid(
            f"body is not JSON: {error.message}"
        ) from error
    faults = tuple(settings.find_faults(raw, kind, "$"))
    if faults:
        raise errors.RequestInvalid(
            f"the request has {len(faults)} faults", faults=faults
        )
    return msgspec.convert(raw, kind)
