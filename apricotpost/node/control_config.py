"""Configuration, withdrawals and evidence in the control task."""

import logging
import time

from apricotpost import events
from apricotpost import model
from apricotpost.node import control_peers
from apricotpost.node import control_records
from apricotpost.node import control_state
from apricotpost.rollout import judges
from apricotpost import spread
from apricotpost import wire

__all__ = ["describe", "forward_evidence", "handle", "pass_evidence"]

LOG = logging.getLogger(__name__)
_OPEN = (model.RolloutState.RUNNING, model.RolloutState.BAKING)
# Counts that come in after the end of a rollout still explain it.
WATCHED_SECONDS = 60.0


def handle(task: control_state.ControlTask, event: spread.Event) -> None:
    """Carry out a step of the distribution."""
    now = time.monotonic()
    before = task.distribution
    task.distribution, actions = spread.handle(
        task.distribution,
        event,
        now,
        cluster=task.cluster,
        draw=task.rng.getrandbits(32),
    )
    for action in actions:
        _carry_out(task, action, now)
    if task.distribution.snapshot is not before.snapshot:
        control_records.record_version(task)
        version = task.distribution.snapshot.version
        control_records.publish(task)
        events.emit(LOG, events.CONFIG_APPLIED, version=version)
    elif (
        task.distribution.ready != before.ready
        or task.distribution.notices != before.notices
    ):
        control_records.publish(task)
    if task.distribution.ready and not before.ready:
        version = task.distribution.snapshot.version
        events.emit(LOG, events.NODE_READY, version=version)


def pass_evidence(
    task: control_state.ControlTask, report: wire.EvidenceReport
) -> None:
    """Hand evidence to the rollout task."""
    wire.sockets.send(task.rollout, report)


def forward_evidence(
    task: control_state.ControlTask, evidence: tuple[model.Evidence, ...]
) -> None:
    """Send the own gate's evidence to the judges of the same service."""
    if not evidence:
        return
    own = task.members.record
    report = wire.EvidenceReport(sender=own.instance, evidence=evidence)
    pass_evidence(task, report)
    now = time.monotonic()
    _watch_rollouts(task, now)
    addresses: dict[str, str] = {}
    if own.service in task.watched:
        # The rollout task finds the holder in the same view.
        instances = task.current.view.instances
        for record in judges.find_judges(own.service, instances):
            if record.instance != own.instance:
                addresses[record.instance] = record.control_address
    task.sent_reports, reports = judges.plan_reports(
        task.sent_reports, evidence, tuple(addresses), now
    )
    for planned in reports:
        report = wire.EvidenceReport(
            sender=own.instance, evidence=planned.evidence, full=planned.full
        )
        control_peers.send(task.peers, addresses[planned.judge], report, now)


def describe(task: control_state.ControlTask) -> wire.StatusReply:
    """Describe the node for operators."""
    snapshot = task.distribution.snapshot
    counters = {
        **task.peers.counters,
        "open_peers": len(task.peers.links),
        "table_reads": task.table_reads,
        "refusals": task.refusals,
        "control_cpu_us": int(time.thread_time() * 1e6),
    }
    members = task.members.members
    return wire.StatusReply(
        instance=task.options.instance,
        data_centre=task.options.data_centre,
        ready=task.distribution.ready,
        version=snapshot.version,
        checksum=snapshot.checksum,
        instances=tuple(members[name].record for name in sorted(members)),
        withdrawals=task.current.view.withdrawals,
        load=task.load,
        counters=tuple(sorted(counters.items())),
    )


def _carry_out(
    task: control_state.ControlTask, action: spread.Action, now: float
) -> None:
    if isinstance(action, spread.Send):
        control_peers.send(task.peers, action.address, action.message, now)
    elif isinstance(action, spread.Reply):
        control_peers.reply(task.peers, action.reply_to, action.message, now)
    elif isinstance(action, spread.ReadTable):
        task.table_reads += 1
        wire.sockets.send(task.platform, wire.ReadConfig(have=action.have))
    elif isinstance(action, spread.Refused):
        task.refusals += 1
        events.emit(
            LOG,
            events.CONFIG_REFUSED,
            version=action.version,
            reason=action.reason,
        )
    elif isinstance(action, spread.Stopped):
        events.emit(
            LOG,
            events.CONFIG_STOPPED,
            version=action.version,
            refusers=action.refusers,
        )
    else:
        events.emit(
            LOG,
            events.WITHDRAWAL_NOTED,
            service=action.withdrawal.service,
            version=action.withdrawal.version,
            reason=action.withdrawal.reason,
        )


def _watch_rollouts(task: control_state.ControlTask, now: float) -> None:
    for rollout in task.distribution.snapshot.rollouts:
        if rollout.state in _OPEN:
            task.watched[rollout.service] = now + WATCHED_SECONDS
    for service, until in tuple(task.watched.items()):
        if until < now:
            del task.watched[service]
