"""Task that retries failed table writes of keyed calls."""

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

__all__ = ["attempt_job", "log_unstored_outcome", "run"]

LOG = logging.getLogger(__name__)
MAX_WAIT_SECONDS = 5.0
# After the request to stop, up to MAX_FINAL_ATTEMPTS jobs are attempted once
# more, each with this time limit.
FINAL_ATTEMPT_TIMEOUT_SECONDS = 0.2
MAX_FINAL_ATTEMPTS = 8


def run(
    *,
    inbox: queue.Queue[typing.Any],
    open_store: Callable[[], storage.Store],
    clock: Callable[[], float],
) -> None:
    """Retry jobs until asked to stop.

    Parameters
    ----------
    inbox : queue.Queue
        Delivers jobs of the ingress threads and the request to stop.
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
                state = _enqueue(state, message, clock())
            state, job = backlog.pop_due(state, clock())
            if job is not None:
                state = attempt_job(store, state, job, clock)
        limited = storage.with_time_limit(store, FINAL_ATTEMPT_TIMEOUT_SECONDS)
        for job in state.jobs[:MAX_FINAL_ATTEMPTS]:
            attempt_job(limited, state, job, clock)


def attempt_job(
    store: storage.Store,
    state: backlog.Backlog,
    job: backlog.Job,
    clock: Callable[[], float],
) -> backlog.Backlog:
    """Attempt a job and reschedule it if it fails."""
    try:
        if backlog.attempt(store, job):
            return state
    except errors.TransactionRejected as error:
        log_unstored_outcome(LOG, job.claim, error)
        return state
    except errors.PlatformError as error:
        failure: Exception | None = error
    else:
        failure = None
    state, rescheduled = backlog.reschedule(state, job, clock())
    if not rescheduled and failure is not None:
        log_unstored_outcome(LOG, job.claim, failure)
    return state


def log_unstored_outcome(
    logger: logging.Logger, claim: idempotency.Claim, error: object
) -> None:
    """Log that a record was not updated and stays until it expires."""
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
    due_at = backlog.next_due(state)
    wait_seconds = (
        MAX_WAIT_SECONDS if due_at is None else max(due_at - now, 0.0)
    )
    try:
        return inbox.get(timeout=min(wait_seconds, MAX_WAIT_SECONDS))
    except queue.Empty:
        return None


def _enqueue(
    state: backlog.Backlog, job: backlog.Job, now: float
) -> backlog.Backlog:
    state, added = backlog.add(state, job, now)
    if not added:
        log_unstored_outcome(
            LOG, job.claim, "the queue of outcome retries is full"
        )
    return state
