"""Reading from a socket in portions, so that other events run in between."""

import asyncio
from collections.abc import Callable
import typing

__all__ = ["READ_BYTES", "PortionReader"]

# Data that a connection parses before the event loop handles other events.
# Parsing it takes up to 6 ms if it is a body in chunks of two bytes.
READ_BYTES = 32 * 1024


class PortionReader:
    """Buffer into which the connections of one owner read in turn.

    The event loop fills the buffer and reports the data in one step, so that
    the connections can share it. While more data is available, uvloop reads
    up to 32 times before it handles other events. A connection that has
    filled the buffer therefore stops reading until the loop's next turn.
    """

    def __init__(self) -> None:
        self.buffer = bytearray(READ_BYTES)

    def take(self, size: int) -> bytes:
        """Return a copy of the data that was read last.

        Parameters
        ----------
        size : int
            Number of bytes that were read.
        """
        return bytes(memoryview(self.buffer)[:size])

    def pause_if_full(
        self, transport: typing.Any, size: int, resume: Callable[[], None]
    ) -> None:
        """Pause a connection after a read that has filled the buffer.

        Parameters
        ----------
        transport : asyncio.Transport or None
            Transport of the connection; None if it is closed.
        size : int
            Number of bytes that were read.
        resume : callable
            Called in the next turn of the loop; resumes reading.
        """
        if (
            size < READ_BYTES
            or transport is None
            or transport.is_closing()
            or not transport.is_reading()
        ):
            return
        transport.pause_reading()
        asyncio.get_running_loop().call_soon(resume)
