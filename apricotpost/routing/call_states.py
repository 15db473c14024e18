"""Values of calls in flight: state, events and actions."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost.routing import choices
from apricotpost.routing import retries
from apricotpost import wire

__all__ = [
    "Action",
    "Answered",
    "Attempt",
    "CallState",
    "CallerGone",
    "CancelCall",
    "Draws",
    "Event",
    "Finish",
    "Now",
    "SendCall",
    "SendFailed",
    "Step",
    "Submitted",
    "TimedOut",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Now:
    """Both clocks: monotonic and Unix time, in seconds."""

    monotonic: float
    wall: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draws:
    """Random numbers from 0 up to 1 for one choice."""

    version: float
    first: float
    second: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """A call that waits for its answer.

    Parameters
    ----------
    reply_to : bytes
        Identity of the task that asked.
    request : apricotpost.wire.CallRequest
        What it asked for.
    call : str
        Identifier of the present attempt.
    number : int
        Attempts so far, this one included.
    instance : str
        Where the present attempt went.
    tried : frozenset of str
        Instances that failed or refused.
    retried : bool
        Whether a call that may have run was repeated.
    gives_up_at : float
        Unix time in seconds.
    sibling : str
        Identifier of another open attempt of the same request.
    fallback : apricotpost.wire.CallResult, optional
        Result if no later attempt runs; set once an attempt may have run,
        because "not run" would be untrue from then on.
    abandoned : bool
        Whether the caller no longer waits; nothing is sent for it.
    """

    reply_to: bytes
    request: wire.CallRequest
    call: str
    number: int
    instance: str
    tried: frozenset[str]
    retried: bool
    gives_up_at: float
    sibling: str = ""
    fallback: wire.CallResult | None = None
    abandoned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallState:
    """Calls in flight and what is known of backend servers' load."""

    data_centre: str
    attempts: Mapping[str, Attempt] = dataclasses.field(default_factory=dict)
    loads: Mapping[str, choices.PeerLoad] = dataclasses.field(
        default_factory=dict
    )
    budget: retries.Budget = retries.Budget()
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submitted:
    """A task asks for a call."""

    reply_to: bytes
    request: wire.CallRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller of a request closed its connection."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A gate answered."""

    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFailed:
    """A call could not be handed to a connection; nothing was sent."""

    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """Time has passed; overdue attempts are given up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCall:
    """Send a call to an instance."""

    instance: model.InstanceRecord
    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelCall:
    """Tell an instance that nobody waits any more."""

    instance: str
    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Hand the result to the task that asked."""

    reply_to: bytes
    result: wire.CallResult


Event = Submitted | CallerGone | Answered | SendFailed | TimedOut
Action = SendCall | CancelCall | Finish
Step = tuple[CallState, tuple[Action, ...]]
