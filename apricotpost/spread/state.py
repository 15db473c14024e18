"""State, events and actions of the distribution."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost import wire

__all__ = [
    "Action",
    "Committed",
    "Event",
    "Joining",
    "Noted",
    "Peer",
    "Policy",
    "ReadTable",
    "Received",
    "Refused",
    "Reply",
    "ClusterView",
    "Send",
    "SpreadState",
    "Step",
    "Stopped",
    "TableRead",
    "Tick",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Times in seconds and bounds of the distribution."""

    poll_seconds: float = 1.0
    # Below the 8 s of convergence, so that a return of the table is noticed.
    poll_backoff_seconds: float = 4.0
    digest_seconds: float = 2.0
    remote_digest_every: int = 5
    push_local: int = 3
    push_remote: int = 1
    push_deltas: int = 8
    kept_deltas: int = 64
    snapshots_per_second: int = 20
    # A second request goes out when the first was not answered.
    request_seconds: float = 0.5
    # A damaged copy of a good version is refused as well.
    refused_seconds: float = 10.0
    join_jitter_seconds: float = 2.0
    join_peers: int = 3
    # Time for peers to answer before the table is read instead.
    join_seconds: float = 3.0
    # A seed may have failed with the node that asks it.
    ask_seconds: float = 1.0
    # A notice may be faster than the version that starts its rollout.
    notice_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another node and its control address."""

    instance: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClusterView:
    """What the distribution needs of the instance records.

    Parameters
    ----------
    record : apricotpost.model.InstanceRecord
        Own record.
    local, remote : tuple of Peer
        Live nodes of the own and of the other data centres.
    reader : bool
        Whether this node reads the table.
    seeds : tuple of str
        Control addresses from the settings.
    """

    record: model.InstanceRecord
    local: tuple[Peer, ...] = ()
    remote: tuple[Peer, ...] = ()
    reader: bool = True
    seeds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Joining:
    """How far a started node has come.

    Parameters
    ----------
    ask_at : float
        When peers are asked (again).
    asked_at : float, optional
        When peers were first asked.
    welcomed : bool
        Whether a peer with a configuration answered.
    floor : int
        Lowest version with which the node may be ready.
    checked, table_out : bool
        Whether the table answered, and whether it failed to.
    """

    ask_at: float
    asked_at: float | None = None
    welcomed: bool = False
    floor: int = 0
    checked: bool = False
    table_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SpreadState:
    """What a node holds and knows about the configuration.

    Parameters
    ----------
    deltas : tuple of apricotpost.model.Delta
        Consecutive, ending at the version held.
    refused : mapping
        Versions that this node refused and when.
    refusals : mapping
        Instances that refused a version.
    unsent : mapping
        Those of them that were not passed on yet.
    requested : tuple of int and float
        Version last asked for and when.
    snapshots : tuple of int and int
        Second on the clock and snapshots served in it.
    notices : mapping
        Withdrawals by rollout; ``noted_at`` is when each came in.
    """

    own: str
    policy: Policy
    joining: Joining
    ready: bool = False
    snapshot: model.Snapshot = model.EMPTY_SNAPSHOT
    deltas: tuple[model.Delta, ...] = ()
    refused: Mapping[int, float] = dataclasses.field(default_factory=dict)
    refusals: Mapping[int, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    unsent: Mapping[int, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    requested: tuple[int, float] = (0, 0.0)
    snapshots: tuple[int, int] = (0, 0)
    digest_at: float = 0.0
    round: int = 0
    reading: bool = False
    read_again: bool = False
    read_at: float = 0.0
    read_failures: int = 0
    notices: Mapping[str, model.Withdrawal] = dataclasses.field(
        default_factory=dict
    )
    noted_at: Mapping[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """Time has passed."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message came in; ``reply_to`` is the way back to its sender.

    ``floor`` is the version that the sender of a `Join` was known to hold.
    """

    message: wire.Message
    reply_to: bytes = b""
    floor: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableRead:
    """The platform task answered."""

    found: wire.ConfigRead


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Committed:
    """A version was committed at this node."""

    version: int
    delta: model.Delta | None = None


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


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReadTable:
    """Ask the platform task for everything after ``have``."""

    have: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Tell the owner that this node refused a version."""

    version: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """Tell the owner that a version spreads no further."""

    version: int
    refusers: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Noted:
    """Tell the owner of a withdrawal that is new to this node."""

    withdrawal: model.Withdrawal


Event = Tick | Received | TableRead | Committed
Action = Send | Reply | ReadTable | Refused | Stopped | Noted
Step = tuple[SpreadState, tuple[Action, ...]]
