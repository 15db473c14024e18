"""Apply, refuse, request, push and serve configuration versions."""

from collections.abc import Sequence
import dataclasses
import random

from apricotpost import config
from apricotpost.distribution import refusals
from apricotpost.distribution import state as states
from apricotpost import errors
from apricotpost import model
from apricotpost import wire

__all__ = [
    "handle_deltas",
    "handle_snapshot",
    "make_digest",
    "read_table",
    "request",
    "serve",
    "was_refused_recently",
]


def handle_deltas(
    state: states.DistributionState,
    deltas: Sequence[model.Delta],
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
    reply_to: bytes = b"",
) -> states.Step:
    """Apply the new deltas, or request the versions missing before them.

    Parameters
    ----------
    state : DistributionState
        State before.
    deltas : sequence of apricotpost.model.Delta
        Consecutive deltas, oldest first.
    now : float
        Monotonic clock in seconds.
    cluster : ClusterView
        Nodes that this node can reach.
    rng : random.Random
        Random generator that selects peers.
    reply_to : bytes
        Route to the sender; empty if the deltas are from the table.
    """
    held = state.snapshot.version
    chain = [delta for delta in deltas if delta.version > held]
    # A node that is not ready accepts stopped versions: it has no older
    # version to route calls with.
    while chain and state.ready:
        if not refusals.is_stopped(state, chain[-1].version, cluster):
            break
        chain.pop()
    if not chain:
        return state, ()
    if chain[0].base != held or not _is_consecutive(chain):
        if not reply_to:
            return state, ()
        return request(state, chain[-1].version, reply_to, now)
    actions: list[states.Action] = []
    while chain and not was_refused_recently(state, chain[-1].version, now):
        try:
            snapshot = config.apply_chain(state.snapshot, chain)
        except errors.ApricotpostError as error:
            state, refusal = _refuse(
                state, chain.pop().version, error.message, now, cluster, rng
            )
            actions.extend(refusal)
            continue
        kept = (*state.deltas, *chain)[-state.policy.kept_deltas :]
        state = dataclasses.replace(state, snapshot=snapshot, deltas=kept)
        actions.extend(_push(state, chain, cluster, rng))
        break
    return state, tuple(actions)


def handle_snapshot(
    state: states.DistributionState,
    snapshot: model.Snapshot,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    """Replace the held version by a snapshot if it is newer and valid."""
    version = snapshot.version
    if version <= state.snapshot.version or was_refused_recently(
        state, version, now
    ):
        return state, ()
    try:
        applied = config.apply_snapshot(state.snapshot, snapshot)
    except errors.ApricotpostError as error:
        return _refuse(state, version, error.message, now, cluster, rng)
    state = dataclasses.replace(state, snapshot=applied, deltas=())
    return state, _push(state, (), cluster, rng)


def request(
    state: states.DistributionState, version: int, reply_to: bytes, now: float
) -> states.Step:
    """Request the changes up to a version from a peer.

    No request is sent if this node refused the version recently, or if a
    request for it or a newer version may still be answered.
    """
    requested_version, requested_at = state.last_request
    recent = now - requested_at < state.policy.request_seconds
    if was_refused_recently(state, version, now) or (
        recent and requested_version >= version
    ):
        return state, ()
    message = wire.ConfigRequest(sender=state.own, have=state.snapshot.version)
    return dataclasses.replace(state, last_request=(version, now)), (
        states.Reply(reply_to=reply_to, message=message),
    )


def serve(
    state: states.DistributionState,
    message: wire.ConfigRequest,
    reply_to: bytes,
    now: float,
    cluster: states.ClusterView,
) -> states.Step:
    """Answer a request with deltas or, at a limited rate, with a snapshot."""
    version = state.snapshot.version
    if message.have >= version or refusals.is_stopped(state, version, cluster):
        return state, ()
    for index, delta in enumerate(state.deltas):
        if delta.base == message.have:
            answer = wire.ConfigDelta(
                sender=state.own, deltas=state.deltas[index:]
            )
            return state, (states.Reply(reply_to=reply_to, message=answer),)
    second, served = state.snapshots_served
    if second != int(now):
        second, served = int(now), 0
    if served >= state.policy.snapshots_per_second:
        return state, ()
    snapshot_message = wire.ConfigSnapshot(
        sender=state.own, snapshot=state.snapshot
    )
    state = dataclasses.replace(state, snapshots_served=(second, served + 1))
    return state, (states.Reply(reply_to=reply_to, message=snapshot_message),)


def read_table(
    state: states.DistributionState,
) -> tuple[states.DistributionState, states.ReadTable]:
    """Mark a read of the table as started and return its action."""
    return dataclasses.replace(state, reading=True), states.ReadTable(
        held_version=state.snapshot.version
    )


def make_digest(state: states.DistributionState) -> wire.ConfigDigest:
    """Return the digest of the configuration and the notices that are held."""
    return wire.ConfigDigest(
        sender=state.own,
        version=state.snapshot.version,
        checksum=state.snapshot.checksum,
        withdrawn=tuple(sorted(state.withdrawals)),
    )


def was_refused_recently(
    state: states.DistributionState, version: int, now: float
) -> bool:
    """Return whether this node refused a version recently.

    The time is ``Policy.refused_seconds``.
    """
    at = state.refused.get(version)
    return at is not None and now - at < state.policy.refused_seconds


def _is_consecutive(chain: Sequence[model.Delta]) -> bool:
    return all(
        later.base == earlier.version
        for earlier, later in zip(chain, chain[1:], strict=False)
    )


def _push(
    state: states.DistributionState,
    chain: Sequence[model.Delta],
    cluster: states.ClusterView,
    rng: random.Random,
) -> tuple[states.Action, ...]:
    if refusals.is_stopped(state, state.snapshot.version, cluster):
        return ()
    message: wire.Message = make_digest(state)
    if 0 < len(chain) <= state.policy.push_deltas:
        message = wire.ConfigDelta(sender=state.own, deltas=tuple(chain))
    return tuple(
        states.Send(address=peer.address, message=message)
        for peer in refusals.select_push_peers(state, cluster, rng)
    )


def _refuse(
    state: states.DistributionState,
    version: int,
    reason: str,
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    first = version not in state.refused
    refused = {
        number: at
        for number, at in state.refused.items()
        if number >= state.snapshot.version
    }
    state = dataclasses.replace(state, refused={**refused, version: now})
    if not first:
        return state, ()
    state, actions = refusals.add_refusers(
        state, version, frozenset((state.own,)), cluster
    )
    message = wire.ConfigRefused(
        sender=state.own,
        version=version,
        reason=reason,
        refusers=(state.own,),
    )
    reports = tuple(
        states.Send(address=peer.address, message=message)
        for peer in refusals.select_push_peers(state, cluster, rng)
    )
    return state, (
        states.Refused(version=version, reason=reason),
        *actions,
        *reports,
    )
