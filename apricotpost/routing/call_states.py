"""Data types of calls in flight: state, events and actions."""

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
    """Current time on both clocks: monotonic and Unix time, in seconds."""

    monotonic: float
    wall: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Draws:
    """Random numbers in [0, 1) for one choice of version and server."""

    version: float
    first: float
    second: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Attempt:
    """A call that was sent to an instance and waits for its answer.

    Parameters
    ----------
    reply_to : bytes
        Identity of the task that submitted the request.
    request : apricotpost.wire.CallRequest
        Submitted request.
    call : str
        Identifier of this attempt.
    number : int
        Number of attempts so far, including this one.
    instance : str
        Instance to which this attempt was sent.
    tried_instances : frozenset of str
        Instances that failed or refused earlier attempts.
    retried : bool
        Whether the request was repeated after an attempt that may have run.
    expires_at : float
        Unix time in seconds at which the attempt is hedged or given up.
    sibling : str
        Identifier of the other open attempt of the same request, if any.
    fallback : apricotpost.wire.CallResult, optional
        Result if no later attempt runs. Set once an attempt may have run,
        because "not run" would then be a wrong result.
    abandoned : bool
        Whether the caller has disconnected; no further attempt is sent.
    """

    reply_to: bytes
    request: wire.CallRequest
    call: str
    number: int
    instance: str
    tried_instances: frozenset[str]
    retried: bool
    expires_at: float
    sibling: str = ""
    fallback: wire.CallResult | None = None
    abandoned: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallState:
    """Calls in flight and the known load of the backend servers."""

    data_centre: str
    attempts: Mapping[str, Attempt] = dataclasses.field(default_factory=dict)
    loads: Mapping[str, choices.PeerLoad] = dataclasses.field(
        default_factory=dict
    )
    budget: retries.Budget = retries.Budget()
    sequence: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Submitted:
    """A task submitted a request."""

    reply_to: bytes
    request: wire.CallRequest


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerGone:
    """The caller of a request closed its connection."""

    request: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answered:
    """A gate's response to a call arrived."""

    message: wire.Answer | wire.NotRun | wire.OutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendFailed:
    """A call could not be passed to a connection; nothing was sent."""

    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TimedOut:
    """Timer event: expired attempts are hedged or given up."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SendCall:
    """Send a call to an instance."""

    instance: model.InstanceRecord
    call: wire.Call


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CancelCall:
    """Notify an instance that the answer to a call is no longer needed."""

    instance: str
    call: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finish:
    """Return the result to the task that submitted the request."""

    reply_to: bytes
    result: wire.CallResult


Event = Submitted | CallerGone | Answered | SendFailed | TimedOut
Action = SendCall | CancelCall | Finish
Step = tuple[CallState, tuple[Action, ...]]
