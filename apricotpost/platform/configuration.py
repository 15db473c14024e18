"""Decoding of the operators' configuration."""

import typing

import msgspec

from apricotpost import errors
from apricotpost import model

__all__ = ["RouteCache", "parse_configuration"]


class _Meta(msgspec.Struct, frozen=True):
    name: str = ""


class _Resource(msgspec.Struct, frozen=True):
    resource_type: str
    spec: msgspec.Raw
    metadata: _Meta = _Meta()


class _Configuration(msgspec.Struct, frozen=True):
    version: int
    resources: tuple[_Resource, ...]


class _Weighted(msgspec.Struct, frozen=True):
    service: str
    weight: int


class _Route(msgspec.Struct, frozen=True):
    host: str
    prefix: str
    # What may be repeated, not the kind of a resource.
    type: typing.Literal["safe", "unsafe"]
    timeout_ms: int
    target_latency_ms: int
    max_attempts: int
    # 0 is the most urgent.
    priority: int = 0
    service: str | None = None
    weighted_services: tuple[_Weighted, ...] = ()
    # Where the route may run.
    allowed_regions: tuple[str, ...] = ()


class _Service(msgspec.Struct, frozen=True):
    health_path: str
    max_connections: int
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


_CONFIGURATION = msgspec.json.Decoder(_Configuration)
_ROUTE = msgspec.json.Decoder(_Route)
_SERVICE = msgspec.json.Decoder(_Service)
_LIMITS = msgspec.json.Decoder(_Limits)


class RouteCache:
    """Decoded routes of the last configuration by name and encoded form.

    A change leaves nearly all routes as they were, and decoding them again
    would take most of the time.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, bytes], model.TrafficRoute] = {}


def parse_configuration(
    body: bytes, cache: RouteCache | None = None
) -> model.TrafficConfig:
    """Decode a whole configuration.

    Parameters
    ----------
    body : bytes
        As the operator wrote it.
    cache : RouteCache, optional
        Routes of the configuration before; replaced by those of this one.

    Raises
    ------
    apricotpost.errors.ConfigurationInvalid
        A part of it is malformed or refers to a service that it lacks.
    """
    try:
        found = _CONFIGURATION.decode(body)
        return _assemble(found, cache or RouteCache())
    except msgspec.DecodeError as error:
        raise errors.ConfigurationInvalid(
            f"configuration cannot be decoded: {error}"
        ) from error


def _assemble(found: _Configuration, cache: RouteCache) -> model.TrafficConfig:
    routes = []
    services = {}
    decoded: dict[tuple[str, bytes], model.TrafficRoute] = {}
    limits = None
    for resource in found.resources:
        name = resource.metadata.name
        if resource.resource_type == "routes":
            key = (name, bytes(resource.spec))
            route = cache.routes.get(key)
            if route is None:
                route = _make_route(name, _ROUTE.decode(resource.spec))
            decoded[key] = route
            routes.append(route)
        elif resource.resource_type == "services":
            services[name] = _make_service(
                name, _SERVICE.decode(resource.spec)
            )
        elif resource.resource_type == "limits":
            limits = _make_limits(_LIMITS.decode(resource.spec))
    faults = tuple(
        f"route {route.name} needs unknown service {target.service}"
        for route in routes
        for target in route.targets
        if target.service not in services
    )
    if faults:
        raise errors.ConfigurationInvalid(
            f"configuration {found.version} has {len(faults)} faults",
            faults=faults,
        )
    cache.routes = decoded
    return model.TrafficConfig(
        version=found.version,
        routes=tuple(routes),
        services=services,
        limits=limits,
    )


def _make_route(name: str, route: _Route) -> model.TrafficRoute:
    if route.weighted_services:
        targets = tuple(
            model.Target(service=w.service, weight=w.weight)
            for w in route.weighted_services
        )
    elif route.service is not None:
        targets = (model.Target(service=route.service, weight=1),)
    else:
        raise errors.ConfigurationInvalid(f"route {name} has no service")
    return model.TrafficRoute(
        name=name,
        host=route.host.lower(),
        prefix=route.prefix,
        targets=targets,
        idempotent=route.type == "safe",
        timeout_ms=route.timeout_ms,
        objective_ms=route.target_latency_ms,
        max_attempts=route.max_attempts,
        rank=route.priority,
        regions=route.allowed_regions,
    )


def _make_service(name: str, service: _Service) -> model.ServiceRule:
    return model.ServiceRule(
        name=name,
        health_path=service.health_path,
        max_connections=service.max_connections,
        cold_seconds=service.cold_start_s,
        cold_per_second=service.cold_per_s,
    )


def _make_limits(limits: _Limits) -> model.ClientLimits:
    return model.ClientLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_ms=limits.header_timeout_ms,
        idle_ms=limits.idle_timeout_ms,
    )
