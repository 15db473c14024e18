"""Messages between nodes and between the tasks of a node."""

import dataclasses

from apricotpost import model
from apricotpost.wire import outcomes

__all__ = [
    "Ack",
    "Answer",
    "Call",
    "ConfigDelta",
    "ConfigDigest",
    "ConfigRefused",
    "ConfigRequest",
    "ConfigSnapshot",
    "EvidenceReport",
    "Join",
    "Members",
    "MembersRequest",
    "NotRun",
    "OutcomeUnknown",
    "Ping",
    "PingRequest",
    "Welcome",
    "WithdrawalNotice",
]

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A caller's request to a backend server.

    Parameters
    ----------
    call : str
        Unique identifier of the attempt.
    deadline : float
        Unix time in seconds after which the call must not start.
    depth : int
        Number of calls that this call is nested in.
    retried : bool
        Whether this attempt, or one that it is nested in, is a retry.
    config_version : int
        Configuration version by which the call was routed.
    """

    call: str
    route: str
    service: str
    version: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    idempotent: bool
    depth: int
    retried: bool
    config_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """The backend server's complete answer.

    ``checksum`` is the checksum of the body.
    """

    call: str
    status: int
    headers: Headers
    body: bytes
    checksum: int
    load: model.Load


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NotRun:
    """A refusal: the call did not reach the backend server."""

    call: str
    reason: outcomes.NotRunReason
    load: model.Load | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeUnknown:
    """The call may have been executed."""

    call: str
    reason: outcomes.UnknownReason
    load: model.Load | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDigest:
    """Configuration version that the sender holds.

    ``withdrawn`` lists the rollouts whose withdrawals the sender holds.
    """

    sender: str
    version: int
    checksum: str
    withdrawn: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRequest:
    """Request for the configuration after version ``have``."""

    sender: str
    have: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigDelta:
    """Consecutive deltas of the configuration, oldest first."""

    sender: str
    deltas: tuple[model.Delta, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigSnapshot:
    """A complete configuration."""

    sender: str
    snapshot: model.Snapshot


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ConfigRefused:
    """Notice that instances refused a configuration version as invalid.

    ``refusers`` lists these instances.
    """

    sender: str
    version: int
    reason: str
    refusers: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ping:
    """Liveness probe that also carries instance records.

    ``version`` is the configuration version that the sender holds.
    """

    sender: str
    sequence: int
    version: int = 0
    records: tuple[model.InstanceRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ack:
    """Answer to a probe of ``subject``.

    ``known`` states whether the sender has a record of the prober.
    """

    sender: str
    sequence: int
    subject: str
    version: int = 0
    known: bool = True
    records: tuple[model.InstanceRecord, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PingRequest:
    """Request to probe ``target`` on behalf of the sender."""

    sender: str
    sequence: int
    target: str
    target_address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class MembersRequest:
    """Request for all instance records, unless the digests are equal."""

    sender: str
    digest: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Members:
    """A part of the sender's instance records."""

    sender: str
    records: tuple[model.InstanceRecord, ...]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Join:
    """Request of a starting node to join the mesh.

    ``whole`` requests all instance records, which follow as `Members`.
    """

    sender: str
    record: model.InstanceRecord
    whole: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Welcome:
    """Answer to `Join`.

    ``floor`` is the configuration version that the joining node's address
    was last known to hold.
    """

    sender: str
    version: int
    checksum: str
    floor: int
    records: tuple[model.InstanceRecord, ...] = ()
    withdrawals: tuple[model.Withdrawal, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceReport:
    """Cumulative outcome counts of the sender's backend server.

    Unless ``full`` is set, the report omits routes that did not change.
    """

    sender: str
    evidence: tuple[model.Evidence, ...]
    full: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WithdrawalNotice:
    """Withdrawals of versions that the sender holds."""

    sender: str
    withdrawals: tuple[model.Withdrawal, ...]


KINDS: dict[int, type] = {
    1: Call,
    2: Answer,
    3: NotRun,
    4: OutcomeUnknown,
    10: ConfigDigest,
    11: ConfigRequest,
    12: ConfigDelta,
    13: ConfigSnapshot,
    14: ConfigRefused,
    20: Ping,
    21: Ack,
    22: PingRequest,
    23: MembersRequest,
    24: Members,
    25: Join,
    26: Welcome,
    30: EvidenceReport,
    31: WithdrawalNotice,
}
