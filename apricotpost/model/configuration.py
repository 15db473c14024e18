"""Immutable data classes of the mesh configuration."""

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

# A version's share of its service's calls is given in thousandths.
TOTAL_SHARE = 1000


class DataCentreState(enum.StrEnum):
    """Whether a data centre receives new calls."""

    IN = "in"
    OUT = "out"


class RolloutState(enum.StrEnum):
    """Phase of a rollout.

    While baking, the new version gets all calls and is still observed.
    """

    RUNNING = "running"
    BAKING = "baking"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionShare:
    """Share of a service's calls that one backend server version gets.

    Parameters
    ----------
    version : str
        Backend server version.
    share : int
        Share in thousandths of the service's calls.
    """

    version: str
    share: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A service.

    Parameters
    ----------
    name : str
        Unique name.
    team : str
        Team that owns the service.
    versions : tuple of VersionShare
        Backend server versions in use; the shares add up to `TOTAL_SHARE`.
    """

    name: str
    team: str
    versions: tuple[VersionShare, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Calls with a path prefix and the service that handles them.

    Parameters
    ----------
    name : str
        Unique name.
    service : str
        Name of the service that handles the calls.
    prefix : str
        Path prefix, starting with a slash.
    methods : tuple of str
        HTTP methods in upper case.
    idempotent : bool
        Whether a call may be executed more than once.
    internal : bool
        Whether only backend servers of the mesh may call the route, not
        callers from outside.
    timeout_ms : int
        Timeout of a call in milliseconds.
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
    """A data centre and whether it receives new calls."""

    name: str
    region: str
    state: DataCentreState = DataCentreState.IN


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """Gradual shift of a service's calls from one version to another.

    Parameters
    ----------
    identifier : str
        Unique identifier.
    service : str
        Name of the service.
    old, new : str
        Version that is replaced and the version that replaces it.
    state : RolloutState
        Phase of the rollout.
    share : int
        Share of the new version in thousandths of the calls.
    started_at, finish_by, changed_at : float
        Start, deadline and last change, as Unix times in seconds.
    reason : str
        Why the rollout ended; empty while it is open.
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
    """One complete configuration version.

    Services, routes and data centres are sorted by name and rollouts by
    identifier. ``checksum`` is described in `apricotpost.config.checksums`.
    """

    version: int
    services: tuple[Service, ...] = ()
    routes: tuple[Route, ...] = ()
    data_centres: tuple[DataCentre, ...] = ()
    rollouts: tuple[Rollout, ...] = ()
    checksum: str = ""


EMPTY_SNAPSHOT = Snapshot(version=0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Delta:
    """Change from one configuration version to a later one.

    Parameters
    ----------
    base, version : int
        Version that the delta applies to and version that results.
    checksum : str
        Checksum of the resulting snapshot.
    put_services, put_routes, put_data_centres, put_rollouts
        Entries that are added or replaced.
    remove_services, remove_routes, remove_data_centres : tuple of str
        Names of the entries that are removed.
    remove_rollouts : tuple of str
        Identifiers of the rollouts that are removed.
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
