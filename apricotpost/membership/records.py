"""Precedence, dissemination and visibility of instance records."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import math

import xxhash

from apricotpost.membership import members
from apricotpost import model

__all__ = [
    "compute_digest",
    "count_transmissions",
    "is_leaving_or_down",
    "is_partitioned",
    "list_visible",
    "merge",
    "store_record",
    "supersedes",
    "select_updates",
]

_SEVERITIES = {
    model.InstanceState.STARTING: 0,
    model.InstanceState.UP: 0,
    model.InstanceState.SUSPECT: 1,
    model.InstanceState.LEAVING: 2,
    model.InstanceState.DOWN: 3,
}
_LEAVING_OR_DOWN = (model.InstanceState.LEAVING, model.InstanceState.DOWN)


def supersedes(
    record: model.InstanceRecord, known_record: model.InstanceRecord
) -> bool:
    """Return whether a record replaces the known one.

    The higher incarnation wins; at equal incarnation the worse state wins.
    """
    if record.incarnation != known_record.incarnation:
        return record.incarnation > known_record.incarnation
    return _SEVERITIES[record.state] > _SEVERITIES[known_record.state]


def is_leaving_or_down(record: model.InstanceRecord) -> bool:
    """Return whether an instance is leaving or down.

    Such an instance is left out of regular probes and exchanges.
    """
    return record.state in _LEAVING_OR_DOWN


def merge(
    state: members.Membership,
    records: Iterable[model.InstanceRecord],
    now: float,
    *,
    disseminate: bool = True,
) -> members.Membership:
    """Merge records from another node; refute wrong ones about this node.

    Parameters
    ----------
    state : Membership
        State before.
    records : iterable of apricotpost.model.InstanceRecord
        Records from the other node.
    now : float
        Monotonic clock in seconds.
    disseminate : bool
        Whether records that are new to this node are sent on to others. The
        others already hold the records of a full exchange, and a started node
        would send them the records of the whole fleet again.
    """
    for record in records:
        if record.instance == state.own:
            state = _refute(state, record, now)
            continue
        member = state.members.get(record.instance)
        if member is not None and not supersedes(record, member.record):
            state = _record_version(state, member, record)
        elif (
            member is not None or record.state is not model.InstanceState.DOWN
        ):
            state = store_record(state, record, now, disseminate=disseminate)
    return state


def store_record(
    state: members.Membership,
    record: model.InstanceRecord,
    now: float,
    *,
    disseminate: bool = True,
) -> members.Membership:
    """Store a record and queue it for dissemination."""
    name = record.instance
    member = state.members.get(name)
    if member is not None:
        # The record of a restarted instance starts at version 0; the highest
        # version that the instance held is kept.
        version = max(record.config_version, member.record.config_version)
        record = dataclasses.replace(record, config_version=version)
    suspects = state.suspects
    if name in suspects:
        suspects = {k: v for k, v in suspects.items() if k != name}
    if record.state is model.InstanceState.SUSPECT:
        suspects = {**suspects, name: now}
    others = tuple(
        update for update in state.updates if update.instance != name
    )
    return dataclasses.replace(
        state,
        members={
            **state.members,
            name: members.Member(record=record, recorded_at=now),
        },
        suspects=suspects,
        updates=(
            (members.Update(instance=name), *others) if disseminate else others
        ),
        revision=state.revision + 1,
    )


def count_transmissions(state: members.Membership) -> int:
    """Return how often one node sends each new record.

    The number grows with the logarithm of the fleet's size.
    """
    decades = math.log10(len(state.members) + 1)
    return max(
        1, math.ceil(state.parameters.transmissions_per_decade * decades)
    )


def select_updates(
    state: members.Membership,
    receiver: str = "",
    received: Iterable[model.InstanceRecord] = (),
) -> tuple[members.Membership, tuple[model.InstanceRecord, ...]]:
    """Select the queued records for one message, the least often sent first.

    Parameters
    ----------
    state : Membership
        State before.
    receiver : str
        Name of the receiver. Its own record comes first if it is suspect,
        leaving or down, so that the receiver can refute it.
    received : iterable of apricotpost.model.InstanceRecord
        Records from the receiver. For each outdated one the newer record is
        selected.
    """
    limit = state.parameters.records_per_message
    receiving_member = state.members.get(receiver)
    priority = (
        ()
        if receiving_member is None or _is_healthy(receiving_member.record)
        else (receiving_member.record,)
    )
    priority = (*priority, *_newer_records(state, received))[:limit]
    selected = state.updates[: limit - len(priority)]
    if not selected:
        return state, priority
    max_transmissions = count_transmissions(state)
    requeued = (
        members.Update(
            instance=update.instance, transmissions=update.transmissions + 1
        )
        for update in selected
        if update.transmissions + 1 < max_transmissions
    )
    updates = sorted(
        (*state.updates[len(selected) :], *requeued),
        key=lambda update: update.transmissions,
    )
    records = tuple(
        state.members[update.instance].record
        for update in selected
        if update.instance in state.members
    )
    return (
        dataclasses.replace(state, updates=tuple(updates)),
        (*priority, *records),
    )


def compute_digest(state: members.Membership) -> int:
    """Compute a digest of the records that does not depend on their order."""
    digest = 0
    for member in state.members.values():
        record = member.record
        text = f"{record.instance} {record.incarnation} {record.state}"
        digest ^= xxhash.xxh64_intdigest(text.encode())
    return digest


def is_partitioned(state: members.Membership, data_centre: str) -> bool:
    """Return whether another data centre is considered partitioned.

    That is the case when more than half of its instances, not counting leaving
    ones, are suspect or down. Down ones count as well, as the suspicion of the
    first ones may have timed out already.
    """
    if data_centre == state.record.data_centre:
        return False
    instance_states = [
        member.record.state
        for member in state.members.values()
        if member.record.data_centre == data_centre
        and member.record.state is not model.InstanceState.LEAVING
    ]
    failed = sum(
        instance_state
        in (model.InstanceState.SUSPECT, model.InstanceState.DOWN)
        for instance_state in instance_states
    )
    return 2 * failed > len(instance_states)


def list_visible(
    state: members.Membership,
) -> Iterator[model.InstanceRecord]:
    """Yield the records as callers see them, sorted by name.

    Suspects in a partitioned data centre are reported as down, so that they
    get no calls. So is a starting instance with a service: it has lost its
    backend server.
    """
    partitioned = {
        centre
        for centre in {
            state.members[name].record.data_centre
            for name in state.suspects
            if name in state.members
        }
        if is_partitioned(state, centre)
    }
    for name in sorted(state.members):
        record = state.members[name].record
        suspect = record.state is model.InstanceState.SUSPECT
        lost = record.state is model.InstanceState.STARTING and record.service
        if lost or (suspect and record.data_centre in partitioned):
            record = dataclasses.replace(
                record, state=model.InstanceState.DOWN
            )
        yield record


def _newer_records(
    state: members.Membership, received: Iterable[model.InstanceRecord]
) -> Iterator[model.InstanceRecord]:
    for record in received:
        member = state.members.get(record.instance)
        if member is not None and supersedes(member.record, record):
            yield member.record


def _is_healthy(record: model.InstanceRecord) -> bool:
    return _SEVERITIES[record.state] == 0


def _refute(
    state: members.Membership, received: model.InstanceRecord, now: float
) -> members.Membership:
    """Raise the own incarnation if a received record supersedes the own."""
    own = state.record
    if received.incarnation < own.incarnation or (
        received.incarnation == own.incarnation
        and not supersedes(received, own)
    ):
        return state
    refutation = dataclasses.replace(own, incarnation=received.incarnation + 1)
    return store_record(state, refutation, now)


def _record_version(
    state: members.Membership,
    member: members.Member,
    record: model.InstanceRecord,
) -> members.Membership:
    if record.config_version <= member.record.config_version:
        return state
    newer = dataclasses.replace(
        member.record, config_version=record.config_version
    )
    return dataclasses.replace(
        state,
        members={
            **state.members,
            record.instance: dataclasses.replace(member, record=newer),
        },
    )
