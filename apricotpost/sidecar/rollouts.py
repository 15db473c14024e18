"""Task that carries out rollout orders."""

import asyncio
import dataclasses
import logging

import msgspec

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
# Relays tell of trials again at this interval while they run, and for a
# while after their end.
REPEAT_SECONDS = 1.0
RECENT_SECONDS = 10.0
# States of other data centres come every 1.5 s.
HOLDER_SILENCE_SECONDS = 3.2
# The table that orders the decisions of several holders: a row changes only
# under the condition that it is still the one that was read.
TRIALS = "trials"
_STATUS = {
    trials.Phase.RUNNING: platform.TrialState.RUNNING,
    trials.Phase.MOVING: platform.TrialState.RUNNING,
    trials.Phase.SETTLING: platform.TrialState.RUNNING,
    trials.Phase.COMPLETED: platform.TrialState.COMPLETED,
    trials.Phase.ROLLED_BACK: platform.TrialState.ROLLED_BACK,
}


class _TrialRow(msgspec.Struct, frozen=True):
    order: int
    version: str
    old: str
    phase: str


class Rollouts:
    """State of the task.

    Parameters
    ----------
    settings : options.Options
        Of the node.
    store : platform.Store
        The platform's store.
    known : fleet.Fleet
        States of all nodes.
    servers : server_index.ServerIndex
        Tells which versions are there.
    source : orders.Orders
        Holds the view.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        store: platform.Store,
        known: fleet.Fleet,
        servers: server_index.ServerIndex,
        source: orders.Orders,
    ) -> None:
        self.settings = settings
        self.store = store
        self.known = known
        self.servers = servers
        self.source = source
        self.loop = asyncio.get_running_loop()
        self.links: links.Links | None = None
        self.judges: dict[str, trials.Judge] = {}
        # Revision and content of the row of each service, once read.
        self.rows: dict[str, tuple[int, _TrialRow]] = {}
        self.rows_read = False
        self.repeated = 0.0

    async def run(self) -> None:
        """Look after all orders at intervals."""
        while True:
            await asyncio.sleep(TICK_SECONDS)
            for service in tuple(self.source.view.rollouts):
                self.start_trial(service)
            for trial in tuple(self.source.view.service_trials.values()):
                await self.advance_trial(trial)
            self.repeat_notices()

    async def read_rows(self) -> None:
        """Read the trials of earlier processes and other holders.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store does not answer.
        """
        page = await self.store.read(TRIALS)
        for row in page.rows:
            try:
                found = msgspec.json.decode(row.value, type=_TrialRow)
                trials.Phase(found.phase)
            except (msgspec.DecodeError, ValueError) as error:
                events.emit(_LOG, events.ORDERS_REFUSED, error=str(error))
                continue
            self.rows[row.key] = (row.revision, found)
            self.apply_row(row.key, found)
        self.rows_read = True

    def apply_row(self, service: str, row: _TrialRow) -> None:
        """Take over what the store says of a trial."""
        self.handle_notice(
            wire.TrialNotice(
                service=service,
                version=row.version,
                order=row.order,
                phase=row.phase,
                old=row.old,
                reason="read from the store",
            )
        )

    def start_trial(self, service: str) -> None:
        """Start the trial of an order that is not known yet."""
        revision, order = self.source.view.rollouts[service]
        known = self.source.view.service_trials.get(service)
        if known is not None and known.order == revision:
            self.set_seconds(known, order.seconds)
            return
        if known is not None and known.order > revision:
            return
        seen = self.servers.versions.get(service, [])
        old = next((v for v in seen if v != order.version), "")
        if known is not None and known.phase is trials.Phase.COMPLETED:
            old = known.new
        now = self.loop.time()
        self.judges[service] = trials.Judge()
        self.apply_trial(
            trials.Trial(
                service=service,
                old=old,
                new=order.version,
                order=revision,
                started=now,
                seconds=order.seconds,
                since=now,
            )
        )

    def set_seconds(self, trial: trials.Trial, seconds: float) -> None:
        """Complete a trial that was learnt before its order."""
        if not trial.seconds:
            self.source.replace_view(
                views.with_trial(
                    self.source.view,
                    dataclasses.replace(trial, seconds=seconds),
                )
            )

    def apply_trial(self, trial: trials.Trial) -> None:
        """Put a state of a trial in force on this node."""
        events.emit(
            _LOG,
            events.TRIAL_CHANGED,
            service=trial.service,
            version=trial.new,
            phase=str(trial.phase),
            reason=trial.reason,
            order=trial.order,
        )
        if trial.phase is trials.Phase.COMPLETED:
            self.servers.settle_version(trial.service, trial.new)
        self.source.replace_view(views.with_trial(self.source.view, trial))

    def handle_state(self, state: wire.NodeState) -> None:
        """Take the evidence of a node."""
        if state.server is None or not state.counts:
            return
        trial = self.source.view.service_trials.get(state.server.service)
        judge = self.judges.get(state.server.service)
        if trial is not None and judge is not None:
            trials.observe(judge, state, trial)

    def handle_notice(self, notice: wire.TrialNotice) -> None:
        """Take the state of a trial that another node has found."""
        phase = trials.Phase(notice.phase)
        known = self.source.view.service_trials.get(notice.service)
        if known is not None:
            if known.order > notice.order or known.phase is phase:
                return
            if known.order == notice.order and not trials.may_follow(
                known.phase, phase
            ):
                return
        now = self.loop.time()
        if known is None or known.order != notice.order:
            rollout = self.source.view.rollouts.get(notice.service)
            seconds = rollout[1].seconds if rollout is not None else 0.0
            known = trials.Trial(
                service=notice.service,
                old=notice.old,
                new=notice.version,
                order=notice.order,
                started=now - notice.elapsed,
                seconds=seconds,
            )
            self.judges.setdefault(notice.service, trials.Judge())
        trial = dataclasses.replace(
            known, phase=phase, since=now, reason=notice.reason
        )
        self.apply_trial(trial)
        if relays.is_relay(self.known, now):
            self.broadcast_notice(trial)

    def send_all_notices(self, name: str) -> None:
        """Tell a node that has just become connected of all trials."""
        for trial in self.source.view.service_trials.values():
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
                order=trial.order,
                phase=str(trial.phase),
                old=trial.old,
                reason=trial.reason,
                elapsed=round(self.loop.time() - trial.started, 2),
            ),
        )

    def repeat_notices(self) -> None:
        """Tell of recent trials again if this node is a relay.

        A notice that was lost would leave nodes of another data centre with
        an older phase.
        """
        now = self.loop.time()
        if now - self.repeated < REPEAT_SECONDS:
            return
        self.repeated = now
        if not relays.is_relay(self.known, now):
            return
        for trial in self.source.view.service_trials.values():
            if (
                trial.phase not in trials.FINAL
                or now - trial.since < RECENT_SECONDS
            ):
                self.broadcast_notice(trial)

    def broadcast_notice(self, trial: trials.Trial) -> None:
        """Send the state of a trial to all nodes that are connected."""
        for name in self.known.nodes:
            if name != self.settings.instance:
                self.send_notice(trial, name)

    async def advance_trial(self, trial: trials.Trial) -> None:
        """Judge a trial, and take it further if this node is the holder."""
        judge = self.judges.setdefault(trial.service, trials.Judge())
        now = self.loop.time()
        holder = self.is_holder(now)
        # Without its order, only the phase of the trial is known.
        if trial.phase not in trials.FINAL and trial.seconds:
            level = trials.judge_slice(judge, trial, now)
            after = trials.advance(
                trial,
                level=level,
                new_calls=trials.count_new_calls(judge, trial),
                now=now,
            )
            decides = holder or (
                # Each node takes a bad version back by itself.
                after.phase is trials.Phase.ROLLED_BACK
                and trials.is_alarm(trial, level)
            )
            if after is not trial and decides:
                if after.phase is trials.Phase.COMPLETED:
                    await self.complete(after)
                    return
                self.apply_trial(after)
                self.broadcast_notice(after)
                trial = after
        if holder:
            await self.write_status(trial)

    async def complete(self, trial: trials.Trial) -> None:
        """Complete a trial once the store holds that it is."""
        if await self.write_status(trial):
            self.apply_trial(trial)
            self.broadcast_notice(trial)

    def is_holder(self, now: float) -> bool:
        """Tell whether this node writes the status.

        The first live node that reaches the store does. That two may think
        so for a moment is harmless: the row in the store decides.
        """
        if self.source.lost_at is not None:
            return False
        return not any(
            state.node < self.settings.instance
            and state.store
            and not state.leaving
            for state in fleet.live_nodes(
                self.known, now, within=HOLDER_SILENCE_SECONDS
            )
        )

    async def write_status(self, trial: trials.Trial) -> bool:
        """Write the state of a trial if the store holds another one.

        Returns
        -------
        bool
            Whether the store holds it.
        """
        try:
            if not self.rows_read:
                await self.read_rows()
            return await self.write_row(trial)
        except errors.TransactionRejected:
            self.rows_read = False
        except errors.PlatformError as error:
            self.rows_read = False
            events.emit(
                _LOG,
                events.TRIAL_UNWRITTEN,
                service=trial.service,
                error=error.message,
            )
        return False

    async def write_row(self, trial: trials.Trial) -> bool:
        """Write one row under the condition that it is the one known."""
        revision, known = self.rows.get(trial.service, (0, None))
        status = _STATUS[trial.phase]
        if known is not None and known.order == trial.order:
            found = trials.Phase(known.phase)
            if _STATUS[found] is status:
                return True
            if not trials.may_follow(found, trial.phase):
                return False
        row = _TrialRow(
            order=trial.order,
            version=trial.new,
            old=trial.old,
            phase=str(trial.phase),
        )
        change = platform.Change(
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
        written = await self.store.write(change)
        self.rows[trial.service] = (written, row)
        return True
