"""Selection of the nodes that read the table, and the cluster view."""

from collections.abc import Iterable

import xxhash

from apricotpost.distribution import state as states
from apricotpost import membership
from apricotpost import model

__all__ = ["READERS_PER_DATA_CENTRE", "make_cluster_view", "rank"]

READERS_PER_DATA_CENTRE = 2
_LEAVING_OR_DOWN = (model.InstanceState.LEAVING, model.InstanceState.DOWN)


def rank(names: Iterable[str], key: str) -> list[str]:
    """Sort names by their rendezvous hash for a key, preferred name first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{key} {name}".encode()),
        reverse=True,
    )


def make_cluster_view(
    membership_state: membership.Membership, seeds: tuple[str, ...]
) -> states.ClusterView:
    """Derive the cluster view from the instance records."""
    own = membership_state.record
    local: list[states.Peer] = []
    remote: list[states.Peer] = []
    for name in sorted(membership_state.members):
        record = membership_state.members[name].record
        if name == membership_state.own or record.state in _LEAVING_OR_DOWN:
            continue
        peer = states.Peer(instance=name, address=record.control_address)
        if record.data_centre == own.data_centre:
            local.append(peer)
        elif record.state is not model.InstanceState.SUSPECT:
            remote.append(peer)
    # A suspect may have failed seconds ago, so it is not counted as a reader.
    # If it is alive, one node more than necessary reads, which is harmless.
    candidates = [membership_state.own]
    candidates.extend(
        peer.instance
        for peer in local
        if membership_state.members[peer.instance].record.state
        is not model.InstanceState.SUSPECT
    )
    return states.ClusterView(
        record=own,
        local=tuple(local),
        remote=tuple(remote),
        is_reader=membership_state.own
        in rank(candidates, own.data_centre)[:READERS_PER_DATA_CENTRE],
        seeds=tuple(seed for seed in seeds if seed != own.control_address),
    )
