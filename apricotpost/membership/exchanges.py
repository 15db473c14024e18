"""Joins, periodic comparison of records, and expiry."""

import dataclasses
import random

from apricotpost.membership import members
from apricotpost.membership import records
from apricotpost import model
from apricotpost import wire

__all__ = [
    "expire",
    "handle",
    "record_contact",
    "live_peer_names",
    "maintain",
    "send_to",
]


def handle(
    state: members.Membership, event: members.Received, now: float
) -> members.Step:
    """Handle joins, full exchanges of records and digests."""
    message = event.message
    if isinstance(message, wire.Members):
        state = records.merge(state, message.records, now, disseminate=False)
        return state, ()
    if isinstance(message, wire.Join):
        state = records.merge(state, (message.record,), now)
        if not message.whole:
            return state, ()
        return state, _list_members(state, event.reply_to)
    if isinstance(message, wire.MembersRequest):
        if message.digest == records.compute_digest(state):
            return state, ()
        return state, _list_members(state, event.reply_to)
    if isinstance(message, wire.ConfigDigest):
        sender, version = message.sender, message.version
        return _record_version(state, sender, version, now), ()
    return state, ()


def record_contact(
    state: members.Membership,
    message: wire.Ping | wire.Ack,
    now: float,
) -> members.Membership:
    """Merge the records and the version that a probe or its answer carries."""
    state = records.merge(state, message.records, now)
    return _record_version(state, message.sender, message.version, now)


def live_peer_names(state: members.Membership) -> list[str]:
    """Return the sorted names of the other instances, live ones only.

    Instances that are leaving or down are not live.
    """
    return sorted(
        name
        for name, member in state.members.items()
        if name != state.own and not records.is_leaving_or_down(member.record)
    )


def expire(state: members.Membership, now: float) -> members.Membership:
    """Declare suspects down and remove expired records.

    Indirect probes that are older than a period are removed as well.
    """
    limit = now - state.parameters.suspicion_seconds
    for name, suspected_at in tuple(state.suspects.items()):
        member = state.members.get(name)
        if suspected_at > limit or member is None:
            continue
        if state.record.state is model.InstanceState.LEAVING:
            # Other nodes no longer probe a leaving node, so a refutation
            # might not reach it, and its last calls may need the suspect.
            continue
        if records.is_partitioned(state, member.record.data_centre):
            # While a data centre is partitioned, its suspects get twice the
            # time to refute, since all of them refute at once when the
            # partition ends.
            later = now + state.parameters.suspicion_seconds
            state = dataclasses.replace(
                state, suspects={**state.suspects, name: later}
            )
            continue
        down = dataclasses.replace(
            member.record, state=model.InstanceState.DOWN
        )
        state = records.store_record(state, down, now)
    indirect_probes = {
        sequence: indirect_probe
        for sequence, indirect_probe in state.indirect_probes.items()
        if now - indirect_probe.started_at < state.parameters.period_seconds
    }
    if len(indirect_probes) != len(state.indirect_probes):
        state = dataclasses.replace(state, indirect_probes=indirect_probes)
    if now < state.next_expiry_at:
        return state
    centres = {listed.record.data_centre for listed in state.members.values()}
    partitioned = {c for c in centres if records.is_partitioned(state, c)}
    parameters = state.parameters
    kept = {
        name: member
        for name, member in state.members.items()
        if name == state.own
        or not records.is_leaving_or_down(member.record)
        or now - member.recorded_at
        < parameters.expiry_seconds
        * (
            parameters.partition_expiry_factor
            if member.record.data_centre in partitioned
            else 1
        )
    }
    return dataclasses.replace(
        state,
        members=kept,
        revision=state.revision + (len(kept) < len(state.members)),
        next_expiry_at=now + state.parameters.expiry_seconds / 10,
    )


def maintain(
    state: members.Membership, rng: random.Random, now: float
) -> members.Step:
    """Compare records with a random peer and probe a random down instance.

    Each is done when its interval is over.
    """
    actions: list[members.Action] = []
    parameters = state.parameters
    if now >= state.next_sync_at:
        state = dataclasses.replace(
            state, next_sync_at=now + parameters.sync_interval_seconds
        )
        names = live_peer_names(state)
        if names:
            request = wire.MembersRequest(
                sender=state.own, digest=records.compute_digest(state)
            )
            actions.append(send_to(state, rng.choice(names), request))
    if now >= state.next_down_probe_at:
        state = dataclasses.replace(
            state,
            next_down_probe_at=now + parameters.down_probe_interval_seconds,
        )
        down = sorted(
            name
            for name, member in state.members.items()
            if member.record.state is model.InstanceState.DOWN
        )
        if down:
            target = state.members[rng.choice(down)].record
            # Sequence 0 matches no probe. If the instance is alive, its answer
            # refutes the enclosed record.
            ping = wire.Ping(
                sender=state.own,
                sequence=0,
                version=state.record.config_version,
                records=(target,),
            )
            actions.append(send_to(state, target.instance, ping))
    return state, tuple(actions)


def _record_version(
    state: members.Membership, sender: str, version: int, now: float
) -> members.Membership:
    member = state.members.get(sender)
    if member is None or member.record.config_version >= version:
        return state
    newer = dataclasses.replace(member.record, config_version=version)
    return records.merge(state, (newer,), now)


def _list_members(
    state: members.Membership, reply_to: bytes
) -> tuple[members.Action, ...]:
    size = state.parameters.records_per_exchange
    member_records = [
        state.members[name].record for name in sorted(state.members)
    ]
    return tuple(
        members.Reply(
            reply_to=reply_to,
            message=wire.Members(
                sender=state.own,
                records=tuple(member_records[start : start + size]),
            ),
        )
        for start in range(0, len(member_records), size)
    )


def send_to(
    state: members.Membership, name: str, message: wire.Message
) -> members.Send:
    """Return the action that sends a message to a member."""
    return members.Send(
        address=state.members[name].record.control_address, message=message
    )
