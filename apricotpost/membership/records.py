"""Which record of an instance wins, and what callers see of it."""

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
    "is_gone",
    "is_partitioned",
    "list_visible",
    "merge",
    "put",
    "supersedes",
    "take_updates",
]

_RANKS = {
    model.InstanceState.STARTING: 0,
    model.InstanceState.UP: 0,
    model.InstanceState.SUSPECT: 1,
    model.InstanceState.LEAVING: 2,
    model.InstanceState.DOWN: 3,
}
_GONE = (model.InstanceState.LEAVING, model.InstanceState.DOWN)


def supersedes(
    record: model.InstanceRecord, known: model.InstanceRecord
) -> bool:
    """Return whether a record replaces the known one.

    The higher incarnation wins; at equal incarnation the worse state wins.
    """
    if record.incarnation != known.incarnation:
        return record.incarnation > known.incarnation
    return _RANKS[record.state] > _RANKS[known.state]


def is_gone(record: model.InstanceRecord) -> bool:
    """Return whether an instance is left out of probes and choices."""
    return record.state in _GONE


def merge(
    state: members.Membership,
    records: Iterable[model.InstanceRecord],
    now: float,
) -> members.Membership:
    """Merge records from another node and refute those about oneself."""
    for record in records:
        if record.instance == state.own:
            state = _refute(state, record, now)
            continue
        known = state.members.get(record.instance)
        if known is not None and not supersedes(record, known.record):
            state = _note_version(state, known, record)
        elif known is not None or record.state is not model.InstanceState.DOWN:
            state = put(state, record, now)
    return state


def put(
    state: members.Membership, record: model.InstanceRecord, now: float
) -> members.Membership:
    """Store a record and queue it for spreading."""
    name = record.instance
    known = state.members.get(name)
    if known is not None:
        # A restarted instance starts at 0; others remember what it held.
        version = max(record.config_version, known.record.config_version)
        record = dataclasses.replace(record, config_version=version)
    suspects = state.suspects
    if name in suspects:
        suspects = {k: v for k, v in suspects.items() if k != name}
    if record.state is model.InstanceState.SUSPECT:
        suspects = {**suspects, name: now}
    others = tuple(entry for entry in state.updates if entry.instance != name)
    return dataclasses.replace(
        state,
        members={
            **state.members,
            name: members.Member(record=record, since=now),
        },
        suspects=suspects,
        updates=(members.Update(instance=name), *others),
        revision=state.revision + 1,
    )


def count_transmissions(state: members.Membership) -> int:
    """Return how often a record is sent by one node."""
    decades = math.log10(len(state.members) + 1)
    return max(1, math.ceil(state.parameters.retransmissions * decades))


def take_updates(
    state: members.Membership,
    about: str = "",
    heard: Iterable[model.InstanceRecord] = (),
) -> tuple[members.Membership, tuple[model.InstanceRecord, ...]]:
    """Take the records for one message, the least often sent first.

    Parameters
    ----------
    state : Membership
        State before.
    about : str
        Receiver, which is told first when it is held for suspect or gone.
    heard : iterable of apricotpost.model.InstanceRecord
        What the receiver said; outdated records are corrected.
    """
    limit = state.parameters.records_per_message
    known = state.members.get(about)
    first = () if known is None or _is_well(known.record) else (known.record,)
    first = (*first, *_correct(state, heard))[:limit]
    taken = state.updates[: limit - len(first)]
    if not taken:
        return state, first
    most = count_transmissions(state)
    again = (
        members.Update(instance=entry.instance, sent=entry.sent + 1)
        for entry in taken
        if entry.sent + 1 < most
    )
    updates = sorted(
        (*state.updates[len(taken) :], *again), key=lambda entry: entry.sent
    )
    records = tuple(
        state.members[entry.instance].record
        for entry in taken
        if entry.instance in state.members
    )
    return (
        dataclasses.replace(state, updates=tuple(updates)),
        (*first, *records),
    )


def compute_digest(state: members.Membership) -> int:
    """Compute a digest of the records, whatever their order."""
    digest = 0
    for member in state.members.values():
        record = member.record
        text = f"{record.instance} {record.incarnation} {record.state}"
        digest ^= xxhash.xxh64_intdigest(text.encode())
    return digest


def is_partitioned(state: members.Membership, data_centre: str) -> bool:
    """Return whether another data centre is taken for cut off.

    That is so when more than half of its instances failed without leaving.
    Those that were found first may be down already.
    """
    if data_centre == state.record.data_centre:
        return False
    there = [
        entry.record.state
        for entry in state.members.values()
        if entry.record.data_centre == data_centre
        and entry.record.state is not model.InstanceState.LEAVING
    ]
    failed = sum(
        found in (model.InstanceState.SUSPECT, model.InstanceState.DOWN)
        for found in there
    )
    return 2 * failed > len(there)


def list_visible(
    state: members.Membership,
) -> Iterator[model.InstanceRecord]:
    """Yield the records as callers see them, sorted by name.

    Suspects of a data centre that is cut off get no calls. A starting
    instance with a service has lost its backend server.
    """
    cut_off = {
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
        if lost or (suspect and record.data_centre in cut_off):
            record = dataclasses.replace(
                record, state=model.InstanceState.DOWN
            )
        yield record


def _correct(
    state: members.Membership, heard: Iterable[model.InstanceRecord]
) -> Iterator[model.InstanceRecord]:
    for record in heard:
        known = state.members.get(record.instance)
        if known is not None and supersedes(known.record, record):
            yield known.record


def _is_well(record: model.InstanceRecord) -> bool:
    return _RANKS[record.state] == 0


def _refute(
    state: members.Membership, heard: model.InstanceRecord, now: float
) -> members.Membership:
    """Answer a record about oneself that would win over one's own."""
    own = state.record
    if heard.incarnation < own.incarnation or (
        heard.incarnation == own.incarnation and not supersedes(heard, own)
    ):
        return state
    raised = dataclasses.replace(own, incarnation=heard.incarnation + 1)
    return put(state, raised, now)


def _note_version(
    state: members.Membership,
    known: members.Member,
    record: model.InstanceRecord,
) -> members.Membership:
    if record.config_version <= known.record.config_version:
        return state
    newer = dataclasses.replace(
        known.record, config_version=record.config_version
    )
    return dataclasses.replace(
        state,
        members={
            **state.members,
            record.instance: dataclasses.replace(known, record=newer),
        },
    )
