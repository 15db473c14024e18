"""Settings of the event-loop node."""

from collections.abc import Mapping
import dataclasses
import os
import pathlib
import typing

import msgspec

from apricotpost import decoding
from apricotpost.decoding import HostPort
from apricotpost import settings

__all__ = [
    "AddressOptions",
    "BoundOptions",
    "LimitOptions",
    "Options",
    "StoreOptions",
    "UsageOptions",
    "load_options",
    "split_address",
]

# Variable that holds further settings in the format of the file.
ADDITIONS_VARIABLE = "APRICOTPOST_SETTINGS"

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Milliseconds = typing.Annotated[float, msgspec.Meta(gt=0, le=600_000)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=3600)]
Amount = typing.Annotated[float, msgspec.Meta(ge=0, le=decoding.MAX_FLOAT)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressOptions:
    """Addresses on which the node listens, each as IP:PORT.

    Parameters
    ----------
    callers : str
        For requests of clients and of the backend server beside the node.
    readiness : str
        For readiness checks of the platform.
    announcements : str
        For heartbeats and deregistrations of the backend server.
    links : str
        For connections of other nodes.
    metrics : str
        For scrapes of metrics.
    advertised : str or None
        Address that other nodes connect to, if not `links`.
    """

    callers: HostPort
    readiness: HostPort
    announcements: HostPort
    links: HostPort
    metrics: HostPort
    advertised: HostPort | None = None

    def peer_address(self) -> str:
        """Return the address that other nodes connect to."""
        return self.advertised or self.links


@dataclasses.dataclass(frozen=True, kw_only=True)
class StoreOptions:
    """Access to the platform's store.

    Parameters
    ----------
    address : str
        Address of the store, as IP:PORT.
    """

    address: HostPort


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitOptions:
    """Resources of the instance that the node may use.

    Parameters
    ----------
    processor_share : float
        Fraction of one core that the node may use.
    cores : float
        Number of cores over which that fraction is spread.
    descriptors : float
        Largest number of open descriptors; 0 if it is not limited.
    link_mbps : float
        Bandwidth of the instance's network link, in megabits a second; 0 if
        it is not known.
    """

    processor_share: Amount = 1.0
    cores: Amount = 1.0
    descriptors: Amount = 0.0
    link_mbps: Amount = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class UsageOptions:
    """Reports of the requests of each tenant to the platform.

    Parameters
    ----------
    address : str
        Address that takes the reports, as IP:PORT; empty for no reports.
    calls_per_second : float
        Reports and repeats that the platform takes from all nodes, each
        second.
    lease_ms : float
        Time for which the right to report is held, in milliseconds.
    thaw_ms : float
        Time after a suspension in which reports do not count, in
        milliseconds.
    window_seconds : float
        Length of a window, in seconds.
    tolerance : float
        Largest relative error of a count.
    late_seconds : float
        Time after the end of a window until its report is due, in seconds.
    """

    address: HostPort | typing.Literal[""] = ""
    calls_per_second: Amount = 50.0
    lease_ms: Milliseconds = 3000.0
    thaw_ms: Milliseconds = 300.0
    window_seconds: Seconds = 5.0
    tolerance: Amount = 0.05
    late_seconds: Seconds = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class BoundOptions:
    """Bounds that operators promise to callers.

    Parameters
    ----------
    drain_ms : float
        Time in which a leaving backend server still accepts requests, in
        milliseconds.
    grace_seconds : float
        Time between SIGTERM and the end of the process, in seconds.
    retry_ratio : float
        Retries that the fleet may make for each request.
    retry_slack : float
        Retries that the fleet may make in each window beyond that fraction.
    retry_window_seconds : float
        Length of a window, in seconds.
    cold_ratio : float
        Requests that a cold backend server may get in each second, as a
        multiple of its cold rate.
    cold_slack : float
        Requests that it may get in each second beyond that.
    strict_revocation : bool
        Whether a node without recent orders refuses requests with a key,
        which may have been withdrawn.
    revocation_ms : float
        Time in which a withdrawn key stops working, in milliseconds.
    """

    drain_ms: Milliseconds = 2000.0
    grace_seconds: Seconds = 6.0
    retry_ratio: Amount = 0.2
    retry_slack: Amount = 0.0
    retry_window_seconds: Seconds = 10.0
    cold_ratio: Amount = 1.2
    cold_slack: Amount = 0.0
    strict_revocation: bool = False
    revocation_ms: Milliseconds = 5000.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """All settings of a node.

    A platform fills in the settings from a template. What it leaves out has a
    default; only a setting without which the node cannot work is required.

    Parameters
    ----------
    instance, data_centre : str
        Name of the instance, and where it runs.
    region : str
        Region of the data centre.
    data_centres : mapping
        Region of each data centre.
    addresses : AddressOptions
        Addresses on which the node listens.
    backend_address : str
        Address of the backend server beside the node, as IP:PORT.
    service : str
        Service of that backend server.
    heartbeat_ms : float
        Time between two heartbeats of the backend server, in milliseconds.
    memory_mb : float
        Memory that the process may use, in mebibytes.
    store : StoreOptions
        The platform's store.
    bounds : BoundOptions
        Bounds that the node keeps.
    limits : LimitOptions
        Resources of the instance.
    usage : UsageOptions
        Reports of the requests of each tenant.
    first_start : bool
        Whether the whole fleet starts for the first time.
    learnt_concurrency : bool
        Whether the node learns how many requests its backend server handles
        well at the same time, and sends it no more.
    """

    instance: Name
    data_centre: Name
    addresses: AddressOptions
    backend_address: HostPort
    service: Name
    store: StoreOptions
    region: str = ""
    data_centres: Mapping[str, str] = dataclasses.field(default_factory=dict)
    heartbeat_ms: Milliseconds = 1500.0
    memory_mb: typing.Annotated[
        float, msgspec.Meta(gt=0, le=decoding.MAX_FLOAT)
    ] = 200.0
    bounds: BoundOptions = BoundOptions()
    limits: LimitOptions = LimitOptions()
    usage: UsageOptions = UsageOptions()
    first_start: bool = False
    learnt_concurrency: bool = False


def load_options(path: pathlib.Path) -> Options:
    """Read and check a settings file.

    Settings that the file does not have are taken from the environment
    variable `ADDITIONS_VARIABLE`.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The file cannot be read or has errors; the exception lists all.
    """
    return settings.load_as(
        path,
        Options,
        blanks_are_defaults=True,
        additions=os.environ.get(ADDITIONS_VARIABLE, ""),
    )


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of IP:PORT."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
