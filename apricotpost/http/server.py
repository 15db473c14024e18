"""HTTP/1.1 listener: accepts connections and evicts those that stall."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import sys

from apricotpost.http import exchanges
from apricotpost.http import reading
from apricotpost.http import server_connections
from apricotpost import memory

__all__ = ["Eviction", "Limits", "Listener"]

BACKLOG_CONNECTIONS = 1024
# Memory of a listener that shares none.
OWN_MEMORY_BYTES = 256 * 1024 * 1024
# A client that moves fewer bytes than `unread.MIN_PROGRESS_BYTES` in this time
# may be evicted, but only for lack of memory or of descriptors.
STALL_SECONDS = 1.5

Handler = Callable[[exchanges.Exchange], None]


class Eviction(enum.StrEnum):
    """Why a listener closes a connection or refuses a request."""

    # The client has stopped within a body.
    INCOMPLETE_BODY = "incomplete-body"
    # The client does not read its response.
    UNREAD_RESPONSE = "unread-response"
    # The connection was idle while others needed its descriptor.
    IDLE = "idle"
    # A new connection, without a descriptor or memory for it.
    NEW_CONNECTION = "new-connection"
    # A request, without memory for it.
    NO_MEMORY = "no-memory"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limits:
    """Limits on what clients may send.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest request head and largest body.
    header_seconds : float
        Time limit for receiving a request head.
    idle_seconds : float
        Longest time that a connection may be idle.
    """

    header_bytes: int = 16_384
    body_bytes: int = 64 * 1024 * 1024
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


class Listener:
    """HTTP server on one address.

    Parameters
    ----------
    handler : callable
        Called with each `Exchange`; `Exchange.respond` may be called later.
    limits : Limits
        Current limits; replaced when the configuration changes.
    room : memory.Room, optional
        Memory for requests and responses; without it, the listener has
        `OWN_MEMORY_BYTES` of its own.
    max_connections : int
        Largest number of open connections.
    on_evict : callable, optional
        Called with the reason of each eviction and refusal.
    """

    def __init__(
        self,
        *,
        handler: Handler,
        limits: Limits,
        room: memory.Room | None = None,
        max_connections: int = sys.maxsize,
        on_evict: Callable[[Eviction], None] = lambda reason: None,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.max_connections = max_connections
        self.on_evict = on_evict
        self.loop = asyncio.get_running_loop()
        self.room = room or memory.Room(
            account=memory.Budget(limit_bytes=OWN_MEMORY_BYTES)
        )
        self.room.evictions.append(self.evict_stalled)
        self.connections: set[server_connections.Connection] = set()
        # Connections without a complete head of a request, the one that has
        # waited for the longest time first.
        self.idle: dict[server_connections.Connection, None] = {}
        # Connections that receive a body, and those with unread responses.
        self.receiving: set[server_connections.Connection] = set()
        self.unread: set[server_connections.Connection] = set()
        self.closing = False
        self.server: asyncio.Server | None = None
        self.reader = reading.PortionReader()

    @property
    def buffered_body_bytes(self) -> int:
        """Bytes that are reserved for the bodies of requests."""
        return self.room.budget.bytes_by_holder[memory.Holder.REQUEST]

    async def listen(self, host: str, port: int) -> None:
        """Start listening.

        Raises
        ------
        OSError
            The address is in use or not one of this instance's.
        """
        self.server = await self.loop.create_server(
            lambda: server_connections.Connection(
                listener=self, loop=self.loop
            ),
            host,
            port,
            backlog=BACKLOG_CONNECTIONS,
            reuse_address=True,
        )

    def start_closing(self) -> None:
        """Send ``Connection: close`` with every response from now on."""
        self.closing = True

    def stop_listening(self) -> None:
        """Accept no new connections; open ones stay open."""
        if self.server is not None:
            self.server.close()

    def count_open_exchanges(self) -> int:
        """Return the number of requests whose response is not written yet."""
        return sum(len(c.exchanges) for c in self.connections)

    def count_unsent_bytes(self) -> int:
        """Return the size of the responses that wait for their clients."""
        return sum(c.count_unsent_bytes() for c in self.connections)

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self.server is not None:
            self.server.close()
        for connection in tuple(self.connections):
            connection.close()

    # Connections and their eviction.

    def admit(self, connection: "server_connections.Connection") -> bool:
        """Register a new connection.

        At the largest number of connections, one without a request is closed,
        else one whose client has stalled.

        Returns
        -------
        bool
            Whether there is a descriptor and memory for it.
        """
        if len(self.connections) >= self.max_connections and not (
            self.evict_idle() or self.room.evict()
        ):
            self.on_evict(Eviction.NEW_CONNECTION)
            return False
        if not self.room.grow(
            connection.state, server_connections.CONNECTION_BYTES
        ):
            self.on_evict(Eviction.NEW_CONNECTION)
            return False
        self.connections.add(connection)
        self.mark_idle(connection)
        return True

    def mark_idle(self, connection: "server_connections.Connection") -> None:
        """Record that a connection has no request, or begins one."""
        self.idle.pop(connection, None)
        if not connection.transport.is_closing():
            self.idle[connection] = None

    def mark_busy(self, connection: "server_connections.Connection") -> None:
        """Record that a connection has a request."""
        self.idle.pop(connection, None)

    def remove(self, connection: "server_connections.Connection") -> None:
        """Forget a connection that is lost."""
        self.connections.discard(connection)
        self.idle.pop(connection, None)
        self.receiving.discard(connection)
        self.unread.discard(connection)

    def report_no_memory(self) -> None:
        """Report a request that was refused for lack of memory."""
        self.on_evict(Eviction.NO_MEMORY)

    def evict_idle(self) -> bool:
        """Close the connection that has been idle for the longest time."""
        for connection in self.idle:
            self.mark_busy(connection)
            connection.abort()
            self.on_evict(Eviction.IDLE)
            return True
        return False

    def evict_stalled(self) -> bool:
        """Evict one client that makes no progress.

        Incomplete bodies go first. A response belongs to a request that has
        run, so it is only cut if there is no such body.
        """
        now = self.loop.time()
        stalled = _find_stalled(
            (c, c.receiver.stalled_seconds(now)) for c in self.receiving
        )
        if stalled is not None:
            stalled.refuse(408)
            self.on_evict(Eviction.INCOMPLETE_BODY)
            return True
        stalled = _find_stalled(
            (c, c.unread_stalled_seconds(now)) for c in self.unread
        )
        if stalled is None:
            return False
        # Its memory returns when the connection is lost.
        self.unread.discard(stalled)
        stalled.abort()
        self.on_evict(Eviction.UNREAD_RESPONSE)
        return True


def _find_stalled(
    candidates: Iterable[tuple["server_connections.Connection", float]],
) -> "server_connections.Connection | None":
    """Return the connection that has stalled for the longest time, if any."""
    longest, seconds = max(
        candidates, key=lambda candidate: candidate[1], default=(None, 0.0)
    )
    return longest if seconds >= STALL_SECONDS else None
