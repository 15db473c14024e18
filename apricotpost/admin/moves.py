"""Data centre moves: their pending records and their recorded ends."""

from collections.abc import Iterable
import dataclasses

from apricotpost import model
from apricotpost.storage import table

__all__ = [
    "MoveOutcome",
    "PendingMove",
    "Progress",
    "decide_outcome",
    "decode_pending",
    "end_writes",
    "measure_progress",
    "pending_write",
]

PENDING = "move"
OUTCOME = "outcome"

_EXISTS = table.Condition(expression="attribute_exists(pk)")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingMove:
    """A data centre move that is not in force everywhere yet.

    Parameters
    ----------
    identifier : str
        ``VERSION-NAME``; sorts by configuration version.
    data_centre, state : str
        What moves, and to which state.
    version : int
        Configuration version that contains the move.
    started_at, finish_by : float
        Unix time in seconds.
    author : str
        Who asked for it.
    """

    identifier: str
    data_centre: str
    state: str
    version: int
    started_at: float
    finish_by: float
    author: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Progress:
    """Instances that report the version, and those that do not yet."""

    reported: int
    outstanding: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveOutcome:
    """End of a move; ``late`` says whether it came after ``finish_by``."""

    move: PendingMove
    at: float
    late: bool


def measure_progress(
    move: PendingMove, instances: Iterable[model.InstanceRecord]
) -> Progress:
    """Count the known instances that hold the version of a move.

    Instances that are down hold nothing. A suspect one still counts: behind
    a partition it may go on with the older version.
    """
    known = [
        record
        for record in instances
        if record.state is not model.InstanceState.DOWN
    ]
    outstanding = tuple(
        record.instance
        for record in known
        if record.config_version < move.version
    )
    return Progress(
        reported=len(known) - len(outstanding), outstanding=outstanding
    )


def decide_outcome(
    move: PendingMove, view: model.View, now: float
) -> MoveOutcome | None:
    """Return the end of a move once every known instance reports it."""
    progress = measure_progress(move, view.instances)
    if progress.outstanding or not progress.reported:
        return None
    return MoveOutcome(move=move, at=now, late=now > move.finish_by)


def pending_write(move: PendingMove) -> table.Put:
    """Return the write that records a move as pending."""
    return table.Put(
        item=table.Item(
            key=table.Key(pk=PENDING, sk=move.identifier),
            attributes=_encode(move),
        )
    )


def decode_pending(item: table.Item) -> PendingMove:
    """Read a pending move from its item."""
    values = item.attributes
    return PendingMove(
        identifier=item.key.sk,
        data_centre=str(values["data_centre"]),
        state=str(values["state"]),
        version=int(values["version"]),
        started_at=int(values["started_at_ms"]) / 1000,
        finish_by=int(values["finish_by_ms"]) / 1000,
        author=str(values["author"]),
    )


def end_writes(outcome: MoveOutcome) -> tuple[table.Write, ...]:
    """Return the writes that replace a pending move by its outcome.

    The condition lets only the first of several writers record the end.
    """
    move = outcome.move
    taken_ms = int((outcome.at - move.started_at) * 1000)
    return (
        table.Delete(
            key=table.Key(pk=PENDING, sk=move.identifier), condition=_EXISTS
        ),
        table.Put(
            item=table.Item(
                key=table.Key(pk=OUTCOME, sk=move.identifier),
                attributes={
                    **_encode(move),
                    "kind": "data-centre",
                    "result": "done late" if outcome.late else "done",
                    "at_ms": int(outcome.at * 1000),
                    "taken_ms": taken_ms,
                },
            ),
            condition=table.absent(),
        ),
    )


def _encode(move: PendingMove) -> dict[str, table.Value]:
    return {
        "data_centre": move.data_centre,
        "state": move.state,
        "version": move.version,
        "started_at_ms": int(move.started_at * 1000),
        "finish_by_ms": int(move.finish_by * 1000),
        "author": move.author,
    }
