"""Frozen values of the configuration."""

import dataclasses
import enum

__all__ = [
    "DataCentre",
    "DataCentreState",
    "Delta",
    "EMPTY_SNAPSHOT",
    "Rollout",
    "RolloutState",
    "Route",
    "Service",
    "Snapshot",
    "TOTAL_SHARE",
    "VersionShare",
]

# Shares are given in thousandths of a service's calls.
TOTAL_SHARE = 1000


class DataCentreState(enum.StrEnum):
    """Whether a data centre takes new work."""

    IN = "in"
    OUT = "out"


class RolloutState(enum.StrEnum):
    """Where a rollout stands."""

    RUNNING = "running"
    BAKING = "baking"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionShare:
    """Share of a service's calls for one backend server version.

    Parameters
    ----------
    version : str
        Backend server version.
    share : int
        Share in thousandths.
    """

    version: str
    share: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service, the team that owns it and its versions in use."""

    name: str
    team: str
    versions: tuple[VersionShare, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Calls that one service answers.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Service that answers.
    prefix : str
        Path prefix, starting with a slash.
    methods : tuple of str
        HTTP methods in upper case.
    idempotent : bool
        Whether a call may be repeated.
    internal : bool
        Whether only the user's own services may call it.
    timeout_ms : int
        Longest duration of a call in milliseconds.
    """

    name: str
    service: str
    prefix: str
    methods: tuple[str, ...]
    idempotent: bool
    internal: bool = False
    timeout_ms: int = 5000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DataCentre:
    """A data centre and whether it takes new work."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """A move of a service's calls from one version to another.

    Parameters
    ----------
    identifier : str
        Unique identifier.
    service, old, new : str
        Service and its versions before and after.
    state : RolloutState
        Where the rollout stands.
    share : int
        Share of the new version in thousandths.
    started_at, finish_by, changed_at : float
        Unix time in seconds.
    reason : str
        Why it ended, for an ended rollout.
    """

    identifier: str
    service: str
    old: str
    new: str
    state: RolloutState
    share: int
    started_at: float
    finish_by: float
    changed_at: float
    reason: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """One complete configuration version; members are sorted by name."""

    version: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    checksum: str = ""


EMPTY_SNAPSHOT = Snapshot(version=0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Change from one configuration version to the next.

    ``checksum`` is that of the resulting snapshot.
    """

    base: int
    version: int
    checksum: str
    put_services: tuple[Service, ...] = ()
    put_routes: tuple[Route, ...] = ()
    put_data_centres: tuple[DataCentre, ...] = ()
    put_rollouts: tuple[Rollout, ...] = ()
    remove_services: tuple[str, ...] = ()
    remove_routes: tuple[str, ...] = ()
    remove_data_centres: tuple[str, ...] = ()
    remove_rollouts: tuple[str, ...] = ()
