"""Bodies that this node receives from other nodes in parts."""

import asyncio
from collections.abc import Callable
import typing

from apricotpost import memory
from apricotpost.memory import credit as credits
from apricotpost.sidecar import body_sender
from apricotpost import wire

__all__ = ["BodyReceiver", "Incoming"]


class Incoming:
    """A body that is being received, or waits for room.

    Parameters
    ----------
    message : wire.Offer or wire.Delivered
        Message without its body.
    node : str
        Node that sends the body.
    send : callable
        Sends a message on the connection to that node.
    on_complete : callable
        Called with this object and the reservation of its complete body,
        which the callee releases.
    on_failed : callable
        Called after the body was dropped because its sender has left the
        protocol or cannot be reached.
    began_at : float
        Time of its arrival, in seconds of the loop's clock.
    """

    __slots__ = (
        "began_at",
        "body",
        "message",
        "node",
        "on_complete",
        "on_failed",
        "reservation",
        "send",
        "timer",
    )

    def __init__(
        self,
        *,
        message: wire.Offer | wire.Delivered,
        node: str,
        send: body_sender.Send,
        on_complete: Callable[["Incoming", memory.Reservation], None],
        on_failed: Callable[[], None],
        began_at: float,
    ) -> None:
        self.message = message
        self.node = node
        self.send = send
        self.on_complete = on_complete
        self.on_failed = on_failed
        self.began_at = began_at
        self.body = bytearray()
        self.reservation: memory.Reservation | None = None
        self.timer: asyncio.TimerHandle | None = None

    def complete_body(self) -> bytes:
        """Return the assembled body; it is not copied into a bytes object."""
        return typing.cast(bytes, self.body)


class BodyReceiver:
    """Assemblies of bodies, bounded by the budget and by credit.

    Parameters
    ----------
    budget : memory.Budget
        Bytes that the node may hold.
    report_misfit : callable
        Logs a call and why its body ends.
    """

    def __init__(
        self,
        *,
        budget: memory.Budget,
        report_misfit: Callable[[str, str], None],
    ) -> None:
        self.budget = budget
        self.report_misfit = report_misfit
        self.loop = asyncio.get_running_loop()
        self.credit = credits.Credit(part_bytes=wire.MAX_PART_BYTES)
        # By call, in order of arrival.
        self.incoming: dict[str, Incoming] = {}
        self.admission_scheduled = False
        budget.on_release.append(self.schedule_admission)

    def receive(
        self, incoming: Incoming, reservation: memory.Reservation
    ) -> None:
        """Receive a body for which there is room."""
        call = incoming.message.call
        size = incoming.message.body_bytes
        self.incoming[call] = incoming
        incoming.reservation = reservation
        incoming.body = bytearray(size)
        credits.add(self.credit, call, size)
        self.send_grants()

    def receive_later(self, incoming: Incoming) -> None:
        """Receive a body as soon as there is room for it."""
        self.incoming[incoming.message.call] = incoming
        self.admit_waiting()

    def schedule_admission(self) -> None:
        """Look for room in the next turn of the loop, after a release."""
        if self.incoming and not self.admission_scheduled:
            self.admission_scheduled = True
            self.loop.call_soon(self.admit_waiting)

    def admit_waiting(self) -> None:
        """Receive the bodies that wait for room, in order of arrival."""
        self.admission_scheduled = False
        for incoming in tuple(self.incoming.values()):
            if incoming.reservation is not None:
                continue
            size = incoming.message.body_bytes
            if size > self.budget.limit_bytes:
                self.fail(incoming, f"{size} bytes exceed the memory")
                continue
            reservation = self.budget.reserve(memory.Holder.TRANSFER, size)
            if reservation is None:
                # Smaller ones behind it must not keep it from its turn.
                return
            self.receive(incoming, reservation)

    def send_grants(self) -> None:
        """Grant the free credit to the senders of bodies."""
        for grant in credits.next_grants(self.credit):
            incoming = self.incoming[grant.call]
            message = wire.BodyGrant(
                call=grant.call, granted_bytes=grant.granted_bytes
            )
            if not incoming.send(message):
                # Later: a failure may change the other bodies.
                self.loop.call_soon(
                    self.fail, incoming, "connection lost or blocked"
                )

    def handle_part(self, part: wire.BodyPart) -> None:
        """Store a part, and pass the message on with the last one."""
        incoming = self.incoming.get(part.call)
        if incoming is None:
            # The body was dropped while the part was under way.
            return
        size = len(part.data)
        if not credits.accepts(self.credit, part.call, part.offset, size):
            self.fail(incoming, f"part of {size} bytes at {part.offset}")
            return
        incoming.body[part.offset : part.offset + size] = part.data
        credits.record_received(self.credit, part.call, size)
        if not credits.is_complete(self.credit, part.call):
            self.send_grants()
            return
        reservation, incoming.reservation = incoming.reservation, None
        self.drop(part.call)
        assert reservation is not None
        incoming.on_complete(incoming, reservation)

    def fail(self, incoming: Incoming, error: str) -> None:
        """End a body that cannot be received to its end."""
        call = incoming.message.call
        if self.incoming.get(call) is not incoming:
            return
        self.report_misfit(call, error)
        self.drop(call)
        incoming.on_failed()

    def drop(self, call: str) -> bool:
        """Forget the body of a call; return False if there is none.

        The only place where an assembly and its reservation are given up.
        """
        incoming = self.incoming.pop(call, None)
        if incoming is None:
            return False
        if incoming.timer is not None:
            incoming.timer.cancel()
        if incoming.reservation is not None:
            incoming.reservation.release()
        credits.remove(self.credit, call)
        if self.incoming:
            # Later: the caller may be about to change the other bodies.
            self.loop.call_soon(self.send_grants)
        return True
