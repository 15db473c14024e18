"""Refusals of versions; a version that half of the nodes refuse is stopped."""

import dataclasses
import random

from apricotpost.distribution import state as states
from apricotpost import wire

__all__ = [
    "add_refusers",
    "forward",
    "is_stopped",
    "record",
    "select_push_peers",
]

# Refusals are kept for this many of the newest versions; those of older ones
# no longer matter.
KEPT_REFUSED_VERSIONS = 4
MAX_REFUSERS_PER_MESSAGE = 64


def record(
    state: states.DistributionState,
    message: wire.ConfigRefused,
    cluster: states.ClusterView,
) -> states.Step:
    """Record the refusals of a version from a message."""
    names = frozenset(message.refusers)
    return add_refusers(state, message.version, names, cluster)


def forward(
    state: states.DistributionState,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    """Send the refusals that are new to this node to some peers."""
    if not state.unsent:
        return state, ()
    peers = select_push_peers(state, cluster, rng)
    actions: list[states.Action] = []
    remaining: dict[int, frozenset[str]] = {}
    for version, names in state.unsent.items():
        sent = tuple(sorted(names))[:MAX_REFUSERS_PER_MESSAGE]
        if len(sent) < len(names):
            remaining[version] = names.difference(sent)
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
    return dataclasses.replace(state, unsent=remaining), tuple(actions)


def select_push_peers(
    state: states.DistributionState,
    cluster: states.ClusterView,
    rng: random.Random,
) -> tuple[states.Peer, ...]:
    """Select random peers for a push, local and remote ones."""
    policy = state.policy
    local = rng.sample(
        cluster.local, min(policy.push_local, len(cluster.local))
    )
    remote = rng.sample(
        cluster.remote, min(policy.push_remote, len(cluster.remote))
    )
    return (*local, *remote)


def is_stopped(
    state: states.DistributionState, version: int, cluster: states.ClusterView
) -> bool:
    """Return whether at least half of the live nodes refused a version."""
    known_refusers = state.refusals.get(version)
    if not known_refusers:
        return False
    live = {peer.instance for peer in (*cluster.local, *cluster.remote)}
    live.add(state.own)
    refusers = known_refusers & live
    return bool(refusers) and 2 * len(refusers) >= len(live)


def add_refusers(
    state: states.DistributionState,
    version: int,
    names: frozenset[str],
    cluster: states.ClusterView,
) -> states.Step:
    """Add refusers of a version; report when they stop its distribution."""
    known_refusers = state.refusals.get(version, frozenset())
    new_refusers = names - known_refusers
    if not new_refusers:
        return state, ()
    stopped = is_stopped(state, version, cluster)
    kept = sorted({*state.refusals, version})[-KEPT_REFUSED_VERSIONS:]
    refusals = {**state.refusals, version: known_refusers | new_refusers}
    unsent = state.unsent.get(version, frozenset()) | new_refusers
    state = dataclasses.replace(
        state,
        refusals={number: refusals[number] for number in kept},
        unsent={**state.unsent, version: unsent},
    )
    if stopped or not is_stopped(state, version, cluster):
        return state, ()
    refuser_count = len(state.refusals[version])
    return state, (states.Stopped(version=version, refusers=refuser_count),)
