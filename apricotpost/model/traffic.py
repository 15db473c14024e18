"""Immutable data classes on traffic rules, orders and heartbeats.

Operators set the rules and orders in the platform's store.
"""

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
    "Tenant",
    "TrafficConfig",
    "TrafficRoute",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Target:
    """A service that gets a share of a route's requests.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : int
        The share is this weight divided by the sum of all weights.
    """

    service: str
    weight: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficRoute:
    """Requests to one host below one path, and how they are handled.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host of the requests.
    prefix : str
        Path prefix of the requests; begins and ends with a slash.
    targets : tuple of Target
        Services that handle the requests.
    idempotent : bool
        Whether a request may be executed more than once.
    timeout_ms : int
        Longest time until the client gets a response, in milliseconds.
    objective_ms : int
        Latency objective in milliseconds.
    max_attempts : int
        Most backend servers to which one request may be sent.
    rank : int
        Priority; lower is more urgent, 0 is the most urgent.
    regions : tuple of str
        Regions whose backend servers may handle the requests; empty means
        all.
    public : bool
        Whether requests need no key even if the configuration has tenants.
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
    public: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tenant:
    """A customer whose requests carry one of its keys.

    Parameters
    ----------
    name : str
        Unique name.
    key_digests : frozenset of bytes
        Digests of its keys; the keys themselves are not kept.
    rank : int or None
        Priority of its requests, instead of that of the route; None if it has
        none.
    """

    name: str
    key_digests: frozenset[bytes] = dataclasses.field(repr=False)
    rank: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRule:
    """Properties of all backend servers of a service.

    Parameters
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the health check.
    max_connections : int
        Most connections that a backend server accepts.
    cold_seconds : float
        Time for which a started backend server stays cold, in seconds.
    cold_per_second : float
        Most requests per second that a cold backend server may get.
    """

    name: str
    health_path: str
    max_connections: int
    cold_seconds: float
    cold_per_second: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClientLimits:
    """Limits on the requests and connections of clients.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest header section and body of a request.
    header_ms : int
        Longest time for receiving the header section, in milliseconds.
    idle_ms : int
        Time after which an idle connection is closed, in milliseconds.
    """

    header_bytes: int
    body_bytes: int
    header_ms: int
    idle_ms: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficConfig:
    """One version of the traffic configuration.

    ``skipped`` describes the resources that could not be decoded.
    ``uses_keys`` tells whether the configuration has resources of tenants,
    also if none of them could be decoded.
    """

    version: int
    routes: tuple[TrafficRoute, ...]
    services: Mapping[str, ServiceRule]
    limits: ClientLimits | None
    skipped: tuple[str, ...] = ()
    tenants: tuple[Tenant, ...] = ()
    uses_keys: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutOrder:
    """Order to roll a version of a service out within some seconds."""

    service: str
    version: str
    seconds: float


class BackendState(enum.StrEnum):
    """State that a backend server reports in its heartbeats."""

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
        Unix time of its start in milliseconds; a later start of the same
        identifier replaces an earlier one.
    sequence : int
        Number of its heartbeats since the start.
    service, version : str
        Service and version that it runs.
    data_centre, address : str
        Its data centre, and the address at which it accepts requests.
    slots : int
        Requests that it processes concurrently.
    state : BackendState
        Whether it accepts requests.
    cold_ms : int
        Remaining time for which it stays cold, in milliseconds.
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
