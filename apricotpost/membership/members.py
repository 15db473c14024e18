"""State, events and actions of the failure detector."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost import wire

__all__ = [
    "Action",
    "Event",
    "IndirectProbe",
    "Member",
    "Membership",
    "OwnChanged",
    "Parameters",
    "Probe",
    "Received",
    "Reply",
    "Send",
    "Step",
    "Tick",
    "Update",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parameters:
    """Intervals, time-outs and limits of the failure detector."""

    period_seconds: float = 1.0
    probe_timeout_seconds: float = 0.3
    indirect_probe_count: int = 2
    suspicion_seconds: float = 3.0
    expiry_seconds: float = 600.0
    # Records of a partitioned data centre are kept this many times as long:
    # partitions between regions can last an hour.
    partition_expiry_factor: int = 12
    # A comparison sends a digest, and the records only if the digests differ.
    sync_interval_seconds: float = 60.0
    # Instances that are down are probed as well; otherwise the two sides of a
    # partition within a data centre would never reconnect.
    down_probe_interval_seconds: float = 10.0
    # Keeps a probe below 2 KB.
    records_per_message: int = 6
    records_per_exchange: int = 64
    # Each node sends a new record this many times per factor of ten in the
    # size of the fleet. With 3, a record is expected to miss fewer than one
    # instance in 1,000.
    transmissions_per_decade: int = 3
    leave_messages: int = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """Record of an instance and when it was stored, in monotonic seconds."""

    record: model.InstanceRecord
    recorded_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """Instance whose record is queued for dissemination.

    ``transmissions`` counts how often this node has sent the record.
    """

    instance: str
    transmissions: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """Probe without an answer so far.

    ``indirect_requested`` is set once other nodes were asked to probe the
    target.
    """

    sequence: int
    target: str
    started_at: float
    indirect_requested: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class IndirectProbe:
    """Probe on behalf of another node, which gets the answer."""

    reply_to: bytes
    sequence: int
    target: str
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """State of a node's failure detector.

    Parameters
    ----------
    own : str
        Own instance name; ``members`` contains its record.
    members : mapping
        Members by instance name.
    suspects : mapping
        When the suspicion timeout of each suspect began.
    updates : tuple of Update
        Records to disseminate, the least often sent first.
    revision : int
        Counts changes of records, except changes of configuration versions
        alone.
    newest_suspect : str
        Target of this node's last failed probe; empty if there is none or it
        is no longer suspect.
    probe_order : tuple of str
        Instances still to be probed in this round, next one first.
    """

    own: str
    parameters: Parameters = Parameters()
    members: Mapping[str, Member] = dataclasses.field(default_factory=dict)
    suspects: Mapping[str, float] = dataclasses.field(default_factory=dict)
    updates: tuple[Update, ...] = ()
    revision: int = 0
    newest_suspect: str = ""
    probe_order: tuple[str, ...] = ()
    probe: Probe | None = None
    indirect_probes: Mapping[int, IndirectProbe] = dataclasses.field(
        default_factory=dict
    )
    sequence: int = 0
    ticked_at: float = 0.0
    next_period_at: float = 0.0
    next_sync_at: float = 0.0
    next_down_probe_at: float = 0.0
    next_expiry_at: float = 0.0

    @property
    def record(self) -> model.InstanceRecord:
        """Own record."""
        return self.members[self.own].record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A timer expired; ``seed`` seeds the random choices."""

    seed: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message arrived; ``reply_to`` routes answers to its sender."""

    message: wire.Message
    reply_to: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnChanged:
    """Own record changed; ``seed`` seeds the random choices.

    If ``disseminate`` is false, only the configuration version changed. Other
    nodes then get it from the version field of probes, and the incarnation
    stays.
    """

    record: model.InstanceRecord
    seed: int
    disseminate: bool = True


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """Send a message to a control address."""

    address: str
    message: wire.Message


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Answer the sender of a message."""

    reply_to: bytes
    message: wire.Message


Event = Tick | Received | OwnChanged
Action = Send | Reply
Step = tuple[Membership, tuple[Action, ...]]
