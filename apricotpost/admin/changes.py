"""Changes of the configuration: apply a request to a snapshot."""

from collections.abc import Iterable
import dataclasses
import typing

from apricotpost.admin import definitions
from apricotpost.admin import requests
from apricotpost.admin import sheet
from apricotpost.admin import tokens
from apricotpost import config
from apricotpost import errors
from apricotpost import model
from apricotpost import rollout as rollouts

__all__ = ["apply_change"]

_ACTIVE_STATES = (model.RolloutState.RUNNING, model.RolloutState.BAKING)


def apply_change(
    snapshot: model.Snapshot,
    request: requests.ChangeRequest,
    *,
    actor: tokens.Actor,
    minimum_durations: requests.MinimumDurations,
    now: float,
) -> requests.AppliedChange:
    """Apply a request to a configuration.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    request : ChangeRequest
        Change to make.
    actor : Actor
        Who requests the change.
    minimum_durations : MinimumDurations
        Minimum durations of moves.
    now : float
        Unix time in seconds.

    Returns
    -------
    AppliedChange
        Its snapshot is valid and one version newer, or ``snapshot`` if
        nothing changed.

    Raises
    ------
    apricotpost.errors.AccessDenied
        The actor may not make this change.
    apricotpost.errors.ConfigurationInvalid
        The resulting configuration has faults.
    apricotpost.errors.RequestInvalid, apricotpost.errors.SheetInvalid
        The request has faults; all are listed.
    apricotpost.errors.ResourceUnknown
        The request names something that does not exist.
    """
    if isinstance(request, requests.SheetChange):
        applied = _apply_sheet(
            snapshot, request, actor, minimum_durations, now
        )
    elif isinstance(request, requests.Definitions):
        applied = definitions.apply_definitions(snapshot, request, actor)
    elif isinstance(request, requests.DataCentreChange):
        applied = _apply_data_centre(
            snapshot, request, actor, minimum_durations, now
        )
    else:
        applied = _withdraw(snapshot, request, actor, now)
    return _finalize(snapshot, applied)


def _apply_sheet(
    snapshot: model.Snapshot,
    request: requests.SheetChange,
    actor: tokens.Actor,
    minimum_durations: requests.MinimumDurations,
    now: float,
) -> requests.AppliedChange:
    checked = sheet.check_sheet(
        request.text,
        snapshot,
        actor=actor,
        minimum_durations=minimum_durations,
        now=now,
    )
    after = snapshot
    changed: list[str] = []
    moves: list[requests.DataCentreMove] = []
    for move in checked.moves:
        if isinstance(move, requests.VersionMove):
            after = rollouts.plan_rollout(
                after, move.service, move.version, move.finish_by, now
            )
            changed.append(f"service {move.service} to {move.version}")
        else:
            after = _set_data_centre(after, move)
            changed.append(f"data centre {move.data_centre} {move.state}")
            moves.append(move)
    return requests.AppliedChange(
        snapshot=after,
        changed=tuple(changed),
        unchanged=checked.unchanged,
        moves=tuple(moves),
    )


def _apply_data_centre(
    snapshot: model.Snapshot,
    request: requests.DataCentreChange,
    actor: tokens.Actor,
    minimum_durations: requests.MinimumDurations,
    now: float,
) -> requests.AppliedChange:
    tokens.require_right(actor, tokens.DATA_CENTRES)
    centre = _find(snapshot.data_centres, "data centre", request.name)
    description = f"data centre {request.name} {request.state}"
    if centre.state is request.state:
        return requests.AppliedChange(
            snapshot=snapshot, unchanged=(description,)
        )
    earliest_finish = now + minimum_durations.data_centre_seconds
    if request.finish_by and request.finish_by < earliest_finish:
        raise errors.RequestInvalid(
            "finish_by is too soon: the move takes at least "
            f"{minimum_durations.data_centre_seconds:.0f} s"
        )
    move = requests.DataCentreMove(
        data_centre=request.name,
        state=request.state,
        finish_by=request.finish_by or earliest_finish,
    )
    return requests.AppliedChange(
        snapshot=_set_data_centre(snapshot, move),
        changed=(description,),
        moves=(move,),
    )


def _withdraw(
    snapshot: model.Snapshot,
    request: requests.WithdrawRollout,
    actor: tokens.Actor,
    now: float,
) -> requests.AppliedChange:
    tokens.require_right(actor, tokens.CHANGE)
    rollout = _find(snapshot.rollouts, "rollout", request.rollout)
    service = _find(snapshot.services, "service", rollout.service)
    if service.team != actor.team:
        raise errors.AccessDenied(
            f"{service.name} belongs to team {service.team}; "
            f"{actor.author} of team {actor.team} may not change it"
        )
    description = f"rollout {rollout.identifier} withdrawn"
    if rollout.state is model.RolloutState.WITHDRAWN:
        return requests.AppliedChange(
            snapshot=snapshot, unchanged=(description,)
        )
    if rollout.state not in _ACTIVE_STATES:
        raise errors.RequestInvalid(
            f"rollout {rollout.identifier} is {rollout.state.value}; "
            f"submit a sheet that names {rollout.old} to return to it"
        )
    after = rollouts.end_rollout(
        snapshot, rollout, done=False, reason=request.reason, now=now
    )
    ended = _find(after.rollouts, "rollout", request.rollout)
    return requests.AppliedChange(
        snapshot=after, changed=(description,), withdrawn=((rollout, ended),)
    )


def _set_data_centre(
    snapshot: model.Snapshot, move: requests.DataCentreMove
) -> model.Snapshot:
    centre = _find(snapshot.data_centres, "data centre", move.data_centre)
    return dataclasses.replace(
        snapshot,
        data_centres=_replace(
            snapshot.data_centres,
            dataclasses.replace(centre, state=move.state),
        ),
    )


def _finalize(
    before: model.Snapshot, applied: requests.AppliedChange
) -> requests.AppliedChange:
    content = dataclasses.replace(
        applied.snapshot, version=before.version, checksum=before.checksum
    )
    if content == before:
        return dataclasses.replace(applied, snapshot=before)
    after = config.with_checksum(
        dataclasses.replace(content, version=before.version + 1)
    )
    config.validate(after)
    return dataclasses.replace(applied, snapshot=after)


def _find(entries: Iterable[typing.Any], kind: str, name: str) -> typing.Any:
    for entry in entries:
        if name == getattr(entry, "identifier", getattr(entry, "name", "")):
            return entry
    raise errors.ResourceUnknown(f"there is no {kind} {name!r}")


def _replace(
    entries: Iterable[typing.Any], changed: typing.Any
) -> tuple[typing.Any, ...]:
    return tuple(
        changed if entry.name == changed.name else entry for entry in entries
    )
