"""Evidence that a finished call at the gate gives about its version."""

import time

from apricotpost import admission
from apricotpost.admission import gate
from apricotpost import model
from apricotpost.rollout import evidence
from apricotpost import wire

__all__ = ["describe_finished"]


def describe_finished(
    result: wire.BackendResult,
    pending: gate.PendingCall,
    *,
    snapshot: model.Snapshot,
    is_only_call: bool,
) -> evidence.FinishedCall:
    """Describe the end of a call as evidence about its version.

    Parameters
    ----------
    result : apricotpost.wire.BackendResult
        Result from the backend worker.
    pending : apricotpost.admission.gate.PendingCall
        The finished call, as the gate admitted it.
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    is_only_call : bool
        Whether no other call was running at the gate.
    """
    call = pending.call
    timeout_ms = next(
        (
            entry.timeout_ms
            for entry in snapshot.routes
            if entry.name == call.route
        ),
        0,
    )
    elapsed_seconds = time.monotonic() - pending.arrived_at
    granted_seconds = call.deadline - time.time() + elapsed_seconds
    return evidence.FinishedCall(
        answered=result.outcome is wire.Outcome.ANSWERED,
        status=result.status,
        timed_out=result.reason == wire.UnknownReason.TIMEOUT.value,
        expired=result.reason == wire.NotRunReason.DEADLINE_PASSED.value,
        granted_ratio=granted_seconds * 1000 / max(timeout_ms, 1),
        is_only_call=is_only_call,
        cold=admission.reports_cold(result),
        duration_ms=result.duration_ms,
    )
