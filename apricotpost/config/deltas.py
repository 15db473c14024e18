"""Compute and apply deltas between configuration versions."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import typing

from apricotpost.config import checksums
from apricotpost.config import validation
from apricotpost import errors
from apricotpost import model

__all__ = ["apply_chain", "apply_delta", "apply_snapshot", "compute_delta"]

T = typing.TypeVar("T")


def compute_delta(
    before: model.Snapshot, after: model.Snapshot
) -> model.Delta:
    """Compute the change from one sealed snapshot to a later one."""
    services = _compare(before.services, after.services, _by_name)
    routes = _compare(before.routes, after.routes, _by_name)
    centres = _compare(before.data_centres, after.data_centres, _by_name)
    rollouts = _compare(before.rollouts, after.rollouts, _by_identifier)
    return model.Delta(
        base=before.version,
        version=after.version,
        checksum=after.checksum,
        put_services=services[0],
        remove_services=services[1],
        put_routes=routes[0],
        remove_routes=routes[1],
        put_data_centres=centres[0],
        remove_data_centres=centres[1],
        put_rollouts=rollouts[0],
        remove_rollouts=rollouts[1],
    )


def apply_delta(
    snapshot: model.Snapshot, delta: model.Delta
) -> model.Snapshot:
    """Apply a delta to a copy of a snapshot.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force; it stays unchanged.
    delta : apricotpost.model.Delta
        Change that starts at the version in force.

    Returns
    -------
    apricotpost.model.Snapshot
        The whole, checked result.

    Raises
    ------
    apricotpost.errors.ConfigurationOutdated
        The delta does not lead to a newer version.
    apricotpost.errors.DeltaBaseMissing
        The delta starts at another version.
    apricotpost.errors.ConfigurationInvalid
        The result fails validation or its checksum.
    """
    return apply_chain(snapshot, (delta,))


def apply_chain(
    snapshot: model.Snapshot, chain: Sequence[model.Delta]
) -> model.Snapshot:
    """Apply consecutive deltas as one change; only the result is checked.

    A version that is refused does not bar the way to its correction.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force; it stays unchanged.
    chain : sequence of apricotpost.model.Delta
        At least one, the first of which starts at the version in force.

    Returns
    -------
    apricotpost.model.Snapshot
        The whole, checked result.

    Raises
    ------
    apricotpost.errors.ApricotpostError
        As `apply_delta`.
    """
    result = snapshot
    for delta in chain:
        result = _apply(result, delta)
    _check(result)
    return result


def apply_snapshot(
    current: model.Snapshot, snapshot: model.Snapshot
) -> model.Snapshot:
    """Check that a received snapshot may replace the one in force.

    Raises
    ------
    apricotpost.errors.ConfigurationOutdated
        The snapshot is not newer.
    apricotpost.errors.ConfigurationInvalid
        It fails validation or its checksum.
    """
    _require_newer(current, snapshot.version)
    _check(snapshot)
    return snapshot


def _apply(snapshot: model.Snapshot, delta: model.Delta) -> model.Snapshot:
    _require_newer(snapshot, delta.version)
    if delta.base != snapshot.version:
        raise errors.DeltaBaseMissing(
            f"delta starts at {delta.base}, version {snapshot.version} held"
        )
    return dataclasses.replace(
        snapshot,
        version=delta.version,
        checksum=delta.checksum,
        services=_merge(
            snapshot.services,
            delta.put_services,
            delta.remove_services,
            _by_name,
        ),
        routes=_merge(
            snapshot.routes, delta.put_routes, delta.remove_routes, _by_name
        ),
        data_centres=_merge(
            snapshot.data_centres,
            delta.put_data_centres,
            delta.remove_data_centres,
            _by_name,
        ),
        rollouts=_merge(
            snapshot.rollouts,
            delta.put_rollouts,
            delta.remove_rollouts,
            _by_identifier,
        ),
    )


def _require_newer(snapshot: model.Snapshot, version: int) -> None:
    if version <= snapshot.version:
        raise errors.ConfigurationOutdated(
            f"version {version} is not newer than {snapshot.version}"
        )


def _check(snapshot: model.Snapshot) -> None:
    expected = checksums.compute_checksum(snapshot)
    if snapshot.checksum != expected:
        raise errors.ConfigurationInvalid(
            f"configuration {snapshot.version} has checksum "
            f"{snapshot.checksum}, expected {expected}"
        )
    validation.validate(snapshot)


def _by_name(entry: typing.Any) -> str:
    return str(entry.name)


def _by_identifier(entry: typing.Any) -> str:
    return str(entry.identifier)


def _compare(
    before: Iterable[T], after: Iterable[T], key: Callable[[T], str]
) -> tuple[tuple[T, ...], tuple[str, ...]]:
    old = {key(entry): entry for entry in before}
    new = {key(entry): entry for entry in after}
    put = tuple(entry for name, entry in new.items() if old.get(name) != entry)
    removed = tuple(name for name in old if name not in new)
    return put, removed


def _merge(
    entries: Iterable[T],
    put: Iterable[T],
    remove: Iterable[str],
    key: Callable[[T], str],
) -> tuple[T, ...]:
    result = {key(entry): entry for entry in entries}
    for name in remove:
        result.pop(name, None)
    for entry in put:
        result[key(entry)] = entry
    return tuple(result[name] for name in sorted(result))
