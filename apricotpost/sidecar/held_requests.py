"""Requests that a starting node holds until it can send them."""

import asyncio
from collections.abc import Callable

from apricotpost import http

__all__ = ["HeldRequests"]

# A node that has started receives the orders and the states of the others
# within this time, in seconds. Later, a request without a backend server is
# refused at once.
STARTUP_SECONDS = 1.5
# Longest time, in seconds, that a request is held. A refused client would come
# back after about as long, and may do so only once.
HOLD_SECONDS = 0.5
MAX_HELD_REQUESTS = 500


class HeldRequests:
    """Requests that arrived before the node could route them.

    Parameters
    ----------
    handle : callable
        Handles a request that was held, once there is news or its time is up.
    """

    def __init__(self, *, handle: Callable[[http.Exchange], None]) -> None:
        self.handle = handle
        self.loop = asyncio.get_running_loop()
        self.started_at = self.loop.time()
        # Held requests with the timers that end their time.
        self.held: dict[http.Exchange, asyncio.TimerHandle] = {}
        self.resume_pending = False

    def hold(self, exchange: http.Exchange) -> bool:
        """Hold a request if the node is starting and the request is new.

        Returns
        -------
        bool
            Whether the request is held; otherwise the caller answers it.
        """
        now = self.loop.time()
        if (
            now - self.started_at > STARTUP_SECONDS
            or now - exchange.arrived_at >= HOLD_SECONDS
            or len(self.held) >= MAX_HELD_REQUESTS
        ):
            return False

        def discard() -> None:
            timer = self.held.pop(exchange, None)
            if timer is not None:
                timer.cancel()

        exchange.on_disconnect = discard
        self.held[exchange] = self.loop.call_at(
            exchange.arrived_at + HOLD_SECONDS, self.release, exchange
        )
        return True

    def release(self, exchange: http.Exchange) -> None:
        """Handle a held request again."""
        timer = self.held.pop(exchange, None)
        if timer is not None:
            timer.cancel()
            exchange.on_disconnect = None
            self.handle(exchange)

    def schedule_resume(self) -> None:
        """Handle the held requests again in the next turn of the loop.

        Called after each change of the orders, the states and the connections.
        """
        if self.held and not self.resume_pending:
            self.resume_pending = True
            self.loop.call_soon(self.resume)

    def resume(self) -> None:
        """Handle the held requests again, in the order of their arrival."""
        self.resume_pending = False
        for exchange in tuple(self.held):
            self.release(exchange)
