"""Submitted changes, their results and the records stored with them."""

import dataclasses
import typing

from apricotpost.admin import moves
from apricotpost.admin import requests
from apricotpost.admin import tokens
from apricotpost import storage
from apricotpost.storage import table

__all__ = ["AcceptedChange", "Submission", "extra_writes", "move_identifier"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """Identity and origin of a change to commit.

    Parameters
    ----------
    actor : Actor
        Who submits the change.
    request : str
        Identifier of the request; a repeated request has the same one.
    digest : str
        Hash of the request's content; tells a repeated request from another
        one with the same identifier.
    reason : str
        Text for the audit record.
    base : int, optional
        Configuration version that must be the newest for the change to be
        accepted.
    """

    actor: tokens.Actor
    request: str
    digest: str
    reason: str
    base: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AcceptedChange:
    """Result of an accepted change.

    ``rollouts`` and ``moves`` hold the identifiers of the moves that the
    change started.
    """

    version: int
    base: int
    request: str
    changed: tuple[str, ...] = ()
    unchanged: tuple[str, ...] = ()
    rollouts: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()


def extra_writes(
    submission: Submission, applied: requests.AppliedChange, now: float
) -> typing.Iterator[table.Write]:
    """Yield the writes to commit together with the new version."""
    version = applied.snapshot.version
    for move in applied.moves:
        yield moves.pending_write(
            moves.PendingMove(
                identifier=move_identifier(version, move),
                data_centre=move.data_centre,
                state=move.state.value,
                version=version,
                started_at=now,
                finish_by=move.finish_by,
                author=submission.actor.author,
            )
        )
    for before, after in applied.withdrawn:
        yield storage.outcomes.make_outcome_write(
            before,
            after,
            evidence="",
            author=submission.actor.author,
        )


def move_identifier(version: int, move: requests.DataCentreMove) -> str:
    """Return the identifier of a move; identifiers sort by version."""
    return f"{version:012d}-{move.data_centre}"
