"""Handling of instance records in the control task."""

from collections.abc import Mapping
import dataclasses
import logging
import time

from apricotpost import distribution
from apricotpost import events
from apricotpost import membership
from apricotpost import model
from apricotpost.node import control_peers
from apricotpost.node import control_state
from apricotpost.node import views
from apricotpost import wire

__all__ = [
    "announce_leaving",
    "handle",
    "handle_announcement",
    "publish",
    "record_gate_report",
    "record_version",
]

LOG = logging.getLogger(__name__)
# For this long after an announcement the gate's reports are ignored for the
# state of the backend server: they may have been made before the gate received
# the announcement.
REPORT_GRACE_SECONDS = 1.5


def handle(task: control_state.ControlTask, event: membership.Event) -> None:
    """Apply an event to the membership state and execute its actions."""
    now = time.monotonic()
    before = task.members
    task.members, actions = membership.handle(task.members, event, now)
    for action in actions:
        if isinstance(action, membership.Send):
            control_peers.send(task.peers, action.address, action.message, now)
        else:
            control_peers.reply(
                task.peers, action.reply_to, action.message, now
            )
    if task.members.revision != before.revision:
        _log_state_changes(task, before.members)
        task.cluster = distribution.make_cluster_view(
            task.members, task.cluster.seeds
        )
        publish(task)


def handle_announcement(
    task: control_state.ControlTask, message: wire.BackendServerAnnounced
) -> None:
    """Update the own record from the backend server's announcement."""
    if message != task.announced:
        task.announced_at = time.monotonic()
    task.announced = message
    task.backend_server_up = True
    _update_own_record(task)


def record_gate_report(
    task: control_state.ControlTask, report: wire.GateReport
) -> None:
    """Update load and state of the backend server from a gate report."""
    task.load = report.load
    if time.monotonic() - task.announced_at > REPORT_GRACE_SECONDS:
        task.backend_server_up = report.backend_server_up
        _update_own_record(task)


def announce_leaving(task: control_state.ControlTask) -> None:
    """Announce to peers that this node is about to drain."""
    task.leaving = True
    _update_own_record(task)


def record_version(task: control_state.ControlTask) -> None:
    """Write this node's configuration version into its own record.

    Probes, their replies and digests include the version, so each node
    receives it from each other node within as many seconds as there are
    nodes. Disseminating the record at each version would cost more than all
    other traffic.
    """
    version = task.distribution_state.snapshot.version
    if version != task.members.record.config_version:
        record = dataclasses.replace(
            task.members.record, config_version=version
        )
        handle(task, _make_own_changed(task, record, disseminate=False))


def publish(task: control_state.ControlTask) -> None:
    """Replace the view if a field that the call path reads has changed."""
    view = task.current.view
    snapshot = task.distribution_state.snapshot
    withdrawals = tuple(
        task.distribution_state.withdrawals[name]
        for name in sorted(task.distribution_state.withdrawals)
    )
    visible = tuple(membership.list_visible(task.members))
    if (
        view.snapshot is snapshot
        and view.ready == task.distribution_state.ready
        and view.withdrawals == withdrawals
        and _list_routing_fields(view.instances)
        == _list_routing_fields(visible)
    ):
        return
    next_view = model.View(
        snapshot=snapshot,
        instances=visible,
        withdrawals=withdrawals,
        ready=task.distribution_state.ready,
    )
    views.swap(task.current, next_view)


def _update_own_record(task: control_state.ControlTask) -> None:
    """Disseminate the own record if the state of the backend server changed.

    STARTING with a service set means that the backend server is lost: callers
    treat the instance as down, while its node still answers probes.
    """
    record = task.members.record
    announced = task.announced
    state = model.InstanceState.STARTING
    if announced is not None:
        record = dataclasses.replace(
            record,
            service=announced.service,
            version=announced.version,
            slots=announced.slots,
        )
        if task.backend_server_up:
            state = model.InstanceState.UP
    if task.leaving or (announced is not None and announced.leaving):
        state = model.InstanceState.LEAVING
    record = dataclasses.replace(record, state=state)
    if record != task.members.record:
        handle(task, _make_own_changed(task, record, disseminate=True))


def _make_own_changed(
    task: control_state.ControlTask,
    record: model.InstanceRecord,
    *,
    disseminate: bool,
) -> membership.OwnChanged:
    return membership.OwnChanged(
        record=record, seed=task.rng.getrandbits(32), disseminate=disseminate
    )


def _list_routing_fields(
    records: tuple[model.InstanceRecord, ...],
) -> list[tuple[str, ...]]:
    return [
        (
            record.instance,
            record.data_centre,
            record.call_address,
            record.control_address,
            record.service,
            record.version,
            record.state,
            str(record.slots),
        )
        for record in records
    ]


def _log_state_changes(
    task: control_state.ControlTask,
    before: Mapping[str, membership.Member],
) -> None:
    if not LOG.isEnabledFor(events.INSTANCE_STATE.level):
        return
    for name, member in task.members.members.items():
        previous = before.get(name)
        if previous is None or previous.record.state != member.record.state:
            events.emit(
                LOG,
                events.INSTANCE_STATE,
                instance=name,
                state=member.record.state.value,
            )
