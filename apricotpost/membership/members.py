"""State, events and actions of the failure detection."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost import wire

__all__ = [
    "Action",
    "Event",
    "Member",
    "Membership",
    "OwnChanged",
    "Parameters",
    "Probe",
    "Received",
    "Relay",
    "Reply",
    "Send",
    "Step",
    "Tick",
    "Update",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Parameters:
    """Times in seconds and bounds of the failure detection."""

    period_seconds: float = 1.0
    probe_seconds: float = 0.3
    indirect_probes: int = 2
    suspicion_seconds: float = 3.0
    expiry_seconds: float = 600.0
    # Regions lose each other for an hour; their records outlast that.
    cut_off_expiries: int = 12
    # A repair compares digests, so it costs little where nothing is missing.
    repair_seconds: float = 60.0
    # Down instances are tried now and then, so that both sides of a cut
    # within a data centre find each other again.
    revive_seconds: float = 10.0
    # With this bound a probe stays below 2 KB.
    records_per_message: int = 6
    records_per_exchange: int = 64
    # Transmissions of a record per tenfold growth of the fleet. With 3 the
    # expected share of instances that a record misses is below 1 in 1,000.
    retransmissions: int = 3
    leave_messages: int = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A record and when its state was learnt (monotonic seconds)."""

    record: model.InstanceRecord
    since: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Update:
    """A record that is still to be spread and how often it was sent."""

    instance: str
    sent: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Probe:
    """The probe under way; ``relayed`` once indirect probes were sent."""

    sequence: int
    target: str
    started_at: float
    relayed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Relay:
    """A probe on behalf of another node."""

    reply_to: bytes
    sequence: int
    target: str
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Membership:
    """What a node knows about the fleet.

    Parameters
    ----------
    own : str
        Own instance name; its record is among the members.
    members : mapping
        Members by instance name.
    suspects : mapping
        When each suspect was first suspected.
    updates : tuple of Update
        Records to spread, the least often sent first.
    revision : int
        Rises with each change but that of a version held.
    accused : str
        Instance that did not answer this node's last failed probe.
    order : tuple of str
        Instances still to be probed in this round.
    """

    own: str
    parameters: Parameters = Parameters()
    members: Mapping[str, Member] = dataclasses.field(default_factory=dict)
    suspects: Mapping[str, float] = dataclasses.field(default_factory=dict)
    updates: tuple[Update, ...] = ()
    revision: int = 0
    accused: str = ""
    order: tuple[str, ...] = ()
    probe: Probe | None = None
    relays: Mapping[int, Relay] = dataclasses.field(default_factory=dict)
    sequence: int = 0
    ticked_at: float = 0.0
    period_at: float = 0.0
    repair_at: float = 0.0
    revive_at: float = 0.0
    expire_at: float = 0.0

    @property
    def record(self) -> model.InstanceRecord:
        """Own record."""
        return self.members[self.own].record


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed; ``draw`` seeds the random choices."""

    draw: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message came in; ``reply_to`` is the way back to its sender."""

    message: wire.Message
    reply_to: bytes = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OwnChanged:
    """Own record changed; ``draw`` seeds the random choices.

    ``spread`` is false for a change that only probes carry to others.
    """

    record: model.InstanceRecord
    draw: int
    spread: bool = True


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
