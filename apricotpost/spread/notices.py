"""Withdrawals: note, spread, compare and drop."""

from collections.abc import Iterable
import dataclasses
import random

from apricotpost import model
from apricotpost.spread import refusals
from apricotpost.spread import state as states
from apricotpost import wire

__all__ = ["drop_ended", "find_missing", "record", "offer"]

TOMBSTONE_TIMES = 10
_OPEN = (model.RolloutState.RUNNING, model.RolloutState.BAKING)


def record(
    state: states.SpreadState,
    withdrawals: Iterable[model.Withdrawal],
    now: float,
    cluster: states.ClusterView,
    rng: random.Random,
) -> states.Step:
    """Take over withdrawals and push those that are new."""
    new = {
        entry.rollout: entry
        for entry in withdrawals
        if _is_missing(state, entry.rollout)
    }
    if not new:
        return state, ()
    state = dataclasses.replace(
        state,
        notices={**state.notices, **new},
        noted_at={**state.noted_at, **dict.fromkeys(new, now)},
    )
    message = wire.WithdrawalNotice(
        sender=state.own, withdrawals=tuple(new.values())
    )
    return state, (
        *(states.Noted(withdrawal=entry) for entry in new.values()),
        *(
            states.Send(address=peer.address, message=message)
            for peer in refusals.pick_peers(state, cluster, rng)
        ),
    )


def offer(
    state: states.SpreadState, digest: wire.ConfigDigest, reply_to: bytes
) -> tuple[states.Action, ...]:
    """Answer a digest with the withdrawals that its sender lacks."""
    lacking = tuple(
        entry
        for rollout, entry in state.notices.items()
        if rollout not in digest.withdrawn
    )
    # A sender that is ahead may have dropped them with their rollouts.
    if not lacking or digest.version > state.snapshot.version:
        return ()
    message = wire.WithdrawalNotice(sender=state.own, withdrawals=lacking)
    return (states.Reply(reply_to=reply_to, message=message),)


def find_missing(state: states.SpreadState, digest: wire.ConfigDigest) -> bool:
    """Return whether the sender knows withdrawals that this node lacks."""
    return any(_is_missing(state, rollout) for rollout in digest.withdrawn)


def drop_ended(state: states.SpreadState, now: float) -> states.SpreadState:
    """Drop the withdrawals whose rollout is no longer open."""
    if not state.noted_at:
        return state
    open_now = _list_rollouts(state, ended=False)
    ended = _list_rollouts(state, ended=True)
    horizon = now - state.policy.notice_seconds
    kept = {
        rollout: entry
        for rollout, entry in state.notices.items()
        if rollout in open_now
        or (rollout not in ended and state.noted_at[rollout] > horizon)
    }
    # The time of a dropped notice stays for a while, so that peers which
    # still hold it do not bring it back.
    forget = now - TOMBSTONE_TIMES * state.policy.notice_seconds
    noted_at = {
        rollout: at
        for rollout, at in state.noted_at.items()
        if rollout in kept or at > forget
    }
    return dataclasses.replace(state, notices=kept, noted_at=noted_at)


def _is_missing(state: states.SpreadState, rollout: str) -> bool:
    if rollout in state.notices or rollout in _list_rollouts(
        state, ended=True
    ):
        return False
    return rollout not in state.noted_at or rollout in _list_rollouts(
        state, ended=False
    )


def _list_rollouts(
    state: states.SpreadState, *, ended: bool
) -> frozenset[str]:
    return frozenset(
        entry.identifier
        for entry in state.snapshot.rollouts
        if (entry.state not in _OPEN) is ended
    )
