"""Sockets between the control task and other nodes."""

import collections
from collections.abc import Iterator
import dataclasses
import logging

import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost import wire

__all__ = ["Peers", "close", "close_idle", "receive", "reply", "send"]

LOG = logging.getLogger(__name__)
# A node probes each peer once in as many seconds as there are nodes, so fleets
# of fewer nodes than this number keep all connections open. Each connection
# takes about 80 KB.
IDLE_SECONDS = 15.0
_ROUTER, _DEALER = b"r", b"d"


@dataclasses.dataclass(kw_only=True)
class _Link:
    """Connection to a peer and the time of its last use."""

    address: str
    socket: wire.sockets.Socket
    used_at: float


@dataclasses.dataclass(kw_only=True)
class Peers:
    """The bound socket and the open connections to peers."""

    context: wire.sockets.Context
    router: wire.sockets.Socket
    poller: wire.sockets.Poller
    links: dict[str, _Link] = dataclasses.field(default_factory=dict)
    links_by_socket: dict[wire.sockets.Socket, _Link] = dataclasses.field(
        default_factory=dict
    )
    counters: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def send(
    peers: Peers, address: str, message: wire.Message, now: float
) -> None:
    """Send a message to a control address, connecting first if needed."""
    link = peers.links.get(address)
    if link is None:
        socket = wire.sockets.connect_control_peer(peers.context, address)
        link = _Link(address=address, socket=socket, used_at=now)
        peers.links[address] = link
        peers.links_by_socket[socket] = link
        peers.poller.register(socket, zmq.POLLIN)
    link.used_at = now
    _count_sent(peers, wire.sockets.send_sized(link.socket, message))


def reply(
    peers: Peers, reply_to: bytes, message: wire.Message, now: float
) -> None:
    """Reply to a message on the connection on which it arrived."""
    socket_type, return_address = reply_to[:1], reply_to[1:]
    if socket_type == _ROUTER:
        size = wire.sockets.send_sized(peers.router, message, return_address)
        _count_sent(peers, size)
    elif socket_type == _DEALER:
        send(peers, return_address.decode(), message, now)


def receive(
    peers: Peers, socket: wire.sockets.Socket
) -> Iterator[tuple[bytes, wire.Message]]:
    """Yield the pending messages of a socket with their reply addresses."""
    routed = socket is peers.router
    link = peers.links_by_socket.get(socket)
    while not socket.closed:
        try:
            identity, message, size = wire.sockets.receive_sized(
                socket, routed=routed
            )
        except zmq.Again:
            return
        except errors.MalformedMessage as error:
            peers.counters["malformed_messages"] += 1
            events.emit(LOG, events.MESSAGE_MALFORMED, error=error)
            continue
        peers.counters["received_messages"] += 1
        peers.counters["received_bytes"] += size
        if routed:
            yield _ROUTER + identity, message
        elif link is not None:
            yield _DEALER + link.address.encode(), message


def close_idle(peers: Peers, now: float) -> None:
    """Close the connections that have been idle for IDLE_SECONDS."""
    for link in tuple(peers.links.values()):
        if now - link.used_at > IDLE_SECONDS:
            _close_link(peers, link)


def close(peers: Peers) -> None:
    """Close all connections."""
    for link in tuple(peers.links.values()):
        _close_link(peers, link)


def _close_link(peers: Peers, link: _Link) -> None:
    peers.poller.unregister(link.socket)
    del peers.links[link.address]
    del peers.links_by_socket[link.socket]
    link.socket.close()


def _count_sent(peers: Peers, size: int) -> None:
    if size:
        peers.counters["sent_messages"] += 1
        peers.counters["sent_bytes"] += size
    else:
        peers.counters["dropped_messages"] += 1
