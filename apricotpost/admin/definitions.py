"""Changes to the definitions of services, routes and data centres."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import typing

from apricotpost.admin import requests
from apricotpost.admin import tokens
from apricotpost import errors
from apricotpost import model

__all__ = ["apply_definitions"]


def apply_definitions(
    snapshot: model.Snapshot,
    request: requests.Definitions,
    actor: tokens.Actor,
) -> requests.AppliedChange:
    """Create, replace and remove services, routes and data centres.

    The versions of an existing service stay as they are; they change only
    through a rollout.

    Raises
    ------
    apricotpost.errors.AccessDenied
        The actor may not make some of the changes; all are listed.
    apricotpost.errors.RequestInvalid
        Some entries cannot be defined or removed; all are listed.
    """
    before = _EntriesByName(
        services={entry.name: entry for entry in snapshot.services},
        routes={entry.name: entry for entry in snapshot.routes},
        data_centres={entry.name: entry for entry in snapshot.data_centres},
    )
    denied = tuple(_find_denials(before, request, actor))
    if denied:
        raise errors.AccessDenied(
            f"{actor.author} of team {actor.team} may not make this change",
            faults=denied,
        )
    faults = tuple(_find_faults(before, request))
    if faults:
        raise errors.RequestInvalid(
            f"the definitions have {len(faults)} faults", faults=faults
        )
    after = _EntriesByName(
        services=_merge(
            before.services,
            {
                entry.name: _make_service(before, entry)
                for entry in request.services
            },
            request.remove_services,
        ),
        routes=_merge(
            before.routes,
            {entry.name: entry for entry in request.routes},
            request.remove_routes,
        ),
        data_centres=_merge(
            before.data_centres,
            {
                entry.name: _make_data_centre(before, entry)
                for entry in request.data_centres
            },
            request.remove_data_centres,
        ),
    )
    changed, unchanged = _describe(before, after, request)
    return requests.AppliedChange(
        snapshot=dataclasses.replace(
            snapshot,
            services=tuple(after.services.values()),
            routes=tuple(after.routes.values()),
            data_centres=tuple(after.data_centres.values()),
            rollouts=tuple(
                entry
                for entry in snapshot.rollouts
                if entry.service in after.services
            ),
        ),
        changed=changed,
        unchanged=unchanged,
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _EntriesByName:
    services: dict[str, model.Service]
    routes: dict[str, model.Route]
    data_centres: dict[str, model.DataCentre]


def _find_denials(
    before: _EntriesByName, request: requests.Definitions, actor: tokens.Actor
) -> Iterator[str]:
    if request.data_centres or request.remove_data_centres:
        if tokens.DATA_CENTRES not in actor.rights:
            yield f"data_centres: needs the right {tokens.DATA_CENTRES}"
    if tokens.CHANGE not in actor.rights and _changes_services(request):
        yield f"services and routes: need the right {tokens.CHANGE}"
    teams = {name: entry.team for name, entry in before.services.items()}
    for entry in request.services:
        for team in {entry.team, teams.get(entry.name, entry.team)}:
            if team != actor.team:
                yield f"service {entry.name}: belongs to team {team}"
    for name in request.remove_services:
        if teams.get(name, actor.team) != actor.team:
            yield f"service {name}: belongs to team {teams[name]}"
    for name, service in _find_changed_routes(before, request):
        if teams.get(service, actor.team) != actor.team:
            yield f"route {name}: belongs to team {teams[service]}"


def _changes_services(request: requests.Definitions) -> bool:
    return bool(
        request.services
        or request.routes
        or request.remove_services
        or request.remove_routes
    )


def _find_changed_routes(
    before: _EntriesByName, request: requests.Definitions
) -> Iterator[tuple[str, str]]:
    """Yield the name of each changed route with its new or old service."""
    for entry in request.routes:
        yield entry.name, entry.service
    for name in (*request.remove_routes, *(r.name for r in request.routes)):
        if name in before.routes:
            yield name, before.routes[name].service


def _find_faults(
    before: _EntriesByName, request: requests.Definitions
) -> Iterator[str]:
    for entry in request.services:
        if entry.name not in before.services and not entry.first_version:
            yield f"service {entry.name}: a new service needs first_version"
    kinds: tuple[tuple[str, typing.Any, typing.Any, typing.Any], ...] = (
        (
            "service",
            before.services,
            request.remove_services,
            request.services,
        ),
        ("route", before.routes, request.remove_routes, request.routes),
        (
            "data centre",
            before.data_centres,
            request.remove_data_centres,
            request.data_centres,
        ),
    )
    for kind, existing, removed, defined in kinds:
        names = [entry.name for entry in defined]
        for name in removed:
            if name not in existing:
                yield f"{kind} {name}: does not exist"
        for name in sorted({each for each in names if names.count(each) > 1}):
            yield f"{kind} {name}: is defined twice"
        for name in sorted(set(names) & set(removed)):
            yield f"{kind} {name}: is both defined and removed"


def _make_service(
    before: _EntriesByName, entry: requests.ServiceDefinition
) -> model.Service:
    existing = before.services.get(entry.name)
    if existing is not None:
        return dataclasses.replace(existing, team=entry.team)
    first_share = model.VersionShare(
        version=entry.first_version, share=model.TOTAL_SHARE
    )
    return model.Service(
        name=entry.name, team=entry.team, versions=(first_share,)
    )


def _make_data_centre(
    before: _EntriesByName, entry: requests.DataCentreDefinition
) -> model.DataCentre:
    existing = before.data_centres.get(entry.name)
    if existing is not None:
        return dataclasses.replace(existing, region=entry.region)
    return model.DataCentre(name=entry.name, region=entry.region)


def _merge(
    existing: dict[str, typing.Any],
    defined: dict[str, typing.Any],
    removed: Iterable[str],
) -> dict[str, typing.Any]:
    result = {**existing, **defined}
    for name in removed:
        result.pop(name, None)
    return {name: result[name] for name in sorted(result)}


def _describe(
    before: _EntriesByName,
    after: _EntriesByName,
    request: requests.Definitions,
) -> tuple[tuple[str, ...], tuple[str, ...]]:
    changed: list[str] = []
    unchanged: list[str] = []
    kinds: tuple[tuple[str, typing.Any, typing.Any, typing.Any], ...] = (
        ("service", before.services, after.services, request.services),
        ("route", before.routes, after.routes, request.routes),
        (
            "data centre",
            before.data_centres,
            after.data_centres,
            request.data_centres,
        ),
    )
    for kind, old, new, entries in kinds:
        for entry in entries:
            same = old.get(entry.name) == new.get(entry.name)
            (unchanged if same else changed).append(f"{kind} {entry.name}")
        changed.extend(
            f"{kind} {name} removed" for name in old if name not in new
        )
    return tuple(changed), tuple(unchanged)
