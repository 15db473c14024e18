"""Join of a started node until it is ready."""

import dataclasses
import random

from apricotpost.distribution import state as states
from apricotpost.distribution import versions
from apricotpost import wire

__all__ = [
    "advance",
    "handle_welcome",
    "is_joining",
    "make_welcome",
    "next_tick",
    "record_table_read",
    "update_readiness",
]


def is_joining(
    state: states.DistributionState, cluster: states.ClusterView
) -> bool:
    """Return whether the node is not ready or knows no other node yet.

    A ready node without seeds has no other node to find.
    """
    alone = bool(cluster.seeds) and not cluster.local and not cluster.remote
    return not state.ready or alone


def next_tick(state: states.DistributionState) -> float:
    """Return when the next join request or read of the table is due."""
    return min(state.joining.next_join_at, *_read_times(state))


def advance(
    state: states.DistributionState,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    """Send join requests and read the table when they are due.

    The table is read once the node holds its peers' version, or after
    ``Policy.join_timeout_seconds``.
    """
    actions: list[states.Action] = []
    if now >= state.joining.next_join_at:
        state, joins_sent = _send_joins(state, now, cluster, rng)
        actions.extend(joins_sent)
    due = min(_read_times(state))
    if not state.reading and now >= due:
        state, read = versions.read_table(state)
        actions.append(read)
    return state, tuple(actions)


def make_welcome(
    state: states.DistributionState,
    reply_to: bytes,
    min_version: int,
) -> states.Action:
    """Return the answer to a joining node."""
    return states.Reply(
        reply_to=reply_to,
        message=wire.Welcome(
            sender=state.own,
            version=state.snapshot.version,
            checksum=state.snapshot.checksum,
            floor=min_version,
            withdrawals=tuple(state.withdrawals.values()),
        ),
    )


def handle_welcome(
    state: states.DistributionState,
    message: wire.Welcome,
    reply_to: bytes,
    now: float,
) -> states.Step:
    """Raise the minimum version and request a newer one from the sender."""
    if state.ready:
        return state, ()
    joining = state.joining
    joining = dataclasses.replace(
        joining,
        welcomed=joining.welcomed or message.version > 0,
        min_version=max(joining.min_version, message.floor, message.version),
    )
    state = dataclasses.replace(state, joining=joining)
    if message.version <= state.snapshot.version:
        return state, ()
    return versions.request(state, message.version, reply_to, now)


def record_table_read(
    joining: states.Joining, table_read: wire.ConfigRead
) -> states.Joining:
    """Record whether the table answered; raise the minimum to its version."""
    if not table_read.available:
        return dataclasses.replace(joining, table_failed=True)
    return dataclasses.replace(
        joining,
        table_answered=True,
        min_version=max(joining.min_version, table_read.head),
    )


def update_readiness(
    state: states.DistributionState,
) -> states.DistributionState:
    """Mark the node ready once it holds a recent enough version.

    A ready node stays ready. The version has to reach the minimum version,
    unless this node refused that version. Moreover the table must have
    answered: it holds every version that a node at this address can have held.
    If the table failed, the answer of a peer is enough: nothing is committed
    meanwhile, and the peers have caught up with each other.
    """
    if state.ready or not state.snapshot.version:
        return state
    joining = state.joining
    if state.snapshot.version < joining.min_version:
        if joining.min_version not in state.refused:
            return state
    if not joining.table_answered and not (
        joining.table_failed and joining.welcomed
    ):
        return state
    return dataclasses.replace(state, ready=True)


def _send_joins(
    state: states.DistributionState,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    joining = state.joining
    first_sent_at = (
        now if joining.first_join_at is None else joining.first_join_at
    )
    targets = [peer.address for peer in (*cluster.local, *cluster.remote)]
    # Seeds are candidates as well, as only few other nodes may be known.
    targets.extend(seed for seed in cluster.seeds if seed not in targets)
    count = min(state.policy.join_peers, len(targets))
    if not targets:
        # No answer can come, so the table is read at once.
        first_sent_at = now - state.policy.join_timeout_seconds
    chosen = rng.sample(targets, count)
    pause = state.policy.join_retry_seconds
    if joining.welcomed:
        pause = state.policy.join_timeout_seconds
    state = dataclasses.replace(
        state,
        joining=dataclasses.replace(
            joining,
            first_join_at=first_sent_at,
            next_join_at=now + pause,
        ),
    )
    has_no_peers = not cluster.local and not cluster.remote
    return state, tuple(
        states.Send(
            address=address,
            message=wire.Join(
                sender=state.own,
                record=cluster.record,
                whole=has_no_peers and index < 1,
            ),
        )
        for index, address in enumerate(chosen)
    )


def _read_times(state: states.DistributionState) -> tuple[float, ...]:
    """Return when the table is to be read for the join; infinity if not."""
    joining = state.joining
    never = float("inf")
    if joining.first_join_at is None or state.reading or state.ready:
        return (never,)
    if joining.table_answered or state.read_failures:
        return (state.next_read_at,)
    held = state.snapshot.version
    if joining.welcomed and held >= joining.min_version:
        return (joining.first_join_at,)
    return (joining.first_join_at + state.policy.join_timeout_seconds,)
