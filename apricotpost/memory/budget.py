"""One account of the bytes that a node holds for others.

Every part of the node that keeps bytes of a request or a response reserves
them here first, and refuses or waits if they do not fit. Limits of single
connections are not enough: each of many connections may stay below its own
limit while their sum ends the process.
"""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import types

__all__ = ["Budget", "Holder", "Reservation", "SMALL_BYTES"]

# Reservations up to this size may use the whole budget, larger ones only
# `LARGE_FRACTION` of it. Ordinary requests then still find room while large
# bodies take all that they may.
SMALL_BYTES = 64 * 1024
LARGE_FRACTION = 0.9


class Holder(enum.StrEnum):
    """What the reserved bytes belong to."""

    # Connections, and the heads and state of requests on them.
    CONNECTION = "connection"
    # Bodies of callers' requests, from their first byte to the response.
    REQUEST = "request"
    # Bodies that are received from other nodes.
    TRANSFER = "transfer"
    # Responses of the backend server.
    RESPONSE = "response"
    # Responses that callers have not read yet.
    UNSENT = "unsent"


class Budget:
    """Bytes that may be held, and those that are.

    Parameters
    ----------
    limit_bytes : int
        Largest number of bytes that may be reserved at the same time.
    """

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.bytes_by_holder = dict.fromkeys(Holder, 0)
        self.refused_count = 0
        # Called after bytes are released, for those that wait for room.
        self.on_release: list[Callable[[], None]] = []

    def reserve(self, holder: Holder, size: int) -> "Reservation | None":
        """Return a reservation, or None if the bytes do not fit.

        Parameters
        ----------
        holder : Holder
            What the bytes belong to.
        size : int
            Number of bytes.
        """
        reservation = Reservation(budget=self, holder=holder)
        return reservation if reservation.grow(size) else None

    def fits(self, size: int, *, total: int) -> bool:
        """Tell whether more bytes can be reserved.

        Parameters
        ----------
        size : int
            Number of further bytes.
        total : int
            Size of the whole reservation, these bytes included.
        """
        allowed = self.limit_bytes
        if total > SMALL_BYTES:
            allowed = self.allowed_bytes(total)
        return self.held_bytes + size <= allowed

    def allowed_bytes(self, total: int) -> int:
        """Return how much may be held with a reservation of a size."""
        if total > SMALL_BYTES:
            return int(self.limit_bytes * LARGE_FRACTION)
        return self.limit_bytes

    def describe(self) -> Mapping[Holder, int]:
        """Return the reserved bytes by holder."""
        return types.MappingProxyType(self.bytes_by_holder)


class Reservation:
    """Bytes of a budget that one holder keeps until it releases them."""

    __slots__ = ("budget", "holder", "size")

    def __init__(self, *, budget: Budget, holder: Holder) -> None:
        self.budget = budget
        self.holder = holder
        self.size = 0

    def grow(self, size: int) -> bool:
        """Reserve more bytes; return False and change nothing if they lack.

        Parameters
        ----------
        size : int
            Number of further bytes.
        """
        if self.try_grow(size):
            return True
        self.budget.refused_count += 1
        return False

    def try_grow(self, size: int) -> bool:
        """Reserve more bytes as `grow` does, without counting a refusal."""
        if not self.budget.fits(size, total=self.size + size):
            return False
        self._add(size)
        return True

    def shrink(self, size: int) -> None:
        """Return some of the bytes.

        Parameters
        ----------
        size : int
            Number of bytes; at most those that are reserved.
        """
        self._add(-min(size, self.size))

    def release(self) -> None:
        """Return all bytes; further calls have no effect."""
        if self.size:
            self._add(-self.size)

    def move(self, holder: Holder) -> None:
        """Count the bytes as those of another holder from now on."""
        bytes_by_holder = self.budget.bytes_by_holder
        bytes_by_holder[self.holder] -= self.size
        bytes_by_holder[holder] += self.size
        self.holder = holder

    def _add(self, size: int) -> None:
        self.size += size
        self.budget.held_bytes += size
        self.budget.bytes_by_holder[self.holder] += size
        if size < 0:
            for call in self.budget.on_release:
                call()
