"""State, events and actions of the configuration distribution."""

from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost import wire

__all__ = [
    "Action",
    "ClusterView",
    "Committed",
    "DistributionState",
    "Event",
    "Joining",
    "NewWithdrawal",
    "Peer",
    "Policy",
    "ReadTable",
    "Received",
    "Refused",
    "Reply",
    "Send",
    "Step",
    "Stopped",
    "TableRead",
    "Tick",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Policy:
    """Intervals, time-outs and limits of the distribution."""

    poll_seconds: float = 1.0
    # Longest pause, before jitter, between reads of an unavailable table. It
    # is below the convergence time of 8 s, so that nodes notice early enough
    # that the table is available again.
    poll_backoff_seconds: float = 4.0
    digest_seconds: float = 2.0
    remote_digest_every: int = 5
    push_local: int = 3
    push_remote: int = 1
    push_deltas: int = 8
    kept_deltas: int = 64
    snapshots_per_second: int = 20
    # Time for an answer before a version is requested again.
    request_seconds: float = 0.5
    # A refused version is tried again after this time, as only the received
    # copy may have been damaged.
    refused_seconds: float = 10.0
    join_jitter_seconds: float = 2.0
    join_peers: int = 3
    # Time for peers to answer before the table is read without them.
    join_timeout_seconds: float = 3.0
    # Pause between join requests until a peer answers. It is short, as a seed
    # may have failed together with the joining node.
    join_retry_seconds: float = 1.0
    # Time for which notices of unknown rollouts are kept: a notice may arrive
    # before the version that starts its rollout.
    notice_seconds: float = 60.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Peer:
    """Another node and its control address."""

    instance: str
    address: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ClusterView:
    """Other nodes and roles that follow from the instance records.

    Parameters
    ----------
    record : apricotpost.model.InstanceRecord
        Own record.
    local, remote : tuple of Peer
        Live nodes of the own data centre and of the other ones.
    is_reader : bool
        Whether this node reads the table.
    seeds : tuple of str
        Control addresses of the seeds from the settings.
    """

    record: model.InstanceRecord
    local: tuple[Peer, ...] = ()
    remote: tuple[Peer, ...] = ()
    is_reader: bool = True
    seeds: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Joining:
    """Progress of a started node's join.

    Parameters
    ----------
    next_join_at : float
        When the next join requests are sent, in monotonic seconds.
    first_join_at : float, optional
        When join requests were first sent, in monotonic seconds.
    welcomed : bool
        Whether a peer that holds a configuration answered.
    min_version : int
        Lowest version with which the node may become ready.
    table_answered, table_failed : bool
        Whether a read of the table succeeded, and whether one failed.
    """

    next_join_at: float
    first_join_at: float | None = None
    welcomed: bool = False
    min_version: int = 0
    table_answered: bool = False
    table_failed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class DistributionState:
    """Configuration that a node holds, and state of its distribution.

    Parameters
    ----------
    deltas : tuple of apricotpost.model.Delta
        Consecutive deltas that end at the held version.
    refused : mapping
        When this node last refused each version, in monotonic seconds.
    refusals : mapping
        Known refusers of each version.
    unsent : mapping
        Refusers of each version that were not yet forwarded to peers.
    last_request : tuple of int and float
        Last requested version, and when it was requested.
    snapshots_served : tuple of int and int
        Current second of the monotonic clock, and the number of snapshots
        served in it.
    withdrawals : mapping
        Withdrawals by rollout; ``notice_received_at`` holds when each was
        received, also for some time after it was dropped.
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
    last_request: tuple[int, float] = (0, 0.0)
    snapshots_served: tuple[int, int] = (0, 0)
    next_digest_at: float = 0.0
    digest_round: int = 0
    reading: bool = False
    read_again: bool = False
    next_read_at: float = 0.0
    read_failures: int = 0
    withdrawals: Mapping[str, model.Withdrawal] = dataclasses.field(
        default_factory=dict
    )
    notice_received_at: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Tick:
    """A timer expired."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message arrived; ``reply_to`` routes answers to its sender.

    ``min_version`` is the version that the sender of a `Join` was known to
    hold.
    """

    message: wire.Message
    reply_to: bytes = b""
    min_version: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TableRead:
    """The platform task answered a read of the table."""

    result: wire.ConfigRead


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
    """Request all versions after ``held_version`` from the platform task."""

    held_version: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Refused:
    """Report that this node refused a version."""

    version: int
    reason: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Stopped:
    """Report that the distribution of a version stopped."""

    version: int
    refusers: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NewWithdrawal:
    """Report a withdrawal that is new to this node."""

    withdrawal: model.Withdrawal


Event = Tick | Received | TableRead | Committed
Action = Send | Reply | ReadTable | Refused | Stopped | NewWithdrawal
Step = tuple[DistributionState, tuple[Action, ...]]
