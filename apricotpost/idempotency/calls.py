"""Operations of a keyed call on the table: begin, finish, abandon."""

from collections.abc import Callable
import dataclasses

from apricotpost import errors
from apricotpost.idempotency import keys
from apricotpost.idempotency import records
from apricotpost import storage
from apricotpost.storage import table

__all__ = [
    "BeginResult",
    "MAX_INLINE_BYTES",
    "abandon",
    "begin",
    "finish",
    "finish_again",
    "release",
    "replay",
]

# Larger outcomes go to the object store: an item of the table has at most
# 400 KiB.
MAX_INLINE_BYTES = 256 * 1024
# With this prefix, a lifecycle rule of the bucket can remove the objects after
# two days.
OBJECT_PREFIX = "outcomes/"
MAX_BEGIN_ATTEMPTS = 2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BeginResult:
    """Result of `begin`.

    Parameters
    ----------
    decision : KeyDecision
        The call may run only if this is ``RUN``.
    record : Record, optional
        Record of the earlier call with the key.
    uncertain : bool
        Whether the record of this call may have been written, or may still
        be, although the call does not run; `release` removes it.
    """

    decision: records.KeyDecision
    record: records.Record | None = None
    uncertain: bool = False


def begin(
    store: storage.Store,
    claim: keys.Claim,
    *,
    clock: Callable[[], float],
) -> BeginResult:
    """Claim a key for a call if it is free.

    Parameters
    ----------
    store : Store
        Store of the platform. Its requests time out at the call's deadline.
    claim : Claim
        Call that asks for the key.
    clock : callable
        Returns Unix time in seconds.

    Returns
    -------
    BeginResult
        Decision on the call. If the table does not respond, the call may
        not run.

    Raises
    ------
    apricotpost.errors.PlatformDataDamaged
        The record of the key is malformed; this call may not run.
    """
    request = table.Put(
        item=records.encode(claim, records.make_record(claim)),
        condition=_if_free(clock()),
    )
    for _ in range(MAX_BEGIN_ATTEMPTS):
        bounded_store = _bound_to_deadline(store, claim.deadline, clock)
        try:
            item = table.put_or_get(bounded_store.table, request)
        except errors.TransactionRejected:
            # The record that failed the condition was removed meanwhile.
            continue
        except errors.PlatformUnavailable:
            break
        except errors.PlatformOutcomeUnknown:
            return _resolve_lost_response(store, claim, clock)
        if item is None:
            return BeginResult(decision=records.KeyDecision.RUN)
        return _decide_for_record(records.decode(item), claim, clock())
    return BeginResult(decision=records.KeyDecision.UNAVAILABLE)


def finish(
    store: storage.Store, claim: keys.Claim, outcome: records.Outcome
) -> None:
    """Store the outcome of a call that ran.

    Raises
    ------
    apricotpost.errors.TransactionRejected
        The record no longer belongs to this call; nothing was written.
    apricotpost.errors.PlatformError
        The outcome may not have been stored; `finish_again` retries.
    """
    body = records.encode_outcome(outcome)
    record = records.make_record(claim)
    if len(body) <= MAX_INLINE_BYTES:
        record = dataclasses.replace(record, outcome=body)
    else:
        name = storage.objects.put_object(
            store.objects, body, prefix=OBJECT_PREFIX
        )
        record = dataclasses.replace(record, outcome_object=name)
    item = records.encode(claim, record)
    table.put(store.table, table.Put(item=item, condition=_if_owned(claim)))


def finish_again(
    store: storage.Store, claim: keys.Claim, outcome: records.Outcome
) -> None:
    """Store an outcome unless the record already has one.

    Raises
    ------
    apricotpost.errors.PlatformError
        The outcome may not have been stored, as for `finish`.
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
    request = table.Delete(
        key=records.record_key(claim), condition=_if_owned(claim)
    )
    try:
        table.delete(store.table, request)
    except errors.TransactionRejected:
        # The record has been removed, or the key belongs to another call.
        return


def release(store: storage.Store, claim: keys.Claim) -> bool:
    """Free the key of a call that did not run, if its record is there.

    Returns
    -------
    bool
        Whether there was a record of this call. If not, its write may still
        reach the table.

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
        The outcome could not be read from the object store.
    """
    body = record.outcome
    if body is None:
        name = record.outcome_object or ""
        body = storage.objects.get_object(store.objects, name)
    return records.decode_outcome(body)


def _resolve_lost_response(
    store: storage.Store, claim: keys.Claim, clock: Callable[[], float]
) -> BeginResult:
    """Decide after a lost response by reading which call owns the record."""
    bounded_store = _bound_to_deadline(store, claim.deadline, clock)
    try:
        item = table.get(bounded_store.table, records.record_key(claim))
    except errors.PlatformUnavailable:
        item = None
    if item is None:
        return BeginResult(
            decision=records.KeyDecision.UNAVAILABLE, uncertain=True
        )
    record = records.decode(item)
    if record.attempt == claim.attempt:
        return BeginResult(decision=records.KeyDecision.RUN)
    if record.expires_at <= clock():
        return BeginResult(
            decision=records.KeyDecision.UNAVAILABLE, uncertain=True
        )
    begun = _decide_for_record(record, claim, clock())
    return dataclasses.replace(begun, uncertain=True)


def _decide_for_record(
    record: records.Record, claim: keys.Claim, now: float
) -> BeginResult:
    """Decide on a call whose write was rejected for an existing record."""
    decision = records.decide(record, claim, now)
    if decision is records.KeyDecision.RUN and record.attempt != claim.attempt:
        # The record expired after the condition was checked, so the write
        # was rejected and the key is not claimed for this call.
        decision = records.KeyDecision.UNAVAILABLE
    return BeginResult(decision=decision, record=record)


def _if_free(now: float) -> table.Condition:
    return table.Condition(
        expression="attribute_not_exists(pk) OR #expires_at <= :now",
        names={"#expires_at": "expires_at"},
        values={":now": int(now)},
    )


def _if_owned(claim: keys.Claim) -> table.Condition:
    return table.equals(attempt=claim.attempt)


def _bound_to_deadline(
    store: storage.Store, deadline: float, clock: Callable[[], float]
) -> storage.Store:
    return storage.with_time_limit(store, deadline - clock())
