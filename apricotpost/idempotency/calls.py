"""Steps of a keyed call at the table: begin, finish, abandon."""

from collections.abc import Callable
import dataclasses

from apricotpost import errors
from apricotpost.idempotency import keys
from apricotpost.idempotency import records
from apricotpost import storage
from apricotpost.storage import table

__all__ = [
    "Begun",
    "MAX_INLINE_BYTES",
    "abandon",
    "begin",
    "finish",
    "finish_again",
    "release",
    "replay",
]

# An item of the table has at most 400 KiB.
MAX_INLINE_BYTES = 256 * 1024
# A rule of the bucket may remove objects with this prefix after two days.
OBJECT_PREFIX = "outcomes/"
BEGIN_TRIES = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Begun:
    """What a call may do.

    Parameters
    ----------
    verdict : Verdict
        Only after ``RUN`` may the call run.
    record : Record, optional
        The record of the call that came first.
    uncertain : bool
        This call does not run, but its record may have been written or may
        still be; `release` removes it.
    """

    verdict: records.Verdict
    record: records.Record | None = None
    uncertain: bool = False


def begin(
    store: storage.Store,
    claim: keys.Claim,
    *,
    clock: Callable[[], float],
) -> Begun:
    """Take a key for a call if it is free.

    Parameters
    ----------
    store : Store
        The platform; each answer is waited for until the deadline at most.
    claim : Claim
        The call.
    clock : callable
        Returns Unix time in seconds.

    Returns
    -------
    Begun
        What the call may do. Without an answer of the table, the call may
        not run.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The record of the key is not usable; this call may not run.
    """
    write = table.Put(
        item=records.encode(claim, records.started(claim)),
        condition=_free(clock()),
    )
    for _ in range(BEGIN_TRIES):
        limited = _until(store, claim.deadline, clock)
        try:
            item = table.put_or_get(limited.table, write)
        except errors.TransactionRejected:
            # The record in the way was removed meanwhile.
            continue
        except errors.PlatformUnavailable:
            break
        except errors.PlatformOutcomeUnknown:
            return _resolve(store, claim, clock)
        if item is None:
            return Begun(verdict=records.Verdict.RUN)
        return _judge(records.decode(item), claim, clock())
    return Begun(verdict=records.Verdict.UNAVAILABLE)


def finish(
    store: storage.Store, claim: keys.Claim, outcome: records.Outcome
) -> None:
    """Store the outcome of a call that ran.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        The record is no longer this call's; nothing was written.
    apricotpost.errors.PlatformError
        The outcome may not have been stored; `finish_again` tries again.
    """
    body = records.encode_outcome(outcome)
    record = records.started(claim)
    if len(body) <= MAX_INLINE_BYTES:
        record = dataclasses.replace(record, outcome=body)
    else:
        name = storage.objects.put_object(
            store.objects, body, prefix=OBJECT_PREFIX
        )
        record = dataclasses.replace(record, outcome_object=name)
    item = records.encode(claim, record)
    table.put(store.table, table.Put(item=item, condition=_owned(claim)))


def finish_again(
    store: storage.Store, claim: keys.Claim, outcome: records.Outcome
) -> None:
    """Store an outcome unless the record shows that it is stored.

    Raises
    ------
    apricotpost.errors.PlatformError
        As `finish`.
    """
    item = table.get(store.table, records.record_key(claim))
    if item is not None:
        record = records.decode(item)
        if record.outcome is not None or record.outcome_object is not None:
            return
    finish(store, claim, outcome)


def abandon(store: storage.Store, claim: keys.Claim) -> None:
    """Free the key of a call that was not run.

    Raises
    ------
    apricotpost.errors.PlatformError
        The record may still be there.
    """
    write = table.Delete(
        key=records.record_key(claim), condition=_owned(claim)
    )
    try:
        table.delete(store.table, write)
    except errors.TransactionRejected:
        # It has been removed, or the key belongs to another call.
        return


def release(store: storage.Store, claim: keys.Claim) -> bool:
    """Free the key of a call that did not run, if its record is there.

    Returns
    -------
    bool
        Whether there was a record. Without one, it may still arrive.

    Raises
    ------
    apricotpost.errors.PlatformError
        The record may still be there.
    """
    item = table.get(store.table, records.record_key(claim))
    if item is None or item.attributes.get("attempt") != claim.attempt:
        return False
    abandon(store, claim)
    return True


def replay(store: storage.Store, record: records.Record) -> records.Outcome:
    """Return the stored outcome of a record.

    Raises
    ------
    apricotpost.errors.PlatformError
        The object store does not return it.
    """
    body = record.outcome
    if body is None:
        name = record.outcome_object or ""
        body = storage.objects.get_object(store.objects, name)
    return records.decode_outcome(body)


def _resolve(
    store: storage.Store, claim: keys.Claim, clock: Callable[[], float]
) -> Begun:
    """Settle a lost answer by reading whose record it is."""
    limited = _until(store, claim.deadline, clock)
    try:
        item = table.get(limited.table, records.record_key(claim))
    except errors.PlatformUnavailable:
        item = None
    if item is None:
        return Begun(verdict=records.Verdict.UNAVAILABLE, uncertain=True)
    record = records.decode(item)
    if record.attempt == claim.attempt:
        return Begun(verdict=records.Verdict.RUN)
    if record.expires_at <= clock():
        return Begun(verdict=records.Verdict.UNAVAILABLE, uncertain=True)
    begun = _judge(record, claim, clock())
    return dataclasses.replace(begun, uncertain=True)


def _judge(record: records.Record, claim: keys.Claim, now: float) -> Begun:
    """Decide about a record for which the condition did not hold."""
    verdict = records.decide(record, claim, now)
    if verdict is records.Verdict.RUN and record.attempt != claim.attempt:
        # It expired after the condition was checked; the key is not taken.
        verdict = records.Verdict.UNAVAILABLE
    return Begun(verdict=verdict, record=record)


def _free(now: float) -> table.Condition:
    return table.Condition(
        expression="attribute_not_exists(pk) OR #expires_at <= :now",
        names={"#expires_at": "expires_at"},
        values={":now": int(now)},
    )


def _owned(claim: keys.Claim) -> table.Condition:
    return table.equals(attempt=claim.attempt)


def _until(
    store: storage.Store, deadline: float, clock: Callable[[], float]
) -> storage.Store:
    return storage.bounded(store, deadline - clock())
