"""Configuration changes of a rollout: start, step and end."""

import dataclasses

from apricotpost import errors
from apricotpost import model
from apricotpost.rollout import steps

__all__ = ["end_rollout", "find_open", "plan_rollout", "step_rollout"]

_OPEN_STATES = (model.RolloutState.RUNNING, model.RolloutState.BAKING)


def find_open(snapshot: model.Snapshot, service: str) -> model.Rollout | None:
    """Return the open rollout of a service."""
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
    """Start a rollout.

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
        With the rollout at share 0, the same version number and no
        checksum, so that the rows of a sheet can be applied one after the
        other. The caller numbers and seals the result.

    Raises
    ------
    apricotpost.errors.RolloutRefused
        The service is unknown, another rollout of it is open, the version
        carries its calls already, or the time is too short.
    """
    entry = _find_service(snapshot, service)
    other = find_open(snapshot, service)
    if other is not None:
        raise errors.RolloutRefused(
            f"service {service}: rollout {other.identifier} to "
            f"{other.new} is still {other.state}"
        )
    carrying = [item.version for item in entry.versions if item.share]
    if carrying == [version]:
        raise errors.RolloutRefused(
            f"service {service}: version {version} is already in force"
        )
    if len(carrying) != 1:
        raise errors.RolloutRefused(
            f"service {service}: {len(carrying)} versions carry calls, "
            "expected 1"
        )
    if finish_by <= now + steps.MARGIN_SECONDS:
        # The settings' step time decides how much more is needed.
        raise errors.RolloutRefused(
            f"service {service}: finish_by is {finish_by - now:.0f} s ahead, "
            f"full share is due {steps.MARGIN_SECONDS:.0f} s before it"
        )
    rollout = model.Rollout(
        # Sorts by configuration version in the history.
        identifier=f"{snapshot.version + 1:012d}-{service}",
        service=service,
        old=carrying[0],
        new=version,
        state=model.RolloutState.RUNNING,
        share=0,
        started_at=now,
        finish_by=finish_by,
        changed_at=now,
    )
    # Only the last ended rollout of a service stays in the configuration;
    # the table keeps all outcomes.
    others = [item for item in snapshot.rollouts if item.service != service]
    return _rebuild(snapshot, (*others, rollout), rollout)


def step_rollout(
    snapshot: model.Snapshot, rollout: model.Rollout, share: int, now: float
) -> model.Snapshot:
    """Raise the share of an open rollout; full share starts the bake."""
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
    """End an open rollout; one version gets all calls.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration to change.
    rollout : apricotpost.model.Rollout
        Its open rollout.
    done : bool
        Whether the new version stays; otherwise it is withdrawn.
    reason : str
        Kept in the configuration and shown to the owner.
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
