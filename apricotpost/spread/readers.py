"""Which nodes read the table, and whom a node can reach."""

from collections.abc import Iterable

import xxhash

from apricotpost import membership
from apricotpost import model
from apricotpost.spread import state as states

__all__ = ["READERS", "make_roster", "rank"]

READERS = 2
_GONE = (model.InstanceState.LEAVING, model.InstanceState.DOWN)


def rank(names: Iterable[str], key: str) -> list[str]:
    """Order names by rendezvous hash, the first choice first."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh64_intdigest(f"{key} {name}".encode()),
        reverse=True,
    )


def make_roster(
    known: membership.Membership, seeds: tuple[str, ...]
) -> states.Roster:
    """Derive the roster from the instance records."""
    own = known.record
    near: list[states.Peer] = []
    far: list[states.Peer] = []
    for name in sorted(known.members):
        record = known.members[name].record
        if name == known.own or record.state in _GONE:
            continue
        peer = states.Peer(instance=name, address=record.control_address)
        if record.data_centre == own.data_centre:
            near.append(peer)
        elif record.state is not model.InstanceState.SUSPECT:
            far.append(peer)
    # A suspect may be dead for seconds; a doubled reader is harmless.
    candidates = [known.own]
    candidates.extend(
        peer.instance
        for peer in near
        if known.members[peer.instance].record.state
        is not model.InstanceState.SUSPECT
    )
    return states.Roster(
        record=own,
        near=tuple(near),
        far=tuple(far),
        reader=known.own in rank(candidates, own.data_centre)[:READERS],
        seeds=tuple(seed for seed in seeds if seed != own.control_address),
    )
