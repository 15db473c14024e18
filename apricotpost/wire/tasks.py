"""Messages between the tasks of one node; they never leave the process."""

import dataclasses
import enum

from apricotpost import model
from apricotpost.wire import messages

__all__ = [
    "BackendJob",
    "BackendResult",
    "BackendServerAnnounced",
    "CallMeasured",
    "CallRequest",
    "CallResult",
    "CallerLeft",
    "ConfigCommitted",
    "ConfigRead",
    "GateControl",
    "GateReport",
    "KINDS",
    "LevelsReply",
    "LevelsRequest",
    "LeaveAnnounced",
    "Outcome",
    "ReadConfig",
    "StatusReply",
    "StatusRequest",
    "StopTask",
    "WorkerReady",
]


class Outcome(enum.StrEnum):
    """What is known about a call when it ends."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Ingress asks dispatch to carry a call out.

    ``request`` is unique; the result repeats it, so that a late result is
    never taken for that of a later request.
    """

    request: str
    route: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: float
    depth: int
    retried: bool


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallerLeft:
    """Ingress tells dispatch that a request's caller hung up.

    The result is still handed over, as the call may have run.
    """

    request: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Dispatch tells ingress how a call ended.

    ``retried`` says whether a failed attempt was repeated, here or below.
    """

    request: str
    outcome: Outcome
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: str = ""
    attempts: int = 0
    retried: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendJob:
    """The gate hands a call to a backend worker.

    ``address`` is that of the backend server, as IP:PORT.
    """

    call: messages.Call
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReady:
    """A backend worker waits for its first call."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendResult:
    """A backend worker finished a call.

    ``duration_ms`` is the time the backend server took, in milliseconds.
    """

    call: str
    outcome: Outcome
    status: int = 0
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    reason: str = ""
    duration_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendServerAnnounced:
    """The backend server beside this node introduced itself.

    ``leaving`` says that it asks for no more calls.
    """

    service: str
    version: str
    address: str
    slots: int
    connections: int
    cold: bool = True
    leaving: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateControl:
    """The main thread tells the gate to start a drain.

    New calls are refused after ``notice_seconds``; a later message can only
    shorten that time.
    """

    drain: bool
    notice_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateReport:
    """The gate tells control its load and outcome counts once a second."""

    load: model.Load
    backend_server_up: bool
    evidence: tuple[model.Evidence, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadConfig:
    """Control asks the platform task for everything after ``have``."""

    have: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRead:
    """What the platform task found.

    ``available`` says whether the table answered. ``snapshot`` is set when
    the deltas after ``have`` were not all there.
    """

    available: bool
    head: int = 0
    deltas: tuple[model.Delta, ...] = ()
    snapshot: model.Snapshot | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigCommitted:
    """A version was committed at this node.

    With its ``delta`` it spreads even when the table goes out at once.
    """

    version: int
    delta: model.Delta | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaveAnnounced:
    """The node is about to drain and tells its peers."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """Asks control for its state."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusReply:
    """State of a node for operators."""

    instance: str
    data_centre: str
    ready: bool
    version: int
    checksum: str
    instances: tuple[model.InstanceRecord, ...]
    withdrawals: tuple[model.Withdrawal, ...]
    load: model.Load | None = None
    counters: tuple[tuple[str, int], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallMeasured:
    """Ingress tells the levels task how a call ended.

    ``duration_ms`` is the time that the caller waited, in milliseconds.
    """

    route: str
    failed: bool
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelsRequest:
    """Asks the levels task for its counts."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelsReply:
    """Service levels that a node counted.

    ``since`` and ``at`` are Unix times in seconds: when counting started,
    and when the counts were read.
    """

    since: float
    at: float
    levels: tuple[model.RouteLevel, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTask:
    """Asks a task to close its sockets and end."""


KINDS: dict[int, type] = {
    100: CallRequest,
    101: CallResult,
    102: WorkerReady,
    103: BackendResult,
    104: BackendServerAnnounced,
    105: GateControl,
    106: GateReport,
    107: ReadConfig,
    108: ConfigRead,
    109: ConfigCommitted,
    110: StatusRequest,
    111: StatusReply,
    112: StopTask,
    113: BackendJob,
    120: CallMeasured,
    121: LevelsRequest,
    122: LevelsReply,
    114: LeaveAnnounced,
    115: CallerLeft,
}
