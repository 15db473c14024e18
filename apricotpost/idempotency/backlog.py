"""Steps of keyed calls that are tried again after the caller's answer."""

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
    "reschedule",
    "pop_due",
]

# An outage of the table that lasts longer leaves records `started`.
GIVE_UP_SECONDS = 60.0
PAUSE_MIN_SECONDS = 0.5
PAUSE_MAX_SECONDS = 8.0
MAX_JOBS = 256
# Answers are up to 8 MiB; a node has 32 MB for control.
MAX_BYTES = 8 * 1024 * 1024


class JobKind(enum.StrEnum):
    """What is left to do."""

    FINISH = "finish"
    ABANDON = "abandon"
    RELEASE = "release"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Job:
    """A step that failed.

    Parameters
    ----------
    kind : JobKind
        The step.
    claim : Claim
        The call.
    outcome : Outcome, optional
        What is to be stored.
    since : float
        Unix time of the failure in seconds.
    tries : int
        Times that it was tried again.
    due : float
        Unix time of the next try in seconds.
    """

    kind: JobKind
    claim: keys.Claim
    since: float
    outcome: records.Outcome | None = None
    tries: int = 0
    due: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Backlog:
    """Jobs that wait, in the order in which they came."""

    jobs: tuple[Job, ...] = ()


def add(backlog: Backlog, job: Job, now: float) -> tuple[Backlog, bool]:
    """Add a job; returns whether there was room for it."""
    if len(backlog.jobs) >= MAX_JOBS:
        return backlog, False
    if sum(map(_size, backlog.jobs)) + _size(job) > MAX_BYTES:
        return backlog, False
    waiting = dataclasses.replace(job, due=now + PAUSE_MIN_SECONDS)
    return Backlog(jobs=(*backlog.jobs, waiting)), True


def pop_due(backlog: Backlog, now: float) -> tuple[Backlog, Job | None]:
    """Take out the first job that is due."""
    for job in backlog.jobs:
        if job.due <= now:
            rest = tuple(other for other in backlog.jobs if other is not job)
            return Backlog(jobs=rest), job
    return backlog, None


def reschedule(backlog: Backlog, job: Job, now: float) -> tuple[Backlog, bool]:
    """Put back a job that failed again; returns whether it is tried again."""
    pause = min(PAUSE_MIN_SECONDS * 2.0 ** (job.tries + 1), PAUSE_MAX_SECONDS)
    if now + pause > job.since + GIVE_UP_SECONDS:
        return backlog, False
    waiting = dataclasses.replace(job, tries=job.tries + 1, due=now + pause)
    return Backlog(jobs=(*backlog.jobs, waiting)), True


def next_due(backlog: Backlog) -> float | None:
    """Return the Unix time of the next job in seconds."""
    return min((job.due for job in backlog.jobs), default=None)


def attempt(store: storage.Store, job: Job) -> bool:
    """Try a job again; returns whether it is done.

    A second owner of the key is not possible: each write is on condition
    that the record still belongs to the call.

    Raises
    ------
    apricotpost.errors.PlatformError
        It is not done.
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
