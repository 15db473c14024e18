"""Task that counts the service levels of the calls of this node."""

from collections.abc import Callable
import contextlib
import dataclasses
import threading
import time
import typing

import zmq

from apricotpost import errors
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import views
from apricotpost.report import levels
from apricotpost import settings
from apricotpost import wire

__all__ = ["ask", "measured", "run"]

# Measurements wait in their socket for so long. Waking up for each call
# would cost more than counting it.
READ_SECONDS = 1.0
ASK_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True)
class _Task:
    """What the task owns."""

    current: views.Current
    options: settings.LevelSettings
    commands: wire.sockets.Socket
    measurements: wire.sockets.Socket
    since: float
    counts: dict[str, levels.RouteCounts] = dataclasses.field(
        default_factory=dict
    )


def run(
    *,
    context: wire.sockets.Context,
    current: views.Current,
    options: settings.LevelSettings,
) -> None:
    """Count calls until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    current : Current
        Reference to the view in force.
    options : LevelSettings
        Objectives.
    """
    with contextlib.ExitStack() as stack:
        task = _Task(
            current=current,
            options=options,
            commands=stack.enter_context(
                wire.sockets.bind_router(context, addresses.LEVELS)
            ),
            measurements=stack.enter_context(
                wire.sockets.bind_router(context, addresses.MEASUREMENTS)
            ),
            since=time.time(),
        )
        while True:
            asked = task.commands.poll(int(READ_SECONDS * 1000), zmq.POLLIN)
            _read_measurements(task)
            if not asked:
                continue
            identity, message = wire.sockets.receive_routed(task.commands)
            if isinstance(message, wire.StopTask):
                return
            if isinstance(message, wire.LevelsRequest):
                wire.sockets.send_routed(
                    task.commands, identity, _describe(task)
                )


def measured(
    context: wire.sockets.Context,
    local: threading.local,
    route: str,
    dispatch: Callable[[], wire.CallResult],
) -> wire.CallResult:
    """Carry a call out and hand its outcome and duration to the task.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    local : threading.local
        Keeps the calling thread's socket.
    route : str
        Name of the call's route.
    dispatch : callable
        Carries the call out.
    """
    started = time.monotonic()
    result = dispatch()
    if getattr(local, "measurements", None) is None:
        local.measurements = wire.sockets.connect_dealer(
            context, addresses.MEASUREMENTS
        )
    measurement = wire.CallMeasured(
        route=route,
        failed=result.outcome is not wire.Outcome.ANSWERED
        or result.status >= 500,
        duration_ms=(time.monotonic() - started) * 1000,
    )
    # A full queue, of about a thousand for each thread, loses the count but
    # never the call.
    wire.sockets.send(local.measurements, measurement)
    return result


def ask(context: wire.sockets.Context) -> wire.LevelsReply:
    """Read the counts of this node.

    Raises
    ------
    apricotpost.errors.NodeUnreachable
        The task did not answer.
    """
    with wire.sockets.connect_dealer(context, addresses.LEVELS) as socket:
        wire.sockets.send(socket, wire.LevelsRequest())
        if not socket.poll(int(ASK_SECONDS * 1000), zmq.POLLIN):
            raise errors.NodeUnreachable("the levels task does not answer")
        reply = wire.sockets.receive(socket)
    return typing.cast(wire.LevelsReply, reply)


def _read_measurements(task: _Task) -> None:
    now = time.time()
    while True:
        try:
            _, message = wire.sockets.receive_routed(task.measurements)
        except zmq.Again:
            return
        if not isinstance(message, wire.CallMeasured):
            continue
        counts = task.counts.get(message.route)
        if counts is None:
            counts = task.counts[message.route] = levels.make_counts()
        levels.record_call(
            counts,
            failed=message.failed,
            duration_ms=message.duration_ms,
            objective=_objective(task.options, message.route),
            now=now,
        )


def _objective(options: settings.LevelSettings, route: str) -> model.Objective:
    found: settings.LevelSettings | settings.RouteLevelSettings = options
    for entry in options.routes:
        if entry.route == route:
            found = entry
    return model.Objective(
        availability_percent=found.availability_percent,
        latency_ms=found.latency_ms,
        latency_percent=found.latency_percent,
    )


def _describe(task: _Task) -> wire.LevelsReply:
    now = time.time()
    services = {
        route.name: route.service
        for route in task.current.view.snapshot.routes
    }
    return wire.LevelsReply(
        since=task.since,
        at=now,
        levels=tuple(
            model.RouteLevel(
                route=route,
                service=services.get(route, ""),
                objective=_objective(task.options, route),
                windows=levels.read_windows(counts, now),
                buckets=levels.read_buckets(counts, now),
                latencies=levels.read_latencies(counts, now),
            )
            for route, counts in sorted(task.counts.items())
        ),
    )
