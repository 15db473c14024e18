"""Finds room in the budget for those that need it, by evictions and waits."""

import asyncio
from collections.abc import Callable

from apricotpost.memory import budget

__all__ = ["Room", "Wait"]

# Time for which a body or a response waits for room before it is refused. It
# exceeds the time after which clients without progress are evicted.
WAIT_SECONDS = 2.5
# Interval of the attempts while something waits. An eviction is due when a
# client has done nothing for some time, which no event reports.
RETRY_SECONDS = 0.1
# Each that waits holds a portion of its body already.
MAX_WAITS = 32

# Ends the use of some bytes; returns whether there was something to end.
Evict = Callable[[], bool]


class Wait:
    """A reservation that waits until it can grow.

    Parameters
    ----------
    reservation : budget.Reservation
        The reservation, without the bytes that it waits for.
    size : int
        Number of further bytes.
    expires_at : float
        Time of the loop's clock, in seconds, at which it is refused.
    on_granted, on_refused : callable
        One of them is called once, unless the wait is cancelled.
    """

    __slots__ = (
        "expires_at",
        "on_granted",
        "on_refused",
        "reservation",
        "size",
    )

    def __init__(
        self,
        *,
        reservation: budget.Reservation,
        size: int,
        expires_at: float,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> None:
        self.reservation = reservation
        self.size = size
        self.expires_at = expires_at
        self.on_granted = on_granted
        self.on_refused = on_refused


class Room:
    """A budget, with those that wait for it and those that can be evicted.

    Parameters
    ----------
    account : budget.Budget
        The budget.
    """

    def __init__(self, *, account: budget.Budget) -> None:
        self.budget = account
        self.loop = asyncio.get_running_loop()
        self.evictions: list[Evict] = []
        # Waits in the order of their start.
        self.waits: dict[Wait, None] = {}
        self.timer: asyncio.TimerHandle | None = None
        self.retry_pending = False
        # If nothing could be evicted, it is not tried again before this time.
        self.next_eviction_at = 0.0
        account.on_release.append(self.schedule_retry)

    def open(self, holder: budget.Holder) -> budget.Reservation:
        """Return an empty reservation."""
        return budget.Reservation(budget=self.budget, holder=holder)

    def grow(self, reservation: budget.Reservation, size: int) -> bool:
        """Reserve more bytes now, with evictions if they are needed.

        Returns
        -------
        bool
            Whether the bytes are reserved. The memory of an aborted
            connection returns some turns of the loop later.
        """
        if reservation.try_grow(size) or self.find(reservation, size):
            return True
        self.budget.refused_count += 1
        return False

    def find(self, reservation: budget.Reservation, size: int) -> bool:
        """Reserve more bytes, evicting clients while that frees some."""
        while not reservation.try_grow(size):
            held_bytes = self.budget.held_bytes
            if not self.evict() or self.budget.held_bytes == held_bytes:
                return False
        return True

    def grow_or_wait(
        self,
        reservation: budget.Reservation,
        size: int,
        *,
        on_granted: Callable[[], None],
        on_refused: Callable[[], None],
    ) -> Wait | None:
        """Reserve more bytes now, or wait until they are free.

        Parameters
        ----------
        reservation : budget.Reservation
            Reservation to grow.
        size : int
            Number of further bytes.
        on_granted, on_refused : callable
            One of them is called once, perhaps before this method returns.

        Returns
        -------
        Wait or None
            The wait, for `cancel`; None if it has ended already.
        """
        if self.find(reservation, size):
            on_granted()
            return None
        total = reservation.size + size
        if (
            total > self.budget.allowed_bytes(total)
            or len(self.waits) >= MAX_WAITS
        ):
            self.budget.refused_count += 1
            on_refused()
            return None
        wait = Wait(
            reservation=reservation,
            size=size,
            expires_at=self.loop.time() + WAIT_SECONDS,
            on_granted=on_granted,
            on_refused=on_refused,
        )
        self.waits[wait] = None
        self.start_timer()
        return wait

    def cancel(self, wait: Wait | None) -> None:
        """End a wait, if there is one, without a call."""
        if wait is not None:
            self.waits.pop(wait, None)

    def schedule_retry(self) -> None:
        """Try the waits again in the next turn of the loop."""
        if self.waits and not self.retry_pending:
            self.retry_pending = True
            self.loop.call_soon(self.retry)

    def start_timer(self) -> None:
        """Try the waits again after a short time, unless that is due."""
        if self.waits and self.timer is None:
            self.timer = self.loop.call_later(RETRY_SECONDS, self.handle_timer)

    def handle_timer(self) -> None:
        """Evict for the waits and end those whose time is up."""
        self.timer = None
        self.evict()
        self.retry()
        now = self.loop.time()
        for wait in tuple(self.waits):
            if now >= wait.expires_at and wait in self.waits:
                del self.waits[wait]
                self.budget.refused_count += 1
                wait.on_refused()
        self.start_timer()

    def retry(self) -> None:
        """Grant the waits that fit, in their order."""
        self.retry_pending = False
        for wait in tuple(self.waits):
            fits = self.budget.fits(
                wait.size, total=wait.reservation.size + wait.size
            )
            if fits and wait in self.waits:
                del self.waits[wait]
                wait.reservation.grow(wait.size)
                wait.on_granted()

    def evict(self) -> bool:
        """Evict one client without progress; return whether there was one."""
        now = self.loop.time()
        if now < self.next_eviction_at:
            return False
        if any(evict() for evict in self.evictions):
            return True
        self.next_eviction_at = now + RETRY_SECONDS
        return False
