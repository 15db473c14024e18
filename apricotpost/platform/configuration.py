"""Decoding of the traffic configuration that operators write."""

import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import model
from apricotpost.platform import credentials

__all__ = ["RouteCache", "parse_configuration", "read_version"]


class _Metadata(msgspec.Struct, frozen=True):
    name: decoding.Name = ""


class _Resource(msgspec.Struct, frozen=True):
    resource_type: str
    spec: msgspec.Raw
    metadata: _Metadata = _Metadata()


class _Configuration(msgspec.Struct, frozen=True):
    version: decoding.Count
    # Decoded one by one, so that a malformed one does not hide the others.
    resources: tuple[msgspec.Raw, ...]


class _Versioned(msgspec.Struct, frozen=True):
    version: decoding.Count


class _WeightedService(msgspec.Struct, frozen=True):
    service: decoding.Name
    weight: decoding.Count


class _Route(msgspec.Struct, frozen=True):
    host: str
    prefix: str
    # Whether requests may be repeated; not the type of a resource.
    type: typing.Literal["safe", "unsafe"]
    timeout_ms: decoding.Count
    # Latency objective.
    target_latency_ms: decoding.Count
    max_attempts: decoding.Count
    # Rank; 0 is the most urgent.
    priority: decoding.Integer = 0
    service: decoding.Name | None = None
    weighted_services: tuple[_WeightedService, ...] = ()
    # Regions in which the route may run; empty means everywhere.
    allowed_regions: tuple[str, ...] = ()
    # Whether requests need no key.
    public: bool = False


class _Tenant(msgspec.Struct, frozen=True):
    # Keys as operators write them, or as `credentials.hide_keys` has replaced
    # them; a tenant needs one of the two.
    api_keys: tuple[str, ...] | None = None
    api_key_digests: tuple[credentials.HexDigest, ...] | None = None
    priority: decoding.Integer | None = None


class _Service(msgspec.Struct, frozen=True):
    health_path: str
    max_connections: decoding.Count
    # How long a started backend server stays cold.
    cold_start_s: decoding.Finite = 0.0
    # Requests a second that a cold backend server can process.
    cold_per_s: decoding.Finite = 0.0


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: decoding.Count
    max_body_bytes: decoding.Count
    header_timeout_ms: decoding.Count
    idle_timeout_ms: decoding.Count


_decode_configuration = decoding.json_decoder("configuration", _Configuration)
_decode_version = decoding.json_decoder(
    "version of a configuration", _Versioned
)
_decode_resource = decoding.json_decoder("resource", _Resource)
_decode_route = decoding.json_decoder("route", _Route)
_decode_service = decoding.json_decoder("service", _Service)
_decode_limits = decoding.json_decoder("limits", _Limits)
_decode_tenant = decoding.json_decoder("tenant", _Tenant)
# The name is the value of a header.
_decode_tenant_name = decoding.json_decoder(
    "tenant name",
    typing.Annotated[
        str,
        msgspec.Meta(pattern=r"^[^\x00-\x1f\x7f]+$", max_length=200),
    ],
)


class RouteCache:
    """Decoded routes of the last configuration, by name and encoded form.

    Most configuration changes leave nearly all routes unchanged, and decoding
    the routes would take most of the time. Tenants are kept by name only, as
    their encoded form may contain keys.
    """

    def __init__(self) -> None:
        self.routes: dict[tuple[str, bytes], model.TrafficRoute] = {}
        self.tenants: dict[str, model.Tenant] = {}


def parse_configuration(
    body: bytes, cache: RouteCache | None = None
) -> model.TrafficConfig:
    """Decode a complete configuration.

    A resource that cannot be decoded is left out and named in
    ``TrafficConfig.skipped``; a route or a tenant then keeps its previous
    definition, if the cache has one.

    Parameters
    ----------
    body : bytes
        Configuration as JSON, as the operator wrote it.
    cache : RouteCache, optional
        Routes of the previous configuration; replaced by those of this one
        unless it is invalid.

    Raises
    ------
    apricotpost.errors.ConfigurationInvalid
        The configuration is malformed, or a route has no service or refers
        to a service that the configuration does not define.
    """
    try:
        configuration: _Configuration = _decode_configuration(body)
    except errors.MalformedMessage as error:
        raise errors.ConfigurationInvalid(error.message) from error
    return _assemble(configuration, cache or RouteCache())


def read_version(body: bytes) -> int:
    """Return the version of a configuration; 0 if it cannot be decoded."""
    try:
        versioned: _Versioned = _decode_version(body)
    except errors.MalformedMessage:
        return 0
    return versioned.version


def _assemble(
    configuration: _Configuration, cache: RouteCache
) -> model.TrafficConfig:
    routes = []
    services = {}
    skipped = []
    previous = {name: route for (name, _), route in cache.routes.items()}
    decoded: dict[tuple[str, bytes], model.TrafficRoute] = {}
    limits = None
    tenants: list[model.Tenant] = []
    uses_keys = any(
        credentials.is_tenant(bytes(encoded))
        for encoded in configuration.resources
    )
    for encoded in configuration.resources:
        name = ""
        kind = ""
        try:
            resource: _Resource = _decode_resource(bytes(encoded))
            name = resource.metadata.name
            spec = bytes(resource.spec)
            kind = resource.resource_type
            if kind == "routes":
                route = cache.routes.get((name, spec))
                if route is None:
                    route = _make_route(name, _decode_route(spec))
                decoded[(name, spec)] = route
                routes.append(route)
            elif kind == "services":
                services[name] = _make_service(name, _decode_service(spec))
            elif kind == "limits":
                limits = _make_limits(_decode_limits(spec))
            elif kind == "tenants":
                tenants.append(_make_tenant(name, _decode_tenant(spec)))
        except errors.MalformedMessage as error:
            skipped.append(f"resource {name!r}: {error.message}")
            if kind == "tenants" and name in cache.tenants:
                tenants.append(cache.tenants[name])
            elif name in previous and kind != "tenants":
                routes.append(previous[name])
    faults = tuple(
        f"route {route.name} refers to unknown service {target.service}"
        for route in routes
        for target in route.targets
        if target.service not in services
    )
    if faults:
        raise errors.ConfigurationInvalid(
            f"configuration {configuration.version} has {len(faults)} faults",
            faults=faults,
        )
    cache.routes = decoded
    cache.tenants = {tenant.name: tenant for tenant in tenants}
    return model.TrafficConfig(
        version=configuration.version,
        routes=tuple(routes),
        services=services,
        limits=limits,
        skipped=tuple(skipped),
        tenants=tuple(tenants),
        uses_keys=uses_keys,
    )


def _make_route(name: str, route: _Route) -> model.TrafficRoute:
    if route.weighted_services:
        targets = tuple(
            model.Target(service=weighted.service, weight=weighted.weight)
            for weighted in route.weighted_services
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
        public=route.public,
    )


def _make_tenant(name: str, tenant: _Tenant) -> model.Tenant:
    _decode_tenant_name(msgspec.json.encode(name))
    if tenant.api_keys is None and tenant.api_key_digests is None:
        raise errors.MalformedMessage("tenant has no list of keys")
    digests = {
        credentials.digest_key(key.encode())
        for key in tenant.api_keys or ()
        if key
    }
    digests.update(map(bytes.fromhex, tenant.api_key_digests or ()))
    return model.Tenant(
        name=name, key_digests=frozenset(digests), rank=tenant.priority
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
