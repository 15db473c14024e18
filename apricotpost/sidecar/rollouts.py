"""Task that carries out rollout orders: runs, judges and records trials."""

import asyncio
import dataclasses
import logging

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost import platform
from apricotpost.rollout import trials
from apricotpost.sidecar import links
from apricotpost.sidecar import options
from apricotpost.sidecar import orders
from apricotpost.sidecar import server_index
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
# Table of the trials in the store. A row is written only on the condition that
# it has not changed since it was read, so that decisions of several holders
# cannot overwrite each other.
TRIALS = "trials"
MAX_LOGGED_CHARACTERS = 40
_STATUS = {
    trials.Phase.RUNNING: platform.TrialState.RUNNING,
    trials.Phase.MOVING: platform.TrialState.RUNNING,
    trials.Phase.SETTLING: platform.TrialState.RUNNING,
    trials.Phase.COMPLETED: platform.TrialState.COMPLETED,
    trials.Phase.ROLLED_BACK: platform.TrialState.ROLLED_BACK,
}


class _TrialRow(msgspec.Struct, frozen=True):
    order: decoding.Count
    version: decoding.Name
    old: decoding.Name
    phase: trials.Phase


_decode_trial_row = decoding.json_decoder("row of a trial", _TrialRow)


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
        self.store = store
        self.members = members
        self.servers = servers
        self.order_task = order_task
        self.loop = asyncio.get_running_loop()
        self.links: links.Links | None = None
        self.trial_evidence: dict[str, trials.TrialEvidence] = {}
        # Revision and content of the stored row of each service.
        self.stored_trials: dict[str, tuple[int, _TrialRow]] = {}
        self.stored_trials_read = False
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

    async def read_stored_trials(self) -> None:
        """Read the trials of earlier processes and other holders.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not answer.
        """
        page = await self.store.read(TRIALS)
        self.stored_trials.clear()
        for row in page.rows:
            try:
                trial_row = _parse_trial_row(row)
            except errors.MalformedMessage as error:
                events.emit(
                    _LOG,
                    events.ROW_MALFORMED,
                    table=TRIALS,
                    key=row.key,
                    error=error.message,
                )
                continue
            self.stored_trials[row.key] = (row.revision, trial_row)
            self.apply_row(row.key, trial_row)
        self.stored_trials_read = True

    def forget_stored_trials(self) -> None:
        """Read the stored trials again before the next write.

        The store has returned from an older copy and may have lost some.
        """
        self.stored_trials_read = False

    def apply_row(self, service: str, row: _TrialRow) -> None:
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
            await self.write_status(trial)

    async def complete(self, trial: trials.Trial) -> None:
        """Put a completed trial in force after the store has recorded it."""
        if await self.write_status(trial):
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

    async def write_status(self, trial: trials.Trial) -> bool:
        """Write the state of a trial unless it is already stored.

        Returns
        -------
        bool
            Whether the state is in the store now.
        """
        try:
            if not self.stored_trials_read:
                await self.read_stored_trials()
            return await self.write_row(trial)
        except errors.TransactionRejected:
            self.stored_trials_read = False
        except errors.PlatformError as error:
            self.stored_trials_read = False
            events.emit(
                _LOG,
                events.TRIAL_STATUS_NOT_STORED,
                service=trial.service,
                error=error.message,
            )
        return False

    async def write_row(self, trial: trials.Trial) -> bool:
        """Write the row of a trial if it has not changed since it was read.

        Returns
        -------
        bool
            False if the stored phase cannot be followed by this one.
        """
        revision, stored = self.stored_trials.get(trial.service, (0, None))
        status = _STATUS[trial.phase]
        if stored is not None and trials.is_same_order(
            trial, stored.order, stored.version
        ):
            if _STATUS[stored.phase] is not status:
                if not trials.may_follow(stored.phase, trial.phase):
                    return False
            elif stored.order == trial.order_revision and (
                stored.old or not trial.old
            ):
                return True
        row = _TrialRow(
            order=trial.order_revision,
            version=trial.new,
            old=trial.old,
            phase=trial.phase,
        )
        change = platform.Transaction(
            expected=((TRIALS, trial.service, revision),),
            put=(
                (TRIALS, trial.service, msgspec.json.encode(row)),
                (
                    platform.STATUS,
                    platform.status_key(trial.service),
                    platform.encode_status(status, trial.new),
                ),
            ),
        )
        new_revision = await self.store.write(change)
        self.stored_trials[trial.service] = (new_revision, row)
        return True


def _parse_trial_row(row: platform.Row) -> _TrialRow:
    """Decode the row of a trial.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The row cannot be decoded, or refers to an order that is newer than
        the row itself. Such a row would hide all later orders.
    """
    trial_row: _TrialRow = _decode_trial_row(row.value)
    if trial_row.order >= row.revision:
        raise errors.MalformedMessage(
            f"trial refers to order {trial_row.order}, but its row has "
            f"revision {row.revision}"
        )
    return trial_row
