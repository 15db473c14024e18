"""Task that records the outcomes of data centre moves."""

import contextlib
import dataclasses
import logging
import time
import uuid

import xxhash
import zmq

from apricotpost.admin import moves
from apricotpost import errors
from apricotpost import events
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import status
from apricotpost.node import views
from apricotpost import storage
from apricotpost.storage import table
from apricotpost import wire

__all__ = ["is_recorder", "run"]

LOG = logging.getLogger(__name__)
# Only one node of the fleet reads the pending moves at this interval.
POLL_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class _Task:
    """State of the moves task."""

    context: wire.sockets.Context
    current: views.CurrentView
    store: storage.Store
    logged_overdue: set[str] = dataclasses.field(default_factory=set)


def run(
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    instance: str,
    store: storage.Store,
) -> None:
    """Record the outcomes of moves until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    instance : str
        Name of this instance.
    store : apricotpost.storage.Store
        Connection to the store; this task owns and closes it.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(store.channel.pool.clear)
        socket = stack.enter_context(
            wire.sockets.bind_router(context, addresses.MOVES)
        )
        task = _Task(context=context, current=current, store=store)
        while True:
            if socket.poll(int(POLL_INTERVAL_SECONDS * 1000), zmq.POLLIN):
                _, message = wire.sockets.receive_routed(socket)
                if isinstance(message, wire.StopTask):
                    return
            elif is_recorder(task.current.view, instance):
                _record_ends(task)


def is_recorder(view: model.View, instance: str) -> bool:
    """Return whether rendezvous hashing selects this node to record moves.

    Nodes with different views may both be selected; the condition on the
    write lets only one of them record a move.
    """
    live = [
        record.instance
        for record in view.instances
        if record.state
        in (model.InstanceState.UP, model.InstanceState.STARTING)
    ]
    return view.ready and instance == min(live, key=_hash_instance, default="")


def _hash_instance(instance: str) -> int:
    return xxhash.xxh64_intdigest(f"moves/{instance}".encode())


def _record_ends(task: _Task) -> None:
    try:
        pending = table.query(task.store.table, pk=moves.PENDING_PARTITION)
        if not pending:
            return
        view = status.read_current_instances(task.context, task.current)
        for item in pending:
            _record_end(task, moves.decode_pending(item), view)
    except (errors.PlatformError, errors.NodeUnreachable):
        # The move stays pending; the platform task logs the outage.
        return


def _record_end(
    task: _Task, move: moves.PendingMove, view: model.View
) -> None:
    now = time.time()
    outcome = moves.decide_outcome(move, view, now)
    if outcome is None:
        _log_overdue(task, move, view, now)
        return
    try:
        table.transact(
            task.store.table,
            moves.make_outcome_writes(outcome),
            token=uuid.uuid4().hex,
        )
    except errors.TransactionRejected:
        return  # Another node has recorded the outcome.
    events.emit(
        LOG,
        events.MOVE_LATE if outcome.late else events.MOVE_DONE,
        move=move.identifier,
        seconds=outcome.at - move.started_at,
    )


def _log_overdue(
    task: _Task, move: moves.PendingMove, view: model.View, now: float
) -> None:
    """Log once that a move is overdue, with up to 5 outstanding instances."""
    if now <= move.finish_by or move.identifier in task.logged_overdue:
        return
    task.logged_overdue.add(move.identifier)
    progress = moves.measure_progress(move, view.instances)
    events.emit(
        LOG,
        events.MOVE_OVERDUE,
        move=move.identifier,
        outstanding=", ".join(progress.outstanding[:5])
        or "no instance is known",
    )
