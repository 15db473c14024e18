"""Data types of the gate: state, events and actions."""

from collections.abc import Mapping
import dataclasses

from apricotpost.admission import limits
from apricotpost.admission import recent
from apricotpost import wire

__all__ = [
    "Action",
    "Announced",
    "Arrived",
    "Cancelled",
    "DrainStarted",
    "Event",
    "Finished",
    "GateState",
    "PendingCall",
    "Policy",
    "Respond",
    "Run",
    "Step",
    "Tick",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Rules from the view in force for the local backend server.

    Parameters
    ----------
    ready : bool
        Whether the node holds a configuration.
    data_centre_out : bool
        Whether the data centre is taken out of service for new calls.
    withdrawn : bool
        Whether the backend server's version is withdrawn.
    """

    ready: bool = True
    data_centre_out: bool = False
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PendingCall:
    """A queued or running call and the task that waits for the response."""

    reply_to: bytes
    call: wire.Call
    arrived_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateState:
    """State of the gate; times are of the monotonic clock, in seconds."""

    limit: limits.Limit
    running: Mapping[str, PendingCall] = dataclasses.field(
        default_factory=dict
    )
    queue: tuple[PendingCall, ...] = ()
    known_calls: recent.RecentCalls = recent.RecentCalls()
    announced: wire.BackendServerAnnounced | None = None
    announced_at: float = 0.0
    draining: bool = False
    refuse_new_calls_at: float = 0.0
    data_centre_was_out: bool = False
    refused_connection: bool = False
    duplicates: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """A call arrived at the gate."""

    reply_to: bytes
    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """The caller cancelled a call."""

    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """A backend worker finished a call."""

    result: wire.BackendResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announced:
    """The backend server announced itself."""

    announcement: wire.BackendServerAnnounced


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """A drain began; new calls are refused from ``refuse_from`` on."""

    refuse_from: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Timer event: queued calls may have timed out."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Pass a call to a backend worker."""

    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Respond:
    """Send a response to the task that submitted the call."""

    reply_to: bytes
    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown


Event = Arrived | Cancelled | Finished | Announced | DrainStarted | Tick
Action = Run | Respond
Step = tuple[GateState, tuple[Action, ...]]
