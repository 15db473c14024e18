"""Task that sends calls to the gates of backend servers."""

import contextlib
import dataclasses
import logging
import random
import time
import typing

import xxhash
import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost.node import addresses
from apricotpost.node import views
from apricotpost import routing
from apricotpost.routing import calls
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
IDLE_MS = 500


@dataclasses.dataclass(kw_only=True)
class _Task:
    """What the dispatch task owns."""

    context: wire.sockets.Context
    current: views.Current
    rng: random.Random
    router: wire.sockets.Socket
    poller: wire.sockets.Poller
    stack: contextlib.ExitStack
    state: calls.CallState
    table: routing.RoutingTable
    table_of: typing.Any = None
    peers: dict[str, wire.sockets.Socket] = dataclasses.field(
        default_factory=dict
    )
    addresses: dict[str, str] = dataclasses.field(default_factory=dict)


def run(
    *,
    context: wire.sockets.Context,
    current: views.Current,
    data_centre: str,
    rng: random.Random,
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
            stack=stack,
            state=calls.CallState(data_centre=data_centre),
            table=routing.build_table(current.view),
        )
        while _turn(task):
            pass


def _turn(task: _Task) -> bool:
    """Handle what has arrived; return whether to go on."""
    ready = task.poller.poll(_wait_ms(task))
    _refresh_table(task)
    for socket, _ in ready:
        if socket is task.router:
            if not _receive_requests(task):
                return False
        else:
            _receive_answers(task, socket)
    expiry = calls.next_expiry(task.state)
    if expiry is not None and expiry <= time.time():
        _handle(task, calls.TimedOut())
    return True


def _wait_ms(task: _Task) -> int:
    expiry = calls.next_expiry(task.state)
    if expiry is None:
        return IDLE_MS
    return min(max(int((expiry - time.time()) * 1000) + 1, 0), IDLE_MS)


def _refresh_table(task: _Task) -> None:
    view = task.current.view
    if view is not task.table_of:
        task.table = routing.build_table(view)
        task.table_of = view


def _receive_requests(task: _Task) -> bool:
    for identity, message in _drain(task.router):
        if isinstance(message, wire.StopTask):
            return False
        if isinstance(message, wire.CallRequest):
            _handle(task, calls.Submitted(reply_to=identity, request=message))
    return True


def _drain(
    socket: wire.sockets.Socket,
) -> typing.Iterator[tuple[bytes, wire.Message]]:
    while True:
        try:
            yield wire.sockets.receive_routed(socket)
        except zmq.Again:
            return
        except errors.MalformedMessage as error:
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)


def _receive_answers(task: _Task, socket: wire.sockets.Socket) -> None:
    while True:
        try:
            message = wire.sockets.receive(socket)
        except zmq.Again:
            return
        except errors.MalformedMessage as error:
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
            continue
        if isinstance(message, wire.Answer):
            message = _check_body(message)
        if isinstance(
            message, (wire.Answer, wire.NotRun, wire.OutcomeUnknown)
        ):
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
            table=task.table,
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
    elif isinstance(action, calls.CancelCall):
        socket = task.peers.get(action.instance)
        if socket is not None:
            wire.sockets.send(socket, wire.Cancel(call=action.call))
    else:
        socket = _peer(task, action.instance.instance, action.instance)
        if not wire.sockets.send(socket, action.call):
            return calls.SendFailed(call=action.call.call)
    return None


def _peer(task: _Task, name: str, record: typing.Any) -> wire.sockets.Socket:
    """Return the connection to an instance; a new address replaces it."""
    socket = task.peers.get(name)
    if socket is not None and task.addresses[name] == record.call_address:
        return socket
    if socket is not None:
        task.poller.unregister(socket)
        socket.close()
    socket = task.stack.enter_context(
        wire.sockets.connect_peer(task.context, record.call_address)
    )
    task.poller.register(socket, zmq.POLLIN)
    task.peers[name] = socket
    task.addresses[name] = record.call_address
    return socket
