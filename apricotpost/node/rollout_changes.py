"""Configuration changes that implement the decisions of a holder."""

import dataclasses

import xxhash

from apricotpost import config
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost.rollout import monitor
from apricotpost.rollout import steps
from apricotpost import storage

__all__ = ["make_change"]


def make_change(
    observation: monitor.Observation,
    decision: steps.Decision,
    *,
    holder: str,
    fence: storage.Fence,
    now: float,
) -> storage.Change:
    """Make the change that implements a decision other than to hold.

    Parameters
    ----------
    observation : Observation
        State of the rollout that the decision is based on.
    decision : Decision
        Step of the rollout, or its end.
    holder : str
        Unique name of the holder.
    fence : apricotpost.storage.Fence
        Proof that the holder has the lease.
    now : float
        Unix time in seconds.
    """
    before, rollout = observation.snapshot, observation.rollout
    extra: tuple[storage.table.Write, ...] = ()
    reason = _describe_change(rollout, decision)
    author = f"rollout at {holder}"
    if isinstance(decision, steps.Finish | steps.Withdraw):
        done = isinstance(decision, steps.Finish)
        end_reason = (
            "" if isinstance(decision, steps.Finish) else decision.reason
        )
        after = rollouts.end_rollout(
            before, rollout, done=done, reason=end_reason, now=now
        )
        extra = (_make_outcome_write(observation, after, author),)
    else:
        share = model.TOTAL_SHARE
        if isinstance(decision, steps.Advance):
            share = decision.share
        after = rollouts.step_rollout(before, rollout, share, now)
    after = config.with_checksum(
        dataclasses.replace(after, version=before.version + 1)
    )
    # Unique to this attempt: a change with the identifier of an earlier one
    # counts as already committed.
    request = f"{holder}/{rollout.identifier}/{before.version}/{now!r}"
    return storage.Change(
        before=before,
        after=after,
        author=author,
        reason=reason,
        request=xxhash.xxh128_hexdigest(request.encode()),
        at=now,
        fence=fence,
        extra=extra,
    )


def _make_outcome_write(
    observation: monitor.Observation, after: model.Snapshot, author: str
) -> storage.table.Put:
    ended = next(
        entry
        for entry in after.rollouts
        if entry.identifier == observation.rollout.identifier
    )
    return storage.outcomes.make_outcome_write(
        observation.rollout,
        ended,
        evidence=observation.judgement.summary,
        author=author,
    )


def _describe_change(rollout: model.Rollout, decision: steps.Decision) -> str:
    name = f"rollout {rollout.identifier}"
    if isinstance(decision, steps.Withdraw):
        return f"{name} withdrawn: {decision.reason}"
    if isinstance(decision, steps.Finish):
        return f"{name} done"
    if isinstance(decision, steps.Advance):
        return f"{name}: share {decision.share}"
    return f"{name}: baking"
