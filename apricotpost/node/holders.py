"""Lease and commits of a rollout's holder.

Every write is conditional on the configuration version that it is based on
and on the fencing number of the lease. After a failure nothing is repeated
as it was: the decision is made anew. If a write whose answer was lost had
taken effect, the next one is refused as a conflict, and control is asked to
read the version that the table holds.
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
from apricotpost.rollout import steps
from apricotpost.rollout import watch
from apricotpost import storage

__all__ = ["Holder", "act", "leave"]

LOG = logging.getLogger(__name__)
BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
# Control reads a committed version at once; if it does not show up in the
# view after this time, control is asked again.
CATCH_UP_SECONDS = 3.0
_DIGITS = re.compile(r"[0-9]+")


@dataclasses.dataclass(kw_only=True)
class Holder:
    """State of a node as the holder of its service's rollout.

    Parameters
    ----------
    name : str
        Unique to this run of the process.
    store : apricotpost.storage.Store
        Owned by the same task.
    times : Times
        Settings.
    clock : callable
        Returns Unix time in seconds.
    committed : callable
        Gets each configuration version that control should read, and its
        delta if this node committed it.
    rng : random.Random
        Spreads the retries.
    """

    name: str
    store: storage.Store
    times: steps.Times
    clock: Callable[[], float]
    committed: Callable[[int, model.Delta | None], None]
    rng: random.Random
    lease: storage.leases.Lease | None = None
    renewed_at: float = 0.0
    retry_at: float = 0.0
    failures: int = 0
    awaited: int = 0
    asked_at: float = 0.0
    held: str = ""


def act(holder: Holder, observation: watch.Observation | None) -> None:
    """Do what the open rollout needs, if this node is to be its holder.

    Parameters
    ----------
    holder : Holder
        Changed in place.
    observation : Observation, optional
        The open rollout; without one nothing touches the table but the
        release of a lease.
    """
    if observation is None or not observation.is_first:
        leave(holder)
        return
    if holder.clock() < holder.retry_at:
        return
    try:
        lease = _hold_lease(holder, observation.rollout.service)
        if _is_behind(holder, observation.snapshot):
            return
        decision = _decide(holder, observation)
        if isinstance(decision, steps.Hold):
            _log_hold(holder, observation, decision)
            return
        _carry_out(holder, observation, lease, decision)
        holder.failures = 0
    except errors.LeaseLost as error:
        _drop_lease(holder, observation, error)
    except errors.ChangeConflict:
        # An operator's change came first; the decision is made anew on it.
        _await(holder, observation.snapshot.version + 1)
    except errors.ApricotpostError as error:
        _back_off(holder, observation, error)


def leave(holder: Holder) -> None:
    """Release the lease, if there is one."""
    lease, holder.lease = holder.lease, None
    holder.held = ""
    if lease is None:
        return
    # A lease that cannot be released ends by time.
    with contextlib.suppress(errors.PlatformError):
        storage.leases.release(holder.store, lease)


def _hold_lease(holder: Holder, service: str) -> storage.leases.Lease:
    now = holder.clock()
    lease = holder.lease
    if lease is not None and lease.service != service:
        leave(holder)
        lease = None
    if lease is None or not storage.leases.is_usable(lease, now=now):
        holder.lease = None
        lease = storage.leases.acquire(
            holder.store, service=service, holder=holder.name, now=now
        )
        events.emit(
            LOG, events.LEASE_TAKEN, service=service, fence=lease.fence
        )
        holder.renewed_at, holder.failures = now, 0
    elif now - holder.renewed_at >= storage.leases.RENEW_SECONDS:
        lease = storage.leases.renew(holder.store, lease, now=now)
        holder.renewed_at, holder.failures = now, 0
    holder.lease = lease
    return lease


def _is_behind(holder: Holder, snapshot: model.Snapshot) -> bool:
    """Whether the view lacks a version that is known to exist."""
    if snapshot.version >= holder.awaited:
        return False
    if holder.clock() - holder.asked_at >= CATCH_UP_SECONDS:
        _await(holder, holder.awaited)
    return True


def _await(
    holder: Holder, version: int, delta: model.Delta | None = None
) -> None:
    holder.awaited = version
    holder.asked_at = holder.clock()
    holder.committed(version, delta)


def _decide(holder: Holder, observation: watch.Observation) -> steps.Decision:
    return steps.decide(
        observation.rollout,
        observation.judgement,
        observation.facts,
        holder.clock(),
        holder.times,
    )


def _carry_out(
    holder: Holder,
    observation: watch.Observation,
    lease: storage.leases.Lease,
    decision: steps.Decision,
) -> None:
    now = holder.clock()
    change = rollout_changes.make_change(
        observation,
        decision,
        holder=holder.name,
        fence=storage.leases.fence_of(lease),
        now=now,
    )
    version = storage.commit(holder.store, change)
    _log_commit(observation, decision)
    holder.held = ""
    _await(holder, version, config.compute_delta(change.before, change.after))


def _log_commit(
    observation: watch.Observation, decision: steps.Decision
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
    holder: Holder, observation: watch.Observation, decision: steps.Hold
) -> None:
    """Log a reason once, not each time that a figure in it changes."""
    kind = _DIGITS.sub("", decision.reason)
    if kind == holder.held:
        return
    holder.held = kind
    events.emit(
        LOG,
        events.ROLLOUT_HELD,
        rollout=observation.rollout.identifier,
        reason=decision.reason,
    )


def _drop_lease(
    holder: Holder,
    observation: watch.Observation,
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
    holder.retry_at = holder.clock() + storage.leases.RENEW_SECONDS


def _back_off(
    holder: Holder,
    observation: watch.Observation,
    error: errors.ApricotpostError,
) -> None:
    seconds = min(
        BACKOFF_MIN_SECONDS * 2.0**holder.failures, BACKOFF_MAX_SECONDS
    )
    seconds *= 0.5 + holder.rng.random() / 2
    holder.failures += 1
    holder.retry_at = holder.clock() + seconds
    events.emit(
        LOG,
        events.ROLLOUT_RETRY,
        rollout=observation.rollout.identifier,
        seconds=seconds,
        error=error,
    )
