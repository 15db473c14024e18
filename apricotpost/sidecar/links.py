"""Sockets to the other nodes and the messages on them."""

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

# Messages that are handled before the loop runs other events.
BATCH_MESSAGES = 200
# Time for which an answer waits for a connection. The caller's node waits no
# longer for a lost answer of a request that may not be repeated.
QUEUED_ANSWER_SECONDS = 0.6

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
        "queued",
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
        # Answers to send once connected, each with its expiry time.
        self.queued: list[tuple[float, wire.Message]] = []


class Links:
    """All connections of a node.

    Parameters
    ----------
    address : str
        Address to listen on, as IP:PORT.
    on_inbox : callable
        Called with the sender's identity (for `reply`) and a message.
    on_answer : callable
        Called with the name of a node and a message from the connection that
        this node has opened to it.
    on_batch : callable
        Called after each batch of messages for `on_inbox`.
    on_change : callable
        Called with the name of a node and whether it is connected now.
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
        # Sent messages and bytes by message class.
        self.sent_counts: dict[str, tuple[int, int]] = {}
        self.closed = False
        self.context = sockets.make_context()
        self.inbox = sockets.bind_links(self.context, f"tcp://{address}")
        self.loop.add_reader(self.inbox.fileno(), self.read_inbox)

    def connect(self, name: str, address: str) -> None:
        """Connect to a node, or reconnect if its address has changed."""
        existing = self.links.get(name)
        if existing is not None:
            if existing.address == address:
                return
            self.disconnect(name)
        try:
            socket, monitor = sockets.connect_link(
                self.context, f"tcp://{address}"
            )
        except zmq.ZMQError as error:
            # The pattern of an address allows hosts that do not exist.
            events.emit(
                _LOG,
                events.LINK_MALFORMED,
                node=name,
                error=f"cannot connect to {address}: {error.strerror}",
            )
            return
        link = Link(name=name, address=address, socket=socket, monitor=monitor)
        self.links[name] = link
        self.loop.add_reader(socket.fileno(), self.read_link, link)
        self.loop.add_reader(monitor.fileno(), self.read_monitor, link)
        self.loop.call_soon(self.read_monitor, link)

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
        """Send a message; return False if nothing was sent."""
        link = self.links.get(name)
        if link is None or not link.connected:
            return False
        size = sockets.send_sized(link.socket, message)
        self.count(message, size)
        self.schedule_read_if_readable(link.socket, self.read_link, link)
        return size > 0

    def send_all(self, names: Iterable[str], message: wire.Message) -> None:
        """Send a message to those of the nodes that are connected."""
        frames = wire.encode(message)
        for name in names:
            link = self.links.get(name)
            if link is not None and link.connected:
                size = sockets.send_encoded(link.socket, frames)
                self.count(message, size)
                self.schedule_read_if_readable(
                    link.socket, self.read_link, link
                )

    def send_or_queue(self, name: str, message: wire.Message) -> None:
        """Send a message now, or when the connection opens.

        Used for answers to offers whose own connection was lost. A message is
        dropped after `QUEUED_ANSWER_SECONDS`, when no caller waits for it.
        """
        link = self.links.get(name)
        if link is None or self.send(name, message):
            return
        link.queued.append((self.loop.time() + QUEUED_ANSWER_SECONDS, message))

    def reply(self, identity: bytes, message: wire.Message) -> bool:
        """Answer the sender of a message; return False if nothing was sent."""
        if self.closed:
            return False
        size = sockets.send_sized(self.inbox, message, identity)
        self.count(message, size)
        self.schedule_read_if_readable(self.inbox, self.read_inbox)
        return size > 0

    def count(self, message: wire.Message, size: int) -> None:
        """Count a sent message and its bytes."""
        class_name = type(message).__name__
        messages, total_bytes = self.sent_counts.get(class_name, (0, 0))
        self.sent_counts[class_name] = (messages + 1, total_bytes + size)

    def close(self) -> None:
        """Close all sockets."""
        self.closed = True
        for name in tuple(self.links):
            self.disconnect(name)
        self.loop.remove_reader(self.inbox.fileno())
        self.inbox.close(linger=0)
        self.context.destroy(linger=0)

    def read_inbox(self) -> None:
        """Handle the messages that other nodes have sent."""
        if self.closed:
            return
        for _ in range(BATCH_MESSAGES):
            try:
                identity, message = sockets.receive_routed(self.inbox)
            except zmq.Again:
                break
            except errors.MalformedMessage as error:
                self.record_malformed(error)
                continue
            self.on_inbox(identity, message)
        else:
            self.loop.call_soon(self.read_inbox)
        self.on_batch()

    def read_link(self, link: Link) -> None:
        """Handle the messages that one node has sent in answer."""
        if link.socket.closed:
            return
        for _ in range(BATCH_MESSAGES):
            try:
                message = sockets.receive(link.socket)
            except zmq.Again:
                break
            except errors.MalformedMessage as error:
                self.record_malformed(error)
                continue
            self.on_answer(link.name, message)
            if link.socket.closed:
                return
        else:
            self.loop.call_soon(self.read_link, link)

    def read_monitor(self, link: Link) -> None:
        """Handle connects and disconnects of a link."""
        while not link.monitor.closed:
            try:
                connected = sockets.receive_link_event(link.monitor)
            except zmq.Again:
                return
            if connected != link.connected:
                link.connected = connected
                self.on_change(link.name, connected)
                if connected:
                    # At a loss, the answers keep the time they have left.
                    self.send_queued(link)

    def send_queued(self, link: Link) -> None:
        """Send the answers that have waited for the connection."""
        queued, link.queued = link.queued, []
        now = self.loop.time()
        for expires_at, message in queued:
            if now < expires_at:
                self.send_or_queue(link.name, message)

    def schedule_read_if_readable(
        self,
        socket: sockets.Socket,
        read: Callable[..., None],
        *arguments: Link,
    ) -> None:
        """Schedule a read if messages arrived during a send.

        The descriptor of a ZeroMQ socket is edge-triggered, and sending
        consumes its event, so the loop would not wake up for them.
        """
        if sockets.is_readable(socket):
            self.loop.call_soon(read, *arguments)

    def record_malformed(self, error: errors.MalformedMessage) -> None:
        """Count and log a message that cannot be decoded."""
        self.malformed += 1
        events.emit(_LOG, events.LINK_MALFORMED, error=error.message)
