"""Buffers that return their bytes to the budget when they are freed."""

import mmap
import typing

from apricotpost.memory import budget

__all__ = ["HeldBytes", "find_reservation"]


class HeldBytes(mmap.mmap):
    """A large body, with the reservation of its bytes.

    A body is used by the connection that received it, by the offers of its
    request and by the connection that sends it, and each may end first. The
    bytes are therefore returned when the last reference to the buffer is gone,
    which frees the memory.

    The buffer is a mapping of its own: bodies of many sizes that grow and end
    leave holes in the heap, which took 18 MB in one of three runs of the test
    of incomplete bodies.

    Parameters
    ----------
    size : int
        Size of the buffer, above 0. The operating system provides the memory
        as it is written to.
    reservation : budget.Reservation
        Reservation of the bytes; it is the buffer's from now on.
    """

    reservation: budget.Reservation

    def __new__(
        cls, size: int, *, reservation: budget.Reservation
    ) -> "HeldBytes":
        """Map the memory."""
        flags = mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS
        held = super().__new__(cls, -1, size, flags=flags)
        held.reservation = reservation
        return held

    def __del__(self) -> None:
        self.reservation.release()


def find_reservation(body: typing.Any) -> budget.Reservation | None:
    """Return the reservation of a body or of a view of it, if it has one."""
    if isinstance(body, memoryview):
        body = body.obj
    return body.reservation if isinstance(body, HeldBytes) else None
