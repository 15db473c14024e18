"""Configuration changes that carry out the decisions of a holder."""

import dataclasses

import xxhash

from apricotpost import config
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost.rollout import steps
from apricotpost.rollout import watch
from apricotpost import storage

__all__ = ["make_change"]


def make_change(
    observation: watch.Observation,
    decision: steps.Decision,
    *,
    holder: str,
    fence: storage.Fence,
    now: float,
) -> storage.Change:
    """Make the change that carries out a decision other than to hold.

    Parameters
    ----------
    observation : Observation
        What the decision is based on.
    decision : Decision
        Step or end.
    holder : str
        Unique name of the holder.
    fence : apricotpost.storage.Fence
        Proof that the holder has the lease.
    now : float
        Unix time in seconds.
    """
    before, rollout = observation.snapshot, observation.rollout
    extra: tuple[storage.table.Write, ...] = ()
    reason = _describe(rollout, decision)
    author = f"rollout at {holder}"
    if isinstance(decision, steps.Finish | steps.Withdraw):
        done = isinstance(decision, steps.Finish)
        text = "" if isinstance(decision, steps.Finish) else decision.reason
        after = rollouts.end_rollout(
            before, rollout, done=done, reason=text, now=now
        )
        extra = (_outcome_write(observation, after, author),)
    else:
        share = model.TOTAL_SHARE
        if isinstance(decision, steps.Advance):
            share = decision.share
        after = rollouts.step_rollout(before, rollout, share, now)
    after = config.with_checksum(
        dataclasses.replace(after, version=before.version + 1)
    )
    # Unique to this attempt: an equal identifier would count as carried out.
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


def _outcome_write(
    observation: watch.Observation, after: model.Snapshot, author: str
) -> storage.table.Put:
    ended = next(
        entry
        for entry in after.rollouts
        if entry.identifier == observation.rollout.identifier
    )
    return storage.outcomes.outcome_write(
        observation.rollout,
        ended,
        evidence=observation.judgement.summary,
        author=author,
    )


def _describe(rollout: model.Rollout, decision: steps.Decision) -> str:
    name = f"rollout {rollout.identifier}"
    if isinstance(decision, steps.Withdraw):
        return f"{name} withdrawn: {decision.reason}"
    if isinstance(decision, steps.Finish):
        return f"{name} done"
    if isinstance(decision, steps.Advance):
        return f"{name}: share {decision.share}"
    return f"{name}: baking"
