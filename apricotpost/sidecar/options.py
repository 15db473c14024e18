"""Settings of the event-loop node."""

from collections.abc import Mapping
import dataclasses
import pathlib
import typing

import msgspec

from apricotpost import decoding
from apricotpost.decoding import HostPort
from apricotpost import settings

__all__ = [
    "AddressOptions",
    "BoundOptions",
    "Options",
    "StoreOptions",
    "load_options",
    "split_address",
]

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
    """

    drain_ms: Milliseconds
    grace_seconds: Seconds
    retry_ratio: Amount
    retry_slack: Amount
    retry_window_seconds: Seconds
    cold_ratio: Amount = 1.2
    cold_slack: Amount = 0.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Options:
    """All settings of a node.

    Parameters
    ----------
    instance, data_centre, region : str
        Name of the instance, and where it runs.
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
    first_start : bool
        Whether the whole fleet starts for the first time.
    """

    instance: Name
    data_centre: Name
    region: Name
    data_centres: Mapping[str, str]
    addresses: AddressOptions
    backend_address: HostPort
    service: Name
    heartbeat_ms: Milliseconds
    memory_mb: typing.Annotated[float, msgspec.Meta(gt=0)]
    store: StoreOptions
    bounds: BoundOptions
    first_start: bool = False


def load_options(path: pathlib.Path) -> Options:
    """Read and check a settings file.

    Raises
    ------
    apricotpost.errors.SettingsInvalid
        The file cannot be read or has errors; the exception lists all.
    """
    return settings.load_as(path, Options)


def split_address(address: str) -> tuple[str, int]:
    """Return the host and the port of IP:PORT."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
