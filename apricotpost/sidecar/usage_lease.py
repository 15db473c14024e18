"""The lease of usage reports, as this node holds or watches it."""

import asyncio
from collections.abc import Callable
import logging

from apricotpost import errors
from apricotpost import events
from apricotpost import platform
from apricotpost.sidecar import options
from apricotpost.sidecar import usage_rows
from apricotpost.sidecar import usage_time
from apricotpost.usage import leases
from apricotpost.usage import records

__all__ = ["LeaseKeeper"]

_LOG = logging.getLogger(__name__)

FIRST_RETRY_SECONDS = 0.3
LAST_RETRY_SECONDS = 4.0


class LeaseKeeper:
    """State of the lease, and the calls of the store that change it.

    Parameters
    ----------
    usage : options.UsageOptions
        Settings of the reports.
    identity : str
        Identifies this process among all that ever hold the lease.
    store : platform.Store
        The platform's store.
    time : usage_time.FleetTime
        Clocks of this node.
    candidate_delay : callable
        Returns how much later than others this node takes over, in
        milliseconds, or None if it does not.
    ready_report : callable
        Returns the next report to commit, or None.
    is_due : callable
        Tells whether the report of a window is not yet too late.
    on_lease : callable
        Called when the lease is acquired or lost.
    """

    def __init__(
        self,
        *,
        usage: options.UsageOptions,
        identity: str,
        store: platform.Store,
        time: usage_time.FleetTime,
        candidate_delay: Callable[[], float | None],
        ready_report: Callable[[], records.Report | None],
        is_due: Callable[[int], bool],
        on_lease: Callable[[], None],
    ) -> None:
        self.timing = leases.Timing(
            lease_ms=usage.lease_ms, thaw_ms=usage.thaw_ms
        )
        self.lease = leases.Lease(holder=identity)
        self.store = store
        self.time = time
        self.candidate_delay = candidate_delay
        self.ready_report = ready_report
        self.is_due = is_due
        self.on_lease = on_lease
        self.leaving = False
        # Set at each tick of the usage task.
        self.wake = asyncio.Event()
        self.failures = 0
        self.retry_at = 0.0

    def held_row(self) -> records.LeaseRow | None:
        """Return the row if this node surely holds the lease."""
        now = self.time.boot_ms()
        if leases.is_holder(self.lease, now, self.timing):
            return self.lease.row
        return None

    def read_acting_lease(self) -> leases.Lease | None:
        """Check the clocks; return the lease if a report may be sent now."""
        self.check_clocks()
        now = self.time.last.boot_ms
        if leases.may_act(self.lease, now, self.timing):
            return self.lease
        return None

    def check_clocks(self) -> None:
        """Read the clocks; after a suspension, do nothing for a while."""
        suspended_ms = self.time.check()
        if suspended_ms:
            self.lease = leases.record_suspension(
                self.lease, self.time.last.boot_ms, self.timing
            )
            events.emit(
                _LOG, events.USAGE_SUSPENDED, milliseconds=round(suspended_ms)
            )

    def observe(self, revision: int) -> None:
        """Record a revision of the lease that its holder has published."""
        self.lease = leases.observe(self.lease, revision, self.time.boot_ms())

    def finish_report(self, report: records.Report, fault: str) -> None:
        """Forget a report that was accepted or, with a fault, given up."""
        self.lease = leases.report_sent(self.lease, report.window)
        if fault:
            events.emit(
                _LOG,
                events.USAGE_GIVEN_UP,
                window=report.window,
                reason=fault,
            )

    async def run(self) -> None:
        """Acquire and renew the lease and commit reports until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            if self.leaving or self.time.boot_ms() < self.retry_at:
                continue
            held_before = self.lease.held_since is not None
            try:
                await self.take_step()
            except (errors.PlatformError, errors.MalformedMessage) as error:
                self.record_failure(error)
            if (self.lease.held_since is not None) != held_before:
                self.announce()

    async def take_step(self) -> None:
        """Make the call of the store that is due, if any.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not answer or refused the call.
        apricotpost.errors.MalformedMessage
            The lease cannot be decoded.
        """
        self.check_clocks()
        commit = self.ready_report()
        step = leases.next_step(
            self.lease,
            self.time.last.boot_ms,
            self.timing,
            delay_ms=self.candidate_delay(),
            has_commit=commit is not None,
        )
        if step is leases.Step.NONE:
            return
        if step is leases.Step.READ:
            await self.read()
        else:
            await self.write(commit)
            await self.remove_old()
        self.failures = 0

    async def read(self) -> None:
        """Read the lease and the committed reports."""
        revision, row, reports = await usage_rows.read_rows(self.store)
        self.lease = leases.record_read(
            self.lease,
            self.time.boot_ms(),
            revision=revision,
            row=row,
            reports=reports,
        )
        for report in self.lease.reports:
            if not self.is_due(report.window):
                self.finish_report(report, "")

    async def remove_old(self) -> None:
        """Remove the rows of old windows."""
        windows = leases.old_windows(self.lease)
        if windows:
            await self.store.write(usage_rows.make_removal(windows))
            self.lease = leases.record_removed(self.lease, windows)

    async def write(self, commit: records.Report | None) -> None:
        """Acquire or renew the lease, and commit a report."""
        self.lease, change = leases.plan_change(
            self.lease, self.time.boot_ms(), commit
        )
        try:
            revision = await self.store.write(
                usage_rows.make_transaction(change)
            )
        except errors.TransactionRejected:
            self.lease = leases.record_rejected(self.lease)
            raise
        except errors.PlatformError:
            # A refusal may come from something between this node and the
            # store, so the write counts as possibly done.
            self.lease = leases.record_unknown(self.lease)
            raise
        self.lease = leases.record_written(
            self.lease, change, revision, self.time.boot_ms()
        )

    def record_failure(self, error: errors.ApricotpostError) -> None:
        """Wait before the next call, longer after each failure."""
        self.failures += 1
        seconds = min(
            FIRST_RETRY_SECONDS * 2.0 ** (self.failures - 1),
            LAST_RETRY_SECONDS,
        )
        self.retry_at = self.time.boot_ms() + seconds * 1000.0
        events.emit(_LOG, events.USAGE_STORE_FAILED, error=error.message)

    def announce(self) -> None:
        """Log and publish that the lease was acquired or lost."""
        row = self.lease.row
        held = self.lease.held_since is not None
        events.emit(
            _LOG,
            events.USAGE_LEASE,
            state="acquired" if held else "lost",
            token=row.token if row is not None else 0,
        )
        self.on_lease()
