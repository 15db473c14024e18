"""Count the refusals of a version and stop its distribution."""

import dataclasses
import random

from apricotpost.spread import state as states
from apricotpost import wire

__all__ = ["add", "is_stopped", "record", "forward", "pick_peers"]

# Refusals of older versions no longer matter.
KEPT_REFUSALS = 4
MAX_REFUSERS_PER_MESSAGE = 64


def record(
    state: states.SpreadState,
    message: wire.ConfigRefused,
    cluster: states.ClusterView,
) -> states.Step:
    """Count the instances that refused a version."""
    names = frozenset(message.refusers)
    return add(state, message.version, names, cluster)


def forward(
    state: states.SpreadState, cluster: states.ClusterView, rng: random.Random
) -> states.Step:
    """Tell some peers of the refusals that are new to this node."""
    if not state.unsent:
        return state, ()
    peers = pick_peers(state, cluster, rng)
    actions: list[states.Action] = []
    rest: dict[int, frozenset[str]] = {}
    for version, names in state.unsent.items():
        sent = tuple(sorted(names))[:MAX_REFUSERS_PER_MESSAGE]
        if len(sent) < len(names):
            rest[version] = names.difference(sent)
        message = wire.ConfigRefused(
            sender=state.own,
            version=version,
            reason="refused by others",
            refusers=sent,
        )
        actions.extend(
            states.Send(address=peer.address, message=message)
            for peer in peers
        )
    return dataclasses.replace(state, unsent=rest), tuple(actions)


def pick_peers(
    state: states.SpreadState, cluster: states.ClusterView, rng: random.Random
) -> tuple[states.Peer, ...]:
    """Choose the peers to which news are pushed."""
    policy = state.policy
    local = rng.sample(
        cluster.local, min(policy.push_local, len(cluster.local))
    )
    remote = rng.sample(
        cluster.remote, min(policy.push_remote, len(cluster.remote))
    )
    return (*local, *remote)


def is_stopped(
    state: states.SpreadState, version: int, cluster: states.ClusterView
) -> bool:
    """Return whether half of the live members refused a version."""
    known = state.refusals.get(version)
    if not known:
        return False
    live = {peer.instance for peer in (*cluster.local, *cluster.remote)}
    live.add(state.own)
    refusers = known & live
    return bool(refusers) and 2 * len(refusers) >= len(live)


def add(
    state: states.SpreadState,
    version: int,
    names: frozenset[str],
    cluster: states.ClusterView,
) -> states.Step:
    """Add instances that refused a version."""
    known = state.refusals.get(version, frozenset())
    new = names - known
    if not new:
        return state, ()
    stopped = is_stopped(state, version, cluster)
    kept = sorted({*state.refusals, version})[-KEPT_REFUSALS:]
    refusals = {**state.refusals, version: known | new}
    unsent = state.unsent.get(version, frozenset()) | new
    state = dataclasses.replace(
        state,
        refusals={number: refusals[number] for number in kept},
        unsent={**state.unsent, version: unsent},
    )
    if stopped or not is_stopped(state, version, cluster):
        return state, ()
    count = len(state.refusals[version])
    return state, (states.Stopped(version=version, refusers=count),)
