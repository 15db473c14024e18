"""Task that counts requests of tenants and reports them to the platform."""

import asyncio
from collections.abc import Callable
import contextlib
import logging
import math
import secrets
import sys
import zlib

from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost import platform
from apricotpost.sidecar import options
from apricotpost.sidecar import usage_lease
from apricotpost.sidecar import usage_sending
from apricotpost.sidecar import usage_time
from apricotpost.usage import clocks
from apricotpost.usage import collection
from apricotpost.usage import counts
from apricotpost.usage import records
from apricotpost import wire

__all__ = ["UsageReports"]

_LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.1
# Part of `late_seconds` over which the nodes distribute their messages: 1,200
# messages at once would stop the holder's loop for a noticeable time.
SPREAD_PART = 0.05
# Part after which all messages should have arrived.
SETTLE_PART = 0.1
# A node that has just started knows the others after this time; before it,
# each node of a fleet that starts would call the store.
START_MS = 2000.0
# Adding the counts of 1,200 nodes and 83 tenants takes 47 ms.
ASSESSMENT_MS = 300.0
CANDIDATES = 2
# Time without a holder after which one more node becomes a candidate, in case
# the first nodes cannot report.
MORE_CANDIDATES_MS = 10_000.0


class UsageReports:
    """Counts of this node, those of others, and the lease.

    Parameters
    ----------
    settings : options.Options
        Settings of the node. Changes of `usage` need a restart.
    boot : int
        Number of this process.
    members : fleet.Fleet
        States of all nodes.
    store : platform.Store
        The platform's store.
    send : callable
        Sends a message to a node; returns False if nothing was sent.
    connect : callable
        Opens the connection to a node.
    on_lease : callable
        Called when this node acquires or loses the lease.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        boot: int,
        members: fleet.Fleet,
        store: platform.Store,
        send: Callable[[str, wire.Message], bool],
        connect: Callable[[str], None],
        on_lease: Callable[[], None],
    ) -> None:
        self.name = settings.instance
        self.usage = settings.usage
        self.enabled = bool(settings.usage.address)
        self.boot = boot
        self.members = members
        self.send = send
        self.connect = connect
        self.loop = asyncio.get_running_loop()
        self.window_ms = self.usage.window_seconds * 1000.0
        self.late_ms = self.usage.late_seconds * 1000.0
        self.time = usage_time.FleetTime()
        self.started_at = self.time.last.boot_ms
        self.first_window = self.window()
        self.own = counts.OwnCounts(
            node=self.name, boot=boot, window=self.first_window
        )
        self.collection = collection.Collection()
        # Windows of this process that were sent, and to which process.
        self.sent: dict[int, tuple[str, int]] = {}
        self.given_up = 0
        # Last window that was logged as incomplete.
        self.incomplete_window = 0
        self.next_assessment_at = 0.0
        self.leaving = False
        self.holder_seen_at = self.started_at
        self.keeper = usage_lease.LeaseKeeper(
            usage=self.usage,
            # Two processes of one name must not take each other's lease.
            identity=f"{self.name[:100]}/{boot}/{secrets.token_hex(8)}",
            store=store,
            time=self.time,
            candidate_delay=self.candidate_delay,
            ready_report=self.ready_report,
            is_due=self.is_due,
            on_lease=on_lease,
        )

    # Interface to the other tasks.

    def record_start(self, tenant: str) -> Callable[[], None]:
        """Count a request that is sent to the backend server.

        Returns
        -------
        callable
            Takes the request back, as the server has rejected it.
        """
        if not self.enabled or not tenant:
            return lambda: None
        counts.add(self.own, tenant, self.window())
        counted_in = self.own.window
        return lambda: counts.take_back(self.own, tenant, counted_in)

    def describe_lease(self) -> tuple[int, int, int]:
        """Return the token and the revision of the lease, and Unix time.

        All are 0 if this node does not hold the lease, and the time also if
        it is not known.
        """
        row = self.keeper.held_row()
        if row is None:
            return (0, 0, 0)
        estimate = self.time.estimate
        time_ms = self.time.true_ms() if estimate.trusted else 0.0
        return (row.token, self.keeper.lease.revision, max(int(time_ms), 0))

    def handle_state(self, state: wire.NodeState) -> None:
        """Record the lease and the time that a holder has published."""
        if not self.enabled or not state.lease_token:
            return
        if state.node == self.name:
            return
        self.keeper.observe(state.lease_revision)
        if state.time_ms:
            heard_at = self.members.nodes[state.node].heard_at
            self.time.record_reference(
                state.lease_token,
                state.time_ms,
                (self.loop.time() - heard_at) * 1000.0,
            )

    def handle_counts(self, message: wire.UsageCounts) -> None:
        """Record the counts of another node."""
        if not self.enabled or message.node == self.name:
            return
        self.time.record_peer(message.node, message.wall_ms)
        received = counts.NodeCounts(
            node=message.node,
            boot=message.boot,
            window=message.window,
            partial=message.partial,
            # Each message has its own copy of every name.
            counts={sys.intern(name): n for name, n in message.counts},
        )
        collection.record(self.collection, received, self.window())

    def handle_connected(self, node: str) -> None:
        """Send counts again that a lost connection may have dropped."""
        self.sent = {w: to for w, to in self.sent.items() if to[0] != node}

    def stop(self) -> None:
        """Send the counts of the open window; renew the lease no longer."""
        if not self.enabled:
            return
        self.leaving = True
        self.keeper.leaving = True
        counts.advance(self.own, self.window() + 1)
        self.send_counts(at_once=True)

    # Time and windows.

    def window(self) -> int:
        """Return the number of the current window."""
        return clocks.window_at(self.time.true_ms(), self.window_ms)

    def age_ms(self, window: int) -> float:
        """Return the time since the end of a window, in milliseconds."""
        return self.time.true_ms() - (window + 1) * self.window_ms

    def is_due(self, window: int) -> bool:
        """Return whether the report of a window is not yet too late."""
        return self.age_ms(window) <= self.late_ms

    # Task.

    async def run(self) -> None:
        """Count, collect, commit and send until cancelled."""
        if not self.enabled:
            return
        self.time.check()
        async with contextlib.AsyncExitStack() as stack:
            sender = usage_sending.Sender(
                usage=self.usage,
                holder=self.name,
                read_lease=self.keeper.read_acting_lease,
                finish=self.keeper.finish_report,
            )
            stack.callback(sender.close)
            async with asyncio.TaskGroup() as group:
                group.create_task(self.keeper.run())
                group.create_task(sender.run())
                while True:
                    self.tick()
                    sender.wake.set()
                    await asyncio.sleep(TICK_SECONDS)

    def tick(self) -> None:
        """Update the time, finish windows and send their counts."""
        self.keeper.check_clocks()
        others = sum(s.node != self.name for s in self.live_nodes())
        before_ms = self.time.estimate.offset_ms
        self.time.update(
            is_holder=self.keeper.held_row() is not None, others=others
        )
        change_ms = abs(self.time.estimate.offset_ms - before_ms)
        if change_ms > clocks.AGREEMENT_MS:
            # Starts were counted in another window.
            self.own.partial = True
        if not self.leaving:
            counts.advance(self.own, self.window())
        self.send_counts()
        for report in self.keeper.lease.reports:
            if not self.is_due(report.window):
                self.keeper.finish_report(report, "not accepted in time")
        self.keeper.wake.set()

    def live_nodes(self) -> list[wire.NodeState]:
        """Return the states of the live nodes of the fleet."""
        return list(
            fleet.live_nodes(
                self.members,
                self.loop.time(),
                within=relays.REMOTE_SILENT_SECONDS,
            )
        )

    # Counts.

    def find_holder(self) -> tuple[str, int] | None:
        """Return the name and process of the holder, if it is known."""
        token, _, _ = self.describe_lease()
        holder = (self.name, self.boot) if token else None
        for state in self.live_nodes():
            if state.lease_token > token and state.node != self.name:
                token = state.lease_token
                holder = (state.node, state.boot)
        if holder is not None:
            self.holder_seen_at = self.time.last.boot_ms
        return holder

    def send_counts(self, *, at_once: bool = False) -> None:
        """Send the counts of finished windows to the holder."""
        holder = self.find_holder()
        if at_once and (holder is None or holder[0] == self.name):
            # The next holder is probably the first candidate.
            states = [s for s in self.live_nodes() if s.node != self.name]
            first = min(states, key=lambda s: s.node, default=None)
            holder = (first.node, first.boot) if first is not None else None
        if holder is None:
            return
        part = zlib.crc32(self.name.encode()) % 1000 / 1000.0
        delay_ms = 0.0 if at_once else part * SPREAD_PART * self.late_ms
        for finished in self.own.finished:
            if self.sent.get(finished.window) == holder:
                continue
            if not at_once and self.age_ms(finished.window) < delay_ms:
                continue
            if self.deliver(holder[0], finished):
                self.sent[finished.window] = holder
        kept = {finished.window for finished in self.own.finished}
        self.sent = {w: to for w, to in self.sent.items() if w in kept}

    def deliver(self, node: str, finished: counts.NodeCounts) -> bool:
        """Send the counts of a window; return False if nothing was sent."""
        if node == self.name:
            collection.record(self.collection, finished, self.window())
            return True
        self.connect(node)
        return self.send(
            node,
            wire.UsageCounts(
                node=finished.node,
                boot=finished.boot,
                window=finished.window,
                partial=finished.partial,
                wall_ms=max(int(self.time.boot_ms() + self.time.own), 0),
                counts=tuple(finished.counts.items()),
            ),
        )

    # Lease and reports.

    def candidate_delay(self) -> float | None:
        """Return how much later than others this node takes over, in ms.

        None means that it does not. The first two live nodes by name that
        reach the store are candidates.
        """
        now = self.time.last.boot_ms
        if self.leaving or now - self.started_at < START_MS:
            return None
        rank = sum(
            state.node < self.name
            and state.store_reachable
            and not state.leaving
            for state in self.live_nodes()
        )
        more = (now - self.holder_seen_at) // MORE_CANDIDATES_MS
        if rank >= CANDIDATES + more:
            return None
        return rank * self.usage.lease_ms

    def ready_report(self) -> records.Report | None:
        """Return the report of the next window that can be committed."""
        row = self.keeper.held_row()
        if row is None or not self.time.estimate.trusted:
            return None
        first = max(
            row.last_window + 1,
            self.given_up + 1,
            self.first_window,
            self.window() - math.ceil(self.late_ms / self.window_ms) - 1,
        )
        settle_ms = SETTLE_PART * self.late_ms
        if self.time.last.boot_ms < self.next_assessment_at:
            return None
        for window in range(first, self.window()):
            if self.age_ms(window) < settle_ms:
                return None
            expected = self.expected_nodes(window)
            if collection.must_wait(
                self.collection,
                window,
                expected,
                age_ms=self.age_ms(window),
                late_ms=self.late_ms,
            ):
                return None
            assessment = collection.assess(self.collection, window, expected)
            decision = collection.decide(
                assessment,
                age_ms=self.age_ms(window),
                late_ms=self.late_ms,
                tolerance=self.usage.tolerance,
            )
            if decision is collection.Decision.WAIT:
                self.next_assessment_at = (
                    self.time.last.boot_ms + ASSESSMENT_MS
                )
                return None
            percent = round(assessment.missing_ratio * 100.0, 1)
            if decision is collection.Decision.COMMIT:
                if percent and window != self.incomplete_window:
                    self.incomplete_window = window
                    events.emit(
                        _LOG,
                        events.USAGE_INCOMPLETE,
                        window=window,
                        percent=percent,
                    )
                return records.Report(
                    window=window,
                    body=platform.encode_usage(window, assessment.counts),
                )
            self.given_up = window
            events.emit(
                _LOG,
                events.USAGE_GIVEN_UP,
                window=window,
                reason=f"about {percent} % of the requests are missing",
                nodes=assessment.waiting[:5],
            )
        return None

    def expected_nodes(self, window: int) -> list[str]:
        """Return the nodes that were live in a window."""
        since_start_ms = self.age_ms(window) + self.window_ms
        heard_after = self.loop.time() - since_start_ms / 1000.0
        return [
            name
            for name, node in self.members.nodes.items()
            if node.state.boot
            and (node.heard_at >= heard_after or name == self.name)
        ]
