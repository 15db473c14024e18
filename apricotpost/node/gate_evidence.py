"""What a finished call at the gate says about its version."""

import time

from apricotpost import admission
from apricotpost.admission import gate
from apricotpost import model
from apricotpost.rollout import evidence
from apricotpost import wire

__all__ = ["describe_finished"]


def describe_finished(
    result: wire.BackendResult,
    waiting: gate.Waiting,
    *,
    snapshot: model.Snapshot,
    alone: bool,
) -> evidence.Finished:
    """Describe how a call ended.

    Parameters
    ----------
    result : apricotpost.wire.BackendResult
        From the backend worker.
    waiting : apricotpost.admission.gate.Waiting
        The call.
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    alone : bool
        Whether no other call was running.
    """
    call = waiting.call
    timeout_ms = next(
        (
            entry.timeout_ms
            for entry in snapshot.routes
            if entry.name == call.route
        ),
        0,
    )
    elapsed = time.monotonic() - waiting.since
    granted_seconds = call.deadline - time.time() + elapsed
    return evidence.Finished(
        answered=result.outcome is wire.Outcome.ANSWERED,
        status=result.status,
        timed_out=result.reason == wire.UnknownReason.TIMEOUT.value,
        expired=result.reason == wire.NotRunReason.DEADLINE_PASSED.value,
        granted_share=granted_seconds * 1000 / max(timeout_ms, 1),
        alone=alone,
        cold=admission.reports_cold(result),
        duration_ms=result.duration_ms,
    )
