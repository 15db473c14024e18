"""Task that carries out rollout orders: runs, judges and records trials."""

import asyncio
import dataclasses
import logging

from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost import platform
from apricotpost.rollout import trials
from apricotpost.sidecar import links
from apricotpost.sidecar import options
from apricotpost.sidecar import orders
from apricotpost.sidecar import server_index
from apricotpost.sidecar import trial_records
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Rollouts"]

_LOG = logging.getLogger(__name__)

TICK_SECONDS = 0.2
# Relays send the state of each trial again at this interval, until
# RECENT_SECONDS after it has ended.
REPEAT_SECONDS = 1.0
RECENT_SECONDS = 10.0
# States from other data centres arrive every 1.5 s. A node whose last state is
# older than this is not considered as holder.
HOLDER_SILENT_SECONDS = 3.2
MAX_LOGGED_CHARACTERS = 40


class Rollouts:
    """State of the trials on this node.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    store : platform.Store
        The platform's store.
    members : fleet.Fleet
        States of all nodes.
    servers : server_index.ServerIndex
        Index of the backend servers and their versions.
    order_task : orders.Orders
        Task that holds the view.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        store: platform.Store,
        members: fleet.Fleet,
        servers: server_index.ServerIndex,
        order_task: orders.Orders,
    ) -> None:
        self.settings = settings
        self.members = members
        self.servers = servers
        self.order_task = order_task
        self.loop = asyncio.get_running_loop()
        self.links: links.Links | None = None
        self.trial_evidence: dict[str, trials.TrialEvidence] = {}
        self.records = trial_records.TrialRecords(
            store=store, on_row=self.apply_row
        )
        self.repeated_at = 0.0

    async def run(self) -> None:
        """Start, judge and advance all trials at intervals."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for service in tuple(self.order_task.view.rollouts):
                self.start_trial(service)
            for trial in tuple(self.order_task.view.service_trials.values()):
                await self.advance_trial(trial)
            self.repeat_notices()

    def apply_row(self, service: str, row: trial_records.TrialRow) -> None:
        """Apply the state of a trial as read from the store."""
        self.handle_notice(
            wire.TrialNotice(
                service=service,
                version=row.version,
                order_revision=row.order,
                phase=str(row.phase),
                old_version=row.old,
                reason="read from the store",
            )
        )

    def start_trial(self, service: str) -> None:
        """Start the trial of a service's rollout order, if it is a new one."""
        revision, order = self.order_task.view.rollouts[service]
        current = self.order_task.view.service_trials.get(service)
        if current is not None and trials.is_same_order(
            current, revision, order.version
        ):
            self.complete_details(
                current,
                order_revision=revision,
                seconds=order.seconds,
                old=self.find_old_version(service, order.version),
            )
            return
        if current is not None and current.order_revision > revision:
            return
        old = self.find_old_version(service, order.version)
        if current is not None and current.phase is trials.Phase.COMPLETED:
            old = current.new
        elif current is not None and current.old not in ("", order.version):
            # The servers of a version that was rolled back may still be there.
            old = current.old
        now = self.loop.time()
        self.trial_evidence[service] = trials.TrialEvidence()
        self.apply_trial(
            trials.Trial(
                service=service,
                old=old,
                new=order.version,
                order_revision=revision,
                started_at=now,
                duration_seconds=order.seconds,
                phase_started_at=now,
            )
        )

    def find_old_version(self, service: str, new: str) -> str:
        """Return the stable version of a service; empty if none is known."""
        versions = self.servers.list_versions(service)
        return next((v for v in versions if v != new), "")

    def complete_details(
        self,
        trial: trials.Trial,
        *,
        order_revision: int,
        seconds: float = 0.0,
        old: str = "",
    ) -> trials.Trial:
        """Set what was not known when the trial started on this node.

        The duration is missing if the trial was received before its order,
        the old version if it started before any of its servers was heard of.
        In a new era of the store, the order has a new revision.
        """
        completed = dataclasses.replace(
            trial,
            order_revision=max(trial.order_revision, order_revision),
            duration_seconds=trial.duration_seconds or seconds,
            old=trial.old or old,
        )
        if completed == trial:
            return trial
        if completed.old != trial.old:
            events.emit(
                _LOG,
                events.TRIAL_OLD_VERSION_FOUND,
                service=trial.service,
                version=trial.new,
                old=completed.old,
                order=trial.order_revision,
            )
        self.order_task.replace_view(
            views.with_trial(self.order_task.view, completed)
        )
        return completed

    def apply_trial(self, trial: trials.Trial) -> None:
        """Put the state of a trial in force on this node."""
        events.emit(
            _LOG,
            events.TRIAL_CHANGED,
            service=trial.service,
            version=trial.new,
            old=trial.old,
            phase=str(trial.phase),
            reason=trial.reason,
            order=trial.order_revision,
        )
        if trial.phase is trials.Phase.COMPLETED:
            self.servers.set_stable_version(trial.service, trial.new)
        self.order_task.replace_view(
            views.with_trial(self.order_task.view, trial)
        )

    def handle_state(self, state: wire.NodeState) -> None:
        """Record the evidence in a node's state."""
        if state.server is None or not state.counts:
            return
        trial = self.order_task.view.service_trials.get(state.server.service)
        trial_evidence = self.trial_evidence.get(state.server.service)
        if trial is not None and trial_evidence is not None:
            trials.observe(trial_evidence, state, trial)

    def handle_notice(self, notice: wire.TrialNotice) -> None:
        """Apply the state of a trial from another node, if it is newer."""
        try:
            phase = trials.Phase(notice.phase)
        except ValueError:
            events.emit(
                _LOG,
                events.LINK_MALFORMED,
                error=f"unknown phase {notice.phase[:MAX_LOGGED_CHARACTERS]}",
            )
            return
        current = self.order_task.view.service_trials.get(notice.service)
        same_order = False
        if current is not None:
            same_order = trials.is_same_order(
                current, notice.order_revision, notice.version
            )
            if same_order:
                current = self.complete_details(
                    current,
                    order_revision=notice.order_revision,
                    old=notice.old_version,
                )
                if current.phase is phase or not trials.may_follow(
                    current.phase, phase
                ):
                    return
            elif current.order_revision > notice.order_revision:
                return
        now = self.loop.time()
        if current is None or not same_order:
            rollout = self.order_task.view.rollouts.get(notice.service)
            seconds = rollout[1].seconds if rollout is not None else 0.0
            current = trials.Trial(
                service=notice.service,
                old=notice.old_version,
                new=notice.version,
                order_revision=notice.order_revision,
                started_at=now - notice.elapsed_seconds,
                duration_seconds=seconds,
            )
            self.trial_evidence[notice.service] = trials.TrialEvidence()
        trial = dataclasses.replace(
            current, phase=phase, phase_started_at=now, reason=notice.reason
        )
        self.apply_trial(trial)
        if relays.is_relay(self.members, now):
            self.broadcast_notice(trial)

    def send_all_notices(self, name: str) -> None:
        """Send all trials to a node that has connected or restarted."""
        for trial in self.order_task.view.service_trials.values():
            self.send_notice(trial, name)

    def send_notice(self, trial: trials.Trial, name: str) -> None:
        """Send the state of a trial to a node."""
        if self.links is None:
            return
        self.links.send(
            name,
            wire.TrialNotice(
                service=trial.service,
                version=trial.new,
                order_revision=trial.order_revision,
                phase=str(trial.phase),
                old_version=trial.old,
                reason=trial.reason,
                elapsed_seconds=round(self.loop.time() - trial.started_at, 2),
            ),
        )

    def repeat_notices(self) -> None:
        """Send recent trials again if this node is a relay.

        Otherwise a lost notice would leave nodes of another data centre in an
        older phase.
        """
        now = self.loop.time()
        if now - self.repeated_at < REPEAT_SECONDS:
            return
        self.repeated_at = now
        if not relays.is_relay(self.members, now):
            return
        for trial in self.order_task.view.service_trials.values():
            if (
                trial.phase not in trials.FINAL_PHASES
                or now - trial.phase_started_at < RECENT_SECONDS
            ):
                self.broadcast_notice(trial)

    def broadcast_notice(self, trial: trials.Trial) -> None:
        """Send the state of a trial to all connected nodes."""
        for name in self.members.nodes:
            if name != self.settings.instance:
                self.send_notice(trial, name)

    async def advance_trial(self, trial: trials.Trial) -> None:
        """Evaluate a trial, and move it to its next phase if it is due.

        Only the holder does so, except for a rollback.
        """
        trial_evidence = self.trial_evidence.setdefault(
            trial.service, trials.TrialEvidence()
        )
        now = self.loop.time()
        holder = self.is_holder(now)
        # A trial whose order has not arrived has a phase, but no duration.
        if trial.phase not in trials.FINAL_PHASES and trial.duration_seconds:
            level = trials.evaluate_slice(trial_evidence, trial, now)
            next_trial = trials.advance(
                trial,
                level=level,
                new_calls=trials.count_calls(trial_evidence, trial.new),
                old_calls=trials.count_calls(trial_evidence, trial.old),
                now=now,
            )
            may_apply = holder or (
                # Any node may roll back a failing version by itself.
                next_trial.phase is trials.Phase.ROLLED_BACK
                and trials.is_alarm(trial, level)
            )
            if next_trial is not trial and may_apply:
                if next_trial.phase is trials.Phase.COMPLETED:
                    await self.complete(next_trial)
                    return
                self.apply_trial(next_trial)
                self.broadcast_notice(next_trial)
                trial = next_trial
        if holder:
            await self.records.write(trial)

    async def complete(self, trial: trials.Trial) -> None:
        """Put a completed trial in force after the store has recorded it."""
        if await self.records.write(trial):
            self.apply_trial(trial)
            self.broadcast_notice(trial)

    def is_holder(self, now: float) -> bool:
        """Tell whether this node is the holder, which writes the status.

        The holder is the first live node by name that reaches the store. For
        a moment two nodes may consider themselves the holder; the conditional
        write of the store's row decides then.
        """
        if self.order_task.store_lost_at is not None:
            return False
        return not any(
            state.node < self.settings.instance
            and state.store_reachable
            and not state.leaving
            for state in fleet.live_nodes(
                self.members, now, within=HOLDER_SILENT_SECONDS
            )
        )
