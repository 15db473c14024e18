"""Queue of failed steps of keyed calls that are retried in the background."""

import dataclasses
import enum

from apricotpost.idempotency import calls
from apricotpost.idempotency import keys
from apricotpost.idempotency import records
from apricotpost import storage

__all__ = [
    "Backlog",
    "Job",
    "JobKind",
    "add",
    "attempt",
    "next_due",
    "pop_due",
    "reschedule",
]

# A job is retried for at most this long. After a longer outage of the table,
# records stay without an outcome until they expire.
MAX_RETRY_SECONDS = 60.0
MIN_PAUSE_SECONDS = 0.5
MAX_PAUSE_SECONDS = 8.0
MAX_JOBS = 256
# One response has up to 8 MiB, and a node has 32 MB for its control tasks.
MAX_BYTES = 8 * 1024 * 1024


class JobKind(enum.StrEnum):
    """Step of a keyed call that is retried."""

    FINISH = "finish"
    ABANDON = "abandon"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """Failed step of a keyed call that waits for its next attempt.

    Parameters
    ----------
    kind : JobKind
        Step to retry.
    claim : Claim
        Call of the step.
    outcome : Outcome, optional
        Outcome to store.
    failed_at : float
        Unix time of the first failure in seconds.
    retries : int
        Number of retries so far.
    due_at : float
        Unix time of the next attempt in seconds.
    """

    kind: JobKind
    claim: keys.Claim
    failed_at: float
    outcome: records.Outcome | None = None
    retries: int = 0
    due_at: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Backlog:
    """Waiting jobs, in the order in which they were added."""

    jobs: tuple[Job, ...] = ()


def add(backlog: Backlog, job: Job, now: float) -> tuple[Backlog, bool]:
    """Add a job; return whether there was room for it."""
    if len(backlog.jobs) >= MAX_JOBS:
        return backlog, False
    if sum(map(_size, backlog.jobs)) + _size(job) > MAX_BYTES:
        return backlog, False
    scheduled = dataclasses.replace(job, due_at=now + MIN_PAUSE_SECONDS)
    return Backlog(jobs=(*backlog.jobs, scheduled)), True


def pop_due(backlog: Backlog, now: float) -> tuple[Backlog, Job | None]:
    """Remove and return the first job that is due."""
    for job in backlog.jobs:
        if job.due_at <= now:
            remaining = tuple(
                other for other in backlog.jobs if other is not job
            )
            return Backlog(jobs=remaining), job
    return backlog, None


def reschedule(backlog: Backlog, job: Job, now: float) -> tuple[Backlog, bool]:
    """Add a job that failed again; return whether it will be retried."""
    pause = min(
        MIN_PAUSE_SECONDS * 2.0 ** (job.retries + 1), MAX_PAUSE_SECONDS
    )
    if now + pause > job.failed_at + MAX_RETRY_SECONDS:
        return backlog, False
    scheduled = dataclasses.replace(
        job, retries=job.retries + 1, due_at=now + pause
    )
    return Backlog(jobs=(*backlog.jobs, scheduled)), True


def next_due(backlog: Backlog) -> float | None:
    """Return when the next job is due, as Unix time in seconds."""
    return min((job.due_at for job in backlog.jobs), default=None)


def attempt(store: storage.Store, job: Job) -> bool:
    """Run a job once more; return whether it is done.

    This cannot affect another call that owns the key meanwhile: each write
    has the condition that the record still belongs to this call.

    Raises
    ------
    apricotpost.errors.PlatformError
        The job failed and may be retried.
    """
    if job.kind is JobKind.RELEASE:
        return calls.release(store, job.claim)
    if job.kind is JobKind.FINISH and job.outcome is not None:
        calls.finish_again(store, job.claim, job.outcome)
    else:
        calls.abandon(store, job.claim)
    return True


def _size(job: Job) -> int:
    return len(job.outcome.body) if job.outcome is not None else 0
