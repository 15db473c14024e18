"""A request that a listener has received, and its response."""

from collections.abc import Callable
import dataclasses
import typing

from apricotpost.http import messages
from apricotpost import memory

__all__ = ["Exchange"]


class Exchange:
    """One request and its response.

    Parameters
    ----------
    connection : Connection
        Connection that received the request.
    request : messages.Request
        The complete request.
    keep_alive : bool
        Whether the connection stays open after the response.
    arrived_at : float
        Time on the event loop's clock, in seconds.
    held : tuple of memory.Reservation
        Reservations that end with the response: for the head and the state of
        the request, and for a small body.
    """

    __slots__ = (
        "arrived_at",
        "connection",
        "held",
        "keep_alive",
        "on_disconnect",
        "request",
        "response_parts",
        "unsent",
    )

    def __init__(
        self,
        *,
        connection: typing.Any,
        request: messages.Request,
        keep_alive: bool,
        arrived_at: float,
        held: tuple[memory.Reservation, ...] = (),
    ) -> None:
        self.connection = connection
        self.request = request
        self.keep_alive = keep_alive
        self.arrived_at = arrived_at
        self.held = held
        self.on_disconnect: Callable[[], None] | None = None
        self.response_parts: tuple[messages.Body, ...] | None = None
        # Reservation of a response whose body has none of its own.
        self.unsent: memory.Reservation | None = None

    def respond(
        self, response: messages.Response, *, close: bool = False
    ) -> None:
        """Send the response once all earlier ones on the connection are sent.

        Later calls for the same request have no effect. Without room for the
        body of a response, the client gets 502 instead: the request may have
        run.
        """
        if self.response_parts is not None:
            return
        self.on_disconnect = None
        if close or self.connection.listener.closing:
            self.keep_alive = False
        is_head_request = self.request.method == b"HEAD"
        self.release_request()
        if not self.reserve_response(response.body):
            response = messages.Response(status=502)
        self.response_parts = messages.split_response(
            response, close=not self.keep_alive, head=is_head_request
        )
        self.connection.flush()

    def reserve_response(self, body: messages.Body) -> bool:
        """Count a response as unsent; return False if it has no room.

        A small one that is written at once is counted only if its client
        does not read it at once.
        """
        if len(body) <= memory.SMALL_BYTES and self.connection.is_next(self):
            return True
        reservation = memory.find_reservation(body)
        if reservation is not None:
            reservation.move(memory.Holder.UNSENT)
            return True
        room = self.connection.listener.room
        unsent: memory.Reservation = room.open(memory.Holder.UNSENT)
        if not room.grow(unsent, len(body)):
            return False
        self.unsent = unsent
        return True

    def discard(self) -> None:
        """Drop the request; a response that comes later is not sent."""
        self.release_request()
        self.response_parts = ()
        if self.unsent is not None:
            self.unsent.release()
        on_disconnect, self.on_disconnect = self.on_disconnect, None
        if on_disconnect is not None:
            on_disconnect()

    def release_request(self) -> None:
        """Let go of the request's body, and return the reservations."""
        if memory.find_reservation(self.request.body) is not None:
            self.request = dataclasses.replace(self.request, body=b"")
        for reservation in self.held:
            reservation.release()
        self.held = ()
