"""Task that judges its service's rollout and advances it as the holder."""

import contextlib
import dataclasses
import logging
import random
import time

import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import holders
from apricotpost.node import views
from apricotpost.rollout import monitor
from apricotpost.rollout import steps
from apricotpost import settings
from apricotpost import storage
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
EVALUATION_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class _Task:
    """Sockets and state of the rollout task."""

    instance: str
    current: views.CurrentView
    commands: wire.sockets.Socket
    control: wire.sockets.Socket
    holder: holders.Holder
    monitor_state: monitor.RolloutMonitor = monitor.RolloutMonitor()
    evaluated_at: float = 0.0
    logged_rollout: str = ""
    logged_bad_rollout: str = ""


def run(
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    options: settings.NodeSettings,
    store: storage.Store,
    rng: random.Random,
) -> None:
    """Judge and advance rollouts until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    options : NodeSettings
        Settings of the node.
    store : apricotpost.storage.Store
        Connection to the store; this task owns and closes it.
    rng : random.Random
        Source of the random jitter of retries.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(store.channel.pool.clear)
        commands = stack.enter_context(
            wire.sockets.bind_router(context, addresses.ROLLOUT)
        )
        control = stack.enter_context(
            wire.sockets.connect_dealer(context, addresses.CONTROL)
        )
        holder = holders.Holder(
            name=f"{options.instance}-{time.time_ns():x}",
            store=store,
            times=steps.Times(
                step_seconds=options.times.step_seconds,
                bake_seconds=options.times.bake_seconds,
            ),
            clock=time.time,
            notify_committed=lambda version, delta: _notify_committed(
                control, version, delta
            ),
            rng=rng,
        )
        task = _Task(
            instance=options.instance,
            current=current,
            commands=commands,
            control=control,
            holder=holder,
        )
        while _run_once(task):
            pass
        holders.release_lease(holder)


def _notify_committed(
    control: wire.sockets.Socket, version: int, delta: model.Delta | None
) -> None:
    message = wire.ConfigCommitted(version=version, delta=delta)
    wire.sockets.send(control, message)


def _run_once(task: _Task) -> bool:
    """Handle received messages and due timers; return False to stop."""
    wait_seconds = (
        task.evaluated_at + EVALUATION_INTERVAL_SECONDS - time.monotonic()
    )
    if task.commands.poll(max(int(wait_seconds * 1000), 0), zmq.POLLIN):
        if not _receive_all(task):
            return False
    if time.monotonic() - task.evaluated_at >= EVALUATION_INTERVAL_SECONDS:
        task.evaluated_at = time.monotonic()
        _evaluate(task)
    return True


def _receive_all(task: _Task) -> bool:
    while True:
        try:
            _, message = wire.sockets.receive_routed(task.commands)
        except zmq.Again:
            return True
        except errors.MalformedMessage as error:
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
            continue
        if isinstance(message, wire.StopTask):
            return False
        if isinstance(message, wire.EvidenceReport):
            task.monitor_state = monitor.receive(
                task.monitor_state,
                message.evidence,
                full=message.full,
                now=time.monotonic(),
            )


def _evaluate(task: _Task) -> None:
    """Judge the rollout, then advance it if this node is the holder.

    The withdrawal is sent first, so that it does not wait for the table.
    """
    now = time.time()
    task.monitor_state, observation = monitor.evaluate(
        task.monitor_state, task.current.view, instance=task.instance, now=now
    )
    if observation is not None:
        _log_start(task, observation.rollout)
        if (
            observation.judgement.withdraw_reason
            and not observation.server_counts.withdrawal_reason
        ):
            _send_withdrawal(task, observation, now)
    holders.advance_rollout(task.holder, observation)


def _log_start(task: _Task, rollout: model.Rollout) -> None:
    if task.logged_rollout == rollout.identifier:
        return
    task.logged_rollout = rollout.identifier
    events.emit(
        LOG,
        events.ROLLOUT_STARTED,
        rollout=rollout.identifier,
        service=rollout.service,
        old=rollout.old,
        new=rollout.new,
    )


def _send_withdrawal(
    task: _Task, observation: monitor.Observation, now: float
) -> None:
    """Send a withdrawal to the control task.

    Repeated each second until the view contains the withdrawal.
    """
    rollout = observation.rollout
    if task.logged_bad_rollout != rollout.identifier:
        task.logged_bad_rollout = rollout.identifier
        events.emit(
            LOG,
            events.VERSION_FAILED_EVALUATION,
            version=rollout.new,
            reason=observation.judgement.withdraw_reason,
        )
    notice = model.Withdrawal(
        rollout=rollout.identifier,
        service=rollout.service,
        version=rollout.new,
        reason=observation.judgement.withdraw_reason,
        at=now,
    )
    wire.sockets.send(
        task.control,
        wire.WithdrawalNotice(sender=task.instance, withdrawals=(notice,)),
    )
