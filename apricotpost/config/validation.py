"""Validation of configurations for completeness and consistency."""

from collections.abc import Iterable
from collections.abc import Iterator

from apricotpost import errors
from apricotpost import model

__all__ = ["MAX_TIMEOUT_MS", "find_faults", "validate"]

# A call must end within the default drain time (30 s) and while a gate still
# remembers its identifier (60 s).
MAX_TIMEOUT_MS = 25_000
_METHODS = frozenset(
    ("GET", "HEAD", "OPTIONS", "POST", "PUT", "PATCH", "DELETE")
)


def validate(snapshot: model.Snapshot) -> None:
    """Validate a complete snapshot.

    Raises
    ------
    apricotpost.errors.ConfigurationInvalid
        The snapshot has faults; the error lists all of them.
    """
    faults = tuple(find_faults(snapshot))
    if faults:
        raise errors.ConfigurationInvalid(
            f"configuration {snapshot.version} has {len(faults)} faults: "
            + "; ".join(faults[:3]),
            faults=faults,
        )


def find_faults(snapshot: model.Snapshot) -> Iterator[str]:
    """Yield a description of each fault of a snapshot."""
    services = {service.name: service for service in snapshot.services}
    yield from _find_name_faults(
        "services", [service.name for service in snapshot.services]
    )
    yield from _find_name_faults(
        "routes", [route.name for route in snapshot.routes]
    )
    yield from _find_name_faults(
        "data_centres", [centre.name for centre in snapshot.data_centres]
    )
    yield from _find_name_faults(
        "rollouts", [rollout.identifier for rollout in snapshot.rollouts]
    )
    for service in snapshot.services:
        yield from _find_service_faults(service)
    for route in snapshot.routes:
        yield from _find_route_faults(route, services)
    yield from _find_prefix_conflicts(snapshot.routes)
    for rollout in snapshot.rollouts:
        yield from _find_rollout_faults(rollout, services)


def _find_name_faults(collection: str, names: list[str]) -> Iterator[str]:
    if names != sorted(set(names)):
        yield f"{collection} are not sorted by unique name"
    if "" in names:
        yield f"{collection} contain an empty name"


def _find_service_faults(service: model.Service) -> Iterator[str]:
    total = sum(entry.share for entry in service.versions)
    if total != model.TOTAL_SHARE:
        yield (
            f"service {service.name}: shares add up to {total}, "
            f"expected {model.TOTAL_SHARE}"
        )
    if any(entry.share < 0 for entry in service.versions):
        yield f"service {service.name}: a share is negative"
    versions = [entry.version for entry in service.versions]
    if len(set(versions)) != len(versions) or "" in versions:
        yield f"service {service.name}: versions are not unique names"


def _find_route_faults(
    route: model.Route, services: dict[str, model.Service]
) -> Iterator[str]:
    if route.service not in services:
        yield f"route {route.name}: service {route.service} does not exist"
    if not route.prefix.startswith("/"):
        yield f"route {route.name}: prefix must start with a slash"
    if not route.methods or not _METHODS.issuperset(route.methods):
        yield f"route {route.name}: methods must be HTTP methods"
    if not 1 <= route.timeout_ms <= MAX_TIMEOUT_MS:
        yield (
            f"route {route.name}: timeout_ms is {route.timeout_ms}, "
            f"expected 1 to {MAX_TIMEOUT_MS} ms"
        )


def _find_prefix_conflicts(routes: Iterable[model.Route]) -> Iterator[str]:
    route_names: dict[tuple[str, str], str] = {}
    for route in routes:
        for method in route.methods:
            other = route_names.setdefault((route.prefix, method), route.name)
            if other != route.name:
                yield (
                    f"route {route.name}: {method} {route.prefix} already "
                    f"belongs to route {other}"
                )


def _find_rollout_faults(
    rollout: model.Rollout, services: dict[str, model.Service]
) -> Iterator[str]:
    service = services.get(rollout.service)
    if service is None:
        yield (
            f"rollout {rollout.identifier}: service {rollout.service} "
            "does not exist"
        )
        return
    if rollout.state not in (
        model.RolloutState.RUNNING,
        model.RolloutState.BAKING,
    ):
        return
    versions = {entry.version for entry in service.versions}
    for version in (rollout.old, rollout.new):
        if version not in versions:
            yield (
                f"rollout {rollout.identifier}: service {service.name} "
                f"has no version {version}"
            )
