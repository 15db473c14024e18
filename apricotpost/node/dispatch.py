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
IDLE_MS = 500
# A call waits so long for the first connection to its backend server's node.
CONNECT_SECONDS = 0.1


@dataclasses.dataclass(kw_only=True)
class _Peer:
    """Connection to another node and calls that wait for it."""

    socket: wire.sockets.Socket
    address: str
    made_at: float
    waiting: dict[str, wire.Call] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class _Task:
    """What the dispatch task owns."""

    context: wire.sockets.Context
    current: views.Current
    rng: random.Random
    router: wire.sockets.Socket
    poller: wire.sockets.Poller
    state: calls.CallState
    derived: views.Derived
    metrics: metrics.Recorder
    peers: dict[str, _Peer] = dataclasses.field(default_factory=dict)
    connecting: set[str] = dataclasses.field(default_factory=set)
    started: dict[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )


def run(
    *,
    context: wire.sockets.Context,
    current: views.Current,
    data_centre: str,
    rng: random.Random,
    recorder: metrics.Recorder,
) -> None:
    """Carry calls until the task is asked to stop.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    current : Current
        Reference to the view in force.
    data_centre : str
        Own data centre.
    rng : random.Random
        Source of the random choices.
    recorder : apricotpost.node.metrics.Recorder
        Takes outcome and latency of each call.
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
        while _turn(task):
            pass


def _turn(task: _Task) -> bool:
    """Handle what has arrived; return whether to go on."""
    ready = task.poller.poll(_wait_ms(task))
    _refresh_table(task)
    if task.connecting:
        _flush(task)
    for socket, _ in ready:
        if socket is task.router:
            if not _receive_request(task):
                return False
        else:
            _receive_answer(task, socket)
    expiry = calls.next_expiry(task.state)
    if expiry is not None and expiry <= time.time():
        _handle(task, calls.TimedOut())
    task.metrics.flush()
    return True


def _wait_ms(task: _Task) -> int:
    waits = [IDLE_MS / 1000]
    expiry = calls.next_expiry(task.state)
    if expiry is not None:
        waits.append(expiry - time.time())
    for name in task.connecting:
        waited = time.monotonic() - task.peers[name].made_at
        waits.append(CONNECT_SECONDS - waited)
    return max(int(min(waits) * 1000) + 1, 0)


def _refresh_table(task: _Task) -> None:
    derived = task.current.derived
    if derived is task.derived:
        return
    task.derived = derived
    known = {record.instance for record in derived.view.instances}
    for name in [name for name in task.peers if name not in known]:
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
        task.started[message.request] = (message.route, time.monotonic())
        _handle(task, calls.Submitted(reply_to=identity, request=message))
    elif isinstance(message, wire.CallerLeft):
        _handle(task, calls.CallerGone(request=message.request))
    return True


def _receive_answer(task: _Task, socket: wire.sockets.Socket) -> None:
    try:
        message = wire.sockets.receive(socket)
    except zmq.Again:
        return
    except errors.MalformedMessage as error:
        events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
        return
    if isinstance(message, wire.Answer):
        message = _check_body(message)
    if isinstance(message, (wire.Answer, wire.NotRun, wire.OutcomeUnknown)):
        _handle(task, calls.Answered(message=message))


def _check_body(message: wire.Answer) -> wire.Answer | wire.OutcomeUnknown:
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
            failed = _carry_out(task, action)
            if failed is not None:
                pending.append(failed)


def _carry_out(task: _Task, action: calls.Action) -> calls.SendFailed | None:
    if isinstance(action, calls.Finish):
        wire.sockets.send_routed(task.router, action.reply_to, action.result)
        _record(task, action.result)
        return None
    if isinstance(action, calls.SendCall):
        return _send(task, action)
    peer = task.peers.get(action.instance)
    if peer is None or peer.waiting.pop(action.call, None) is not None:
        return None
    wire.sockets.send(peer.socket, wire.Cancel(call=action.call))
    return None


def _record(task: _Task, result: wire.CallResult) -> None:
    route, since = task.started.pop(result.request, ("", 0.0))
    taken_ms = (time.monotonic() - since) * 1000
    task.metrics.call(route, result.outcome.value, taken_ms)


def _send(task: _Task, action: calls.SendCall) -> calls.SendFailed | None:
    """Send a call; a new connection has a moment to be established."""
    name = action.instance.instance
    peer = _connect(task, name, action.instance.call_address)
    if wire.sockets.send(peer.socket, action.call):
        return None
    if time.monotonic() - peer.made_at >= CONNECT_SECONDS:
        return calls.SendFailed(call=action.call.call)
    peer.waiting[action.call.call] = action.call
    task.connecting.add(name)
    task.poller.register(peer.socket, zmq.POLLIN | zmq.POLLOUT)
    return None


def _connect(task: _Task, name: str, address: str) -> _Peer:
    """Return the connection to an instance; a new address replaces it."""
    peer = task.peers.get(name)
    if peer is not None and peer.address == address:
        return peer
    if peer is not None:
        _disconnect(task, name)
    socket = wire.sockets.connect_peer(task.context, address)
    task.poller.register(socket, zmq.POLLIN)
    peer = _Peer(socket=socket, address=address, made_at=time.monotonic())
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


def _flush(task: _Task) -> None:
    """Send the calls that waited for a connection, or give them up."""
    for name in tuple(task.connecting):
        peer = task.peers.get(name)
        if peer is None:
            continue
        for call in tuple(peer.waiting.values()):
            if wire.sockets.send(peer.socket, call):
                peer.waiting.pop(call.call, None)
        late = time.monotonic() - peer.made_at >= CONNECT_SECONDS
        if peer.waiting and not late:
            continue
        task.connecting.discard(name)
        task.poller.register(peer.socket, zmq.POLLIN)
        unsent, peer.waiting = peer.waiting, {}
        for identifier in unsent:
            _handle(task, calls.SendFailed(call=identifier))
