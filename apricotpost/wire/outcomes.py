"""Reasons why a call has no answer, and its cancellation.

Both node programs use them; the other messages are imported by one only.
"""

import dataclasses
import enum

__all__ = ["Cancel", "KINDS", "NotRunReason", "UnknownReason"]


class NotRunReason(enum.StrEnum):
    """Why a call was refused before it reached the backend server."""

    GATE_FULL = "gate-full"
    DRAINING = "draining"
    DEADLINE_PASSED = "deadline-passed"
    CANCELLED = "cancelled"
    DATA_CENTRE_OUT = "data-centre-out"
    VERSION_WITHDRAWN = "version-withdrawn"
    COLD = "cold"
    NO_BACKEND_SERVER = "no-backend-server"
    NOT_SENT = "not-sent"
    NOT_READY = "not-ready"
    NO_ROUTE = "no-route"
    LOOP = "loop"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    DUPLICATE_CALL = "duplicate-call"


class UnknownReason(enum.StrEnum):
    """Why the outcome of a call is not known."""

    TIMEOUT = "timeout"
    CONNECTION_LOST = "connection-lost"
    BODY_INCOMPLETE = "body-incomplete"
    NODE_LOST = "node-lost"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancel:
    """The caller no longer waits for this call."""

    call: str


KINDS: dict[int, type] = {5: Cancel}
