"""How a started node comes to be ready."""

import dataclasses
import random

from apricotpost.spread import state as states
from apricotpost.spread import versions
from apricotpost import wire

__all__ = [
    "advance",
    "is_open",
    "next_tick",
    "record_table_read",
    "settle",
    "handle_welcome",
    "welcome",
]


def is_open(state: states.SpreadState, cluster: states.ClusterView) -> bool:
    """Return whether the node is not ready or has found nobody yet."""
    alone = bool(cluster.seeds) and not cluster.local and not cluster.remote
    return not state.ready or alone


def next_tick(state: states.SpreadState) -> float:
    """Return when a node that is not ready has something to do."""
    return min(state.joining.ask_at, *_read_times(state))


def advance(
    state: states.SpreadState,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    """Ask peers, and check the table once they have answered."""
    actions: list[states.Action] = []
    if now >= state.joining.ask_at:
        state, asked = _ask(state, now, cluster, rng)
        actions.extend(asked)
    due = min(_read_times(state))
    if not state.reading and now >= due:
        state, read = versions.read_table(state)
        actions.append(read)
    return state, tuple(actions)


def welcome(
    state: states.SpreadState,
    reply_to: bytes,
    floor: int,
) -> states.Action:
    """Answer a joining node."""
    return states.Reply(
        reply_to=reply_to,
        message=wire.Welcome(
            sender=state.own,
            version=state.snapshot.version,
            checksum=state.snapshot.checksum,
            floor=floor,
            withdrawals=tuple(state.notices.values()),
        ),
    )


def handle_welcome(
    state: states.SpreadState,
    message: wire.Welcome,
    reply_to: bytes,
    now: float,
) -> states.Step:
    """Raise the floor and ask for what is missing."""
    if state.ready:
        return state, ()
    joining = state.joining
    joining = dataclasses.replace(
        joining,
        welcomed=joining.welcomed or message.version > 0,
        floor=max(joining.floor, message.floor, message.version),
    )
    state = dataclasses.replace(state, joining=joining)
    if message.version <= state.snapshot.version:
        return state, ()
    return versions.request(state, message.version, reply_to, now)


def record_table_read(
    joining: states.Joining, found: wire.ConfigRead
) -> states.Joining:
    """Take over what a read of the table says about the floor."""
    if not found.available:
        return dataclasses.replace(joining, table_out=True)
    return dataclasses.replace(
        joining, checked=True, floor=max(joining.floor, found.head)
    )


def settle(state: states.SpreadState) -> states.SpreadState:
    """Make the node ready once the rules hold; it stays so.

    The table knows of every version that the address can have held. While
    it is out, nothing is committed, and peers have caught up with each other.
    """
    if state.ready or not state.snapshot.version:
        return state
    joining = state.joining
    if state.snapshot.version < joining.floor:
        if joining.floor not in state.refused:
            return state
    if not joining.checked and not (joining.table_out and joining.welcomed):
        return state
    return dataclasses.replace(state, ready=True)


def _ask(
    state: states.SpreadState,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    joining = state.joining
    first = now if joining.asked_at is None else joining.asked_at
    targets = [peer.address for peer in (*cluster.local, *cluster.remote)]
    # Seeds count as well while only few others are known.
    targets.extend(seed for seed in cluster.seeds if seed not in targets)
    count = min(state.policy.join_peers, len(targets))
    if not targets:
        # There is nobody to wait for.
        first = now - state.policy.join_seconds
    chosen = rng.sample(targets, count)
    pause = state.policy.ask_seconds
    if joining.welcomed:
        pause = state.policy.join_seconds
    state = dataclasses.replace(
        state,
        joining=dataclasses.replace(
            joining,
            asked_at=first,
            ask_at=now + pause,
        ),
    )
    whole = not cluster.local and not cluster.remote
    return state, tuple(
        states.Send(
            address=address,
            message=wire.Join(
                sender=state.own,
                record=cluster.record,
                whole=whole and at < 1,
            ),
        )
        for at, address in enumerate(chosen)
    )


def _read_times(state: states.SpreadState) -> tuple[float, ...]:
    """Return when the table is to be read for the join."""
    joining = state.joining
    never = float("inf")
    if joining.asked_at is None or state.reading or state.ready:
        return (never,)
    if joining.checked or state.read_failures:
        return (state.read_at,)
    held = state.snapshot.version
    if joining.welcomed and held >= joining.floor:
        return (joining.asked_at,)
    return (joining.asked_at + state.policy.join_seconds,)
