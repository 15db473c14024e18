"""Lease of the right to report, and the reports committed under it.

The lease is a row of the store. Every write of it, and every commit of a
window, is conditional on the revision of that row, so the store orders the
holders: a holder whose lease was taken over can commit nothing more, and its
writes that are done late change nothing.

A holder acts on its lease only for a part of `lease_ms` from the time at which
it sent its last confirmed write. Another node takes over only after it has
seen the row unchanged for longer than `lease_ms`. Both measure differences of
their own boot clocks, so no clocks are compared.
"""

import dataclasses
import enum

from apricotpost.usage import records

__all__ = [
    "Lease",
    "Step",
    "Timing",
    "acting_until",
    "is_holder",
    "may_act",
    "next_step",
    "observe",
    "old_windows",
    "plan_change",
    "record_read",
    "record_rejected",
    "record_removed",
    "record_suspension",
    "record_unknown",
    "record_written",
    "report_sent",
]

# Parts of `lease_ms`: time from the last write in which requests are begun,
# the end of the longest request, the renewal, and the takeover. A request that
# is held up between holder and endpoint arrives before the next holder's.
ACT_PART = 0.6
ABANDON_PART = 0.9
RENEW_PART = 0.8
TAKEOVER_PART = 1.2
# Rows of windows that are kept. No window of their age is ever reported, even
# if a clock is wrong by a minute.
KEPT_WINDOWS = 24
# Old rows are removed together, which costs a call of the store for each
# twenty windows or so. A transaction has at most 100 entries.
MIN_REMOVED = 20
MAX_REMOVED = 40
# Writes whose time is remembered, to know since when a lease that was read
# back is held.
MAX_ATTEMPTS = 8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Lengths of time, in milliseconds.

    Parameters
    ----------
    lease_ms : float
        Time for which the lease is held.
    thaw_ms : float
        Time after a suspension in which nothing is done.
    """

    lease_ms: float
    thaw_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """What a process knows of the lease. Times are of its boot clock.

    Parameters
    ----------
    holder : str
        Identifies this process; never used by another one.
    revision : int
        Newest known revision of the row; 0 if there is no row, -1 if unknown.
    row : records.LeaseRow or None
        Content of that revision, if it was read or written here.
    seen_at : float
        Time at which this process first knew of that revision.
    held_since : float or None
        Time at which the write was sent by which this process holds the
        lease; None if it does not hold it.
    in_doubt : bool
        Whether the outcome of a write is unknown.
    rows_known : bool
        Whether `stored` was read since the lease was acquired.
    stored : tuple of int
        Windows that have rows.
    reports : tuple of Report
        Committed reports that were not yet accepted.
    settled : tuple of int
        Last windows whose reports this process has seen accepted or has given
        up.
    not_before : float
        Time until which nothing is done after a suspension; earlier writes do
        not count.
    attempts : tuple of (int, float)
        Last writes and the times at which they were sent.
    """

    holder: str
    revision: int = -1
    row: records.LeaseRow | None = None
    seen_at: float = 0.0
    held_since: float | None = None
    in_doubt: bool = False
    rows_known: bool = False
    stored: tuple[int, ...] = ()
    reports: tuple[records.Report, ...] = ()
    settled: tuple[int, ...] = ()
    not_before: float = float("-inf")
    attempts: tuple[tuple[int, float], ...] = ()


class Step(enum.Enum):
    """Next call of the store."""

    NONE = enum.auto()
    READ = enum.auto()
    ACQUIRE = enum.auto()
    RENEW = enum.auto()


def is_holder(lease: Lease, now: float, timing: Timing) -> bool:
    """Return whether no other process can have taken over the lease."""
    return (
        lease.held_since is not None
        and not lease.in_doubt
        and now - lease.held_since < timing.lease_ms
    )


def acting_until(lease: Lease, timing: Timing) -> float:
    """Return the time by which every request must have ended."""
    assert lease.held_since is not None
    return lease.held_since + ABANDON_PART * timing.lease_ms


def may_act(lease: Lease, now: float, timing: Timing) -> bool:
    """Return whether a request with the fencing token may be begun."""
    return (
        lease.held_since is not None
        and lease.rows_known
        and lease.held_since >= lease.not_before
        and lease.held_since <= now
        and now - lease.held_since < ACT_PART * timing.lease_ms
    )


def next_step(
    lease: Lease,
    now: float,
    timing: Timing,
    *,
    delay_ms: float | None,
    has_commit: bool,
) -> Step:
    """Return the next call of the store.

    Parameters
    ----------
    lease : Lease
        What is known of the lease.
    now : float
        Boot clock.
    timing : Timing
        Lengths of time.
    delay_ms : float or None
        Time that this node waits longer than the first candidate; None if it
        is no candidate.
    has_commit : bool
        Whether a window is to be committed.
    """
    if now < lease.not_before:
        return Step.NONE
    if lease.held_since is not None:
        if lease.in_doubt or not lease.rows_known:
            return Step.READ
        part = ACT_PART if lease.reports else RENEW_PART
        due = now - lease.held_since >= part * timing.lease_ms
        due = due or lease.held_since < lease.not_before
        return Step.RENEW if has_commit or due else Step.NONE
    if lease.in_doubt:
        return Step.READ
    if delay_ms is None:
        return Step.NONE
    if lease.revision < 0:
        return Step.READ
    if lease.revision > 0:
        unchanged_ms = now - lease.seen_at
        if unchanged_ms < TAKEOVER_PART * timing.lease_ms + delay_ms:
            return Step.NONE
        if lease.row is None:
            return Step.READ
    return Step.ACQUIRE


def plan_change(
    lease: Lease, now: float, commit: records.Report | None = None
) -> tuple[Lease, records.Change]:
    """Return the write that acquires or renews the lease.

    Parameters
    ----------
    lease : Lease
        What is known of the lease.
    now : float
        Boot clock before the write is sent.
    commit : records.Report, optional
        records.Report to commit; only a holder may.
    """
    attempt = lease.attempts[-1][0] + 1 if lease.attempts else 1
    token = lease.row.token if lease.row is not None else 0
    last_window = lease.row.last_window if lease.row is not None else 0
    if lease.held_since is None:
        token += 1
        commit = None
    if commit is not None and commit.window <= last_window:
        commit = None
    if commit is not None:
        last_window = commit.window
    row = records.LeaseRow(
        holder=lease.holder,
        token=token,
        attempt=attempt,
        last_window=last_window,
    )
    attempts = (*lease.attempts, (attempt, now))[-MAX_ATTEMPTS:]
    change = records.Change(
        expected_revision=lease.revision,
        row=row,
        commit=commit,
    )
    return dataclasses.replace(lease, attempts=attempts), change


def record_written(
    lease: Lease, change: records.Change, revision: int, now: float
) -> Lease:
    """Apply a write that the store has confirmed."""
    stored = lease.stored
    reports = lease.reports
    if change.commit is not None:
        stored = (*stored, change.commit.window)
        reports = (*reports, change.commit)
    return dataclasses.replace(
        lease,
        revision=revision,
        row=change.row,
        seen_at=now,
        held_since=_sent_at(lease, change.row.attempt),
        in_doubt=False,
        rows_known=lease.rows_known and lease.held_since is not None,
        stored=stored,
        reports=reports,
    )


def record_rejected(lease: Lease) -> Lease:
    """Apply a write whose condition did not hold.

    The row has changed. If that was a write of this process that was done
    late, the next read shows that it is still the holder.
    """
    return dataclasses.replace(
        lease,
        revision=-1,
        row=None,
        held_since=None,
        rows_known=False,
        reports=(),
        in_doubt=True,
    )


def record_unknown(lease: Lease) -> Lease:
    """Apply a write without an answer; it may be done or be done later."""
    return dataclasses.replace(lease, in_doubt=True)


def record_read(
    lease: Lease,
    now: float,
    *,
    revision: int,
    row: records.LeaseRow | None,
    reports: tuple[records.Report, ...],
) -> Lease:
    """Apply a read of the table.

    Parameters
    ----------
    lease : Lease
        What was known before.
    now : float
        Boot clock after the answer.
    revision : int
        Revision of the lease's row; 0 if there is none.
    row : records.LeaseRow or None
        Its content; None if there is none.
    reports : tuple of Report
        Reports of all windows that have rows.
    """
    own = row is not None and row.holder == lease.holder
    held_since = None
    if own and row is not None:
        held_since = _sent_at(lease, row.attempt)
    due = tuple(r for r in reports if r.window not in lease.settled)
    changed = revision != lease.revision
    return dataclasses.replace(
        lease,
        revision=revision,
        row=row,
        seen_at=now if changed else lease.seen_at,
        held_since=held_since,
        in_doubt=False,
        rows_known=own,
        stored=tuple(report.window for report in reports),
        reports=due if own else (),
    )


def observe(lease: Lease, revision: int, now: float) -> Lease:
    """Apply a revision of the row that the holder has published."""
    if lease.held_since is not None or revision <= lease.revision:
        return lease
    return dataclasses.replace(lease, revision=revision, row=None, seen_at=now)


def record_suspension(lease: Lease, now: float, timing: Timing) -> Lease:
    """Do nothing for a while, and then only after a new write."""
    return dataclasses.replace(lease, not_before=now + timing.thaw_ms)


def report_sent(lease: Lease, window: int) -> Lease:
    """Remove a report that was accepted or given up."""
    return dataclasses.replace(
        lease,
        reports=tuple(r for r in lease.reports if r.window != window),
        settled=(*lease.settled, window)[-2 * KEPT_WINDOWS :],
    )


def old_windows(lease: Lease) -> tuple[int, ...]:
    """Return the windows whose rows are to be removed now.

    They may be removed without a condition: only windows after `last_window`,
    which never falls, are committed.
    """
    if lease.held_since is None or lease.row is None or lease.in_doubt:
        return ()
    last = lease.row.last_window - KEPT_WINDOWS
    old = sorted(window for window in lease.stored if window <= last)
    return tuple(old[:MAX_REMOVED]) if len(old) >= MIN_REMOVED else ()


def record_removed(lease: Lease, windows: tuple[int, ...]) -> Lease:
    """Apply the removal of the rows of windows."""
    return dataclasses.replace(
        lease,
        stored=tuple(w for w in lease.stored if w not in windows),
    )


def _sent_at(lease: Lease, attempt: int) -> float:
    """Return when a write was sent; minus infinity if it is forgotten."""
    for number, sent_at in lease.attempts:
        if number == attempt:
            return sent_at
    return float("-inf")
