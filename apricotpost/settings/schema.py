"""Settings of a node: types, units, ranges and defaults."""

import dataclasses
import typing

import msgspec

__all__ = [
    "AddressSettings",
    "CredentialSettings",
    "LevelSettings",
    "LogSettings",
    "MetricSettings",
    "NodeSettings",
    "PlatformSettings",
    "RouteLevelSettings",
    "TimeSettings",
    "TokenSettings",
]

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]*$", max_length=63)
]
HostPort = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")
]
Sha256Digest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]
VariableName = typing.Annotated[
    str, msgspec.Meta(pattern=r"^[A-Za-z_][A-Za-z0-9_]*$")
]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=3600)]
Percent = typing.Annotated[float, msgspec.Meta(ge=50, lt=100)]
Milliseconds = typing.Annotated[float, msgspec.Meta(gt=0, le=60_000)]
ThreadCount = typing.Annotated[int, msgspec.Meta(ge=1, le=256)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class AddressSettings:
    """Listening addresses of the node, each as IP:PORT, by who connects.

    Parameters
    ----------
    ingress : str
        For callers from outside.
    local : str
        For the backend server beside the node.
    admin : str
        For operators.
    call, control : str
        For other nodes.
    """

    ingress: HostPort
    local: HostPort
    admin: HostPort
    call: HostPort
    control: HostPort


@dataclasses.dataclass(frozen=True, kw_only=True)
class CredentialSettings:
    """Names of the environment variables that hold the credentials.

    Parameters
    ----------
    region : str
        Region of the platform in signatures.
    access_key_variable, secret_key_variable : str
        Names of variables; the values never appear in the settings.
    session_token_variable : str
        Name of the variable with the session token of temporary
        credentials.
    """

    region: Name
    access_key_variable: VariableName = "AWS_ACCESS_KEY_ID"
    secret_key_variable: VariableName = "AWS_SECRET_ACCESS_KEY"
    session_token_variable: VariableName | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class PlatformSettings:
    """Access to the platform's table service and object store.

    Parameters
    ----------
    table_url, object_url : str
        URLs of the table service and the object store.
    table, bucket : str
        Names of the table and the bucket.
    timeout_seconds : float
        Timeout of one request, in seconds.
    credentials : CredentialSettings, optional
        Credentials with which requests are signed.
    """

    table_url: str
    object_url: str
    table: Name = "apricotpost"
    bucket: Name = "apricotpost"
    timeout_seconds: Seconds = 2.0
    credentials: CredentialSettings | None = None


@dataclasses.dataclass(frozen=True, kw_only=True)
class TokenSettings:
    """One bearer token of the administration API.

    Parameters
    ----------
    sha256 : str
        SHA-256 of the token, in hexadecimal.
    author : str
        Person or program that uses the token.
    team : str
        Team whose services may be changed with the token.
    rights : tuple of {'read', 'change', 'data-centres'}
        Kinds of requests that the token permits.
    """

    sha256: Sha256Digest
    author: str
    team: Name
    rights: tuple[typing.Literal["read", "change", "data-centres"], ...] = (
        "read",
    )


@dataclasses.dataclass(frozen=True, kw_only=True)
class TimeSettings:
    """Durations, all in seconds.

    Parameters
    ----------
    drain_seconds : float
        Longest drain after SIGTERM.
    leave_notice_seconds : float
        Time for which calls are still accepted after the node has announced
        that it leaves.
    poll_seconds : float
        Pause between two reads of the table by a node that reads it.
    bake_seconds : float
        Time at full share before a rollout is done.
    step_seconds : float
        Shortest time between two steps of a rollout.
    join_seconds : float
        Longest random delay before a started node joins the other nodes.
    """

    drain_seconds: Seconds = 30.0
    leave_notice_seconds: Seconds = 2.0
    poll_seconds: Seconds = 1.0
    bake_seconds: Seconds = 60.0
    step_seconds: Seconds = 5.0
    join_seconds: Seconds = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LogSettings:
    """Log output on standard error.

    Parameters
    ----------
    style : {'text', 'json'}
        Format of the records.
    level : str
        Lowest level that is written.
    """

    style: typing.Literal["text", "json"] = "text"
    level: typing.Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


@dataclasses.dataclass(frozen=True, kw_only=True)
class MetricSettings:
    """Export of metrics to a statsd server.

    Parameters
    ----------
    statsd : str, optional
        Address of the statsd server; without it nothing is sent.
    prefix : str
        Prefix of the names of the metrics.
    """

    statsd: HostPort | None = None
    prefix: Name = "apricotpost"


@dataclasses.dataclass(frozen=True, kw_only=True)
class RouteLevelSettings:
    """Service level objective of one route.

    Parameters
    ----------
    route : str
        Name of the route.
    availability_percent : float
        Share of calls that must not fail, in percent.
    latency_ms : float
        Latency in milliseconds above which a call counts as slow.
    latency_percent : float
        Share of answered calls that must not be slow, in percent.
    """

    route: str
    availability_percent: Percent = 99.9
    latency_ms: Milliseconds = 500.0
    latency_percent: Percent = 99.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class LevelSettings:
    """Default service level objectives, and exceptions for single routes.

    Parameters
    ----------
    availability_percent : float
        Share of calls that must not fail, in percent.
    latency_ms : float
        Latency in milliseconds above which a call counts as slow.
    latency_percent : float
        Share of answered calls that must not be slow, in percent.
    routes : tuple of RouteLevelSettings
        Routes with other objectives.
    """

    availability_percent: Percent = 99.9
    latency_ms: Milliseconds = 500.0
    latency_percent: Percent = 99.0
    routes: tuple[RouteLevelSettings, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """Top level of a node's settings file.

    Parameters
    ----------
    instance, data_centre, region : str
        Name and location of the instance.
    addresses : AddressSettings
        Listening addresses of the node.
    seeds : tuple of str
        Control addresses of some other nodes, as IP:PORT.
    platform : PlatformSettings
        Access to the platform's services.
    tokens : tuple of TokenSettings
        Tokens of the administration API; without any, all requests are
        refused.
    times : TimeSettings
        Times in seconds.
    logs : LogSettings
        Log output.
    metrics : MetricSettings
        Metrics.
    levels : LevelSettings
        Service level objectives.
    ingress_threads : int
        Threads that serve callers from outside.
    local_threads : int
        Threads that serve the backend server beside the node.
    """

    instance: Name
    data_centre: Name
    region: Name
    addresses: AddressSettings
    platform: PlatformSettings
    seeds: tuple[HostPort, ...] = ()
    tokens: tuple[TokenSettings, ...] = ()
    times: TimeSettings = TimeSettings()
    logs: LogSettings = LogSettings()
    metrics: MetricSettings = MetricSettings()
    levels: LevelSettings = LevelSettings()
    ingress_threads: ThreadCount = 24
    local_threads: ThreadCount = 12
