"""Messages between the tasks of one node, sent only within its process."""

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
    """Outcome of a call as far as it is known."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallRequest:
    """Request of ingress to dispatch to carry out a call.

    ``request`` is a unique identifier. The result repeats it, so that a late
    result is never matched to a later request.
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
    """Notice from ingress to dispatch that a caller has disconnected.

    Dispatch still sends the result, as the call may have been executed.
    """

    request: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Result of a call, sent by dispatch to ingress.

    ``retried`` states whether a failed attempt was repeated, here or in a
    nested call.
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
    """Call that the gate assigns to a backend worker.

    ``address`` is the address of the backend server, as IP:PORT.
    """

    call: messages.Call
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkerReady:
    """Notice that a backend worker is ready for its first call."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendResult:
    """Result of a call that a backend worker finished.

    ``duration_ms`` is the time that the backend server took, in milliseconds.
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
    """Notice that the node's own backend server announced itself.

    ``leaving`` states that it accepts no more calls.
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
    """Request of the main thread to the gate to start a drain.

    New calls are refused after ``notice_seconds``. A later message can only
    shorten that time.
    """

    drain: bool
    notice_seconds: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class GateReport:
    """Load and outcome counts that the gate sends to control each second."""

    load: model.Load
    backend_server_up: bool
    evidence: tuple[model.Evidence, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadConfig:
    """Request of control to the platform task to read the configuration.

    ``have`` is the version that control already holds.
    """

    have: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRead:
    """Configuration that the platform task read.

    ``available`` states whether the table could be read. ``snapshot`` is set
    if some deltas after ``have`` were missing from the table.
    """

    available: bool
    head: int = 0
    deltas: tuple[model.Delta, ...] = ()
    snapshot: model.Snapshot | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigCommitted:
    """Notice that a configuration version was committed at this node.

    ``delta`` lets the version reach other nodes even if the table becomes
    unavailable right after the commit.
    """

    version: int
    delta: model.Delta | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaveAnnounced:
    """Request to control to notify the peers that the node will drain."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusRequest:
    """Request to control for the state of the node."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StatusReply:
    """State of a node, as shown to operators."""

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
    """Outcome of a call, sent by ingress to the levels task.

    ``duration_ms`` is the time that the caller waited, in milliseconds.
    """

    route: str
    failed: bool
    duration_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelsRequest:
    """Request to the levels task for its counts."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LevelsReply:
    """Service levels that a node measured.

    ``since`` and ``at`` are Unix times in seconds: when counting started,
    and when the counts were read.
    """

    since: float
    at: float
    levels: tuple[model.RouteLevel, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopTask:
    """Request to a task to close its sockets and end."""


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
