"""Computation and application of deltas between configuration versions."""

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

Entry = typing.TypeVar("Entry")


def compute_delta(
    before: model.Snapshot, after: model.Snapshot
) -> model.Delta:
    """Compute the change from one snapshot to a later one.

    The checksum of ``after`` must be set.
    """
    services = _find_changes(before.services, after.services, _by_name)
    routes = _find_changes(before.routes, after.routes, _by_name)
    data_centres = _find_changes(
        before.data_centres, after.data_centres, _by_name
    )
    rollouts = _find_changes(before.rollouts, after.rollouts, _by_identifier)
    return model.Delta(
        base=before.version,
        version=after.version,
        checksum=after.checksum,
        put_services=services[0],
        remove_services=services[1],
        put_routes=routes[0],
        remove_routes=routes[1],
        put_data_centres=data_centres[0],
        remove_data_centres=data_centres[1],
        put_rollouts=rollouts[0],
        remove_rollouts=rollouts[1],
    )


def apply_delta(
    snapshot: model.Snapshot, delta: model.Delta
) -> model.Snapshot:
    """Return the snapshot that results from a delta.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    delta : apricotpost.model.Delta
        Change whose base is the version in force.

    Returns
    -------
    apricotpost.model.Snapshot
        The complete and validated result.

    Raises
    ------
    apricotpost.errors.ConfigurationOutdated
        The delta does not lead to a newer version.
    apricotpost.errors.DeltaBaseMissing
        The base of the delta is another version.
    apricotpost.errors.ConfigurationInvalid
        The result fails validation or does not match its checksum.
    """
    return apply_chain(snapshot, (delta,))


def apply_chain(
    snapshot: model.Snapshot, chain: Sequence[model.Delta]
) -> model.Snapshot:
    """Apply consecutive deltas as one change and validate only the result.

    An invalid version in between thus does not prevent an update to the
    version that corrects it.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    chain : sequence of apricotpost.model.Delta
        At least one delta; the base of the first is the version in force.

    Returns
    -------
    apricotpost.model.Snapshot
        The complete and validated result.

    Raises
    ------
    apricotpost.errors.ApricotpostError
        See `apply_delta`.
    """
    result = snapshot
    for delta in chain:
        result = _apply_unchecked(result, delta)
    _validate(result)
    return result


def apply_snapshot(
    current: model.Snapshot, snapshot: model.Snapshot
) -> model.Snapshot:
    """Return a received snapshot if it may replace the one in force.

    Raises
    ------
    apricotpost.errors.ConfigurationOutdated
        The snapshot is not newer.
    apricotpost.errors.ConfigurationInvalid
        The snapshot fails validation or does not match its checksum.
    """
    _require_newer(current, snapshot.version)
    _validate(snapshot)
    return snapshot


def _apply_unchecked(
    snapshot: model.Snapshot, delta: model.Delta
) -> model.Snapshot:
    _require_newer(snapshot, delta.version)
    if delta.base != snapshot.version:
        raise errors.DeltaBaseMissing(
            f"delta with base version {delta.base} cannot be applied to "
            f"version {snapshot.version}"
        )
    return dataclasses.replace(
        snapshot,
        version=delta.version,
        checksum=delta.checksum,
        services=_apply_changes(
            snapshot.services,
            delta.put_services,
            delta.remove_services,
            _by_name,
        ),
        routes=_apply_changes(
            snapshot.routes, delta.put_routes, delta.remove_routes, _by_name
        ),
        data_centres=_apply_changes(
            snapshot.data_centres,
            delta.put_data_centres,
            delta.remove_data_centres,
            _by_name,
        ),
        rollouts=_apply_changes(
            snapshot.rollouts,
            delta.put_rollouts,
            delta.remove_rollouts,
            _by_identifier,
        ),
    )


def _require_newer(snapshot: model.Snapshot, version: int) -> None:
    if version <= snapshot.version:
        raise errors.ConfigurationOutdated(
            f"configuration {version} is not newer than {snapshot.version}"
        )


def _validate(snapshot: model.Snapshot) -> None:
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


def _find_changes(
    before: Iterable[Entry],
    after: Iterable[Entry],
    key: Callable[[Entry], str],
) -> tuple[tuple[Entry, ...], tuple[str, ...]]:
    old = {key(entry): entry for entry in before}
    new = {key(entry): entry for entry in after}
    put = tuple(entry for name, entry in new.items() if old.get(name) != entry)
    removed = tuple(name for name in old if name not in new)
    return put, removed


def _apply_changes(
    entries: Iterable[Entry],
    put: Iterable[Entry],
    remove: Iterable[str],
    key: Callable[[Entry], str],
) -> tuple[Entry, ...]:
    result = {key(entry): entry for entry in entries}
    for name in remove:
        result.pop(name, None)
    for entry in put:
        result[key(entry)] = entry
    return tuple(result[name] for name in sorted(result))
