"""Execution of one keyed call: begin, run, then finish or abandon."""

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

__all__ = ["KEY_INVALID", "execute"]

LOG = logging.getLogger(__name__)

# Longest wait for one of the slots for table requests. A healthy table frees
# a slot within a few milliseconds.
SLOT_TIMEOUT_SECONDS = 0.1
# Longest time for storing an outcome or releasing a key. The caller's response
# is delayed by at most this time.
STORE_TIMEOUT_SECONDS = 0.5
KEY_INVALID = "key-invalid"
KEY_MISMATCH = "key-mismatch"
KEY_IN_PROGRESS = "key-in-progress"
KEY_OUTCOME_UNKNOWN = "key-outcome-unknown"
OUTCOME_UNAVAILABLE = "key-outcome-unavailable"


def execute(
    keyed: keyed_calls.KeyedCalls,
    *,
    key: str,
    request: wire.CallRequest,
    dispatch: keyed_calls.Dispatch,
) -> wire.CallResult:
    """Execute a keyed call; see `keyed_calls.execute`."""
    parsed = idempotency.parse_key(key)
    if parsed is None:
        return _make_not_run_result(request, 400, KEY_INVALID)
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
        return _make_not_run_result(
            request, 503, wire.NotRunReason.DEADLINE_PASSED.value
        )
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
    """Claim the key; return a result if the call must not run, else None."""
    with _table_slot(keyed) as acquired:
        if not acquired:
            return _make_unavailable_result(request)
        store = keyed_calls.get_store(keyed)
        try:
            begun = idempotency.begin(store, claim, clock=keyed.clock)
            if begun.uncertain:
                _schedule_retry(keyed, backlog.JobKind.RELEASE, claim)
            if begun.decision is idempotency.KeyDecision.RUN:
                return None
            return _make_result_without_run(
                store, begun, request, keyed.clock()
            )
        except errors.PlatformError as error:
            # An earlier call with this key may have run, so the outcome must
            # not be reported as NOT_RUN.
            events.emit(
                LOG,
                events.OUTCOME_UNREADABLE,
                route=claim.route,
                key=claim.key,
                error=error,
            )
            return _make_unknown_result(request, 503, OUTCOME_UNAVAILABLE)


def _make_result_without_run(
    store: storage.Store,
    begun: idempotency.BeginResult,
    request: wire.CallRequest,
    now: float,
) -> wire.CallResult:
    decision = begun.decision
    if decision is idempotency.KeyDecision.REPLAY and begun.record is not None:
        limited = storage.with_time_limit(store, request.deadline - now)
        return _make_replayed_result(
            request, idempotency.replay(limited, begun.record)
        )
    if decision is idempotency.KeyDecision.MISMATCH:
        return _make_not_run_result(request, 422, KEY_MISMATCH)
    if decision is idempotency.KeyDecision.IN_PROGRESS:
        return _make_unknown_result(request, 409, KEY_IN_PROGRESS)
    if decision is idempotency.KeyDecision.CONFLICT:
        return _make_unknown_result(request, 409, KEY_OUTCOME_UNKNOWN)
    return _make_unavailable_result(request)


def _finish(
    keyed: keyed_calls.KeyedCalls,
    claim: idempotency.Claim,
    result: wire.CallResult,
) -> None:
    """Store the outcome; a failure does not change the caller's response."""
    outcome = idempotency.Outcome(
        status=result.status, headers=result.headers, body=result.body
    )
    with _table_slot(keyed) as acquired:
        if acquired:
            store = _bounded_store(keyed, claim)
            try:
                return idempotency.finish(store, claim, outcome)
            except errors.TransactionRejected as error:
                return outcome_retries.log_unstored_outcome(LOG, claim, error)
            except errors.PlatformError:
                pass  # Retried by the job that is scheduled below.
    _schedule_retry(keyed, backlog.JobKind.FINISH, claim, outcome)


def _abandon(keyed: keyed_calls.KeyedCalls, claim: idempotency.Claim) -> None:
    """Release the key of a call that did not run."""
    with _table_slot(keyed) as acquired:
        if acquired:
            # The caller may repeat the call at once and needs the key free,
            # so the write is not limited to the call's deadline.
            store = storage.with_time_limit(
                keyed_calls.get_store(keyed), STORE_TIMEOUT_SECONDS
            )
            try:
                return idempotency.abandon(store, claim)
            except errors.PlatformError:
                pass  # Retried by the job that is scheduled below.
    _schedule_retry(keyed, backlog.JobKind.ABANDON, claim)


def _bounded_store(
    keyed: keyed_calls.KeyedCalls, claim: idempotency.Claim
) -> storage.Store:
    remaining = claim.deadline - keyed.clock()
    return storage.with_time_limit(
        keyed_calls.get_store(keyed), min(remaining, STORE_TIMEOUT_SECONDS)
    )


@contextlib.contextmanager
def _table_slot(keyed: keyed_calls.KeyedCalls) -> typing.Iterator[bool]:
    acquired = keyed.table_slots.acquire(timeout=SLOT_TIMEOUT_SECONDS)
    try:
        yield acquired
    finally:
        if acquired:
            keyed.table_slots.release()


def _schedule_retry(
    keyed: keyed_calls.KeyedCalls,
    kind: backlog.JobKind,
    claim: idempotency.Claim,
    outcome: idempotency.Outcome | None = None,
) -> None:
    """Queue a failed table write for the retry thread."""
    job = backlog.Job(
        kind=kind, claim=claim, outcome=outcome, failed_at=keyed.clock()
    )
    with keyed.lock:
        if keyed.retry_thread is None:
            keyed.retry_thread = threading.Thread(
                target=outcome_retries.run,
                kwargs={
                    "inbox": keyed.retry_queue,
                    "open_store": keyed.open_store,
                    "clock": keyed.clock,
                },
                name="outcome-retries",
                daemon=True,
            )
            keyed.retry_thread.start()
    try:
        keyed.retry_queue.put_nowait(job)
    except queue.Full:
        outcome_retries.log_unstored_outcome(
            LOG, claim, "the queue of outcome retries is full"
        )


def _make_replayed_result(
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


def _make_unavailable_result(request: wire.CallRequest) -> wire.CallResult:
    reason = wire.NotRunReason.PLATFORM_UNAVAILABLE.value
    return _make_not_run_result(request, 503, reason)


def _make_not_run_result(
    request: wire.CallRequest, status: int, reason: str
) -> wire.CallResult:
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason,
    )


def _make_unknown_result(
    request: wire.CallRequest, status: int, reason: str
) -> wire.CallResult:
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=status,
        reason=reason,
    )
