"""Traffic configuration that operators put in force through the store."""

from collections.abc import Mapping
import dataclasses
import enum

__all__ = [
    "Heartbeat",
    "BackendState",
    "ClientLimits",
    "RolloutOrder",
    "ServiceRule",
    "Target",
    "TrafficConfig",
    "TrafficRoute",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service that takes a part of a route's requests."""

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficRoute:
    """Requests of one host below one path.

    Parameters
    ----------
    name, host, prefix : str
        The prefix begins and ends with a slash.
    targets : tuple of Target
        Services that carry the route.
    idempotent : bool
        Whether a request may run more than once.
    timeout_ms : int
        Longest time that a client is kept waiting.
    objective_ms : int
        Latency objective.
    max_attempts : int
        Most backend servers that one request may be sent to.
    rank : int
        Priority; 0 is the most urgent.
    regions : tuple of str
        Where the route may run; empty means everywhere.
    """

    name: str
    host: str
    prefix: str
    targets: tuple[Target, ...]
    idempotent: bool
    timeout_ms: int
    objective_ms: int
    max_attempts: int
    rank: int
    regions: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRule:
    """What holds for all backend servers of a service.

    Parameters
    ----------
    name, health_path : str
        The path answers health checks.
    max_connections : int
        Most connections that a backend server accepts.
    cold_seconds : float
        How long a started backend server stays cold.
    cold_per_second : float
        Requests a second that a cold backend server bears.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_per_second: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Bounds on what clients send."""

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficConfig:
    """One version of the traffic configuration."""

    version: int
    routes: tuple[TrafficRoute, ...]
    services: Mapping[str, ServiceRule]
    limits: ClientLimits | None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """Order to move a service to a version within a time."""

    service: str
    version: str
    seconds: float


class BackendState(enum.StrEnum):
    """What a backend server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """Heartbeat of a backend server.

    Parameters
    ----------
    backend : str
        Identifier of the backend server.
    started_at_ms : int
        Unix milliseconds of its start; orders its incarnations.
    sequence : int
        Counts its heartbeats since the start.
    service, version, data_centre, address : str
        What it runs and where.
    slots : int
        Requests that it processes at the same time.
    state : BackendState
        Whether it takes requests.
    cold_ms : int
        How much longer it stays cold.
    """

    backend: str
    started_at_ms: int
    sequence: int
    service: str
    version: str
    data_centre: str
    address: str
    slots: int
    state: BackendState
    cold_ms: int
