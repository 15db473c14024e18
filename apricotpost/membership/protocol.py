"""Decisions of the failure detector (SWIM)."""

import dataclasses
import random

from apricotpost.membership import exchanges
from apricotpost.membership import members
from apricotpost.membership import records
from apricotpost import model
from apricotpost import wire

__all__ = ["handle", "next_tick", "start"]

# A longer interval between two ticks means that this process was frozen, so
# missing answers do not indicate that other instances failed.
FREEZE_THRESHOLD_PERIODS = 1.5


def start(
    record: model.InstanceRecord,
    now: float,
    *,
    seed: int,
    parameters: members.Parameters | None = None,
) -> members.Membership:
    """Return the state of a started node that knows only itself."""
    parameters = parameters or members.Parameters()
    offset = random.Random(seed).random()
    state = members.Membership(
        own=record.instance,
        parameters=parameters,
        ticked_at=now,
        next_period_at=now + offset * parameters.period_seconds,
        next_sync_at=now + offset * parameters.sync_interval_seconds,
        next_down_probe_at=now
        + offset * parameters.down_probe_interval_seconds,
        next_expiry_at=now + parameters.expiry_seconds / 10,
    )
    return records.store_record(state, record, now)


def next_tick(state: members.Membership) -> float:
    """Return when the next tick is due, in monotonic seconds."""
    due = [state.next_period_at]
    if state.probe is not None and not state.probe.indirect_requested:
        due.append(
            state.probe.started_at + state.parameters.probe_timeout_seconds
        )
    if state.suspects:
        first = min(state.suspects.values())
        due.append(first + state.parameters.suspicion_seconds)
    return min(due)


def handle(
    state: members.Membership, event: members.Event, now: float
) -> members.Step:
    """Return the new state and the actions that follow from an event.

    Parameters
    ----------
    state : Membership
        State before.
    event : Event
        What happened.
    now : float
        Monotonic clock in seconds.
    """
    if isinstance(event, members.Tick):
        return _tick(state, event.seed, now)
    if isinstance(event, members.OwnChanged):
        return _change_own(state, event, now)
    return _receive(state, event, now)


def _receive(
    state: members.Membership, event: members.Received, now: float
) -> members.Step:
    message = event.message
    if isinstance(message, wire.Ping):
        is_member = message.sender in state.members
        state = exchanges.record_contact(state, message, now)
        state, updates = records.select_updates(
            state, message.sender, message.records
        )
        ack = wire.Ack(
            sender=state.own,
            sequence=message.sequence,
            subject=state.own,
            version=state.record.config_version,
            known=is_member,
            records=updates,
        )
        return state, (members.Reply(reply_to=event.reply_to, message=ack),)
    if isinstance(message, wire.Ack):
        return _acknowledge(state, message, now)
    if isinstance(message, wire.PingRequest):
        return _start_indirect_probe(state, message, event.reply_to, now)
    return exchanges.handle(state, event, now)


def _acknowledge(
    state: members.Membership, message: wire.Ack, now: float
) -> members.Step:
    state = exchanges.record_contact(state, message, now)
    if not message.known:
        state = records.store_record(state, state.record, now)
    probe = state.probe
    if probe is not None and probe.sequence == message.sequence:
        state = dataclasses.replace(state, probe=None)
    indirect_probe = state.indirect_probes.get(message.sequence)
    if indirect_probe is None:
        return state, ()
    remaining_probes = {
        k: v for k, v in state.indirect_probes.items() if k != message.sequence
    }
    answer = wire.Ack(
        sender=state.own,
        sequence=indirect_probe.sequence,
        subject=indirect_probe.target,
        version=state.record.config_version,
    )
    return dataclasses.replace(state, indirect_probes=remaining_probes), (
        members.Reply(reply_to=indirect_probe.reply_to, message=answer),
    )


def _start_indirect_probe(
    state: members.Membership,
    message: wire.PingRequest,
    reply_to: bytes,
    now: float,
) -> members.Step:
    state, ping = _make_ping(state, message.target)
    indirect_probe = members.IndirectProbe(
        reply_to=reply_to,
        sequence=message.sequence,
        target=message.target,
        started_at=now,
    )
    state = dataclasses.replace(
        state,
        indirect_probes={
            **state.indirect_probes,
            ping.sequence: indirect_probe,
        },
    )
    return state, (members.Send(address=message.target_address, message=ping),)


def _make_ping(
    state: members.Membership, target: str
) -> tuple[members.Membership, wire.Ping]:
    state, updates = records.select_updates(state, target)
    sequence = state.sequence + 1
    ping = wire.Ping(
        sender=state.own,
        sequence=sequence,
        version=state.record.config_version,
        records=updates,
    )
    return dataclasses.replace(state, sequence=sequence), ping


def _change_own(
    state: members.Membership, event: members.OwnChanged, now: float
) -> members.Step:
    own = state.record
    if not event.disseminate:
        updated = dataclasses.replace(
            own, config_version=event.record.config_version
        )
        member = dataclasses.replace(state.members[state.own], record=updated)
        updated_members = {**state.members, state.own: member}
        return dataclasses.replace(state, members=updated_members), ()
    new_record = dataclasses.replace(
        event.record, incarnation=own.incarnation + 1
    )
    state = records.store_record(state, new_record, now)
    if new_record.state is not model.InstanceState.LEAVING:
        return state, ()
    # A leaving node may stop before its next probes would carry the record.
    actions: list[members.Action] = []
    targets = exchanges.live_peer_names(state)
    count = min(state.parameters.leave_messages, len(targets))
    for name in random.Random(event.seed).sample(targets, count):
        state, ping = _make_ping(state, name)
        if new_record not in ping.records:
            ping = dataclasses.replace(
                ping, records=(new_record, *ping.records)
            )
        actions.append(exchanges.send_to(state, name, ping))
    return state, tuple(actions)


def _tick(state: members.Membership, seed: int, now: float) -> members.Step:
    rng = random.Random(seed)
    state = _compensate_for_freeze(state, now)
    state = exchanges.expire(state, now)
    state, actions = _check_probe(state, rng, now)
    if now >= state.next_period_at:
        state, period_actions = _start_period(state, rng, now)
        actions = (*actions, *period_actions)
    return state, actions


def _compensate_for_freeze(
    state: members.Membership, now: float
) -> members.Membership:
    pause = now - state.ticked_at
    state = dataclasses.replace(state, ticked_at=now)
    if pause <= FREEZE_THRESHOLD_PERIODS * state.parameters.period_seconds:
        return state
    return dataclasses.replace(
        state,
        probe=None,
        suspects={name: at + pause for name, at in state.suspects.items()},
    )


def _check_probe(
    state: members.Membership, rng: random.Random, now: float
) -> members.Step:
    probe = state.probe
    limit = state.parameters.probe_timeout_seconds
    if (
        probe is None
        or probe.indirect_requested
        or now - probe.started_at < limit
    ):
        return state, ()
    target = state.members.get(probe.target)
    if target is None:
        return dataclasses.replace(state, probe=None), ()
    names = [n for n in exchanges.live_peer_names(state) if n != probe.target]
    count = min(state.parameters.indirect_probe_count, len(names))
    request = wire.PingRequest(
        sender=state.own,
        sequence=probe.sequence,
        target=probe.target,
        target_address=target.record.control_address,
    )
    state = dataclasses.replace(
        state, probe=dataclasses.replace(probe, indirect_requested=True)
    )
    return state, tuple(
        exchanges.send_to(state, name, request)
        for name in rng.sample(names, count)
    )


def _start_period(
    state: members.Membership, rng: random.Random, now: float
) -> members.Step:
    state, notifications = _notify_suspect(_fail_probe(state, now))
    parameters = state.parameters
    state = dataclasses.replace(
        state, next_period_at=now + parameters.period_seconds
    )
    state, other_actions = exchanges.maintain(state, rng, now)
    other_actions = (*notifications, *other_actions)
    probe_order = state.probe_order or _shuffle(state, rng)
    while probe_order:
        name, probe_order = probe_order[0], probe_order[1:]
        member = state.members.get(name)
        if member is None or records.is_leaving_or_down(member.record):
            continue
        state, ping = _make_ping(state, name)
        probe = members.Probe(
            sequence=ping.sequence, target=name, started_at=now
        )
        state = dataclasses.replace(
            state, probe_order=probe_order, probe=probe
        )
        return state, (*other_actions, exchanges.send_to(state, name, ping))
    return dataclasses.replace(state, probe_order=()), other_actions


def _fail_probe(state: members.Membership, now: float) -> members.Membership:
    """Suspect the target of the last period's probe if it did not answer."""
    probe = state.probe
    if probe is None:
        return state
    state = dataclasses.replace(state, probe=None)
    member = state.members.get(probe.target)
    if member is None or records.is_leaving_or_down(member.record):
        return state
    if member.record.state is model.InstanceState.SUSPECT:
        return state
    suspect = dataclasses.replace(
        member.record, state=model.InstanceState.SUSPECT
    )
    state = records.store_record(state, suspect, now)
    return dataclasses.replace(state, newest_suspect=probe.target)


def _notify_suspect(state: members.Membership) -> members.Step:
    """Send the newest suspect a probe that carries the suspicion.

    The suspect can then refute it at once. Without this probe it would get the
    suspicion only when a node that holds it probes the suspect by chance.
    """
    newest_suspect = state.members.get(state.newest_suspect)
    if newest_suspect is None:
        return state, ()
    if newest_suspect.record.state is not model.InstanceState.SUSPECT:
        return dataclasses.replace(state, newest_suspect=""), ()
    state, ping = _make_ping(state, state.newest_suspect)
    return state, (exchanges.send_to(state, state.newest_suspect, ping),)


def _shuffle(state: members.Membership, rng: random.Random) -> tuple[str, ...]:
    names = exchanges.live_peer_names(state)
    rng.shuffle(names)
    return tuple(names)
