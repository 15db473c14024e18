"""Responses that a client has not read yet, and its progress with them."""

import fcntl
import struct
import termios
import typing

from apricotpost import memory

__all__ = ["MIN_PROGRESS_BYTES", "Progress", "UnreadResponses"]

# A client that moves fewer bytes than this in `server.STALL_SECONDS` may be
# evicted, but only for lack of memory or of descriptors. Fifty clients that
# share a link of 5 Mbit/s move as much each.
MIN_PROGRESS_BYTES = 16 * 1024


class Progress:
    """Time since a number of bytes has last changed by some amount.

    Parameters
    ----------
    now : float
        Time of the loop's clock, in seconds.
    size : int
        Number of bytes at that time.
    """

    __slots__ = ("since", "size")

    def __init__(self, *, now: float, size: int = 0) -> None:
        self.since = now
        self.size = size

    def record(self, size: int, now: float, *, min_bytes: int) -> None:
        """Record the number of bytes."""
        if abs(size - self.size) >= min_bytes:
            self.size = size
            self.since = now


class UnreadResponses:
    """What is written to a transport and not yet read by its client."""

    __slots__ = ("held", "pace", "progress", "transport")

    def __init__(self, *, transport: typing.Any, now: float) -> None:
        self.transport = transport
        # Since the client has read anything, and since it has read as much
        # as it must while others need the memory.
        self.progress = Progress(now=now)
        self.pace = Progress(now=now)
        # Reservations of the responses in the transport's buffer.
        self.held: list[memory.Reservation] = []

    def release(self) -> None:
        """Return the reservations, as the transport's buffer is empty."""
        for reservation in self.held:
            reservation.release()
        self.held.clear()

    def count_buffered_bytes(self) -> int:
        """Return the bytes that the transport holds."""
        size: int = self.transport.get_write_buffer_size()
        return size

    def restart(self, now: float) -> None:
        """Measure the client's progress from now on."""
        size = self.count_unread_bytes()
        self.progress = Progress(now=now, size=size)
        self.pace = Progress(now=now, size=size)

    def observe(self, now: float) -> None:
        """Measure the client's progress since the last time."""
        size = self.count_unread_bytes()
        self.progress.record(size, now, min_bytes=1)
        self.pace.record(size, now, min_bytes=MIN_PROGRESS_BYTES)

    def count_unread_bytes(self) -> int:
        """Return the bytes that the client has not confirmed.

        The transport's buffer alone shows no progress for seconds: the
        operating system takes the next bytes when a third of its own buffer,
        about a megabyte, is free.
        """
        size = self.count_buffered_bytes()
        connection = self.transport.get_extra_info("socket")
        try:
            answer = fcntl.ioctl(
                connection.fileno(), termios.TIOCOUTQ, b"    "
            )
        except OSError:
            return size
        (queued_bytes,) = struct.unpack("i", answer)
        return size + int(queued_bytes)
