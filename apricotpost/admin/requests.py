"""Frozen requests for changes and what follows from one."""

import dataclasses
import typing

import msgspec

from apricotpost import errors
from apricotpost import model
from apricotpost import settings

__all__ = [
    "Applied",
    "ChangeRequest",
    "DataCentreChange",
    "DataCentreDefinition",
    "DataCentreMove",
    "Definitions",
    "Move",
    "Policy",
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
class Policy:
    """Shortest times that a move may take.

    Parameters
    ----------
    rollout_seconds : float
        From the change to the end of a rollout, in seconds.
    data_centre_seconds : float
        From the change to the end of a data centre move, in seconds.
    """

    rollout_seconds: float
    data_centre_seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SheetChange:
    """The morning sheet as CSV text."""

    text: str
    reason: str = "morning sheet"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceDefinition:
    """A service; ``first_version`` counts only for a new service."""

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
    """Services, routes and data centres to put or to remove."""

    services: tuple[ServiceDefinition, ...] = ()
    routes: tuple[model.Route, ...] = ()
    data_centres: tuple[DataCentreDefinition, ...] = ()
    remove_services: tuple[str, ...] = ()
    remove_routes: tuple[str, ...] = ()
    remove_data_centres: tuple[str, ...] = ()
    reason: str = "definitions"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreChange:
    """Take a data centre out or return it.

    ``finish_by`` is Unix time in seconds; 0 stands for the shortest time.
    """

    state: model.DataCentreState
    name: str = ""
    finish_by: float = 0.0
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawRollout:
    """End a rollout; the old version takes all calls again."""

    rollout: str = ""
    reason: str = "withdrawn by an operator"


ChangeRequest = SheetChange | Definitions | DataCentreChange | WithdrawRollout


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionMove:
    """Move a service to a version; ``finish_by`` is Unix time."""

    service: str
    version: str
    finish_by: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentreMove:
    """Move a data centre in or out; ``finish_by`` is Unix time."""

    data_centre: str
    state: model.DataCentreState
    finish_by: float


Move = VersionMove | DataCentreMove


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Applied:
    """A change applied to a snapshot, not yet committed.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Sealed; the one before if nothing changed.
    changed, unchanged : tuple of str
        What changes and what already held, one sentence each.
    moves : tuple of DataCentreMove
        Data centre moves, whose end is recorded later.
    withdrawn : tuple of (apricotpost.model.Rollout, ...)
        Rollouts that the change ended, each before and after.
    """

    snapshot: model.Snapshot
    changed: tuple[str, ...] = ()
    unchanged: tuple[str, ...] = ()
    moves: tuple[DataCentreMove, ...] = ()
    withdrawn: tuple[tuple[model.Rollout, model.Rollout], ...] = ()


def decode(body: bytes, kind: type[T]) -> T:
    """Decode a JSON body and list every fault.

    Raises
    ------
    apricotpost.errors.RequestInvalid
        The body is not JSON or does not have the type.
    """
    try:
        raw = msgspec.json.decode(body or b"{}")
    except msgspec.DecodeError as error:
        raise errors.RequestInvalid(f"body is not JSON: {error}") from error
    faults = tuple(settings.find_faults(raw, kind, "$"))
    if faults:
        raise errors.RequestInvalid(
            f"the request has {len(faults)} faults", faults=faults
        )
    return msgspec.convert(raw, kind)
