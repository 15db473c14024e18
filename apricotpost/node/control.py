"""Control task: owns the configuration and the instance records."""

import contextlib
import logging
import random
import time

import zmq

from apricotpost import distribution
from apricotpost import errors
from apricotpost import events
from apricotpost import membership
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import control_config
from apricotpost.node import control_peers
from apricotpost.node import control_records
from apricotpost.node import control_state
from apricotpost.node import views
from apricotpost import settings
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
MAX_WAIT_SECONDS = 1.0
HOUSEKEEPING_INTERVAL_SECONDS = 5.0


def run(
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    options: settings.NodeSettings,
    rng: random.Random,
) -> None:
    """Keep the view up to date until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force; only this task replaces it.
    options : NodeSettings
        Settings of the node.
    rng : random.Random
        Source of the random numbers.
    """
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(
            wire.sockets.bind_router(
                context, addresses.tcp(options.addresses.control)
            )
        )
        commands = stack.enter_context(
            wire.sockets.bind_router(context, addresses.CONTROL)
        )
        poller = wire.sockets.Poller()
        peers = control_peers.Peers(
            context=context, router=router, poller=poller
        )
        stack.callback(control_peers.close, peers)
        task = _make_task(
            current=current,
            options=options,
            rng=rng,
            peers=peers,
            platform=stack.enter_context(
                wire.sockets.connect_dealer(context, addresses.PLATFORM)
            ),
            rollout=stack.enter_context(
                wire.sockets.connect_dealer(context, addresses.ROLLOUT)
            ),
        )
        for socket in (router, commands, task.platform, task.rollout):
            poller.register(socket, zmq.POLLIN)
        while _run_once(task, commands):
            pass


def _make_task(
    *,
    current: views.CurrentView,
    options: settings.NodeSettings,
    rng: random.Random,
    peers: control_peers.Peers,
    platform: wire.sockets.Socket,
    rollout: wire.sockets.Socket,
) -> control_state.ControlTask:
    now = time.monotonic()
    record = model.InstanceRecord(
        instance=options.instance,
        data_centre=options.data_centre,
        region=options.region,
        call_address=addresses.tcp(options.addresses.call),
        control_address=addresses.tcp(options.addresses.control),
        # The incarnation must exceed that of an earlier process with the same
        # name.
        incarnation=time.time_ns(),
    )
    members = membership.start(record, now, seed=rng.getrandbits(32))
    seeds = tuple(addresses.tcp(seed) for seed in options.seeds)
    return control_state.ControlTask(
        current=current,
        options=options,
        rng=rng,
        peers=peers,
        platform=platform,
        rollout=rollout,
        members=members,
        distribution_state=distribution.start(
            options.instance,
            now,
            seed=rng.getrandbits(32),
            policy=distribution.Policy(
                poll_seconds=options.times.poll_seconds,
                join_jitter_seconds=options.times.join_seconds,
            ),
        ),
        cluster=distribution.make_cluster_view(members, seeds),
    )


def _run_once(
    task: control_state.ControlTask, commands: wire.sockets.Socket
) -> bool:
    """Handle received messages and due timers; return False to stop."""
    for socket, _ in task.peers.poller.poll(_wait_ms(task)):
        if socket is commands:
            if not _receive_commands(task, commands):
                return False
        elif socket is task.platform or socket is task.rollout:
            _receive_replies(task, socket)
        else:
            for reply_to, message in control_peers.receive(task.peers, socket):
                _handle_peer_message(task, reply_to, message)
    now = time.monotonic()
    if now >= membership.next_tick(task.members):
        control_records.handle(
            task, membership.Tick(seed=task.rng.getrandbits(32))
        )
    if now >= distribution.next_tick(task.distribution_state, task.cluster):
        control_config.handle(task, distribution.Tick())
    if now - task.last_housekeeping_at >= HOUSEKEEPING_INTERVAL_SECONDS:
        task.last_housekeeping_at = now
        _run_housekeeping(task, now)
    return True


def _wait_ms(task: control_state.ControlTask) -> int:
    due_at = min(
        membership.next_tick(task.members),
        distribution.next_tick(task.distribution_state, task.cluster),
    )
    wait_seconds = min(max(due_at - time.monotonic(), 0.0), MAX_WAIT_SECONDS)
    return int(wait_seconds * 1000) + 1


def _run_housekeeping(task: control_state.ControlTask, now: float) -> None:
    control_peers.close_idle(task.peers, now)
    if LOG.isEnabledFor(events.CONTROL_COUNTERS.level):
        counters = dict(control_config.make_status(task).counters)
        events.emit(LOG, events.CONTROL_COUNTERS, counters=counters)


def _handle_peer_message(
    task: control_state.ControlTask, reply_to: bytes, message: wire.Message
) -> None:
    """Pass a message of another node to the modules that handle its type."""
    if isinstance(message, wire.EvidenceReport):
        control_config.send_to_rollout_task(task, message)
    elif isinstance(
        message,
        (
            wire.Ping,
            wire.Ack,
            wire.PingRequest,
            wire.Members,
            wire.MembersRequest,
        ),
    ):
        control_records.handle(
            task, membership.Received(message=message, reply_to=reply_to)
        )
    else:
        min_version = 0
        if isinstance(message, wire.Join):
            member = task.members.members.get(message.sender)
            min_version = 0 if member is None else member.record.config_version
        if isinstance(message, (wire.Join, wire.ConfigDigest)):
            control_records.handle(
                task, membership.Received(message=message, reply_to=reply_to)
            )
        control_config.handle(
            task,
            distribution.Received(
                message=message, reply_to=reply_to, min_version=min_version
            ),
        )


def _receive_commands(
    task: control_state.ControlTask, commands: wire.sockets.Socket
) -> bool:
    while True:
        try:
            identity, message = wire.sockets.receive_routed(commands)
        except zmq.Again:
            return True
        except errors.MalformedMessage as error:
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
            continue
        if isinstance(message, wire.StopTask):
            return False
        if isinstance(message, wire.StatusRequest):
            reply = control_config.make_status(task)
            wire.sockets.send_routed(commands, identity, reply)
        else:
            _handle_command(task, message)


def _handle_command(
    task: control_state.ControlTask, message: wire.Message
) -> None:
    if isinstance(message, wire.BackendServerAnnounced):
        control_records.handle_announcement(task, message)
    elif isinstance(message, wire.GateReport):
        control_records.record_gate_report(task, message)
        control_config.report_evidence(task, message.evidence)
    elif isinstance(message, wire.LeaveAnnounced):
        control_records.announce_leaving(task)
    elif isinstance(message, wire.ConfigCommitted):
        event = distribution.Committed(
            version=message.version, delta=message.delta
        )
        control_config.handle(task, event)
    elif isinstance(message, wire.WithdrawalNotice):
        control_config.handle(task, distribution.Received(message=message))


def _receive_replies(
    task: control_state.ControlTask, socket: wire.sockets.Socket
) -> None:
    while True:
        try:
            message = wire.sockets.receive(socket)
        except zmq.Again:
            return
        except errors.MalformedMessage as error:
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
            continue
        if isinstance(message, wire.ConfigRead):
            control_config.handle(task, distribution.TableRead(result=message))
        else:
            _handle_command(task, message)
