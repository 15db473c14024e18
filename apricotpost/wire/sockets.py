"""ZeroMQ sockets with the options that the protocol requires."""

from collections.abc import Sequence
import sys
import typing

import zmq
import zmq.backend

from apricotpost import errors
from apricotpost.wire import codec

__all__ = [
    "Context",
    "Poller",
    "Socket",
    "bind_links",
    "bind_router",
    "connect_control_peer",
    "connect_dealer",
    "connect_link",
    "connect_peer",
    "is_readable",
    "make_context",
    "receive",
    "receive_link_event",
    "receive_routed",
    "receive_sized",
    "send",
    "send_encoded",
    "send_routed",
    "send_sized",
    "wait",
]

Context = zmq.Context[zmq.Socket[bytes]]
Poller = zmq.Poller
Socket = zmq.Socket[bytes]

# Two sockets for each of 1,200 peers, and those of the process's own tasks.
MAX_SOCKETS = 4096
# Frames above this size are refused before they are read into memory.
MAX_MESSAGE_BYTES = 16 * 1024 * 1024
# Range of the pause before a failed connection is retried.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000
# A TCP connection whose peer answers no heartbeat within the time-out is
# closed.
HEARTBEAT_INTERVAL_MS = 2000
HEARTBEAT_TIMEOUT_MS = 6000
# Links between sidecar nodes: calls last about a second, so an unresponsive
# connection is closed while its callers still wait.
LINK_HEARTBEAT_INTERVAL_MS = 700
LINK_HEARTBEAT_TIMEOUT_MS = 1500
LINK_CONNECT_TIMEOUT_MS = 1000
LINK_RECONNECT_MAX_MS = 400
# Bodies travel in parts of 256 KiB. The largest other messages: the states of
# 1,243 nodes take 78 KB, or 915 KB if each reports eight routes of a trial;
# orders are rows of up to 64 KiB when compressed.
MAX_LINK_MESSAGE_BYTES = 4 * 1024 * 1024
# Messages in each direction that a link holds for a peer that does not read.
# The largest frequent ones, offers, have 80 KiB: 16 MB for each peer until its
# connection is closed. A burst of offers to one peer is a few dozen.
MAX_QUEUED_LINK_MESSAGES = 200
# Control messages that may wait for a connection. Further ones are dropped: a
# peer that was unreachable catches up later by comparing digests.
MAX_QUEUED_CONTROL_MESSAGES = 32

# Methods of the backend class below `zmq.Socket`, called with plain integers:
# the flag types and checks of `zmq.Socket` take 19 of the 20 microseconds of a
# send and a receive.
_SEND = zmq.backend.Socket.send
_RECEIVE = zmq.backend.Socket.recv
_GET = zmq.backend.Socket.get
_NOBLOCK = int(zmq.NOBLOCK)
_NOBLOCK_SNDMORE = int(zmq.NOBLOCK | zmq.SNDMORE)
_RCVMORE = int(zmq.RCVMORE)
_POLLIN = int(zmq.POLLIN)
_EVENTS = int(zmq.EVENTS)
_HANDSHAKE_SUCCEEDED = int(zmq.EVENT_HANDSHAKE_SUCCEEDED)


def make_context() -> Context:
    """Make the context of a process for up to `MAX_SOCKETS` sockets."""
    context = zmq.Context()
    context.max_sockets = MAX_SOCKETS
    return context


def bind_router(context: Context, address: str) -> Socket:
    """Make a ROUTER socket bound to an address.

    Raises
    ------
    apricotpost.errors.AddressInUse
        The address is in use or not one of this instance's.
    """
    socket = context.socket(zmq.ROUTER)
    socket.linger = 0
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    try:
        socket.bind(address)
    except zmq.ZMQError as error:
        socket.close()
        raise errors.AddressInUse(
            f"cannot listen on {address}: {error}"
        ) from error
    return socket


def connect_dealer(context: Context, address: str) -> Socket:
    """Make a DEALER socket connected to a task of the same process."""
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    socket.connect(address)
    return socket


def connect_peer(context: Context, address: str) -> Socket:
    """Make a DEALER socket connected to another node.

    With ``IMMEDIATE``, messages are not queued for a peer without an
    established connection, so a failed send means that nothing was sent.
    """
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    socket.immediate = True
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    socket.heartbeat_ivl = HEARTBEAT_INTERVAL_MS
    socket.heartbeat_timeout = HEARTBEAT_TIMEOUT_MS
    socket.connect(address)
    return socket


def connect_control_peer(context: Context, address: str) -> Socket:
    """Make a DEALER socket to the control address of another node.

    Messages are queued until the connection is established. There are no
    heartbeats: probes detect dead peers, and unused sockets are closed.
    """
    socket = context.socket(zmq.DEALER)
    socket.linger = 0
    socket.sndhwm = MAX_QUEUED_CONTROL_MESSAGES
    socket.maxmsgsize = MAX_MESSAGE_BYTES
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = RECONNECT_MAX_MS
    socket.connect(address)
    return socket


def bind_links(context: Context, address: str) -> Socket:
    """Make the ROUTER socket that other sidecar nodes connect to.

    Sending to a disconnected peer fails instead of dropping the message.

    Raises
    ------
    apricotpost.errors.AddressInUse
        The address is in use or not one of this instance's.
    """
    socket = context.socket(zmq.ROUTER)
    _set_link_options(socket)
    # No heartbeats of its own: those of the connecting side state the time
    # after which this side closes a silent connection, too.
    socket.router_mandatory = True
    try:
        socket.bind(address)
    except zmq.ZMQError as error:
        socket.close()
        raise errors.AddressInUse(
            f"cannot listen on {address}: {error}"
        ) from error
    return socket


def connect_link(context: Context, address: str) -> tuple[Socket, Socket]:
    """Connect to another sidecar node.

    Returns
    -------
    tuple of zmq.Socket
        A DEALER socket, and a monitor socket that reports connects and
        disconnects.

    Raises
    ------
    zmq.ZMQError
        The address has no valid host or port.
    """
    socket = context.socket(zmq.DEALER)
    _set_link_options(socket)
    socket.heartbeat_ivl = LINK_HEARTBEAT_INTERVAL_MS
    socket.heartbeat_timeout = LINK_HEARTBEAT_TIMEOUT_MS
    socket.heartbeat_ttl = LINK_HEARTBEAT_TIMEOUT_MS
    socket.immediate = True
    socket.reconnect_ivl = RECONNECT_MIN_MS
    socket.reconnect_ivl_max = LINK_RECONNECT_MAX_MS
    socket.connect_timeout = LINK_CONNECT_TIMEOUT_MS
    monitor = socket.get_monitor_socket(
        zmq.EVENT_HANDSHAKE_SUCCEEDED | zmq.EVENT_DISCONNECTED
    )
    try:
        socket.connect(address)
    except zmq.ZMQError:
        socket.disable_monitor()
        monitor.close(linger=0)
        socket.close(linger=0)
        raise
    return socket, monitor


def is_readable(socket: Socket) -> bool:
    """Return whether a message can be received."""
    return bool(typing.cast(int, _GET(socket, _EVENTS)) & _POLLIN)


def receive_link_event(monitor: Socket) -> bool:
    """Return whether the next event of a link is a connect.

    Parameters
    ----------
    monitor : zmq.Socket
        Monitor socket from `connect_link`.

    Raises
    ------
    zmq.Again
        No event has been reported.
    """
    frames = _receive_frames(monitor, _NOBLOCK)
    event = int.from_bytes(frames[0][:2], sys.byteorder)
    return event == _HANDSHAKE_SUCCEEDED


def _set_link_options(socket: Socket) -> None:
    socket.linger = 0
    socket.maxmsgsize = MAX_LINK_MESSAGE_BYTES
    socket.sndhwm = MAX_QUEUED_LINK_MESSAGES
    socket.rcvhwm = MAX_QUEUED_LINK_MESSAGES


def send(socket: Socket, message: codec.Message) -> bool:
    """Send a message without blocking.

    Returns
    -------
    bool
        Whether the message was queued on a connection. If not, nothing was
        sent.
    """
    return _send_frames(socket, codec.encode(message))


def send_routed(
    socket: Socket, identity: bytes, message: codec.Message
) -> bool:
    """Send a message to one peer of a ROUTER socket without blocking."""
    return _send_frames(socket, [identity, *codec.encode(message)])


def send_encoded(socket: Socket, frames: Sequence[bytes]) -> int:
    """Send the frames of an encoded message without blocking.

    Returns
    -------
    int
        Size of the frames in bytes; 0 if nothing was sent.
    """
    return sum(map(len, frames)) if _send_frames(socket, frames) else 0


def send_sized(
    socket: Socket, message: codec.Message, identity: bytes | None = None
) -> int:
    """Send a message without blocking, and return its size.

    Parameters
    ----------
    socket : zmq.Socket
        DEALER or ROUTER socket.
    message : codec.Message
        The message to send.
    identity : bytes, optional
        Peer of a ROUTER socket.

    Returns
    -------
    int
        Size of the kind and body frames in bytes; 0 if nothing was sent.
    """
    frames = codec.encode(message)
    prefix = [] if identity is None else [identity]
    if not _send_frames(socket, [*prefix, *frames]):
        return 0
    return sum(map(len, frames))


def receive_sized(
    socket: Socket, *, routed: bool
) -> tuple[bytes, codec.Message, int]:
    """Receive a message with its sender's identity and its size in bytes.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The frames are not a known message.
    """
    frames = _receive_frames(socket, _NOBLOCK)
    identity = frames.pop(0) if routed else b""
    return identity, codec.decode(frames), sum(map(len, frames))


def receive(socket: Socket, *, wait: bool = False) -> codec.Message:
    """Receive one message from a DEALER socket.

    Parameters
    ----------
    socket : zmq.Socket
        Socket to receive from.
    wait : bool
        Whether to block for up to the socket's ``rcvtimeo``.

    Raises
    ------
    zmq.Again
        No message has arrived.
    apricotpost.errors.MalformedMessage
        The frames are not a known message.
    """
    return codec.decode(_receive_frames(socket, 0 if wait else _NOBLOCK))


def receive_routed(socket: Socket) -> tuple[bytes, codec.Message]:
    """Receive one message and its sender's identity from a ROUTER socket.

    Raises
    ------
    zmq.Again
        No message has arrived.
    apricotpost.errors.MalformedMessage
        The frames are not a known message.
    """
    frames = _receive_frames(socket, _NOBLOCK)
    return frames[0], codec.decode(frames[1:])


def wait(
    socket: Socket, descriptor: int | None, *, seconds: float
) -> list[bool]:
    """Wait until a message or data on a file descriptor can be read.

    Parameters
    ----------
    socket : zmq.Socket
        Socket to wait for.
    descriptor : int, optional
        File descriptor to wait for.
    seconds : float
        Longest time to wait.

    Returns
    -------
    list of bool
        Whether the socket and whether the file descriptor is readable.
    """
    watched: list[tuple[typing.Any, int]] = [(socket, _POLLIN)]
    if descriptor is not None:
        watched.append((descriptor, _POLLIN))
    readable = [
        entry for entry, _ in zmq.backend.zmq_poll(watched, int(seconds * 1e3))
    ]
    return [socket in readable, descriptor in readable]


def _receive_frames(socket: Socket, flags: int) -> list[bytes]:
    frames = [_RECEIVE(socket, flags, True, False)]
    while _GET(socket, _RCVMORE):
        frames.append(_RECEIVE(socket, flags, True, False))
    return frames


def _send_frames(socket: Socket, frames: Sequence[bytes]) -> bool:
    try:
        for frame in frames[:-1]:
            _SEND(socket, frame, _NOBLOCK_SNDMORE, True, False)
        _SEND(socket, frames[-1], _NOBLOCK, True, False)
    except zmq.Again:
        return False
    except zmq.ZMQError as error:
        if error.errno == zmq.EHOSTUNREACH:
            return False
        raise
    return True
