"""Changes of the configuration that start, step and end a rollout."""

import dataclasses

from apricotpost import errors
from apricotpost import model
from apricotpost.rollout import steps

__all__ = ["end_rollout", "find_open", "plan_rollout", "step_rollout"]

_OPEN_STATES = (model.RolloutState.RUNNING, model.RolloutState.BAKING)


def find_open(snapshot: model.Snapshot, service: str) -> model.Rollout | None:
    """Return the open rollout of a service, or None."""
    for entry in snapshot.rollouts:
        if entry.service == service and entry.state in _OPEN_STATES:
            return entry
    return None


def plan_rollout(
    snapshot: model.Snapshot,
    service: str,
    version: str,
    finish_by: float,
    now: float,
) -> model.Snapshot:
    """Return a configuration with a new rollout.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration to change.
    service, version : str
        Service and its new version.
    finish_by, now : float
        Unix time in seconds.

    Returns
    -------
    apricotpost.model.Snapshot
        Configuration with the rollout at share 0. It has the same version
        number and no checksum, so that the rows of a sheet can be applied
        one after the other. The caller sets the version number and the
        checksum of the result.

    Raises
    ------
    apricotpost.errors.RolloutRefused
        The service is unknown, another rollout of it is open, the version
        already gets all its calls, several versions get calls, or the time
        is too short.
    """
    entry = _find_service(snapshot, service)
    open_rollout = find_open(snapshot, service)
    if open_rollout is not None:
        raise errors.RolloutRefused(
            f"service {service}: rollout {open_rollout.identifier} to "
            f"{open_rollout.new} is still {open_rollout.state}"
        )
    active_versions = [item.version for item in entry.versions if item.share]
    if active_versions == [version]:
        raise errors.RolloutRefused(
            f"service {service}: version {version} is already in force"
        )
    if len(active_versions) != 1:
        raise errors.RolloutRefused(
            f"service {service}: {len(active_versions)} versions get calls, "
            "expected 1"
        )
    if finish_by <= now + steps.FINISH_MARGIN_SECONDS:
        # This is only the lower limit. The time that the steps need depends
        # on the settings.
        raise errors.RolloutRefused(
            f"service {service}: finish_by is {finish_by - now:.0f} s ahead, "
            f"full share is due {steps.FINISH_MARGIN_SECONDS:.0f} s before it"
        )
    rollout = model.Rollout(
        # Fixed width, so that the history sorts by configuration version.
        identifier=f"{snapshot.version + 1:012d}-{service}",
        service=service,
        old=active_versions[0],
        new=version,
        state=model.RolloutState.RUNNING,
        share=0,
        started_at=now,
        finish_by=finish_by,
        changed_at=now,
    )
    # The configuration keeps only the latest rollout of a service; the
    # outcomes of all rollouts are in the table.
    others = [item for item in snapshot.rollouts if item.service != service]
    return _rebuild(snapshot, (*others, rollout), rollout)


def step_rollout(
    snapshot: model.Snapshot, rollout: model.Rollout, share: int, now: float
) -> model.Snapshot:
    """Return a configuration with a higher share.

    Full share starts the bake.
    """
    state = model.RolloutState.RUNNING
    if share >= model.TOTAL_SHARE:
        state, share = model.RolloutState.BAKING, steps.BAKING_SHARE
    return _replace(
        snapshot, rollout, state=state, share=share, changed_at=now
    )


def end_rollout(
    snapshot: model.Snapshot,
    rollout: model.Rollout,
    *,
    done: bool,
    reason: str,
    now: float,
) -> model.Snapshot:
    """Return a configuration in which an open rollout has ended.

    One of the versions gets all calls.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration to change.
    rollout : apricotpost.model.Rollout
        Open rollout of the configuration.
    done : bool
        Whether the new version gets all calls; otherwise it is withdrawn.
    reason : str
        Reason, stored in the configuration and shown to the owner.
    now : float
        Unix time in seconds.
    """
    state = model.RolloutState.DONE if done else model.RolloutState.WITHDRAWN
    share = model.TOTAL_SHARE if done else 0
    return _replace(
        snapshot,
        rollout,
        state=state,
        share=share,
        changed_at=now,
        reason=reason,
    )


def _find_service(snapshot: model.Snapshot, name: str) -> model.Service:
    for entry in snapshot.services:
        if entry.name == name:
            return entry
    raise errors.RolloutRefused(f"service {name} does not exist")


def _replace(
    snapshot: model.Snapshot,
    rollout: model.Rollout,
    *,
    state: model.RolloutState,
    share: int,
    changed_at: float,
    reason: str = "",
) -> model.Snapshot:
    changed = dataclasses.replace(
        rollout,
        state=state,
        share=share,
        changed_at=changed_at,
        reason=reason,
    )
    others = [
        entry
        for entry in snapshot.rollouts
        if entry.identifier != rollout.identifier
    ]
    return _rebuild(snapshot, (*others, changed), changed)


def _rebuild(
    snapshot: model.Snapshot,
    rollouts: tuple[model.Rollout, ...],
    changed: model.Rollout,
) -> model.Snapshot:
    shares = [
        model.VersionShare(
            version=changed.old, share=model.TOTAL_SHARE - changed.share
        ),
        model.VersionShare(version=changed.new, share=changed.share),
    ]
    if changed.state not in _OPEN_STATES:
        shares = [entry for entry in shares if entry.share]
    services = tuple(
        (
            dataclasses.replace(entry, versions=tuple(shares))
            if entry.name == changed.service
            else entry
        )
        for entry in snapshot.services
    )
    return dataclasses.replace(
        snapshot,
        services=services,
        rollouts=tuple(sorted(rollouts, key=lambda item: item.identifier)),
        checksum="",
    )
