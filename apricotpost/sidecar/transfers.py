"""Calls between nodes whose bodies travel in parts."""

import asyncio
from collections.abc import Callable
import logging

import msgspec

from apricotpost import events
from apricotpost import memory
from apricotpost.sidecar import body_receiver
from apricotpost.sidecar import body_sender
from apricotpost.sidecar import metrics
from apricotpost import wire

__all__ = ["Transfers"]

_LOG = logging.getLogger(__name__)

# Retry-After of an offer whose body does not fit into the memory. Bodies are
# held for the time of a request, a few hundred milliseconds.
RETRY_MS = 300

Answer = body_sender.Answer
Reply = Callable[[Answer], None]
Send = body_sender.Send


class Transfers:
    """Passes offers and answers of other nodes on once they are complete.

    Offers reach the gate, and responses the dispatcher, only with their
    complete bodies. All bytes that other nodes' offers hold here are reserved
    in the budget, those of small bodies as well.

    Parameters
    ----------
    budget : memory.Budget
        Bytes that the node may hold.
    handle_offer : callable
        Passes a complete offer and its reply on to the gate.
    handle_answer : callable
        Passes the complete answer to an offer on to the dispatcher.
    find_refusal : callable
        Returns why the gate refuses all offers for a service, or None.
    find_deadline : callable
        Returns the time until which the dispatcher waits for the answer to a
        call, in seconds of the loop's clock, or None if it does not wait.
    receives_parts : callable
        Tells whether a node, by name, receives bodies in parts.
    instruments : metrics.Metrics
        Metrics of the node.
    """

    def __init__(
        self,
        *,
        budget: memory.Budget,
        handle_offer: Callable[[wire.Offer, Reply], None],
        handle_answer: Callable[[Answer], None],
        find_refusal: Callable[[str], wire.NotRunReason | None],
        find_deadline: Callable[[str], float | None],
        receives_parts: Callable[[str], bool],
        instruments: metrics.Metrics,
    ) -> None:
        self.budget = budget
        self.handle_offer = handle_offer
        self.handle_answer = handle_answer
        self.find_refusal = find_refusal
        self.find_deadline = find_deadline
        self.instruments = instruments
        self.loop = asyncio.get_running_loop()
        self.sender = body_sender.BodySender(
            budget=budget,
            handle_answer=handle_answer,
            receives_parts=receives_parts,
            report_misfit=report_misfit,
        )
        self.receiver = body_receiver.BodyReceiver(
            budget=budget, report_misfit=report_misfit
        )
        # Bodies of offers that the gate has, by call.
        self.held: dict[str, memory.Reservation] = {}

    # Offers of other nodes.

    def receive_offer(
        self, offer: wire.Offer, *, node: str, send: Send, reply: Reply
    ) -> None:
        """Pass an offer on to the gate once it is complete, or refuse it.

        Parameters
        ----------
        offer : wire.Offer
            The offer, perhaps without its body.
        node : str
            Node that has sent it.
        send : callable
            Sends a message on the connection that the offer came on.
        reply : callable
            Sends the answer to the offer.
        """
        size = offer.body_bytes or len(offer.body)
        if not size:
            self.handle_offer(offer, reply)
            return
        if offer.call in self.receiver.incoming or offer.call in self.held:
            report_misfit(offer.call, "second offer of a call")
            return
        if offer.body_bytes:
            reason = self.find_refusal(offer.service)
            if reason is not None:
                # Nothing is gained by receiving its body first.
                self.refuse(offer, reply, reason)
                return
        reservation = self.budget.reserve(memory.Holder.TRANSFER, size)
        if reservation is None:
            self.refuse(offer, reply, wire.NotRunReason.GATE_FULL)
        elif offer.body_bytes:
            self.assemble_offer(offer, node, send, reply, reservation)
        else:
            self.pass_on_offer(offer, reply, reservation)

    def refuse(
        self, offer: wire.Offer, reply: Reply, reason: wire.NotRunReason
    ) -> None:
        """Refuse an offer that the gate has not seen."""
        self.instruments.transfers.add("request", reason)
        reply(
            wire.Refused(
                call=offer.call,
                reason=reason,
                retry_after_ms=RETRY_MS,
                rejected_by_backend=False,
                load=None,
            )
        )

    def assemble_offer(
        self,
        offer: wire.Offer,
        node: str,
        send: Send,
        reply: Reply,
        reservation: memory.Reservation,
    ) -> None:
        """Receive the body of an offer."""

        def refuse(
            reason: wire.NotRunReason = wire.NotRunReason.GATE_FULL,
        ) -> None:
            self.receiver.drop(offer.call)
            self.refuse(offer, reply, reason)

        def pass_on(
            incoming: body_receiver.Incoming, complete: memory.Reservation
        ) -> None:
            elapsed_ms = int((self.loop.time() - incoming.began_at) * 1000)
            self.instruments.transfers.add("request", "complete")
            whole = msgspec.structs.replace(
                offer,
                body=incoming.complete_body(),
                body_bytes=0,
                remaining_ms=offer.remaining_ms - elapsed_ms,
                objective_ms=offer.objective_ms - elapsed_ms,
            )
            self.pass_on_offer(whole, reply, complete)

        incoming = body_receiver.Incoming(
            message=offer,
            node=node,
            send=send,
            on_complete=pass_on,
            on_failed=refuse,
            began_at=self.loop.time(),
        )
        incoming.timer = self.loop.call_later(
            offer.remaining_ms / 1000.0,
            refuse,
            wire.NotRunReason.DEADLINE_PASSED,
        )
        self.receiver.receive(incoming, reservation)

    def pass_on_offer(
        self, offer: wire.Offer, reply: Reply, reservation: memory.Reservation
    ) -> None:
        """Pass an offer on to the gate; its reply releases its bytes."""
        self.held[offer.call] = reservation

        def release_and_reply(answer: Answer) -> None:
            self.release(offer.call)
            reply(answer)

        self.handle_offer(offer, release_and_reply)

    def release(self, call: str) -> None:
        """Release the bytes of an offer that the gate no longer has."""
        reservation = self.held.pop(call, None)
        if reservation is not None:
            reservation.release()

    # Answers of other nodes.

    def receive_answer(self, answer: Answer, *, node: str, send: Send) -> None:
        """Pass an answer on to the dispatcher once it is complete.

        Parameters
        ----------
        answer : wire.Delivered, wire.Refused or wire.Failed
            The answer, perhaps without its body.
        node : str
            Node that has sent it.
        send : callable
            Sends a message on the connection that the answer came on.
        """
        # The rest of the offer's body is not needed any more, and a failure
        # replaces a response that its sender cannot send to its end.
        self.drop(answer.call)
        if isinstance(answer, wire.Delivered):
            if answer.body_bytes:
                self.assemble_answer(answer, node, send)
                return
            confirm(answer, send)
        self.handle_answer(answer)

    def assemble_answer(
        self, answer: wire.Delivered, node: str, send: Send
    ) -> None:
        """Receive the body of a response, perhaps after a wait for room.

        The request has run, so that it cannot be refused.
        """
        deadline = self.find_deadline(answer.call)
        if deadline is None:
            send(wire.Cancel(call=answer.call))
            self.handle_answer(answer)
            return

        def fail() -> None:
            send(wire.Cancel(call=answer.call))
            self.instruments.transfers.add("response", "failed")
            self.handle_answer(body_sender.fail(answer))

        def pass_on(
            incoming: body_receiver.Incoming, complete: memory.Reservation
        ) -> None:
            self.instruments.transfers.add("response", "complete")
            confirm(answer, send)
            # The connection of the caller accounts for the response now.
            complete.release()
            whole = msgspec.structs.replace(
                answer, body=incoming.complete_body(), body_bytes=0
            )
            self.handle_answer(whole)

        incoming = body_receiver.Incoming(
            message=answer,
            node=node,
            send=send,
            on_complete=pass_on,
            on_failed=fail,
            began_at=self.loop.time(),
        )
        incoming.timer = self.loop.call_at(
            deadline + body_sender.ANSWER_GRACE_SECONDS, self.drop, answer.call
        )
        self.receiver.receive_later(incoming)

    # Ends.

    def drop(self, call: str) -> None:
        """Forget the bodies of a call that are under way."""
        self.sender.drop(call)
        if self.receiver.drop(call):
            self.instruments.transfers.add("body", "dropped")

    def handle_node_lost(self, node: str) -> None:
        """End the bodies from and to a node whose connection is lost.

        An offer whose body was not sent to its end has not run, and one whose
        body is incomplete here is refused. The dispatcher decides on the
        requests whose responses are lost.
        """
        self.sender.handle_node_lost(node)
        for call, incoming in tuple(self.receiver.incoming.items()):
            if (
                incoming.node != node
                or self.receiver.incoming.get(call) is not incoming
            ):
                continue
            self.drop(call)
            if isinstance(incoming.message, wire.Offer):
                incoming.on_failed()

    def has_open_offers(self) -> bool:
        """Tell whether offers are open whose bodies are incomplete."""
        return any(
            isinstance(incoming.message, wire.Offer)
            for incoming in self.receiver.incoming.values()
        )


def confirm(answer: wire.Delivered, send: Send) -> None:
    """Confirm a complete response to its sender if it asks so."""
    if answer.wants_receipt:
        send(wire.Receipt(call=answer.call))


def report_misfit(call: str, error: str) -> None:
    """Log why a body ends before it is complete."""
    events.emit(_LOG, events.TRANSFER_ENDED, call=call, error=error)
