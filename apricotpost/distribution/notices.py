"""Notices of withdrawals: record, push, compare and drop."""

from collections.abc import Iterable
import dataclasses
import random

from apricotpost.distribution import refusals
from apricotpost.distribution import state as states
from apricotpost import model
from apricotpost import wire

__all__ = ["answer_digest", "drop_ended", "lists_missing", "record"]

# Times of receipt are kept for this many times ``Policy.notice_seconds``.
TOMBSTONE_FACTOR = 10
_OPEN = (model.RolloutState.RUNNING, model.RolloutState.BAKING)


def record(
    state: states.DistributionState,
    withdrawals: Iterable[model.Withdrawal],
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    """Record withdrawals and push those that are new to some peers."""
    new_withdrawals = {
        withdrawal.rollout: withdrawal
        for withdrawal in withdrawals
        if _is_missing(state, withdrawal.rollout)
    }
    if not new_withdrawals:
        return state, ()
    state = dataclasses.replace(
        state,
        withdrawals={**state.withdrawals, **new_withdrawals},
        notice_received_at={
            **state.notice_received_at,
            **dict.fromkeys(new_withdrawals, now),
        },
    )
    message = wire.WithdrawalNotice(
        sender=state.own, withdrawals=tuple(new_withdrawals.values())
    )
    return state, (
        *(
            states.NewWithdrawal(withdrawal=withdrawal)
            for withdrawal in new_withdrawals.values()
        ),
        *(
            states.Send(address=peer.address, message=message)
            for peer in refusals.select_push_peers(state, cluster, rng)
        ),
    )


def answer_digest(
    state: states.DistributionState, digest: wire.ConfigDigest, reply_to: bytes
) -> tuple[states.Action, ...]:
    """Answer a digest with the withdrawals that its sender lacks."""
    lacked = tuple(
        withdrawal
        for rollout, withdrawal in state.withdrawals.items()
        if rollout not in digest.withdrawn
    )
    # A sender with a newer version may have dropped them because their
    # rollouts ended.
    if not lacked or digest.version > state.snapshot.version:
        return ()
    message = wire.WithdrawalNotice(sender=state.own, withdrawals=lacked)
    return (states.Reply(reply_to=reply_to, message=message),)


def lists_missing(
    state: states.DistributionState, digest: wire.ConfigDigest
) -> bool:
    """Return whether a digest lists withdrawals that this node lacks."""
    return any(_is_missing(state, rollout) for rollout in digest.withdrawn)


def drop_ended(
    state: states.DistributionState, now: float
) -> states.DistributionState:
    """Drop the withdrawals whose rollout is no longer running or baking.

    Those of unknown rollouts are dropped after ``Policy.notice_seconds``.
    """
    if not state.notice_received_at:
        return state
    open_now = _list_rollouts(state, ended=False)
    ended = _list_rollouts(state, ended=True)
    horizon = now - state.policy.notice_seconds
    kept = {
        rollout: withdrawal
        for rollout, withdrawal in state.withdrawals.items()
        if rollout in open_now
        or (
            rollout not in ended
            and state.notice_received_at[rollout] > horizon
        )
    }
    # The time of receipt outlasts a dropped notice, so that a peer which still
    # holds the notice cannot reintroduce it.
    tombstone_horizon = now - TOMBSTONE_FACTOR * state.policy.notice_seconds
    notice_received_at = {
        rollout: at
        for rollout, at in state.notice_received_at.items()
        if rollout in kept or at > tombstone_horizon
    }
    return dataclasses.replace(
        state, withdrawals=kept, notice_received_at=notice_received_at
    )


def _is_missing(state: states.DistributionState, rollout: str) -> bool:
    if rollout in state.withdrawals or rollout in _list_rollouts(
        state, ended=True
    ):
        return False
    return (
        rollout not in state.notice_received_at
        or rollout in _list_rollouts(state, ended=False)
    )


def _list_rollouts(
    state: states.DistributionState, *, ended: bool
) -> frozenset[str]:
    return frozenset(
        rollout.identifier
        for rollout in state.snapshot.rollouts
        if (rollout.state not in _OPEN) is ended
    )
