"""Task that admits calls to the backend server beside the node."""

import collections
from collections.abc import Callable
import contextlib
import dataclasses
import logging
import threading
import time

import xxhash
import zmq

from apricotpost.admission import gate
from apricotpost.admission import limits
from apricotpost import errors
from apricotpost import events
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import backend
from apricotpost.node import gate_evidence
from apricotpost.node import metrics
from apricotpost.node import views
from apricotpost.rollout import evidence
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
REPORT_INTERVAL_SECONDS = 1.0
CLOSE_LINGER_MS = 1000


@dataclasses.dataclass(kw_only=True)
class _Task:
    """Sockets and state of the gate task."""

    context: wire.sockets.Context
    current: views.CurrentView
    data_centre: str
    instance: str
    epoch: int
    calls: wire.sockets.Socket
    commands: wire.sockets.Socket
    backend: wire.sockets.Socket
    control: wire.sockets.Socket
    state: gate.GateState
    idle_workers: collections.deque[bytes]
    backlog: collections.deque[wire.Call]
    workers: list[threading.Thread]
    metrics: metrics.Recorder
    reported_at: float = 0.0
    outcomes: evidence.OutcomeCounts = evidence.OutcomeCounts()


def run(
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    data_centre: str,
    call_address: str,
    recorder: metrics.Recorder,
    instance: str = "",
) -> None:
    """Admit and run calls until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    data_centre : str
        Data centre of this node.
    call_address : str
        Endpoint at which other nodes send calls.
    instance : str
        Name of this instance; outcome counts are reported under it.
    recorder : apricotpost.node.metrics.Recorder
        Records the load once a second.

    Raises
    ------
    apricotpost.errors.AddressInUse
        The call address is in use.
    """
    with contextlib.ExitStack() as stack:
        task = _Task(
            context=context,
            current=current,
            data_centre=data_centre,
            instance=instance,
            epoch=time.time_ns(),
            calls=stack.enter_context(
                wire.sockets.bind_router(context, call_address)
            ),
            commands=stack.enter_context(
                wire.sockets.bind_router(context, addresses.GATE)
            ),
            backend=stack.enter_context(
                wire.sockets.bind_router(context, addresses.BACKEND)
            ),
            control=stack.enter_context(
                wire.sockets.connect_dealer(context, addresses.CONTROL)
            ),
            state=gate.GateState(limit=limits.start(slots=1, cold=True)),
            idle_workers=collections.deque(),
            backlog=collections.deque(),
            workers=[],
            metrics=recorder,
        )
        poller = wire.sockets.Poller()
        for socket in (task.calls, task.commands, task.backend):
            poller.register(socket, zmq.POLLIN)
        while _run_once(task, poller):
            pass
        _stop_workers(task)
        # Closing the socket must not discard the last responses.
        task.calls.linger = CLOSE_LINGER_MS


def _run_once(task: _Task, poller: wire.sockets.Poller) -> bool:
    """Handle received messages and due timers; return False to stop."""
    ready = dict(poller.poll(_wait_ms(task)))
    if task.backend in ready:
        _receive(task, task.backend, _handle_backend_message)
    if task.commands in ready:
        if not _receive(task, task.commands, _handle_command):
            return False
    if task.calls in ready:
        _receive(task, task.calls, _handle_call_message)
    now = time.monotonic()
    expiry = gate.next_expiry(task.state)
    if expiry is not None and now > expiry:
        _handle(task, gate.Tick())
    if now - task.reported_at >= REPORT_INTERVAL_SECONDS:
        task.reported_at = now
        _send_report(task)
        task.metrics.record_load(gate.describe_load(task.state))
        task.metrics.flush()
    return True


def _wait_ms(task: _Task) -> int:
    due_at = task.reported_at + REPORT_INTERVAL_SECONDS
    expiry = gate.next_expiry(task.state)
    if expiry is not None:
        due_at = min(due_at, expiry)
    return max(int((due_at - time.monotonic()) * 1000) + 1, 0)


def _receive(
    task: _Task,
    socket: wire.sockets.Socket,
    handler: Callable[[_Task, bytes, wire.Message], bool],
) -> bool:
    """Pass the next message of a socket to a handler.

    Only one message is read for each poll: a further poll costs less than
    the exception that signals an empty socket.
    """
    try:
        identity, message = wire.sockets.receive_routed(socket)
    except zmq.Again:
        return True
    except errors.MalformedMessage as error:
        events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
        return True
    return handler(task, identity, message)


def _handle_call_message(
    task: _Task, identity: bytes, message: wire.Message
) -> bool:
    if isinstance(message, wire.Call):
        _handle(task, gate.Arrived(reply_to=identity, call=message))
    elif isinstance(message, wire.Cancel):
        _handle(task, gate.Cancelled(call=message.call))
    return True


def _handle_backend_message(
    task: _Task, identity: bytes, message: wire.Message
) -> bool:
    if isinstance(message, wire.BackendResult):
        _count_outcome(task, message)
        checksum = xxhash.xxh64_intdigest(message.body)
        _handle(task, gate.Finished(result=message), checksum)
    # The worker that finished last is chosen first, because its connection
    # has been idle for the shortest time.
    task.idle_workers.append(identity)
    if task.backlog:
        _assign_to_worker(task, task.backlog.popleft())
    return True


def _handle_command(
    task: _Task, identity: bytes, message: wire.Message
) -> bool:
    if isinstance(message, wire.StopTask):
        return False
    if isinstance(message, wire.BackendServerAnnounced):
        _handle(task, gate.Announced(announcement=message))
        _start_workers(task, message.slots)
    elif isinstance(message, wire.GateControl) and message.drain:
        refuse_from = time.monotonic() + message.notice_seconds
        _handle(task, gate.DrainStarted(refuse_from=refuse_from))
    elif isinstance(message, wire.StatusRequest):
        wire.sockets.send_routed(task.commands, identity, _make_report(task))
    return True


def _handle(task: _Task, event: gate.Event, checksum: int = 0) -> None:
    task.state, actions = gate.handle(
        task.state,
        event,
        now=time.monotonic(),
        wall=time.time(),
        policy=_make_policy(task),
        checksum=checksum,
    )
    for action in actions:
        if isinstance(action, gate.Run):
            _assign_to_worker(task, action.call)
        else:
            wire.sockets.send_routed(
                task.calls, action.reply_to, action.message
            )


def _make_policy(task: _Task) -> gate.Policy:
    """Derive the admission policy of the backend server from the view."""
    derived = task.current.derived
    announced = task.state.announced
    is_out = any(
        centre.name == task.data_centre
        and centre.state is model.DataCentreState.OUT
        for centre in derived.view.snapshot.data_centres
    )
    return gate.Policy(
        ready=derived.table.ready,
        data_centre_out=is_out,
        withdrawn=announced is not None
        and (announced.service, announced.version) in derived.table.withdrawn,
    )


def _assign_to_worker(task: _Task, call: wire.Call) -> None:
    """Assign a call to an idle worker, or queue it until one is idle."""
    if not task.idle_workers:
        task.backlog.append(call)
        return
    announced = task.state.announced
    address = announced.address if announced is not None else ""
    job = wire.BackendJob(call=call, address=address)
    wire.sockets.send_routed(task.backend, task.idle_workers.pop(), job)


def _start_workers(task: _Task, slots: int) -> None:
    while len(task.workers) < slots:
        worker = threading.Thread(
            target=backend.run,
            kwargs={"context": task.context},
            name=f"backend-{len(task.workers)}",
            daemon=True,
        )
        worker.start()
        task.workers.append(worker)


def _stop_workers(task: _Task) -> None:
    while task.idle_workers:
        wire.sockets.send_routed(
            task.backend, task.idle_workers.pop(), wire.StopTask()
        )
    for worker in task.workers:
        worker.join(1.0)


def _count_outcome(task: _Task, result: wire.BackendResult) -> None:
    """Add a finished call to the evidence about its version."""
    pending = task.state.running.get(result.call)
    if pending is None:
        return
    finished = gate_evidence.describe_finished(
        result,
        pending,
        snapshot=task.current.view.snapshot,
        is_only_call=len(task.state.running) == 1,
    )
    call = pending.call
    key = (call.service, call.version, call.route)
    task.outcomes = evidence.record_call(task.outcomes, key, finished)


def _make_report(task: _Task) -> wire.GateReport:
    return wire.GateReport(
        load=gate.describe_load(task.state),
        backend_server_up=task.state.announced is not None
        and not task.state.announced.leaving,
        evidence=evidence.describe_counts(
            task.outcomes, instance=task.instance, epoch=task.epoch
        ),
    )


def _send_report(task: _Task) -> None:
    wire.sockets.send(task.control, _make_report(task))
