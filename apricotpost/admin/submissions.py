"""Submissions of changes, their results and their records."""

import dataclasses
import typing

from apricotpost.admin import moves
from apricotpost.admin import requests
from apricotpost.admin import tokens
from apricotpost import storage
from apricotpost.storage import table

__all__ = ["Accepted", "Submission", "extra_writes", "move_identifier"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submission:
    """A change to commit.

    Parameters
    ----------
    actor : Actor
        Who asks.
    request : str
        Identifier of the request; a repetition has the same one.
    digest : str
        Hash of what was asked; tells a repetition from another change.
    reason : str
        Kept in the audit record.
    base : int, optional
        Version on which the change must build.
    """

    actor: tokens.Actor
    request: str
    digest: str
    reason: str
    base: int | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """Result of an accepted change.

    ``rollouts`` and ``moves`` identify what `apricotpost-ctl watch` follows.
    """

    version: int
    base: int
    request: str
    changed: tuple[str, ...] = ()
    unchanged: tuple[str, ...] = ()
    rollouts: tuple[str, ...] = ()
    moves: tuple[str, ...] = ()


def extra_writes(
    submission: Submission, applied: requests.Applied, now: float
) -> typing.Iterator[table.Write]:
    """Yield the writes that belong to a change besides its version."""
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
        yield storage.outcomes.outcome_write(
            before,
            after,
            evidence="",
            author=submission.actor.author,
        )


def move_identifier(version: int, move: requests.DataCentreMove) -> str:
    """Return the identifier of a move; it sorts by version."""
    return f"{version:012d}-{move.data_centre}"
