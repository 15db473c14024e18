"""Configuration, withdrawals and evidence in the control task."""

import logging
import time

from apricotpost import distribution
from apricotpost import events
from apricotpost import model
from apricotpost.node import control_peers
from apricotpost.node import control_records
from apricotpost.node import control_state
from apricotpost.rollout import judges
from apricotpost import wire

__all__ = ["handle", "make_status", "report_evidence", "send_to_rollout_task"]

LOG = logging.getLogger(__name__)
_OPEN_STATES = (model.RolloutState.RUNNING, model.RolloutState.BAKING)
# Evidence about a rollout is sent to its judges for this long after its end,
# because late counts still explain the decision.
LATE_EVIDENCE_SECONDS = 60.0


def handle(task: control_state.ControlTask, event: distribution.Event) -> None:
    """Apply an event to the distribution state and execute its actions."""
    now = time.monotonic()
    before = task.distribution_state
    task.distribution_state, actions = distribution.handle(
        task.distribution_state,
        event,
        now,
        cluster=task.cluster,
        seed=task.rng.getrandbits(32),
    )
    for action in actions:
        _execute(task, action, now)
    if task.distribution_state.snapshot is not before.snapshot:
        control_records.record_version(task)
        version = task.distribution_state.snapshot.version
        control_records.publish(task)
        events.emit(LOG, events.CONFIG_APPLIED, version=version)
    elif (
        task.distribution_state.ready != before.ready
        or task.distribution_state.withdrawals != before.withdrawals
    ):
        control_records.publish(task)
    if task.distribution_state.ready and not before.ready:
        version = task.distribution_state.snapshot.version
        events.emit(LOG, events.NODE_READY, version=version)


def send_to_rollout_task(
    task: control_state.ControlTask, report: wire.EvidenceReport
) -> None:
    """Send evidence to the rollout task of this node."""
    wire.sockets.send(task.rollout, report)


def report_evidence(
    task: control_state.ControlTask, evidence: tuple[model.Evidence, ...]
) -> None:
    """Send this gate's evidence to the rollout task and the other judges."""
    if not evidence:
        return
    own = task.members.record
    report = wire.EvidenceReport(sender=own.instance, evidence=evidence)
    send_to_rollout_task(task, report)
    now = time.monotonic()
    _update_watched_services(task, now)
    addresses: dict[str, str] = {}
    if own.service in task.watched_until:
        # The rollout task chooses the holder from the same view.
        instances = task.current.view.instances
        for record in judges.find_judges(own.service, instances):
            if record.instance != own.instance:
                addresses[record.instance] = record.control_address
    task.sent_reports, reports = judges.plan_reports(
        task.sent_reports, evidence, tuple(addresses), now
    )
    for planned in reports:
        report = wire.EvidenceReport(
            sender=own.instance,
            evidence=planned.evidence,
            full=planned.is_full,
        )
        control_peers.send(task.peers, addresses[planned.judge], report, now)


def make_status(task: control_state.ControlTask) -> wire.StatusReply:
    """Make the status of this node for operators."""
    snapshot = task.distribution_state.snapshot
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
        ready=task.distribution_state.ready,
        version=snapshot.version,
        checksum=snapshot.checksum,
        instances=tuple(members[name].record for name in sorted(members)),
        withdrawals=task.current.view.withdrawals,
        load=task.load,
        counters=tuple(sorted(counters.items())),
    )


def _execute(
    task: control_state.ControlTask, action: distribution.Action, now: float
) -> None:
    if isinstance(action, distribution.Send):
        control_peers.send(task.peers, action.address, action.message, now)
    elif isinstance(action, distribution.Reply):
        control_peers.reply(task.peers, action.reply_to, action.message, now)
    elif isinstance(action, distribution.ReadTable):
        task.table_reads += 1
        wire.sockets.send(
            task.platform, wire.ReadConfig(have=action.held_version)
        )
    elif isinstance(action, distribution.Refused):
        task.refusals += 1
        events.emit(
            LOG,
            events.CONFIG_REFUSED,
            version=action.version,
            reason=action.reason,
        )
    elif isinstance(action, distribution.Stopped):
        events.emit(
            LOG,
            events.CONFIG_DISTRIBUTION_STOPPED,
            version=action.version,
            refusers=action.refusers,
        )
    else:
        events.emit(
            LOG,
            events.VERSION_WITHDRAWN,
            service=action.withdrawal.service,
            version=action.withdrawal.version,
            reason=action.withdrawal.reason,
        )


def _update_watched_services(
    task: control_state.ControlTask, now: float
) -> None:
    for rollout in task.distribution_state.snapshot.rollouts:
        if rollout.state in _OPEN_STATES:
            task.watched_until[rollout.service] = now + LATE_EVIDENCE_SECONDS
    for service, until in tuple(task.watched_until.items()):
        if until < now:
            del task.watched_until[service]
