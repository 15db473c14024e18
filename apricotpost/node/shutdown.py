"""Graceful shutdown: announce it, wait for the calls, then close."""

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
TURN_SECONDS = 0.05
# A caller's idle connection is closed after this time; before, the caller
# might just be sending its next request.
IDLE_CLOSE_SECONDS = 2.0
# No call may be seen for so long before the sockets close.
QUIET_SECONDS = 0.5


def drain(
    *,
    context: wire.sockets.Context,
    servers: Sequence[wsgi.Server],
    signals: queue.SimpleQueue[int],
    times: settings.TimeSettings,
) -> None:
    """Wait until all accepted calls have finished.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    servers : sequence of cheroot.wsgi.Server
        That take calls.
    signals : queue.SimpleQueue
        Further signals; the next one ends the notice period.
    times : apricotpost.settings.TimeSettings
        Drain time and notice period.
    """
    started = time.monotonic()
    events.emit(LOG, events.DRAIN_STARTED)
    with contextlib.ExitStack() as stack:
        control = _connect(stack, context, addresses.CONTROL)
        gate = _connect(stack, context, addresses.GATE)
        wire.sockets.send(control, wire.LeaveAnnounced())
        notice = times.leave_notice_seconds
        _refuse_calls(gate, notice)
        for server in servers:
            server.timeout = IDLE_CLOSE_SECONDS
        closes_at = started + notice + IDLE_CLOSE_SECONDS
        quiet_since = started
        while time.monotonic() - started < times.drain_seconds:
            if _is_signalled(signals):
                events.emit(LOG, events.NOTICE_ENDED)
                _refuse_calls(gate, 0.0)
                closes_at = min(closes_at, time.monotonic() + QUIET_SECONDS)
            if _is_busy(gate, servers):
                quiet_since = time.monotonic()
            now = time.monotonic()
            if now >= closes_at and now - quiet_since >= QUIET_SECONDS:
                return
    events.emit(LOG, events.DRAIN_CUT, seconds=times.drain_seconds)


def _connect(
    stack: contextlib.ExitStack, context: wire.sockets.Context, address: str
) -> wire.sockets.Socket:
    socket = wire.sockets.connect_dealer(context, address)
    stack.callback(socket.close, linger=1000)
    return socket


def _refuse_calls(gate: wire.sockets.Socket, notice: float) -> None:
    wire.sockets.send(
        gate, wire.GateControl(drain=True, notice_seconds=notice)
    )


def _is_signalled(signals: queue.SimpleQueue[int]) -> bool:
    """Wait for one turn or for a signal."""
    try:
        signals.get(timeout=TURN_SECONDS)
    except queue.Empty:
        return False
    return True


def _is_busy(
    gate: wire.sockets.Socket, servers: Sequence[wsgi.Server]
) -> bool:
    """Tell whether a call is at the gate or a request in a thread."""
    for server in servers:
        threads = server.requests
        if threads.qsize or threads.idle < threads.min:
            return True
    report = _ask_gate(gate)
    return report is None or bool(report.load.in_flight + report.load.queued)


def _ask_gate(gate: wire.sockets.Socket) -> wire.GateReport | None:
    wire.sockets.send(gate, wire.StatusRequest())
    while gate.poll(1000, zmq.POLLIN):
        with contextlib.suppress(errors.MalformedMessage):
            message: typing.Any = wire.sockets.receive(gate)
            if isinstance(message, wire.GateReport):
                return message
    return None
