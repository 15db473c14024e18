"""Bodies that this node sends to other nodes in parts."""

import asyncio
from collections.abc import Callable
import typing

import msgspec

from apricotpost import memory
from apricotpost.memory import credit as credits
from apricotpost import wire

__all__ = [
    "Answer",
    "BodySender",
    "MAX_INLINE_BYTES",
    "Send",
    "fail",
    "fits",
]

# Larger bodies are sent in parts.
MAX_INLINE_BYTES = 64 * 1024
# Largest body for a node that does not receive parts: with its headers, it
# stays below the limit of messages.
MAX_UNSUPPORTED_BYTES = 2 * 1024 * 1024
# Headers of a response that leave room for an inline body in one message. A
# larger message would close the connection with all calls on it.
MAX_HEADER_BYTES = 1024 * 1024
# Time after the deadline of a call at which the node of its caller has
# certainly given the response up.
ANSWER_GRACE_SECONDS = 0.5

Answer = wire.Delivered | wire.Refused | wire.Failed
# Sends a message to the other node; returns False if nothing was sent.
Send = Callable[[wire.Message], bool]


class Outgoing:
    """A body whose parts are sent as they are granted.

    Parameters
    ----------
    body : bytes-like
        The body; it is referred to, not copied.
    node : str
        Node that receives it.
    fallback : wire.Refused or wire.Failed
        Outcome of the call if the body cannot be sent to its end: `Refused`
        for an offer, which the gate gets only with its whole body.
    """

    __slots__ = ("body", "fallback", "node", "reservation", "sent", "timer")

    def __init__(
        self,
        *,
        body: bytes | bytearray,
        node: str,
        fallback: wire.Refused | wire.Failed,
    ) -> None:
        self.body = memoryview(body)
        self.node = node
        self.fallback = fallback
        self.sent = 0
        self.reservation: memory.Reservation | None = None
        self.timer: asyncio.TimerHandle | None = None


class BodySender:
    """Bodies of this node's offers and responses that are under way.

    Parameters
    ----------
    budget : memory.Budget
        Bytes that the node may hold.
    handle_answer : callable
        Passes the outcome of an offer on to the dispatcher.
    receives_parts : callable
        Tells whether a node, by name, receives bodies in parts.
    report_misfit : callable
        Logs a call and why its body ends.
    """

    def __init__(
        self,
        *,
        budget: memory.Budget,
        handle_answer: Callable[[Answer], None],
        receives_parts: Callable[[str], bool],
        report_misfit: Callable[[str, str], None],
    ) -> None:
        self.budget = budget
        self.handle_answer = handle_answer
        self.receives_parts = receives_parts
        self.report_misfit = report_misfit
        self.loop = asyncio.get_running_loop()
        self.outgoing: dict[str, Outgoing] = {}

    def send_offer(self, node: str, offer: wire.Offer, send: Send) -> bool:
        """Send an offer, its body later if it is large.

        Returns
        -------
        bool
            Whether the offer was sent.
        """
        size = len(offer.body)
        if size <= MAX_INLINE_BYTES:
            return send(offer)
        if not self.receives_parts(node):
            return size <= MAX_UNSUPPORTED_BYTES and send(offer)
        head = msgspec.structs.replace(offer, body=b"", body_bytes=size)
        if not send(head):
            return False
        self.outgoing[offer.call] = Outgoing(
            body=offer.body,
            node=node,
            fallback=wire.Refused(
                call=offer.call,
                reason=wire.NotRunReason.NOT_SENT,
                retry_after_ms=0,
                rejected_by_backend=False,
                load=None,
            ),
        )
        return True

    def send_answer(
        self,
        message: wire.Delivered,
        *,
        node: str,
        expires_at: float,
        send: Callable[[wire.Delivered], None],
    ) -> None:
        """Send a large response; its body follows as it is granted.

        Parameters
        ----------
        message : wire.Delivered
            The complete response.
        node : str
            Node that has made the call.
        expires_at : float
            Time until which that node waits, in seconds of the loop's clock.
        send : callable
            Sends the response without its body.
        """
        size = len(message.body)
        outgoing = Outgoing(
            body=message.body,
            node=node,
            fallback=fail(message),
        )
        # A response that does not fit has run and is held all the same.
        outgoing.reservation = self.budget.reserve(
            memory.Holder.RESPONSE, size
        )
        outgoing.timer = self.loop.call_at(
            expires_at + ANSWER_GRACE_SECONDS, self.drop, message.call
        )
        self.outgoing[message.call] = outgoing
        send(msgspec.structs.replace(message, body=b"", body_bytes=size))

    def handle_grant(self, grant: wire.BodyGrant, send: Send) -> None:
        """Send the parts that the receiver of a body accepts.

        Parameters
        ----------
        grant : wire.BodyGrant
            The grant.
        send : callable
            Sends a message on the connection that the grant came on.
        """
        outgoing = self.outgoing.get(grant.call)
        if outgoing is None:
            return
        if not outgoing.sent < grant.granted_bytes <= len(outgoing.body):
            self.report_misfit(grant.call, f"grant of {grant.granted_bytes}")
            self.abort(grant.call, outgoing, send)
            return
        for start, end in credits.split_into_parts(
            outgoing.sent, grant.granted_bytes, wire.MAX_PART_BYTES
        ):
            part = wire.BodyPart(
                call=grant.call,
                offset=start,
                data=typing.cast(bytes, outgoing.body[start:end]),
            )
            if not send(part):
                self.report_misfit(grant.call, "connection lost or blocked")
                self.abort(grant.call, outgoing, send)
                return
        outgoing.sent = grant.granted_bytes
        if outgoing.sent == len(outgoing.body):
            self.drop(grant.call)

    def abort(self, call: str, outgoing: Outgoing, send: Send) -> None:
        """End a body that cannot be sent to its end."""
        self.drop(call)
        if isinstance(outgoing.fallback, wire.Failed):
            send(outgoing.fallback)
            return
        send(wire.Cancel(call=call))
        self.handle_answer(outgoing.fallback)

    def drop(self, call: str) -> None:
        """Forget the body of a call, if it is under way."""
        outgoing = self.outgoing.pop(call, None)
        if outgoing is None:
            return
        if outgoing.timer is not None:
            outgoing.timer.cancel()
        if outgoing.reservation is not None:
            outgoing.reservation.release()

    def handle_node_lost(self, node: str) -> None:
        """Report the offers that have not reached a lost node completely.

        Responses go on: they use the connection that the other node opened.
        """
        for call, outgoing in tuple(self.outgoing.items()):
            if (
                outgoing.node == node
                and isinstance(outgoing.fallback, wire.Refused)
                and self.outgoing.get(call) is outgoing
            ):
                self.drop(call)
                self.handle_answer(outgoing.fallback)


def fits(answer: wire.Delivered) -> bool:
    """Tell whether the headers of a response fit into a message."""
    size = sum(len(name) + len(value) for name, value in answer.headers)
    return size <= MAX_HEADER_BYTES


def fail(answer: wire.Delivered) -> wire.Failed:
    """Return the outcome of a call whose response cannot be passed on."""
    return wire.Failed(
        call=answer.call,
        reason=wire.UnknownReason.BODY_INCOMPLETE,
        ran_ms=answer.ran_ms,
        load=answer.load,
    )
