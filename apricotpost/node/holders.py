"""Lease and commits of the node that holds a rollout.

Every write is conditional on the configuration version that it is based on
and on the fencing number of the lease. After a failure the same write is not
repeated; the decision is computed again. If a write took effect although its
response was lost, the next write fails as a conflict, and the control task is
asked to read the version that the table holds.
"""

from collections.abc import Callable
import contextlib
import dataclasses
import logging
import random
import re

from apricotpost import config
from apricotpost import errors
from apricotpost import events
from apricotpost import model
from apricotpost.node import rollout_changes
from apricotpost.rollout import monitor
from apricotpost.rollout import steps
from apricotpost import storage

__all__ = ["Holder", "advance_rollout", "release_lease"]

LOG = logging.getLogger(__name__)
BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
# The control task is asked to read a committed version at once. The request is
# repeated if the version is not in the view after this time.
CATCH_UP_TIMEOUT_SECONDS = 3.0
_DIGITS = re.compile(r"[0-9]+")


@dataclasses.dataclass(kw_only=True)
class Holder:
    """State of a node as the holder of its service's rollout.

    Parameters
    ----------
    name : str
        Name of the holder, unique to this run of the process.
    store : apricotpost.storage.Store
        Connection to the store; owned by the same task.
    times : Times
        Step and bake times from the settings.
    clock : callable
        Returns Unix time in seconds.
    notify_committed : callable
        Called with each configuration version that the control task should
        read, and with its delta if this node committed it.
    rng : random.Random
        Source of the random jitter of retries.
    """

    name: str
    store: storage.Store
    times: steps.Times
    clock: Callable[[], float]
    notify_committed: Callable[[int, model.Delta | None], None]
    rng: random.Random
    lease: storage.leases.Lease | None = None
    renewed_at: float = 0.0
    retry_at: float = 0.0
    failures: int = 0
    awaited_version: int = 0
    requested_at: float = 0.0
    logged_hold_reason: str = ""


def advance_rollout(
    holder: Holder, observation: monitor.Observation | None
) -> None:
    """Advance the open rollout if this node should be its holder.

    Parameters
    ----------
    holder : Holder
        State of this node as a holder; changed in place.
    observation : Observation, optional
        The open rollout. Without one, the only access to the table is the
        release of a lease.
    """
    if observation is None or not observation.is_holder_candidate:
        release_lease(holder)
        return
    if holder.clock() < holder.retry_at:
        return
    try:
        lease = _ensure_lease(holder, observation.rollout.service)
        if _is_behind(holder, observation.snapshot):
            return
        decision = _decide(holder, observation)
        if isinstance(decision, steps.Hold):
            _log_hold(holder, observation, decision)
            return
        _commit_decision(holder, observation, lease, decision)
        holder.failures = 0
    except errors.LeaseLost as error:
        _drop_lease(holder, observation, error)
    except errors.ChangeConflict:
        # An operator's change was committed first. The decision is computed
        # again once the view has it.
        _request_version(holder, observation.snapshot.version + 1)
    except errors.ApricotpostError as error:
        _back_off(holder, observation, error)


def release_lease(holder: Holder) -> None:
    """Release the lease, if there is one."""
    lease, holder.lease = holder.lease, None
    holder.logged_hold_reason = ""
    if lease is None:
        return
    # A lease that cannot be released expires.
    with contextlib.suppress(errors.PlatformError):
        storage.leases.release(holder.store, lease)


def _ensure_lease(holder: Holder, service: str) -> storage.leases.Lease:
    now = holder.clock()
    lease = holder.lease
    if lease is not None and lease.service != service:
        release_lease(holder)
        lease = None
    if lease is None or not storage.leases.is_usable(lease, now=now):
        holder.lease = None
        lease = storage.leases.acquire(
            holder.store, service=service, holder=holder.name, now=now
        )
        events.emit(
            LOG, events.LEASE_ACQUIRED, service=service, fence=lease.fence
        )
        holder.renewed_at, holder.failures = now, 0
    elif now - holder.renewed_at >= storage.leases.RENEW_INTERVAL_SECONDS:
        lease = storage.leases.renew(holder.store, lease, now=now)
        holder.renewed_at, holder.failures = now, 0
    holder.lease = lease
    return lease


def _is_behind(holder: Holder, snapshot: model.Snapshot) -> bool:
    """Return whether the view still lacks the awaited version."""
    if snapshot.version >= holder.awaited_version:
        return False
    if holder.clock() - holder.requested_at >= CATCH_UP_TIMEOUT_SECONDS:
        _request_version(holder, holder.awaited_version)
    return True


def _request_version(
    holder: Holder, version: int, delta: model.Delta | None = None
) -> None:
    holder.awaited_version = version
    holder.requested_at = holder.clock()
    holder.notify_committed(version, delta)


def _decide(
    holder: Holder, observation: monitor.Observation
) -> steps.Decision:
    return steps.decide(
        observation.rollout,
        observation.judgement,
        observation.server_counts,
        holder.clock(),
        holder.times,
    )


def _commit_decision(
    holder: Holder,
    observation: monitor.Observation,
    lease: storage.leases.Lease,
    decision: steps.Decision,
) -> None:
    now = holder.clock()
    change = rollout_changes.make_change(
        observation,
        decision,
        holder=holder.name,
        fence=storage.leases.make_fence(lease),
        now=now,
    )
    version = storage.commit(holder.store, change)
    _log_commit(observation, decision)
    holder.logged_hold_reason = ""
    _request_version(
        holder, version, config.compute_delta(change.before, change.after)
    )


def _log_commit(
    observation: monitor.Observation, decision: steps.Decision
) -> None:
    rollout = observation.rollout.identifier
    if isinstance(decision, steps.Withdraw):
        events.emit(
            LOG,
            events.ROLLOUT_WITHDRAWN,
            rollout=rollout,
            reason=decision.reason,
        )
    elif isinstance(decision, steps.Finish):
        events.emit(LOG, events.ROLLOUT_DONE, rollout=rollout)
    else:
        share = steps.BAKING_SHARE
        if isinstance(decision, steps.Advance):
            share = decision.share
        events.emit(LOG, events.ROLLOUT_STEP, rollout=rollout, share=share)


def _log_hold(
    holder: Holder, observation: monitor.Observation, decision: steps.Hold
) -> None:
    """Log why a rollout is held, unless only figures in it have changed."""
    reason_without_figures = _DIGITS.sub("", decision.reason)
    if reason_without_figures == holder.logged_hold_reason:
        return
    holder.logged_hold_reason = reason_without_figures
    events.emit(
        LOG,
        events.ROLLOUT_HELD,
        rollout=observation.rollout.identifier,
        reason=decision.reason,
    )


def _drop_lease(
    holder: Holder,
    observation: monitor.Observation,
    error: errors.ApricotpostError,
) -> None:
    if holder.lease is not None:
        events.emit(
            LOG,
            events.LEASE_LOST,
            service=observation.rollout.service,
            reason=error,
        )
    holder.lease = None
    holder.retry_at = holder.clock() + storage.leases.RENEW_INTERVAL_SECONDS


def _back_off(
    holder: Holder,
    observation: monitor.Observation,
    error: errors.ApricotpostError,
) -> None:
    wait_seconds = min(
        BACKOFF_MIN_SECONDS * 2.0**holder.failures, BACKOFF_MAX_SECONDS
    )
    wait_seconds *= 0.5 + holder.rng.random() / 2
    holder.failures += 1
    holder.retry_at = holder.clock() + wait_seconds
    events.emit(
        LOG,
        events.ROLLOUT_RETRY,
        rollout=observation.rollout.identifier,
        seconds=wait_seconds,
        error=error,
    )
