"""Task that counts this node's calls against the service objectives."""

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

__all__ = ["measure_call", "request_levels", "run"]

# Measurements are read from their socket at this interval. Waking up for each
# call would cost more than counting it.
READ_INTERVAL_SECONDS = 1.0
REPLY_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(kw_only=True)
class _Task:
    """Sockets and state of the levels task."""

    current: views.CurrentView
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
    current: views.CurrentView,
    options: settings.LevelSettings,
) -> None:
    """Count calls until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    options : LevelSettings
        Service objectives from the settings.
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
            has_command = task.commands.poll(
                int(READ_INTERVAL_SECONDS * 1000), zmq.POLLIN
            )
            _read_measurements(task)
            if not has_command:
                continue
            identity, message = wire.sockets.receive_routed(task.commands)
            if isinstance(message, wire.StopTask):
                return
            if isinstance(message, wire.LevelsRequest):
                wire.sockets.send_routed(
                    task.commands, identity, _make_reply(task)
                )


def measure_call(
    context: wire.sockets.Context,
    local: threading.local,
    route: str,
    dispatch: Callable[[], wire.CallResult],
) -> wire.CallResult:
    """Run a call and send its outcome and duration to the levels task.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    local : threading.local
        Holds the calling thread's socket to the levels task.
    route : str
        Name of the call's route.
    dispatch : callable
        Runs the call.
    """
    started_at = time.monotonic()
    result = dispatch()
    if getattr(local, "measurements", None) is None:
        local.measurements = wire.sockets.connect_dealer(
            context, addresses.MEASUREMENTS
        )
    measurement = wire.CallMeasured(
        route=route,
        failed=result.outcome is not wire.Outcome.ANSWERED
        or result.status >= 500,
        duration_ms=(time.monotonic() - started_at) * 1000,
    )
    # If the socket's queue is full, at about a thousand messages for each
    # thread, the measurement is dropped and the call is unaffected.
    wire.sockets.send(local.measurements, measurement)
    return result


def request_levels(context: wire.sockets.Context) -> wire.LevelsReply:
    """Request the counts of this node from the levels task.

    Raises
    ------
    apricotpost.errors.NodeUnreachable
        The levels task did not reply in time.
    """
    with wire.sockets.connect_dealer(context, addresses.LEVELS) as socket:
        wire.sockets.send(socket, wire.LevelsRequest())
        if not socket.poll(int(REPLY_TIMEOUT_SECONDS * 1000), zmq.POLLIN):
            raise errors.NodeUnreachable(
                "the levels task did not reply in time"
            )
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
            counts = task.counts[message.route] = levels.make_route_counts()
        levels.record_call(
            counts,
            failed=message.failed,
            duration_ms=message.duration_ms,
            objective=_find_objective(task.options, message.route),
            now=now,
        )


def _find_objective(
    options: settings.LevelSettings, route: str
) -> model.Objective:
    objective_options: settings.LevelSettings | settings.RouteLevelSettings = (
        options
    )
    for entry in options.routes:
        if entry.route == route:
            objective_options = entry
    return model.Objective(
        availability_percent=objective_options.availability_percent,
        latency_ms=objective_options.latency_ms,
        latency_percent=objective_options.latency_percent,
    )


def _make_reply(task: _Task) -> wire.LevelsReply:
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
                objective=_find_objective(task.options, route),
                windows=levels.read_windows(counts, now),
                buckets=levels.read_buckets(counts, now),
                latencies=levels.encode_latencies(counts, now),
            )
            for route, counts in sorted(task.counts.items())
        ),
    )
