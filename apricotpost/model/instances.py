"""Frozen values of instances and what is known about them."""

import dataclasses
import enum

from apricotpost.model import configuration

__all__ = [
    "Evidence",
    "InstanceRecord",
    "InstanceState",
    "Load",
    "View",
    "Withdrawal",
]


class InstanceState(enum.StrEnum):
    """Liveness of an instance as others see it."""

    STARTING = "starting"
    UP = "up"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """What nodes tell each other about one instance.

    Parameters
    ----------
    instance : str
        Unique name.
    data_centre, region : str
        Where it runs.
    call_address, control_address : str
        ZeroMQ endpoints of its node.
    service, version : str
        Announced backend server; empty before the announcement.
    incarnation : int
        Rises each time the instance speaks about itself anew.
    state : InstanceState
        Liveness.
    slots : int
        Calls that the backend server handles at once.
    config_version : int
        Configuration version that the node holds.
    """

    instance: str
    data_centre: str
    region: str
    call_address: str
    control_address: str
    service: str = ""
    version: str = ""
    incarnation: int = 0
    state: InstanceState = InstanceState.STARTING
    slots: int = 0
    config_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load of one backend server as its node reports it.

    ``usual_ms`` is the moving average of its latency in milliseconds, 0
    while it is not known.
    """

    in_flight: int
    limit: int
    queued: int
    cold: bool = False
    usual_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """Notice that a rollout's new version takes no more calls."""

    rollout: str
    service: str
    version: str
    reason: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Evidence:
    """Cumulative outcome counts of one route at one backend server.

    Parameters
    ----------
    instance, service, version, route : str
        What was counted.
    epoch : int
        Changes when the sender restarts its counts.
    calls, failures : int
        Calls finished and calls failed.
    latency_counts : tuple of int
        Calls per latency bucket, see `apricotpost.rollout`.
    """

    instance: str
    service: str
    version: str
    route: str
    epoch: int
    calls: int
    failures: int
    latency_counts: tuple[int, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class View:
    """Immutable state that the call path reads; control swaps it."""

    snapshot: configuration.Snapshot
    instances: tuple[InstanceRecord, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()
    ready: bool = False
