"""Clients that read and send slowly, partly or all at the same time.

Each holds one connection with small buffers, so that hundreds of them fit in
the process of a test.
"""

import asyncio
import contextlib
import socket

__all__ = ["UntrustedClient"]

# Size of the buffers of the operating system for one connection. What they
# hold is not held by the node.
SOCKET_BUFFER_BYTES = 16 * 1024
PIECE = bytes(64 * 1024)


class UntrustedClient:
    """One connection to a node.

    Parameters
    ----------
    address : str
        Address of the node's callers, as IP:PORT.
    identifier : str
        Prefix of the identifiers of its requests.
    """

    def __init__(self, *, address: str, identifier: str) -> None:
        self.address = address
        self.identifier = identifier
        self.loop = asyncio.get_running_loop()
        self.socket: socket.socket | None = None
        self.sent_count = 0

    async def connect(self) -> None:
        """Open a new connection, instead of an earlier one."""
        self.close()
        host, _, port = self.address.rpartition(":")
        self.socket = socket.socket()
        self.socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(
                socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES
            )
        await self.loop.sock_connect(self.socket, (host, int(port)))

    def close(self) -> None:
        """Close the connection."""
        if self.socket is not None:
            self.socket.close()
            self.socket = None

    def make_head(self, method: str, path: str, framing: str = "") -> bytes:
        """Return the head of a request with a new identifier."""
        self.sent_count += 1
        return (
            f"{method} {path} HTTP/1.1\r\nHost: mesh.example\r\n"
            f"X-Request-Id: {self.identifier}-{self.sent_count}\r\n"
            f"X-Deadline-Ms: 10000\r\n{framing}\r\n"
        ).encode()

    async def send(self, data: bytes) -> bool:
        """Send data; return False if the node has closed the connection."""
        try:
            await self.loop.sock_sendall(self.socket, data)
        except ConnectionError:
            return False
        return True

    async def read_status(self) -> int:
        """Return the status of the next response, 0 if there is none.

        What follows the start of the response is not read.
        """
        start = b""
        with contextlib.suppress(ConnectionError):
            while len(start) < 12:
                data = await self.loop.sock_recv(self.socket, 12 - len(start))
                if not data:
                    return 0
                start += data
            return int(start[9:12])
        return 0

    async def get_unread(self, path: str, *, attempts: int) -> int:
        """Request until a response arrives, and leave the rest unread.

        Returns
        -------
        int
            Status of the last response, 0 if there was none.
        """
        status = 0
        for _ in range(attempts):
            await self.connect()
            if await self.send(self.make_head("GET", path)):
                status = await self.read_status()
            if status == 200:
                break
        return status

    async def read_slowly(self, *, size: int, pause: float) -> None:
        """Read a few bytes at a time until the connection is closed.

        Parameters
        ----------
        size : int
            Number of bytes of each read.
        pause : float
            Time between two reads, in seconds.
        """
        with contextlib.suppress(ConnectionError):
            while await self.loop.sock_recv(self.socket, size):
                await asyncio.sleep(pause)

    async def send_body(
        self, path: str, size: int, *, chunked: bool = False, missing: int = 0
    ) -> bool:
        """Send a request with a body on a new connection.

        Parameters
        ----------
        path : str
            Path of the request.
        size : int
            Size of the body in bytes.
        chunked : bool
            Whether the size is not stated in the head.
        missing : int
            Number of bytes at the end of the body that are not sent.

        Returns
        -------
        bool
            Whether all of it was sent.
        """
        framing = f"Content-Length: {size}\r\n"
        if chunked:
            framing = "Transfer-Encoding: chunked\r\n"
        await self.connect()
        if not await self.send(self.make_head("POST", path, framing)):
            return False
        left = size - missing
        while left:
            piece = PIECE[:left]
            left -= len(piece)
            if chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            if not await self.send(piece):
                return False
        if chunked and not missing:
            return await self.send(b"0\r\n\r\n")
        return True
