"""Questions where a request would go, and their answers."""

import dataclasses

__all__ = [
    "Explanation",
    "Question",
    "ServerEstimate",
    "ServiceShare",
    "VersionChoice",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Question:
    """The request to explain.

    Parameters
    ----------
    host, path : str
        Host without its port in lower case, and path without the query.
    deadline_ms : int or None
        Time that the caller waits, in milliseconds; None if not stated.
    """

    host: str
    path: str
    deadline_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceShare:
    """A service of the route, and its fraction of the requests."""

    service: str
    fraction: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class VersionChoice:
    """Versions that a request of a service may go to, and how often."""

    service: str
    versions: tuple[str, ...]
    fraction: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerEstimate:
    """A backend server and what is known about it.

    Parameters
    ----------
    service, node, backend, version : str
        Identifiers of the server and of its node.
    same_data_centre, cold : bool
        Whether it is in this node's data centre, and whether it is cold.
    silent_seconds : float
        Age of its node's last state, in seconds.
    outstanding, limit : int
        Requests there, and those that may run at the same time.
    mean_ms : float
        Mean time that its node reports, in milliseconds.
    relative_latency : float
        Its latency divided by the mean of the service.
    failure_ratio : float
        Fraction of its recent requests that failed.
    expected_ms : float
        Expected response time with penalties, in milliseconds.
    note : str
        Why it is not chosen; empty for the first one.
    """

    service: str
    node: str
    backend: str
    version: str
    same_data_centre: bool
    cold: bool
    silent_seconds: float
    outstanding: int
    limit: int
    mean_ms: float
    relative_latency: float
    failure_ratio: float
    expected_ms: float
    note: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Explanation:
    """Where a request would go now.

    Parameters
    ----------
    outcome : str
        ``offer`` or ``refuse``.
    status : int
        Status of the refusal; 0 for an offer.
    reason : str
        Reason of the refusal, or the rule that the route follows.
    configuration : int
        Version of the configuration.
    route : str
        Name of the route; empty if there is none.
    idempotent : bool
        Whether the request may be repeated.
    rank, max_attempts : int
        Priority and largest number of attempts of the route.
    remaining_ms, objective_ms : int
        Time until the deadline, and latency objective, in milliseconds.
    mean_ms : float
        Mean time of the route, in milliseconds; 0 if it is not known.
    shares : tuple of ServiceShare
        Services of the route.
    versions : tuple of VersionChoice
        Versions of each service.
    servers : tuple of ServerEstimate
        Backend servers, by service and expected time.
    not_used : tuple of str
        Known backend servers that get no requests, each with the reason.
    """

    outcome: str
    status: int
    reason: str
    configuration: int
    route: str = ""
    idempotent: bool = False
    rank: int = 0
    max_attempts: int = 0
    remaining_ms: int = 0
    objective_ms: int = 0
    mean_ms: float = 0.0
    shares: tuple[ServiceShare, ...] = ()
    versions: tuple[VersionChoice, ...] = ()
    servers: tuple[ServerEstimate, ...] = ()
    not_used: tuple[str, ...] = ()
