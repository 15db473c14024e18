"""HTTP/1.1 client of one address with persistent connections."""

import asyncio
from collections.abc import Callable

from apricotpost.http import client_connections
from apricotpost.http import messages
from apricotpost.http import reading
from apricotpost.http import requests
from apricotpost import memory

__all__ = ["Client"]

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
MAX_BUFFERED_BYTES = 128 * 1024 * 1024


class Client:
    """HTTP client with a pool of connections to one address.

    Parameters
    ----------
    host : str
        IP address.
    port : int
        TCP port.
    connect_seconds : float
        Time limit for opening a connection.
    max_idle_seconds : float
        Longest idle time before a connection is reused, unless the server
        announces a shorter one.
    max_response_bytes : int
        Largest body of a response. A server that sends more, perhaps without
        end, gets its connection closed.
    room : memory.Room, optional
        Memory for the responses; without it, the client has
        `MAX_BUFFERED_BYTES` of its own.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        connect_seconds: float = 1.0,
        max_idle_seconds: float = 4.0,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        room: memory.Room | None = None,
    ) -> None:
        self.host = host
        self.port = port
        self.connect_seconds = connect_seconds
        self.max_idle_seconds = max_idle_seconds
        self.loop = asyncio.get_running_loop()
        self.reader = reading.PortionReader()
        self.idle_connections: list[client_connections.Connection] = []
        self.connections: set[client_connections.Connection] = set()
        self.opened_count = 0
        self.max_response_bytes = max_response_bytes
        self.room = room or memory.Room(
            account=memory.Budget(limit_bytes=MAX_BUFFERED_BYTES)
        )

    @property
    def buffered_bytes(self) -> int:
        """Bytes that are reserved for responses that are received."""
        return self.room.budget.bytes_by_holder[memory.Holder.RESPONSE]

    def send(
        self,
        request: messages.Request,
        done: requests.ResultCallback,
        *,
        timeout_seconds: float,
        max_idle_seconds: float | None = None,
        check: requests.Check | None = None,
        on_sent: Callable[[], None] | None = None,
        before_send: requests.BeforeSend | None = None,
    ) -> requests.RequestHandle:
        """Send a request on an idle or a new connection.

        Parameters
        ----------
        request : messages.Request
            The request to send.
        done : callable
            Called once with the `requests.Result`, unless the request is
            cancelled.
        timeout_seconds : float
            Time limit for the complete response, in seconds.
        max_idle_seconds : float, optional
            Longest time, in seconds, that a reused connection may have been
            idle. A negative value forces a new connection.
        check : callable, optional
            Called with the status and the headers of a response; returns
            whether it belongs to the request. Without it, every response is
            accepted.
        on_sent : callable, optional
            Called when the request is written to a connection.
        before_send : callable, optional
            Called with the open connection immediately before the request is
            written. If it returns false, nothing is sent, and the failure is
            `Failure.NOT_CONNECTED`.
        """
        handle = requests.RequestHandle(
            done=done, check=check, on_sent=on_sent, before_send=before_send
        )
        handle.timer = self.loop.call_later(timeout_seconds, handle.expire)
        connection = self.acquire_idle(max_idle_seconds)
        if connection is not None:
            connection.start(request, handle)
        else:
            handle.task = self.loop.create_task(
                self.open_and_send(request, handle)
            )
        return handle

    def acquire_idle(
        self, max_idle_seconds: float | None
    ) -> client_connections.Connection | None:
        """Remove and return a recently used idle connection, if any."""
        now = self.loop.time()
        while self.idle_connections:
            connection = self.idle_connections[-1]
            idle_seconds = now - connection.idle_since
            if (
                not connection.is_open()
                or idle_seconds > connection.reuse_seconds
            ):
                self.idle_connections.pop()
                connection.abort()
                continue
            if (
                max_idle_seconds is not None
                and idle_seconds > max_idle_seconds
            ):
                return None
            self.idle_connections.pop()
            return connection
        return None

    async def open_and_send(
        self, request: messages.Request, handle: requests.RequestHandle
    ) -> None:
        """Open a connection and send the request on it."""
        try:
            async with asyncio.timeout(self.connect_seconds):
                _, connection = await self.loop.create_connection(
                    lambda: client_connections.Connection(client=self),
                    self.host,
                    self.port,
                )
        except OSError:
            handle.task = None
            handle.finish(
                requests.Result(failure=requests.Failure.NOT_CONNECTED)
            )
            return
        handle.task = None
        self.opened_count += 1
        if handle.done is None:
            connection.abort()
            return
        connection.start(request, handle)

    def close(self) -> None:
        """Close all connections, including those with open requests."""
        for connection in tuple(self.connections):
            connection.abort()

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in tuple(self.idle_connections):
            connection.abort()
        self.idle_connections.clear()
