"""Graceful shutdown: announce it, wait for open calls, then close."""

from collections.abc import Sequence
import contextlib
import logging
import queue
import time
import typing

from cheroot import wsgi
import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost.node import addresses
from apricotpost import settings
from apricotpost import wire

__all__ = ["drain"]

LOG = logging.getLogger(__name__)
POLL_INTERVAL_SECONDS = 0.05
# An idle connection of a caller is closed after this time. Closing it at once
# could cut off a request that the caller is just sending.
IDLE_CLOSE_SECONDS = 2.0
# The sockets are closed only after this time without a call.
MIN_QUIET_SECONDS = 0.5


def drain(
    *,
    context: wire.sockets.Context,
    servers: Sequence[wsgi.Server],
    signals: queue.SimpleQueue[int],
    times: settings.TimeSettings,
) -> None:
    """Drain the node: wait until all accepted calls have finished.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    servers : sequence of cheroot.wsgi.Server
        HTTP servers that accept calls.
    signals : queue.SimpleQueue
        Signals received after the first; the next one ends the notice
        period.
    times : apricotpost.settings.TimeSettings
        Drain time and notice period.
    """
    started_at = time.monotonic()
    events.emit(LOG, events.DRAIN_STARTED)
    with contextlib.ExitStack() as stack:
        control = _connect(stack, context, addresses.CONTROL)
        gate = _connect(stack, context, addresses.GATE)
        wire.sockets.send(control, wire.LeaveAnnounced())
        notice_seconds = times.leave_notice_seconds
        _start_gate_drain(gate, notice_seconds)
        for server in servers:
            server.timeout = IDLE_CLOSE_SECONDS
        closes_at = started_at + notice_seconds + IDLE_CLOSE_SECONDS
        quiet_since = started_at
        while time.monotonic() - started_at < times.drain_seconds:
            if _wait_for_signal(signals):
                events.emit(LOG, events.NOTICE_PERIOD_SHORTENED)
                _start_gate_drain(gate, 0.0)
                closes_at = min(
                    closes_at, time.monotonic() + MIN_QUIET_SECONDS
                )
            if _is_busy(gate, servers):
                quiet_since = time.monotonic()
            now = time.monotonic()
            if now >= closes_at and now - quiet_since >= MIN_QUIET_SECONDS:
                return
    events.emit(LOG, events.DRAIN_TIMED_OUT, seconds=times.drain_seconds)


def _connect(
    stack: contextlib.ExitStack, context: wire.sockets.Context, address: str
) -> wire.sockets.Socket:
    socket = wire.sockets.connect_dealer(context, address)
    stack.callback(socket.close, linger=1000)
    return socket


def _start_gate_drain(
    gate: wire.sockets.Socket, notice_seconds: float
) -> None:
    wire.sockets.send(
        gate, wire.GateControl(drain=True, notice_seconds=notice_seconds)
    )


def _wait_for_signal(signals: queue.SimpleQueue[int]) -> bool:
    """Wait for one poll interval; return whether a signal arrived."""
    try:
        signals.get(timeout=POLL_INTERVAL_SECONDS)
    except queue.Empty:
        return False
    return True


def _is_busy(
    gate: wire.sockets.Socket, servers: Sequence[wsgi.Server]
) -> bool:
    """Return whether a thread serves a request or the gate has a call."""
    for server in servers:
        pool = server.requests
        if pool.qsize or pool.idle < pool.min:
            return True
    report = _request_gate_report(gate)
    return report is None or bool(report.load.in_flight + report.load.queued)


def _request_gate_report(gate: wire.sockets.Socket) -> wire.GateReport | None:
    wire.sockets.send(gate, wire.StatusRequest())
    while gate.poll(1000, zmq.POLLIN):
        with contextlib.suppress(errors.MalformedMessage):
            message: typing.Any = wire.sockets.receive(gate)
            if isinstance(message, wire.GateReport):
                return message
    return None
