"""Task that holds the configuration and the instance records."""

import contextlib
import dataclasses
import logging
import random
import time
import typing

import zmq

from apricotpost import config
from apricotpost import errors
from apricotpost import events
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import views
from apricotpost import settings
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
GOSSIP_SECONDS = 0.5
FANOUT = 2


@dataclasses.dataclass(kw_only=True)
class _Task:
    """What the control task owns."""

    context: wire.sockets.Context
    current: views.Current
    options: settings.NodeSettings
    rng: random.Random
    stack: contextlib.ExitStack
    control: wire.sockets.Socket
    commands: wire.sockets.Socket
    platform: wire.sockets.Socket
    record: model.InstanceRecord
    records: dict[str, model.InstanceRecord]
    peers: dict[str, wire.sockets.Socket] = dataclasses.field(
        default_factory=dict
    )
    poller: wire.sockets.Poller = dataclasses.field(
        default_factory=wire.sockets.Poller
    )
    reading: bool = False
    gossiped_at: float = 0.0
    read_at: float = 0.0


def run(
    *,
    context: wire.sockets.Context,
    current: views.Current,
    options: settings.NodeSettings,
    rng: random.Random,
) -> None:
    """Keep the view up to date until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    current : Current
        Reference that this task alone replaces.
    options : NodeSettings
        Settings of the node.
    rng : random.Random
        Source of the random choices.
    """
    with contextlib.ExitStack() as stack:
        record = _own_record(options)
        task = _Task(
            context=context,
            current=current,
            options=options,
            rng=rng,
            stack=stack,
            control=stack.enter_context(
                wire.sockets.bind_router(
                    context, addresses.tcp(options.addresses.control)
                )
            ),
            commands=stack.enter_context(
                wire.sockets.bind_router(context, addresses.CONTROL)
            ),
            platform=stack.enter_context(
                wire.sockets.connect_dealer(context, addresses.PLATFORM)
            ),
            record=record,
            records={record.instance: record},
        )
        for socket in (task.control, task.commands, task.platform):
            task.poller.register(socket, zmq.POLLIN)
        while _turn(task):
            pass


def _own_record(options: settings.NodeSettings) -> model.InstanceRecord:
    return model.InstanceRecord(
        instance=options.instance,
        data_centre=options.data_centre,
        region=options.region,
        call_address=addresses.tcp(options.addresses.call),
        control_address=addresses.tcp(options.addresses.control),
        incarnation=time.time_ns(),
    )


def _turn(task: _Task) -> bool:
    for socket, _ in task.poller.poll(int(GOSSIP_SECONDS * 500)):
        routed = socket in (task.control, task.commands)
        try:
            while True:
                identity, message = (
                    wire.sockets.receive_routed(socket)
                    if routed
                    else (b"", wire.sockets.receive(socket))
                )
                if isinstance(message, wire.StopTask):
                    return False
                _on_message(task, socket, identity, message)
        except zmq.Again:
            continue
        except errors.MalformedMessage as error:
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
    now = time.monotonic()
    if now - task.gossiped_at >= GOSSIP_SECONDS:
        task.gossiped_at = now
        _gossip(task)
    if not task.reading and now - task.read_at >= 1.0:
        task.read_at = now
        task.reading = True
        have = task.current.view.snapshot.version
        wire.sockets.send(task.platform, wire.ReadConfig(have=have))
    return True


def _on_message(
    task: _Task,
    socket: wire.sockets.Socket,
    identity: bytes,
    message: typing.Any,
) -> None:
    if isinstance(message, wire.Members):
        for record in message.records:
            _merge(task, record)
    elif isinstance(message, wire.BackendServerAnnounced):
        state = (
            model.InstanceState.LEAVING
            if message.leaving
            else model.InstanceState.UP
        )
        task.record = dataclasses.replace(
            task.record,
            service=message.service,
            version=message.version,
            slots=message.slots,
            state=state,
            incarnation=time.time_ns(),
        )
        task.records[task.record.instance] = task.record
        _publish(task)
    elif isinstance(message, wire.ConfigRead):
        task.reading = False
        _on_config(task, message)


def _merge(task: _Task, record: model.InstanceRecord) -> None:
    known = task.records.get(record.instance)
    if known is None or record.incarnation > known.incarnation:
        task.records[record.instance] = record
        _publish(task)


def _on_config(task: _Task, found: wire.ConfigRead) -> None:
    snapshot = task.current.view.snapshot
    try:
        if found.snapshot is not None:
            snapshot = config.apply_snapshot(snapshot, found.snapshot)
        for delta in found.deltas:
            snapshot = config.apply_delta(snapshot, delta)
    except errors.ApricotpostError as error:
        events.emit(
            LOG, events.CONFIG_REFUSED, version=found.head, reason=error
        )
        return
    if snapshot is not task.current.view.snapshot:
        task.current.view = dataclasses.replace(
            task.current.view, snapshot=snapshot, ready=True
        )
        events.emit(LOG, events.CONFIG_APPLIED, version=snapshot.version)


def _publish(task: _Task) -> None:
    records = tuple(task.records[name] for name in sorted(task.records))
    task.current.view = dataclasses.replace(
        task.current.view, instances=records
    )


def _gossip(task: _Task) -> None:
    known = [
        record.control_address
        for record in task.records.values()
        if record.instance != task.record.instance
    ]
    targets = known or [addresses.tcp(seed) for seed in task.options.seeds]
    targets = [
        target for target in targets if target != task.record.control_address
    ]
    message = wire.Members(
        sender=task.record.instance, records=tuple(task.records.values())
    )
    for address in task.rng.sample(targets, min(FANOUT, len(targets))):
        if address not in task.peers:
            task.peers[address] = task.stack.enter_context(
                wire.sockets.connect_peer(task.context, address)
            )
        wire.sockets.send(task.peers[address], message)
