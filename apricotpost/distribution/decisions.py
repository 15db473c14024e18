"""Decisions of the configuration distribution."""

import dataclasses
import random

from apricotpost.distribution import joins
from apricotpost.distribution import notices
from apricotpost.distribution import refusals
from apricotpost.distribution import state as states
from apricotpost.distribution import versions
from apricotpost import wire

__all__ = ["handle", "next_tick", "start"]


def start(
    own: str, now: float, *, seed: int, policy: states.Policy | None = None
) -> states.DistributionState:
    """Return the state of a started node without a configuration."""
    policy = policy or states.Policy()
    rng = random.Random(seed)
    return states.DistributionState(
        own=own,
        policy=policy,
        joining=states.Joining(
            next_join_at=now + rng.random() * policy.join_jitter_seconds
        ),
        next_digest_at=now + rng.random() * policy.digest_seconds,
        next_read_at=now + rng.random() * policy.poll_seconds,
    )


def next_tick(
    state: states.DistributionState, cluster: states.ClusterView
) -> float:
    """Return when the next tick is due, in monotonic seconds."""
    due = [state.next_digest_at]
    if _is_reader(state, cluster) and not state.reading:
        due.append(state.next_read_at)
    if joins.is_joining(state, cluster):
        due.append(joins.next_tick(state))
    return min(due)


def handle(
    state: states.DistributionState,
    event: states.Event,
    now: float,
    *,
    cluster: states.ClusterView,
    seed: int,
) -> states.Step:
    """Return the new state and the actions that follow from an event.

    Parameters
    ----------
    state : DistributionState
        State before.
    event : Event
        What happened.
    now : float
        Monotonic clock in seconds.
    cluster : ClusterView
        Nodes that this node can reach.
    seed : int
        Seed of the random choices.
    """
    rng = random.Random(seed)
    held = state.snapshot.version
    if isinstance(event, states.Received):
        state, actions = _receive(state, event, now, cluster, rng)
    elif isinstance(event, states.TableRead):
        state, actions = _handle_table_read(
            state, event.result, now, cluster, rng
        )
    elif isinstance(event, states.Committed):
        state, actions = _commit(state, event, now, cluster, rng)
    else:
        state, actions = _tick(state, now, cluster, rng)
    if state.snapshot.version != held:
        state = notices.drop_ended(state, now)
    return joins.update_readiness(state), actions


def _receive(
    state: states.DistributionState,
    event: states.Received,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    message = event.message
    if isinstance(message, wire.ConfigDelta):
        return versions.handle_deltas(
            state, message.deltas, now, cluster, rng, event.reply_to
        )
    if isinstance(message, wire.ConfigSnapshot):
        return versions.handle_snapshot(
            state, message.snapshot, now, cluster, rng
        )
    if isinstance(message, wire.ConfigDigest):
        return _compare(state, message, event.reply_to, now)
    if isinstance(message, wire.ConfigRequest):
        return versions.serve(state, message, event.reply_to, now, cluster)
    if isinstance(message, wire.ConfigRefused):
        return refusals.record(state, message, cluster)
    if isinstance(message, wire.Join):
        return state, (
            joins.make_welcome(state, event.reply_to, event.min_version),
        )
    if isinstance(message, wire.Welcome):
        state, actions = joins.handle_welcome(
            state, message, event.reply_to, now
        )
        state, more = notices.record(
            state, message.withdrawals, now, cluster, rng
        )
        return state, (*actions, *more)
    if isinstance(message, wire.WithdrawalNotice):
        return notices.record(state, message.withdrawals, now, cluster, rng)
    return state, ()


def _compare(
    state: states.DistributionState,
    message: wire.ConfigDigest,
    reply_to: bytes,
    now: float,
) -> states.Step:
    actions: list[states.Action] = []
    held = state.snapshot.version
    missing = notices.lists_missing(state, message)
    if message.version > held:
        state, request = versions.request(
            state, message.version, reply_to, now
        )
        actions.extend(request)
    elif message.version < held or missing:
        actions.append(
            states.Reply(
                reply_to=reply_to, message=versions.make_digest(state)
            )
        )
    actions.extend(notices.answer_digest(state, message, reply_to))
    return state, tuple(actions)


def _handle_table_read(
    state: states.DistributionState,
    table_read: wire.ConfigRead,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    policy = state.policy
    read_next = state.read_again and table_read.available
    failures = 0 if table_read.available else state.read_failures + 1
    pause = min(
        policy.poll_seconds * 2 ** min(failures, 10),
        max(policy.poll_backoff_seconds, policy.poll_seconds),
    )
    state = dataclasses.replace(
        state,
        reading=read_next,
        read_again=False,
        read_failures=failures,
        next_read_at=now + pause * (0.5 + rng.random()),
        joining=joins.record_table_read(state.joining, table_read),
    )
    actions: tuple[states.Action, ...] = ()
    if table_read.snapshot is not None:
        state, actions = versions.handle_snapshot(
            state, table_read.snapshot, now, cluster, rng
        )
    if table_read.deltas:
        state, delta_actions = versions.handle_deltas(
            state, table_read.deltas, now, cluster, rng
        )
        actions = (*actions, *delta_actions)
    if read_next:
        read = states.ReadTable(held_version=state.snapshot.version)
        actions = (*actions, read)
    return state, actions


def _commit(
    state: states.DistributionState,
    event: states.Committed,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    actions: tuple[states.Action, ...] = ()
    if event.delta is not None:
        state, actions = versions.handle_deltas(
            state, (event.delta,), now, cluster, rng
        )
    if state.snapshot.version >= event.version:
        return state, actions
    if state.reading:
        return dataclasses.replace(state, read_again=True), actions
    state, read = versions.read_table(state)
    return state, (*actions, read)


def _tick(
    state: states.DistributionState,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    actions: list[states.Action] = []
    if joins.is_joining(state, cluster):
        state, step_actions = joins.advance(state, now, cluster, rng)
        actions.extend(step_actions)
    should_read = _is_reader(state, cluster) and not state.reading
    if should_read and now >= state.next_read_at:
        state, read = versions.read_table(state)
        actions.append(read)
    if now < state.next_digest_at:
        return state, tuple(actions)
    state, step_actions = refusals.forward(state, cluster, rng)
    actions.extend(step_actions)
    state = notices.drop_ended(state, now)
    policy = state.policy
    # Without jitter, nodes that started together would all send their digests
    # at the same time.
    state = dataclasses.replace(
        state,
        next_digest_at=now + policy.digest_seconds * (0.75 + rng.random() / 2),
        digest_round=state.digest_round + 1,
    )
    is_remote_round = state.digest_round % policy.remote_digest_every == 0
    peers = (
        cluster.remote if is_remote_round else cluster.local
    ) or cluster.local
    peers = peers or cluster.remote
    if peers:
        actions.append(
            states.Send(
                address=rng.choice(peers).address,
                message=versions.make_digest(state),
            )
        )
    return state, tuple(actions)


def _is_reader(
    state: states.DistributionState, cluster: states.ClusterView
) -> bool:
    """Return whether this node polls the table.

    A started node that knows no other node yet does not, unless it has no
    seeds. Otherwise each node of a data centre that restarts would consider
    itself a reader, and all of them would read the table at once.
    """
    may_read = (
        state.ready or cluster.local or cluster.remote or not cluster.seeds
    )
    return cluster.is_reader and bool(may_read)
