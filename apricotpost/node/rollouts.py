"""Task that judges the rollout of the own service and steps it as holder."""

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
from apricotpost.rollout import steps
from apricotpost.rollout import watch
from apricotpost import settings
from apricotpost import storage
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
LOOK_SECONDS = 1.0


@dataclasses.dataclass(kw_only=True)
class _Task:
    """What the rollout task owns."""

    instance: str
    current: views.Current
    commands: wire.sockets.Socket
    control: wire.sockets.Socket
    holder: holders.Holder
    seen: watch.Watch = watch.Watch()
    looked_at: float = 0.0
    observed: str = ""
    reported_bad: str = ""


def run(
    *,
    context: wire.sockets.Context,
    current: views.Current,
    options: settings.NodeSettings,
    store: storage.Store,
    rng: random.Random,
) -> None:
    """Judge and step rollouts until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    current : Current
        Reference to the view in force.
    options : NodeSettings
        Settings of the node.
    store : apricotpost.storage.Store
        Owned by this task from here on.
    rng : random.Random
        Spreads the retries.
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
            committed=lambda version, delta: _tell_committed(
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
        while _turn(task):
            pass
        holders.leave(holder)


def _tell_committed(
    control: wire.sockets.Socket, version: int, delta: model.Delta | None
) -> None:
    message = wire.ConfigCommitted(version=version, delta=delta)
    wire.sockets.send(control, message)


def _turn(task: _Task) -> bool:
    """Handle what has arrived; return whether to go on."""
    remaining = task.looked_at + LOOK_SECONDS - time.monotonic()
    if task.commands.poll(max(int(remaining * 1000), 0), zmq.POLLIN):
        if not _receive_all(task):
            return False
    if time.monotonic() - task.looked_at >= LOOK_SECONDS:
        task.looked_at = time.monotonic()
        _look(task)
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
            task.seen = watch.receive(
                task.seen,
                message.evidence,
                full=message.full,
                now=time.monotonic(),
            )


def _look(task: _Task) -> None:
    """Judge first: a withdrawal must not wait for the table."""
    now = time.time()
    task.seen, observation = watch.evaluate(
        task.seen, task.current.view, instance=task.instance, now=now
    )
    if observation is not None:
        _log_start(task, observation.rollout)
        if observation.judgement.bad and not observation.facts.withdrawn:
            _withdraw(task, observation, now)
    holders.act(task.holder, observation)


def _log_start(task: _Task, rollout: model.Rollout) -> None:
    if task.observed == rollout.identifier:
        return
    task.observed = rollout.identifier
    events.emit(
        LOG,
        events.ROLLOUT_STARTED,
        rollout=rollout.identifier,
        service=rollout.service,
        old=rollout.old,
        new=rollout.new,
    )


def _withdraw(task: _Task, observation: watch.Observation, now: float) -> None:
    """Tell control, again each second until the view has it."""
    rollout = observation.rollout
    if task.reported_bad != rollout.identifier:
        task.reported_bad = rollout.identifier
        events.emit(
            LOG,
            events.ROLLOUT_BAD,
            version=rollout.new,
            reason=observation.judgement.bad,
        )
    notice = model.Withdrawal(
        rollout=rollout.identifier,
        service=rollout.service,
        version=rollout.new,
        reason=observation.judgement.bad,
        at=now,
    )
    wire.sockets.send(
        task.control,
        wire.WithdrawalNotice(sender=task.instance, withdrawals=(notice,)),
    )
