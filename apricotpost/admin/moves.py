"""Data centre moves: their pending records and their outcomes."""

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
    "make_outcome_writes",
    "measure_progress",
    "pending_write",
]

PENDING_PARTITION = "move"
OUTCOME_PARTITION = "outcome"

_ITEM_EXISTS = table.Condition(expression="attribute_exists(pk)")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingMove:
    """A data centre move that not every instance has applied yet.

    Parameters
    ----------
    identifier : str
        ``VERSION-NAME``; sorts by configuration version.
    data_centre, state : str
        Name of the data centre and its new state.
    version : int
        Configuration version that contains the move.
    started_at, finish_by : float
        Unix time in seconds.
    author : str
        Who submitted the change.
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
    """Number of instances that hold the version of a move, and the others."""

    reported: int
    outstanding: tuple[str, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MoveOutcome:
    """End of a move.

    ``at`` is Unix time in seconds; ``late`` says whether it is after the
    move's ``finish_by``.
    """

    move: PendingMove
    at: float
    late: bool


def measure_progress(
    move: PendingMove, instances: Iterable[model.InstanceRecord]
) -> Progress:
    """Count the known instances that hold the version of a move.

    Instances that are down are ignored. Suspect ones are counted: behind a
    network partition an instance may still use the older version.
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
    """Return the outcome of a move, None until all instances hold it."""
    progress = measure_progress(move, view.instances)
    if progress.outstanding or not progress.reported:
        return None
    return MoveOutcome(move=move, at=now, late=now > move.finish_by)


def pending_write(move: PendingMove) -> table.Put:
    """Return the write that records a move as pending."""
    return table.Put(
        item=table.Item(
            key=table.Key(pk=PENDING_PARTITION, sk=move.identifier),
            attributes=_encode(move),
        )
    )


def decode_pending(item: table.Item) -> PendingMove:
    """Decode a pending move from its table item."""
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


def make_outcome_writes(outcome: MoveOutcome) -> tuple[table.Write, ...]:
    """Return the writes that replace a pending move by its outcome.

    The conditions let only the first of several nodes record the outcome.
    """
    move = outcome.move
    taken_ms = int((outcome.at - move.started_at) * 1000)
    return (
        table.Delete(
            key=table.Key(pk=PENDING_PARTITION, sk=move.identifier),
            condition=_ITEM_EXISTS,
        ),
        table.Put(
            item=table.Item(
                key=table.Key(pk=OUTCOME_PARTITION, sk=move.identifier),
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
