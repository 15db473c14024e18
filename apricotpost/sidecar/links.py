"""Task that owns the sockets to other nodes."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging

import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost import wire
from apricotpost.wire import sockets

__all__ = ["Link", "Links"]

_LOG = logging.getLogger(__name__)

# Messages that are handled before other events of the loop get a turn.
BATCH_MESSAGES = 200
# A caller gives up a lost answer of a request that may not be repeated after
# 0.6 s.
SOON_SECONDS = 0.6

OnInbox = Callable[[bytes, wire.Message], None]
OnAnswer = Callable[[str, wire.Message], None]
OnChange = Callable[[str, bool], None]


class Link:
    """Connection to one other node."""

    __slots__ = (
        "address",
        "connected",
        "monitor",
        "name",
        "socket",
        "waiting",
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        socket: sockets.Socket,
        monitor: sockets.Socket,
    ) -> None:
        self.name = name
        self.address = address
        self.socket = socket
        self.monitor = monitor
        self.connected = False
        # Answers to send once it is connected, and until when.
        self.waiting: list[tuple[float, wire.Message]] = []


class Links:
    """All connections of a node.

    Parameters
    ----------
    address : str
        IP:PORT to listen on.
    on_inbox : callable
        Takes a message and its sender's identity for `reply`.
    on_answer : callable
        Takes an answer and the name of the node that sent it.
    on_batch : callable
        Called after all messages that had arrived.
    on_change : callable
        Takes the name of a node and whether it is connected.
    """

    def __init__(
        self,
        *,
        address: str,
        on_inbox: OnInbox,
        on_answer: OnAnswer,
        on_batch: Callable[[], None],
        on_change: OnChange,
    ) -> None:
        self.on_inbox = on_inbox
        self.on_answer = on_answer
        self.on_batch = on_batch
        self.on_change = on_change
        self.loop = asyncio.get_running_loop()
        self.links: dict[str, Link] = {}
        self.malformed = 0
        # Messages and bytes by kind.
        self.sent: dict[str, tuple[int, int]] = {}
        self.closed = False
        self.context = sockets.make_context()
        self.inbox = sockets.bind_links(self.context, f"tcp://{address}")
        self.loop.add_reader(self.inbox.fileno(), self.drain_inbox)

    def connect(self, name: str, address: str) -> None:
        """Connect to a node, or to its new address."""
        known = self.links.get(name)
        if known is not None:
            if known.address == address:
                return
            self.disconnect(name)
        socket, monitor = sockets.connect_link(
            self.context, f"tcp://{address}"
        )
        link = Link(name=name, address=address, socket=socket, monitor=monitor)
        self.links[name] = link
        self.loop.add_reader(socket.fileno(), self.drain_link, link)
        self.loop.add_reader(monitor.fileno(), self.drain_monitor, link)
        self.loop.call_soon(self.drain_monitor, link)

    def disconnect(self, name: str) -> None:
        """Close the connection to a node."""
        link = self.links.pop(name, None)
        if link is None:
            return
        self.loop.remove_reader(link.socket.fileno())
        self.loop.remove_reader(link.monitor.fileno())
        link.socket.disable_monitor()
        link.monitor.close(linger=0)
        link.socket.close(linger=0)
        if link.connected:
            self.on_change(name, False)

    def is_connected(self, name: str) -> bool:
        """Tell whether a node has an open connection."""
        link = self.links.get(name)
        return link is not None and link.connected

    def send(self, name: str, message: wire.Message) -> bool:
        """Send a message; False means that nothing was sent."""
        link = self.links.get(name)
        if link is None or not link.connected:
            return False
        size = sockets.send_sized(link.socket, message)
        self.count(message, size)
        self.check_later(link.socket, self.drain_link, link)
        return size > 0

    def send_all(self, names: Iterable[str], message: wire.Message) -> None:
        """Send a message to several nodes, those that are connected."""
        frames = wire.encode(message)
        for name in names:
            link = self.links.get(name)
            if link is not None and link.connected:
                size = sockets.send_encoded(link.socket, frames)
                self.count(message, size)
                self.check_later(link.socket, self.drain_link, link)

    def send_soon(self, name: str, message: wire.Message) -> None:
        """Send a message now, or when the connection is open.

        An answer whose way back is lost takes this one. After
        `SOON_SECONDS` nobody waits for it.
        """
        link = self.links.get(name)
        if link is None or self.send(name, message):
            return
        link.waiting.append((self.loop.time() + SOON_SECONDS, message))

    def reply(self, identity: bytes, message: wire.Message) -> bool:
        """Answer the sender of a message; False if it is not connected."""
        if self.closed:
            return False
        size = sockets.send_sized(self.inbox, message, identity)
        self.count(message, size)
        self.check_later(self.inbox, self.drain_inbox)
        return size > 0

    def count(self, message: wire.Message, size: int) -> None:
        """Count sent messages and their bytes by kind."""
        kind = type(message).__name__
        messages, total = self.sent.get(kind, (0, 0))
        self.sent[kind] = (messages + 1, total + size)

    def close(self) -> None:
        """Close all sockets."""
        self.closed = True
        for name in tuple(self.links):
            self.disconnect(name)
        self.loop.remove_reader(self.inbox.fileno())
        self.inbox.close(linger=0)
        self.context.destroy(linger=0)

    def drain_inbox(self) -> None:
        """Take the messages of other nodes that have arrived."""
        if self.closed:
            return
        for _ in range(BATCH_MESSAGES):
            try:
                identity, message = sockets.receive_routed(self.inbox)
            except zmq.Again:
                break
            except errors.MalformedMessage as error:
                self.note_malformed(error)
                continue
            self.on_inbox(identity, message)
        else:
            self.loop.call_soon(self.drain_inbox)
        self.on_batch()

    def drain_link(self, link: Link) -> None:
        """Take the answers of one node that have arrived."""
        if link.socket.closed:
            return
        for _ in range(BATCH_MESSAGES):
            try:
                message = sockets.receive(link.socket)
            except zmq.Again:
                break
            except errors.MalformedMessage as error:
                self.note_malformed(error)
                continue
            self.on_answer(link.name, message)
            if link.socket.closed:
                return
        else:
            self.loop.call_soon(self.drain_link, link)

    def drain_monitor(self, link: Link) -> None:
        """Note connects and disconnects."""
        while not link.monitor.closed:
            try:
                connected = sockets.receive_link_event(link.monitor)
            except zmq.Again:
                return
            if connected != link.connected:
                link.connected = connected
                self.on_change(link.name, connected)
                self.send_waiting(link)

    def send_waiting(self, link: Link) -> None:
        """Send the answers that waited for the connection."""
        waiting, link.waiting = link.waiting, []
        now = self.loop.time()
        for until, message in waiting:
            if now < until:
                self.send_soon(link.name, message)

    def check_later(
        self,
        socket: sockets.Socket,
        drain: Callable[..., None],
        *arguments: Link,
    ) -> None:
        """Look for messages whose wake-up a send has consumed.

        The descriptor of a ZeroMQ socket reports changes only, and sending
        processes them.
        """
        if sockets.is_readable(socket):
            self.loop.call_soon(drain, *arguments)

    def note_malformed(self, error: errors.MalformedMessage) -> None:
        """Report a message that cannot be decoded."""
        self.malformed += 1
        events.emit(_LOG, events.LINK_MALFORMED, error=error.message)
