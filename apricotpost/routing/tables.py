"""Lookup tables, which a node derives once from each view."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model

__all__ = ["RoutingTable", "build_table", "find_withdrawn", "match_route"]

_OPEN_STATES = (model.RolloutState.RUNNING, model.RolloutState.BAKING)
_CALLABLE_STATES = (model.InstanceState.UP, model.InstanceState.SUSPECT)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RoutingTable:
    """Routes, services, rollouts and backend servers, indexed for lookup.

    Parameters
    ----------
    version : int
        Configuration version.
    ready : bool
        Whether calls may be routed with this table.
    routes : mapping
        Routes by name.
    by_method : mapping
        Routes by method, longest prefix first.
    services : mapping
        Services by name.
    rollouts : mapping
        Open rollouts by service.
    withdrawn : frozenset
        Pairs of service and version that were withdrawn and get no calls.
    backend_servers : mapping
        Instances that accept calls, by service and version.
    """

    version: int
    ready: bool
    routes: Mapping[str, model.Route]
    by_method: Mapping[str, tuple[model.Route, ...]]
    services: Mapping[str, model.Service]
    rollouts: Mapping[str, model.Rollout]
    withdrawn: frozenset[tuple[str, str]]
    backend_servers: Mapping[tuple[str, str], tuple[model.InstanceRecord, ...]]


def build_table(view: model.View) -> RoutingTable:
    """Return the lookup tables of a view."""
    snapshot = view.snapshot
    return RoutingTable(
        version=snapshot.version,
        ready=view.ready,
        routes={route.name: route for route in snapshot.routes},
        by_method=_routes_by_method(snapshot.routes),
        services={service.name: service for service in snapshot.services},
        rollouts={
            rollout.service: rollout
            for rollout in snapshot.rollouts
            if rollout.state in _OPEN_STATES
        },
        withdrawn=find_withdrawn(view),
        backend_servers=_group_backend_servers(view),
    )


def find_withdrawn(view: model.View) -> frozenset[tuple[str, str]]:
    """Return the pairs of service and version withdrawn in open rollouts."""
    open_identifiers = {
        rollout.identifier
        for rollout in view.snapshot.rollouts
        if rollout.state in _OPEN_STATES
    }
    return frozenset(
        (entry.service, entry.version)
        for entry in view.withdrawals
        if entry.rollout in open_identifiers
    )


def match_route(
    table: RoutingTable, *, method: str, path: str
) -> model.Route | None:
    """Return the route with the longest prefix of a path, or None.

    A prefix matches whole path segments only. A path with a ".." segment
    matches no route, because a backend server might resolve it to a path of
    an internal route.
    """
    if "/../" in path + "/":
        return None
    for route in table.by_method.get(method, ()):
        prefix = route.prefix.rstrip("/")
        if path == prefix or path.startswith(prefix + "/"):
            return route
    return None


def _routes_by_method(
    routes: tuple[model.Route, ...],
) -> dict[str, tuple[model.Route, ...]]:
    result: dict[str, list[model.Route]] = {}
    for route in routes:
        for method in route.methods:
            result.setdefault(method, []).append(route)
    return {
        method: tuple(
            sorted(
                method_routes,
                key=lambda route: len(route.prefix),
                reverse=True,
            )
        )
        for method, method_routes in result.items()
    }


def _group_backend_servers(
    view: model.View,
) -> dict[tuple[str, str], tuple[model.InstanceRecord, ...]]:
    out = {
        centre.name
        for centre in view.snapshot.data_centres
        if centre.state is model.DataCentreState.OUT
    }
    groups: dict[tuple[str, str], list[model.InstanceRecord]] = {}
    for record in view.instances:
        if record.state not in _CALLABLE_STATES:
            continue
        if record.data_centre in out or not record.service:
            continue
        key = (record.service, record.version)
        groups.setdefault(key, []).append(record)
    return {key: tuple(records) for key, records in groups.items()}
