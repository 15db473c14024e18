"""Credit that a node grants to the senders of large bodies.

A sender may only send what the receiver has granted, so that no sender fills
the memory of another node. Grants bound what is under way; the budget bounds
what is assembled.
"""

from collections.abc import Iterator
import dataclasses

__all__ = [
    "Credit",
    "Grant",
    "accepts",
    "add",
    "is_complete",
    "next_grants",
    "record_received",
    "remove",
    "split_into_parts",
]

# Unused grants of one node in total, and of one body. A round trip between
# data centres takes 1.4 ms, in which a link of 1,000 Mbit/s carries 175 KB.
WINDOW_BYTES = 4 * 1024 * 1024
BODY_WINDOW_BYTES = 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Grant:
    """Offset up to which the bytes of a call's body are accepted."""

    call: str
    granted_bytes: int


class _Body:
    """Size of a body, and how much of it is granted and received."""

    __slots__ = ("granted", "received", "size")

    def __init__(self, size: int) -> None:
        self.size = size
        self.granted = 0
        self.received = 0


class Credit:
    """Bodies that a node receives, in the order of their arrival.

    Parameters
    ----------
    part_bytes : int
        Largest size of one part. Smaller grants are given only for the end
        of a body, as each grant and each part costs a message.
    window_bytes, body_window_bytes : int
        Largest sum of the unused grants of all bodies, and of one.
    """

    def __init__(
        self,
        *,
        part_bytes: int,
        window_bytes: int = WINDOW_BYTES,
        body_window_bytes: int = BODY_WINDOW_BYTES,
    ) -> None:
        self.part_bytes = part_bytes
        self.window_bytes = window_bytes
        self.body_window_bytes = body_window_bytes
        self.bodies: dict[str, _Body] = {}
        # Bytes that are granted and have not arrived.
        self.unused_bytes = 0


def add(credit: Credit, call: str, size: int) -> None:
    """Add a body that no credit has been granted for yet."""
    credit.bodies[call] = _Body(size)


def remove(credit: Credit, call: str) -> None:
    """Remove a complete or dropped body; its unused credit is free again."""
    body = credit.bodies.pop(call, None)
    if body is not None:
        credit.unused_bytes -= body.granted - body.received


def next_grants(credit: Credit) -> tuple[Grant, ...]:
    """Grant the free credit to the bodies in their order of arrival.

    Returns
    -------
    tuple of Grant
        Grants to send, at most one for each body.
    """
    grants = []
    for call, body in credit.bodies.items():
        free = credit.window_bytes - credit.unused_bytes
        if free <= 0:
            break
        unused = body.granted - body.received
        wanted = min(
            credit.body_window_bytes - unused, body.size - body.granted
        )
        if not _is_worth_sending(credit, body, wanted):
            continue
        amount = min(wanted, free)
        if not _is_worth_sending(credit, body, amount):
            # The body keeps its turn until enough of the window is free.
            break
        body.granted += amount
        credit.unused_bytes += amount
        grants.append(Grant(call=call, granted_bytes=body.granted))
    return tuple(grants)


def _is_worth_sending(credit: Credit, body: _Body, amount: int) -> bool:
    return amount >= credit.part_bytes or (
        0 < amount == body.size - body.granted
    )


def accepts(credit: Credit, call: str, offset: int, size: int) -> bool:
    """Tell whether a part is the next one of its body and within its grant."""
    body = credit.bodies.get(call)
    return (
        body is not None
        and offset == body.received
        and 0 < size <= credit.part_bytes
        and offset + size <= body.granted
    )


def record_received(credit: Credit, call: str, size: int) -> None:
    """Count the bytes of an accepted part."""
    credit.bodies[call].received += size
    credit.unused_bytes -= size


def is_complete(credit: Credit, call: str) -> bool:
    """Tell whether all bytes of a body have arrived."""
    body = credit.bodies[call]
    return body.received == body.size


def split_into_parts(
    sent: int, granted: int, part_bytes: int
) -> Iterator[tuple[int, int]]:
    """Yield start and end of the parts that a sender may send now.

    Parameters
    ----------
    sent, granted : int
        Offsets up to which the body has been sent and may be sent.
    part_bytes : int
        Largest size of one part.
    """
    for start in range(sent, granted, part_bytes):
        yield start, min(start + part_bytes, granted)
