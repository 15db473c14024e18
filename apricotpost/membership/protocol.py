"""Decisions of the failure detection."""

import dataclasses
import random

from apricotpost.membership import exchanges
from apricotpost.membership import members
from apricotpost.membership import records
from apricotpost import model
from apricotpost import wire

__all__ = ["handle", "next_tick", "start"]

# A longer pause between two ticks means that this process stood still, and
# that missing answers say nothing about others.
FROZEN_PERIODS = 1.5


def start(
    record: model.InstanceRecord,
    now: float,
    *,
    draw: int,
    parameters: members.Parameters | None = None,
) -> members.Membership:
    """Return the state of a started node that knows only itself."""
    parameters = parameters or members.Parameters()
    offset = random.Random(draw).random()
    state = members.Membership(
        own=record.instance,
        parameters=parameters,
        ticked_at=now,
        period_at=now + offset * parameters.period_seconds,
        repair_at=now + offset * parameters.repair_seconds,
        revive_at=now + offset * parameters.revive_seconds,
        expire_at=now + parameters.expiry_seconds / 10,
    )
    return records.put(state, record, now)


def next_tick(state: members.Membership) -> float:
    """Return when the next tick is due, in monotonic seconds."""
    due = [state.period_at]
    if state.probe is not None and not state.probe.relayed:
        due.append(state.probe.started_at + state.parameters.probe_seconds)
    if state.suspects:
        first = min(state.suspects.values())
        due.append(first + state.parameters.suspicion_seconds)
    return min(due)


def handle(
    state: members.Membership, event: members.Event, now: float
) -> members.Step:
    """Decide what follows from an event.

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
        return _tick(state, event.draw, now)
    if isinstance(event, members.OwnChanged):
        return _change_own(state, event, now)
    return _receive(state, event, now)


def _receive(
    state: members.Membership, event: members.Received, now: float
) -> members.Step:
    message = event.message
    if isinstance(message, wire.Ping):
        known = message.sender in state.members
        state = exchanges.record_contact(state, message, now)
        state, updates = records.take_updates(
            state, message.sender, message.records
        )
        ack = wire.Ack(
            sender=state.own,
            sequence=message.sequence,
            subject=state.own,
            version=state.record.config_version,
            known=known,
            records=updates,
        )
        return state, (members.Reply(reply_to=event.reply_to, message=ack),)
    if isinstance(message, wire.Ack):
        return _acknowledge(state, message, now)
    if isinstance(message, wire.PingRequest):
        return _relay(state, message, event.reply_to, now)
    return exchanges.handle(state, event, now)


def _acknowledge(
    state: members.Membership, message: wire.Ack, now: float
) -> members.Step:
    state = exchanges.record_contact(state, message, now)
    if not message.known:
        state = records.put(state, state.record, now)
    probe = state.probe
    if probe is not None and probe.sequence == message.sequence:
        state = dataclasses.replace(state, probe=None)
    relay = state.relays.get(message.sequence)
    if relay is None:
        return state, ()
    rest = {k: v for k, v in state.relays.items() if k != message.sequence}
    answer = wire.Ack(
        sender=state.own,
        sequence=relay.sequence,
        subject=relay.target,
        version=state.record.config_version,
    )
    return dataclasses.replace(state, relays=rest), (
        members.Reply(reply_to=relay.reply_to, message=answer),
    )


def _relay(
    state: members.Membership,
    message: wire.PingRequest,
    reply_to: bytes,
    now: float,
) -> members.Step:
    state, ping = _make_ping(state, message.target)
    relay = members.Relay(
        reply_to=reply_to,
        sequence=message.sequence,
        target=message.target,
        started_at=now,
    )
    state = dataclasses.replace(
        state, relays={**state.relays, ping.sequence: relay}
    )
    return state, (members.Send(address=message.target_address, message=ping),)


def _make_ping(
    state: members.Membership, target: str
) -> tuple[members.Membership, wire.Ping]:
    state, updates = records.take_updates(state, target)
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
    if not event.spread:
        quiet = dataclasses.replace(
            own, config_version=event.record.config_version
        )
        member = dataclasses.replace(state.members[state.own], record=quiet)
        known = {**state.members, state.own: member}
        return dataclasses.replace(state, members=known), ()
    raised = dataclasses.replace(event.record, incarnation=own.incarnation + 1)
    state = records.put(state, raised, now)
    if raised.state is not model.InstanceState.LEAVING:
        return state, ()
    # A leaving node may be gone before its next probes.
    actions: list[members.Action] = []
    targets = exchanges.live_names(state)
    count = min(state.parameters.leave_messages, len(targets))
    for name in random.Random(event.draw).sample(targets, count):
        state, ping = _make_ping(state, name)
        if raised not in ping.records:
            ping = dataclasses.replace(ping, records=(raised, *ping.records))
        actions.append(exchanges.send_to(state, name, ping))
    return state, tuple(actions)


def _tick(state: members.Membership, draw: int, now: float) -> members.Step:
    rng = random.Random(draw)
    state = _forgive_freeze(state, now)
    state = exchanges.expire(state, now)
    state, actions = _check_probe(state, rng, now)
    if now >= state.period_at:
        state, more = _start_period(state, rng, now)
        actions = (*actions, *more)
    return state, actions


def _forgive_freeze(
    state: members.Membership, now: float
) -> members.Membership:
    pause = now - state.ticked_at
    state = dataclasses.replace(state, ticked_at=now)
    if pause <= FROZEN_PERIODS * state.parameters.period_seconds:
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
    limit = state.parameters.probe_seconds
    if probe is None or probe.relayed or now - probe.started_at < limit:
        return state, ()
    target = state.members.get(probe.target)
    if target is None:
        return dataclasses.replace(state, probe=None), ()
    names = [n for n in exchanges.live_names(state) if n != probe.target]
    count = min(state.parameters.indirect_probes, len(names))
    request = wire.PingRequest(
        sender=state.own,
        sequence=probe.sequence,
        target=probe.target,
        target_address=target.record.control_address,
    )
    state = dataclasses.replace(
        state, probe=dataclasses.replace(probe, relayed=True)
    )
    return state, tuple(
        exchanges.send_to(state, name, request)
        for name in rng.sample(names, count)
    )


def _start_period(
    state: members.Membership, rng: random.Random, now: float
) -> members.Step:
    state, warnings = _warn_accused(_fail_probe(state, now))
    parameters = state.parameters
    state = dataclasses.replace(
        state, period_at=now + parameters.period_seconds
    )
    state, extra = exchanges.maintain(state, rng, now)
    extra = (*warnings, *extra)
    order = state.order or _shuffle(state, rng)
    while order:
        name, order = order[0], order[1:]
        member = state.members.get(name)
        if member is None or records.is_gone(member.record):
            continue
        state, ping = _make_ping(state, name)
        probe = members.Probe(
            sequence=ping.sequence, target=name, started_at=now
        )
        state = dataclasses.replace(state, order=order, probe=probe)
        return state, (*extra, exchanges.send_to(state, name, ping))
    return dataclasses.replace(state, order=()), extra


def _fail_probe(state: members.Membership, now: float) -> members.Membership:
    """Suspect the instance that did not answer in the last period."""
    probe = state.probe
    if probe is None:
        return state
    state = dataclasses.replace(state, probe=None)
    member = state.members.get(probe.target)
    if member is None or records.is_gone(member.record):
        return state
    if member.record.state is model.InstanceState.SUSPECT:
        return state
    suspect = dataclasses.replace(
        member.record, state=model.InstanceState.SUSPECT
    )
    state = records.put(state, suspect, now)
    return dataclasses.replace(state, accused=probe.target)


def _warn_accused(state: members.Membership) -> members.Step:
    """Tell the accused of the suspicion, so that it can refute in time.

    Its refutation then spreads right behind the suspicion. Without this, it
    hears of it only when a node that knows of it happens to probe it.
    """
    accused = state.members.get(state.accused)
    if accused is None:
        return state, ()
    if accused.record.state is not model.InstanceState.SUSPECT:
        return dataclasses.replace(state, accused=""), ()
    state, ping = _make_ping(state, state.accused)
    return state, (exchanges.send_to(state, state.accused, ping),)


def _shuffle(state: members.Membership, rng: random.Random) -> tuple[str, ...]:
    names = exchanges.live_names(state)
    rng.shuffle(names)
    return tuple(names)
