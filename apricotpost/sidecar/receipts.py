"""Responses of a node that other nodes have not confirmed yet."""

import msgspec

from apricotpost import wire

__all__ = ["Receipts"]

Answer = wire.Delivered | wire.Refused | wire.Failed


class Receipts:
    """Unconfirmed responses: large ones, and all of a stopping node.

    A process that exits while another node has not read a response cuts it:
    what ZeroMQ has not sent is dropped, and data that the exiting process has
    not read makes the operating system reset the connection.
    """

    def __init__(self) -> None:
        # Deadline of each unconfirmed call, in seconds of the loop's clock.
        self.deadlines: dict[str, float] = {}

    def request(
        self, answer: Answer, expires_at: float, *, now: float
    ) -> Answer:
        """Return the answer with the wish for a receipt if it has a response.

        Parameters
        ----------
        answer : wire.Delivered, wire.Refused or wire.Failed
            Answer to an offer of another node.
        expires_at : float
            Time, in seconds of the loop's clock, until which the other node
            waits for it.
        now : float
            Time of the loop's clock, in seconds.
        """
        if not isinstance(answer, wire.Delivered):
            return answer
        # Nodes that are lost never confirm.
        for call, deadline in tuple(self.deadlines.items()):
            if deadline < now:
                del self.deadlines[call]
        self.deadlines[answer.call] = expires_at
        return msgspec.structs.replace(answer, wants_receipt=True)

    def record(self, call: str) -> None:
        """Record that the response to a call has arrived."""
        self.deadlines.pop(call, None)

    def has_pending(self, now: float) -> bool:
        """Tell whether a node still waits for a response."""
        return any(now < deadline for deadline in self.deadlines.values())
