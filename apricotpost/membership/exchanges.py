"""Joins, repairs, expiry and what messages tell about their senders."""

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
    "live_names",
    "maintain",
    "send_to",
]


def handle(
    state: members.Membership, event: members.Received, now: float
) -> members.Step:
    """Handle the messages that exchange all records."""
    message = event.message
    if isinstance(message, wire.Members):
        state = records.merge(state, message.records, now, passes_on=False)
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
    """Take over what a probe or its answer tells."""
    state = records.merge(state, message.records, now)
    return _record_version(state, message.sender, message.version, now)


def live_names(state: members.Membership) -> list[str]:
    """List the other instances that are not gone, sorted."""
    return sorted(
        name
        for name, member in state.members.items()
        if name != state.own and not records.is_gone(member.record)
    )


def expire(state: members.Membership, now: float) -> members.Membership:
    """Declare suspects down and forget instances that are long gone."""
    limit = now - state.parameters.suspicion_seconds
    for name, since in tuple(state.suspects.items()):
        member = state.members.get(name)
        if since > limit or member is None:
            continue
        if state.record.state is model.InstanceState.LEAVING:
            # Nobody tells a leaving node of a refutation any more, and its
            # last calls still need the suspect.
            continue
        if records.is_partitioned(state, member.record.data_centre):
            # When the cut ends, the rest gets twice the time to refute,
            # since all of them do so at once.
            later = now + state.parameters.suspicion_seconds
            state = dataclasses.replace(
                state, suspects={**state.suspects, name: later}
            )
            continue
        down = dataclasses.replace(
            member.record, state=model.InstanceState.DOWN
        )
        state = records.put(state, down, now)
    relays = {
        sequence: relay
        for sequence, relay in state.relays.items()
        if now - relay.started_at < state.parameters.period_seconds
    }
    if len(relays) != len(state.relays):
        state = dataclasses.replace(state, relays=relays)
    if now < state.expire_at:
        return state
    centres = {entry.record.data_centre for entry in state.members.values()}
    cut_off = {c for c in centres if records.is_partitioned(state, c)}
    parameters = state.parameters
    kept = {
        name: member
        for name, member in state.members.items()
        if name == state.own
        or not records.is_gone(member.record)
        or now - member.since
        < parameters.expiry_seconds
        * (
            parameters.cut_off_expiries
            if member.record.data_centre in cut_off
            else 1
        )
    }
    return dataclasses.replace(
        state,
        members=kept,
        revision=state.revision + (len(kept) < len(state.members)),
        expire_at=now + state.parameters.expiry_seconds / 10,
    )


def maintain(
    state: members.Membership, rng: random.Random, now: float
) -> members.Step:
    """Compare records with a random peer and try a down instance."""
    actions: list[members.Action] = []
    parameters = state.parameters
    if now >= state.repair_at:
        state = dataclasses.replace(
            state, repair_at=now + parameters.repair_seconds
        )
        names = live_names(state)
        if names:
            request = wire.MembersRequest(
                sender=state.own, digest=records.compute_digest(state)
            )
            actions.append(send_to(state, rng.choice(names), request))
    if now >= state.revive_at:
        state = dataclasses.replace(
            state, revive_at=now + parameters.revive_seconds
        )
        gone = sorted(
            name
            for name, member in state.members.items()
            if member.record.state is model.InstanceState.DOWN
        )
        if gone:
            target = state.members[rng.choice(gone)].record
            # Sequence 0 belongs to no probe; the answer refutes the record.
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
    known = state.members.get(sender)
    if known is None or known.record.config_version >= version:
        return state
    newer = dataclasses.replace(known.record, config_version=version)
    return records.merge(state, (newer,), now)


def _list_members(
    state: members.Membership, reply_to: bytes
) -> tuple[members.Action, ...]:
    size = state.parameters.records_per_exchange
    found = [state.members[name].record for name in sorted(state.members)]
    return tuple(
        members.Reply(
            reply_to=reply_to,
            message=wire.Members(
                sender=state.own, records=tuple(found[at : at + size])
            ),
        )
        for at in range(0, len(found), size)
    )


def send_to(
    state: members.Membership, name: str, message: wire.Message
) -> members.Send:
    """Address a message to a member."""
    return members.Send(
        address=state.members[name].record.control_address, message=message
    )
