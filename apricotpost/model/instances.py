"""Immutable data classes on instances, their load and their outcomes."""

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
    """Liveness of an instance as seen by the other nodes."""

    STARTING = "starting"
    UP = "up"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DOWN = "down"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class InstanceRecord:
    """State of one instance, as the nodes exchange it.

    Parameters
    ----------
    instance : str
        Unique name of the instance.
    data_centre, region : str
        Location of the instance.
    call_address, control_address : str
        ZeroMQ endpoints of the instance's node.
    service, version : str
        Service and version of the backend server; empty until it has
        announced itself.
    incarnation : int
        Raised by the instance with each new record of itself; of two
        records, the one with the higher incarnation is newer.
    state : InstanceState
        Liveness of the instance.
    slots : int
        Calls that the backend server handles concurrently.
    config_version : int
        Configuration version in force at the node.
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

    Parameters
    ----------
    in_flight : int
        Calls that the backend server is handling.
    limit : int
        Most calls that the gate sends to it concurrently.
    queued : int
        Calls that wait at the gate.
    cold : bool
        Whether the gate still limits the backend server as cold.
    usual_ms : float
        Moving average of its latency in milliseconds; 0 if not known.
    """

    in_flight: int
    limit: int
    queued: int
    cold: bool = False
    usual_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """Notice that a rollout's new version gets no more calls.

    Parameters
    ----------
    rollout : str
        Identifier of the rollout.
    service, version : str
        Service and the version that is withdrawn.
    reason : str
        Why the version is withdrawn.
    at : float
        Unix time of the decision in seconds.
    """

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
        Backend server and route to which the counts belong.
    epoch : int
        Raised when the sender restarts and counts from 0 again.
    calls, failures : int
        Finished calls, and those of them that failed.
    latency_counts : tuple of int
        Finished calls per latency bucket, see `apricotpost.rollout`.
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
    """State that the call path reads, replaced whole by the control task.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    instances : tuple of InstanceRecord
        Known instances.
    withdrawals : tuple of Withdrawal
        Versions that must not get calls.
    ready : bool
        Whether the node may serve calls.
    """

    snapshot: configuration.Snapshot
    instances: tuple[InstanceRecord, ...] = ()
    withdrawals: tuple[Withdrawal, ...] = ()
    ready: bool = False
