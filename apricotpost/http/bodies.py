"""Bodies that are being received, with their bytes reserved beforehand."""

import typing

from apricotpost.http import messages
from apricotpost.http import reading
from apricotpost import memory

__all__ = ["BodyBuffer"]

# A buffer that grows takes up to an eighth more than it holds.
GROWTH_DIVISOR = 8
# Smallest step in which the reservation of a body without a stated size grows.
MIN_STEP_BYTES = 64 * 1024


class BodyBuffer:
    """A body, from its first byte to its last.

    The next portion that a connection reads always fits into the reservation.
    If the size is stated, all of it is reserved before the second portion and
    the body is filled in place; otherwise the reservation grows with the body.

    Parameters
    ----------
    reservation : memory.Reservation
        Empty reservation for the body.
    declared_bytes : int or None
        Size that the head states; None if it states none.
    """

    __slots__ = ("data", "declared_bytes", "reservation", "size")

    def __init__(
        self, *, reservation: memory.Reservation, declared_bytes: int | None
    ) -> None:
        self.reservation = reservation
        self.declared_bytes = declared_bytes
        self.size = 0
        self.data: bytes | bytearray | memory.HeldBytes = b""

    def first_bytes(self) -> int:
        """Return the bytes to reserve before the first portion."""
        if self.declared_bytes is None:
            return reading.READ_BYTES
        return min(self.declared_bytes, reading.READ_BYTES)

    def missing_bytes(self) -> int:
        """Return the bytes to reserve before the next portion is read."""
        if self.declared_bytes is not None:
            if self.declared_bytes <= reading.READ_BYTES:
                return 0
            return self.declared_bytes - self.reservation.size
        needed = self.size + reading.READ_BYTES
        needed += needed // GROWTH_DIVISOR
        if needed <= self.reservation.size:
            return 0
        step = max(self.size // GROWTH_DIVISOR, MIN_STEP_BYTES)
        return needed - self.reservation.size + step

    def expand(self) -> None:
        """Provide the buffer for a body of stated size that is reserved."""
        if (
            self.declared_bytes is not None
            and self.declared_bytes > memory.SMALL_BYTES
            and not isinstance(self.data, memory.HeldBytes)
        ):
            self.hold(self.declared_bytes)

    def append(self, piece: bytes) -> None:
        """Store the next bytes."""
        start = self.size
        self.size += len(piece)
        if isinstance(self.data, memory.HeldBytes):
            if self.size > len(self.data):
                self.data.resize(self.grown_bytes())
            self.data[start : self.size] = piece
            return
        if not start:
            # The only piece of most bodies; it is not copied.
            self.data = piece
            return
        if not isinstance(self.data, bytearray):
            self.data = bytearray(self.data)
        self.data += piece
        if self.declared_bytes is None and self.size > memory.SMALL_BYTES:
            self.hold(self.grown_bytes())

    def grown_bytes(self) -> int:
        """Return the size of a buffer that has to grow."""
        return self.size + self.size // GROWTH_DIVISOR

    def hold(self, size: int) -> None:
        """Move what was received to a buffer that owns the reservation."""
        received = self.data
        held = memory.HeldBytes(size, reservation=self.reservation)
        held[: len(received)] = bytes(received)
        self.data = held

    def finish(self) -> messages.Body:
        """Return the complete body.

        A large body owns its reservation from now on. The reservation of a
        small one stays with the caller.
        """
        if self.size <= memory.SMALL_BYTES:
            self.reservation.shrink(self.reservation.size - self.size)
            return bytes(self.data)
        if not isinstance(self.data, memory.HeldBytes):
            self.hold(self.size)
        held = typing.cast(memory.HeldBytes, self.data)
        self.reservation.shrink(max(self.reservation.size - len(held), 0))
        return memoryview(held)[: self.size]

    def discard(self) -> None:
        """Drop the bytes and their reservation."""
        self.data = b""
        self.size = 0
        self.reservation.release()
