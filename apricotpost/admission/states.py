"""Values of the gate: state, events and actions."""

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
    "Policy",
    "Respond",
    "Run",
    "Step",
    "Tick",
    "Waiting",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """What the view in force says about the local backend server.

    Parameters
    ----------
    ready : bool
        Whether the node holds a configuration.
    data_centre_out : bool
        Whether the data centre takes no new work.
    withdrawn : bool
        Whether the backend server's version is withdrawn.
    """

    ready: bool = True
    data_centre_out: bool = False
    withdrawn: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Waiting:
    """A call and the task that waits for its answer."""

    reply_to: bytes
    call: wire.Call
    since: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateState:
    """State of the gate; times are of the monotonic clock, in seconds."""

    limit: limits.Limit
    running: Mapping[str, Waiting] = dataclasses.field(default_factory=dict)
    queue: tuple[Waiting, ...] = ()
    known_calls: recent.Recent = recent.Recent()
    announced: wire.BackendServerAnnounced | None = None
    announced_at: float = 0.0
    draining: bool = False
    drain_from: float = 0.0
    was_out: bool = False
    refused_connection: bool = False
    duplicates: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Arrived:
    """A call came in."""

    reply_to: bytes
    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Cancelled:
    """The caller of a call no longer waits."""

    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """A backend worker finished a call."""

    result: wire.BackendResult


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Announced:
    """The backend server introduced itself."""

    announcement: wire.BackendServerAnnounced


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DrainStarted:
    """From ``refuse_from`` on new calls are refused."""

    refuse_from: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """Hand a call to a backend worker."""

    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Respond:
    """Answer the task that sent the call."""

    reply_to: bytes
    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown


Event = Arrived | Cancelled | Finished | Announced | DrainStarted | Tick
Action = Run | Respond
Step = tuple[GateState, tuple[Action, ...]]
