"""Task that sends calls to the gates of backend servers."""

import contextlib
import dataclasses
import logging
import random
import time

import xxhash
import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost.node import addresses
from apricotpost.node import metrics
from apricotpost.node import views
from apricotpost.routing import calls
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
MAX_POLL_MS = 500
# Longest wait of a call for a new connection to a backend server's node.
CONNECT_TIMEOUT_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class _Peer:
    """Connection to another node and the calls that wait for it."""

    socket: wire.sockets.Socket
    address: str
    opened_at: float
    waiting: dict[str, wire.Call] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class _Task:
    """Sockets and state of the dispatch task."""

    context: wire.sockets.Context
    current: views.CurrentView
    rng: random.Random
    router: wire.sockets.Socket
    poller: wire.sockets.Poller
    state: calls.CallState
    derived: views.DerivedState
    metrics: metrics.Recorder
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    connecting: set[str] = dataclasses.field(default_factory=set)
    request_starts: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )


def run(
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    data_centre: str,
    rng: random.Random,
    recorder: metrics.Recorder,
) -> None:
    """Dispatch calls until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    data_centre : str
        Data centre of this node.
    rng : random.Random
        Source of the random numbers.
    recorder : apricotpost.node.metrics.Recorder
        Records outcome and latency of each call.
    """
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(
            wire.sockets.bind_router(context, addresses.DISPATCH)
        )
        poller = wire.sockets.Poller()
        poller.register(router, zmq.POLLIN)
        task = _Task(
            context=context,
            current=current,
            rng=rng,
            router=router,
            poller=poller,
            state=calls.CallState(data_centre=data_centre),
            derived=current.derived,
            metrics=recorder,
        )
        stack.callback(_close_peers, task)
        while _run_once(task):
            pass


def _run_once(task: _Task) -> bool:
    """Handle received messages and due timers; return False to stop."""
    ready = task.poller.poll(_wait_ms(task))
    _apply_current_view(task)
    if task.connecting:
        _send_waiting(task)
    for socket, _ in ready:
        if socket is task.router:
            if not _receive_request(task):
                return False
        else:
            _receive_response(task, socket)
    expiry = calls.next_expiry(task.state)
    if expiry is not None and expiry <= time.time():
        _handle(task, calls.TimedOut())
    task.metrics.flush()
    return True


def _wait_ms(task: _Task) -> int:
    wait_seconds = [MAX_POLL_MS / 1000]
    expiry = calls.next_expiry(task.state)
    if expiry is not None:
        wait_seconds.append(expiry - time.time())
    for name in task.connecting:
        elapsed_seconds = time.monotonic() - task.peers[name].opened_at
        wait_seconds.append(CONNECT_TIMEOUT_SECONDS - elapsed_seconds)
    return max(int(min(wait_seconds) * 1000) + 1, 0)


def _apply_current_view(task: _Task) -> None:
    derived = task.current.derived
    if derived is task.derived:
        return
    task.derived = derived
    instance_names = {record.instance for record in derived.view.instances}
    for name in [name for name in task.peers if name not in instance_names]:
        _disconnect(task, name)


def _receive_request(task: _Task) -> bool:
    try:
        identity, message = wire.sockets.receive_routed(task.router)
    except zmq.Again:
        return True
    except errors.MalformedMessage as error:
        events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
        return True
    if isinstance(message, wire.StopTask):
        return False
    if isinstance(message, wire.CallRequest):
        task.request_starts[message.request] = (
            message.route,
            time.monotonic(),
        )
        _handle(task, calls.Submitted(reply_to=identity, request=message))
    elif isinstance(message, wire.CallerLeft):
        _handle(task, calls.CallerGone(request=message.request))
    return True


def _receive_response(task: _Task, socket: wire.sockets.Socket) -> None:
    try:
        message = wire.sockets.receive(socket)
    except zmq.Again:
        return
    except errors.MalformedMessage as error:
        events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
        return
    if isinstance(message, wire.Answer):
        message = _verify_checksum(message)
    if isinstance(message, (wire.Answer, wire.NotRun, wire.OutcomeUnknown)):
        _handle(task, calls.Answered(message=message))


def _verify_checksum(
    message: wire.Answer,
) -> wire.Answer | wire.OutcomeUnknown:
    if xxhash.xxh64_intdigest(message.body) == message.checksum:
        return message
    return wire.OutcomeUnknown(
        call=message.call,
        reason=wire.UnknownReason.BODY_INCOMPLETE,
        load=message.load,
    )


def _handle(task: _Task, event: calls.Event) -> None:
    pending = [event]
    while pending:
        task.state, actions = calls.handle(
            task.state,
            pending.pop(0),
            calls.Now(monotonic=time.monotonic(), wall=time.time()),
            table=task.derived.table,
            draws=calls.Draws(
                version=task.rng.random(),
                first=task.rng.random(),
                second=task.rng.random(),
            ),
        )
        for action in actions:
            send_failure = _execute(task, action)
            if send_failure is not None:
                pending.append(send_failure)


def _execute(task: _Task, action: calls.Action) -> calls.SendFailed | None:
    if isinstance(action, calls.Finish):
        wire.sockets.send_routed(task.router, action.reply_to, action.result)
        _record_metrics(task, action.result)
        return None
    if isinstance(action, calls.SendCall):
        return _send(task, action)
    peer = task.peers.get(action.instance)
    if peer is None or peer.waiting.pop(action.call, None) is not None:
        return None
    wire.sockets.send(peer.socket, wire.Cancel(call=action.call))
    return None


def _record_metrics(task: _Task, result: wire.CallResult) -> None:
    route, started_at = task.request_starts.pop(result.request, ("", 0.0))
    latency_ms = (time.monotonic() - started_at) * 1000
    task.metrics.record_call(route, result.outcome.value, latency_ms)


def _send(task: _Task, action: calls.SendCall) -> calls.SendFailed | None:
    """Send a call, or queue it while a new connection is being opened."""
    name = action.instance.instance
    peer = _connect(task, name, action.instance.call_address)
    if wire.sockets.send(peer.socket, action.call):
        return None
    if time.monotonic() - peer.opened_at >= CONNECT_TIMEOUT_SECONDS:
        return calls.SendFailed(call=action.call.call)
    peer.waiting[action.call.call] = action.call
    task.connecting.add(name)
    task.poller.register(peer.socket, zmq.POLLIN | zmq.POLLOUT)
    return None


def _connect(task: _Task, name: str, address: str) -> _Peer:
    """Return the connection to an instance, renewed if its address changed."""
    peer = task.peers.get(name)
    if peer is not None and peer.address == address:
        return peer
    if peer is not None:
        _disconnect(task, name)
    socket = wire.sockets.connect_peer(task.context, address)
    task.poller.register(socket, zmq.POLLIN)
    peer = _Peer(socket=socket, address=address, opened_at=time.monotonic())
    task.peers[name] = peer
    return peer


def _close_peers(task: _Task) -> None:
    for peer in task.peers.values():
        peer.socket.close()


def _disconnect(task: _Task, name: str) -> None:
    peer = task.peers.pop(name)
    task.connecting.discard(name)
    task.poller.unregister(peer.socket)
    peer.socket.close()
    for call in peer.waiting:
        _handle(task, calls.SendFailed(call=call))


def _send_waiting(task: _Task) -> None:
    """Send the calls that wait for connections; fail those past time-out."""
    for name in tuple(task.connecting):
        peer = task.peers.get(name)
        if peer is None:
            continue
        for call in tuple(peer.waiting.values()):
            if wire.sockets.send(peer.socket, call):
                peer.waiting.pop(call.call, None)
        timed_out = (
            time.monotonic() - peer.opened_at >= CONNECT_TIMEOUT_SECONDS
        )
        if peer.waiting and not timed_out:
            continue
        task.connecting.discard(name)
        task.poller.register(peer.socket, zmq.POLLIN)
        unsent, peer.waiting = peer.waiting, {}
        for identifier in unsent:
            _handle(task, calls.SendFailed(call=identifier))
