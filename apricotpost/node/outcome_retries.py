"""Task that tries failed steps of keyed calls again."""

from collections.abc import Callable
import contextlib
import logging
import queue
import typing

from apricotpost import errors
from apricotpost import events
from apricotpost import idempotency
from apricotpost.idempotency import backlog
from apricotpost import storage
from apricotpost import wire

__all__ = ["emit_loss", "run", "try_job"]

LOG = logging.getLogger(__name__)
IDLE_SECONDS = 5.0
# After the request to stop, each job is tried once more with this bound.
LAST_TRY_SECONDS = 0.2
LAST_TRIES = 8


def run(
    *,
    inbox: queue.Queue[typing.Any],
    open_store: Callable[[], storage.Store],
    clock: Callable[[], float],
) -> None:
    """Try jobs again until asked to stop.

    Parameters
    ----------
    inbox : queue.Queue
        Brings jobs of the ingress threads and the request to stop.
    open_store : callable
        Opens the store that this task owns.
    clock : callable
        Returns Unix time in seconds.
    """
    with contextlib.ExitStack() as stack:
        store = open_store()
        stack.callback(store.channel.pool.clear)
        state = backlog.Backlog()
        while True:
            message = _receive(inbox, state, clock())
            if isinstance(message, wire.StopTask):
                break
            if message is not None:
                state = _add(state, message, clock())
            state, job = backlog.pop_due(state, clock())
            if job is not None:
                state = try_job(store, state, job, clock)
        limited = storage.bounded(store, LAST_TRY_SECONDS)
        for job in state.jobs[:LAST_TRIES]:
            try_job(limited, state, job, clock)


def try_job(
    store: storage.Store,
    state: backlog.Backlog,
    job: backlog.Job,
    clock: Callable[[], float],
) -> backlog.Backlog:
    """Try a job; it is put off if it fails."""
    try:
        if backlog.attempt(store, job):
            return state
    except errors.TransactionRejected as error:
        emit_loss(LOG, job.claim, error)
        return state
    except errors.PlatformError as error:
        failure: Exception | None = error
    else:
        failure = None
    state, again = backlog.reschedule(state, job, clock())
    if not again and failure is not None:
        emit_loss(LOG, job.claim, failure)
    return state


def emit_loss(
    logger: logging.Logger, claim: idempotency.Claim, error: object
) -> None:
    """Log that a record keeps its state until it expires."""
    events.emit(
        logger,
        events.OUTCOME_NOT_STORED,
        route=claim.route,
        key=claim.key,
        error=error,
    )


def _receive(
    inbox: queue.Queue[typing.Any], state: backlog.Backlog, now: float
) -> typing.Any:
    due = backlog.next_due(state)
    wait = IDLE_SECONDS if due is None else max(due - now, 0.0)
    try:
        return inbox.get(timeout=min(wait, IDLE_SECONDS))
    except queue.Empty:
        return None


def _add(
    state: backlog.Backlog, job: backlog.Job, now: float
) -> backlog.Backlog:
    state, added = backlog.add(state, job, now)
    if not added:
        emit_loss(LOG, job.claim, "too many jobs wait")
    return state
