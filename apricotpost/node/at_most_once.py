"""One keyed call on an ingress thread: begin, run, finish or abandon."""

import contextlib
import logging
import queue
import threading
import typing

from apricotpost import errors
from apricotpost import events
from apricotpost import idempotency
from apricotpost.idempotency import backlog
from apricotpost.node import keyed_calls
from apricotpost.node import outcome_retries
from apricotpost import storage
from apricotpost import wire

__all__ = ["KEY_INVALID", "carry"]

LOG = logging.getLogger(__name__)

# Longest wait for a slot at the table; a healthy table frees one in a few ms.
SLOT_SECONDS = 0.1
# The caller's answer waits so long for its outcome to be stored.
FINISH_SECONDS = 0.5
KEY_INVALID = "key-invalid"
KEY_MISMATCH = "key-mismatch"
KEY_IN_PROGRESS = "key-in-progress"
KEY_OUTCOME_UNKNOWN = "key-outcome-unknown"
OUTCOME_UNAVAILABLE = "key-outcome-unavailable"


def carry(
    keyed: keyed_calls.KeyedCalls,
    *,
    key: str,
    request: wire.CallRequest,
    dispatch: keyed_calls.Dispatch,
) -> wire.CallResult:
    """Carry a keyed call; see `keyed_calls.carry`."""
    parsed = idempotency.parse_key(key)
    if parsed is None:
        return _not_run(request, 400, KEY_INVALID)
    claim = idempotency.Claim(
        route=request.route,
        key=parsed,
        fingerprint=idempotency.fingerprint(
            method=request.method, target=request.target, body=request.body
        ),
        attempt=request.request,
        started_at=keyed.clock(),
        deadline=request.deadline,
    )
    refusal = _begin(keyed, claim, request)
    if refusal is not None:
        return refusal
    if keyed.clock() >= claim.deadline:
        _abandon(keyed, claim)
        return _not_run(request, 503, wire.NotRunReason.DEADLINE_PASSED.value)
    result = dispatch()
    if result.outcome is wire.Outcome.ANSWERED:
        _finish(keyed, claim, result)
    elif result.outcome is wire.Outcome.NOT_RUN:
        _abandon(keyed, claim)
    return result


def _begin(
    keyed: keyed_calls.KeyedCalls,
    claim: idempotency.Claim,
    request: wire.CallRequest,
) -> wire.CallResult | None:
    """Take the key, or return the result of a call that does not run."""
    with _table_slot(keyed) as free:
        if not free:
            return _unavailable(request)
        store = keyed_calls.get_store(keyed)
        try:
            begun = idempotency.begin(store, claim, clock=keyed.clock)
            if begun.uncertain:
                _hand_over(keyed, backlog.JobKind.RELEASE, claim)
            if begun.verdict is idempotency.Verdict.RUN:
                return None
            return _answer(store, begun, request, keyed.clock())
        except errors.PlatformError as error:
            # An earlier call may have run, so this is not "not run".
            events.emit(
                LOG,
                events.OUTCOME_UNREADABLE,
                route=claim.route,
                key=claim.key,
                error=error,
            )
            return _unknown(request, 503, OUTCOME_UNAVAILABLE)


def _answer(
    store: storage.Store,
    begun: idempotency.Begun,
    request: wire.CallRequest,
    now: float,
) -> wire.CallResult:
    verdict = begun.verdict
    if verdict is idempotency.Verdict.REPLAY and begun.record is not None:
        limited = storage.bounded(store, request.deadline - now)
        return _replayed(request, idempotency.replay(limited, begun.record))
    if verdict is idempotency.Verdict.MISMATCH:
        return _not_run(request, 422, KEY_MISMATCH)
    if verdict is idempotency.Verdict.IN_PROGRESS:
        return _unknown(request, 409, KEY_IN_PROGRESS)
    if verdict is idempotency.Verdict.CONFLICT:
        return _unknown(request, 409, KEY_OUTCOME_UNKNOWN)
    return _unavailable(request)


def _finish(
    keyed: keyed_calls.KeyedCalls,
    claim: idempotency.Claim,
    result: wire.CallResult,
) -> None:
    """Store the outcome; the caller gets its answer in any case."""
    outcome = idempotency.Outcome(
        status=result.status, headers=result.headers, body=result.body
    )
    with _table_slot(keyed) as free:
        if free:
            store = _bounded_store(keyed, claim)
            try:
                return idempotency.finish(store, claim, outcome)
            except errors.TransactionRejected as error:
                return outcome_retries.emit_loss(LOG, claim, error)
            except errors.PlatformError:
                pass  # Tried again below.
    _hand_over(keyed, backlog.JobKind.FINISH, claim, outcome)


def _abandon(keyed: keyed_calls.KeyedCalls, claim: idempotency.Claim) -> None:
    """Free the key of a call that was not run."""
    with _table_slot(keyed) as free:
        if free:
            # The caller may repeat at once, so the wait is worth its time
            # even when the call's own time is up.
            store = storage.bounded(
                keyed_calls.get_store(keyed), FINISH_SECONDS
            )
            try:
                return idempotency.abandon(store, claim)
            except errors.PlatformError:
                pass  # Tried again below.
    _hand_over(keyed, backlog.JobKind.ABANDON, claim)


def _bounded_store(
    keyed: keyed_calls.KeyedCalls, claim: idempotency.Claim
) -> storage.Store:
    left = claim.deadline - keyed.clock()
    return storage.bounded(
        keyed_calls.get_store(keyed), min(left, FINISH_SECONDS)
    )


@contextlib.contextmanager
def _table_slot(keyed: keyed_calls.KeyedCalls) -> typing.Iterator[bool]:
    free = keyed.table_slots.acquire(timeout=SLOT_SECONDS)
    try:
        yield free
    finally:
        if free:
            keyed.table_slots.release()


def _hand_over(
    keyed: keyed_calls.KeyedCalls,
    kind: backlog.JobKind,
    claim: idempotency.Claim,
    outcome: idempotency.Outcome | None = None,
) -> None:
    """Give a step to the task that tries again."""
    job = backlog.Job(
        kind=kind, claim=claim, outcome=outcome, since=keyed.clock()
    )
    with keyed.lock:
        if keyed.worker is None:
            keyed.worker = threading.Thread(
                target=outcome_retries.run,
                kwargs={
                    "inbox": keyed.inbox,
                    "open_store": keyed.open_store,
                    "clock": keyed.clock,
                },
                name="outcome-retries",
                daemon=True,
            )
            keyed.worker.start()
    try:
        keyed.inbox.put_nowait(job)
    except queue.Full:
        outcome_retries.emit_loss(LOG, claim, "too many jobs wait")


def _replayed(
    request: wire.CallRequest, outcome: idempotency.Outcome
) -> wire.CallResult:
    headers = tuple(
        (name, value)
        for name, value in outcome.headers
        if name.lower() != idempotency.REPLAYED_HEADER.lower()
    )
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.ANSWERED,
        status=outcome.status,
        headers=(*headers, (idempotency.REPLAYED_HEADER, "1")),
        body=outcome.body,
    )


def _unavailable(request: wire.CallRequest) -> wire.CallResult:
    reason = wire.NotRunReason.PLATFORM_UNAVAILABLE.value
    return _not_run(request, 503, reason)


def _not_run(
    request: wire.CallRequest, status: int, reason: str
) -> wire.CallResult:
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason,
    )


def _unknown(
    request: wire.CallRequest, status: int, reason: str
) -> wire.CallResult:
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=status,
        reason=reason,
    )
