"""Load and back-off of the backend servers that a node calls."""

import dataclasses

from apricotpost import model
from apricotpost.routing import call_states
from apricotpost.routing import choices

__all__ = [
    "remove",
    "exclude",
    "record_failure",
    "record_load",
    "record_sent",
    "record_success",
]

# Functions that run for each call use the constructors, because
# `dataclasses.replace` takes several times as long.

# Back-off of a backend server after a failure. It doubles with each further
# failure in a row, up to the maximum.
BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
MAX_DOUBLINGS = 4


def record_sent(
    state: call_states.CallState, attempt: call_states.Attempt
) -> call_states.CallState:
    """Record an attempt that is about to be sent."""
    peer = _find_peer(state, attempt.instance)
    peer = choices.PeerLoad(
        reported=peer.reported,
        reported_at=peer.reported_at,
        sent_since=peer.sent_since + 1,
        unanswered=peer.unanswered + 1,
        excluded_until=peer.excluded_until,
        failures=peer.failures,
    )
    return call_states.CallState(
        data_centre=state.data_centre,
        attempts={**state.attempts, attempt.call: attempt},
        loads={**state.loads, attempt.instance: peer},
        budget=state.budget,
        sequence=state.sequence + 1,
    )


def remove(
    state: call_states.CallState, attempt: call_states.Attempt
) -> call_states.CallState:
    """Remove an attempt; a later answer to it is dropped."""
    if attempt.call not in state.attempts:
        return state
    remaining = dict(state.attempts)
    del remaining[attempt.call]
    peer = _find_peer(state, attempt.instance)
    peer = choices.PeerLoad(
        reported=peer.reported,
        reported_at=peer.reported_at,
        sent_since=peer.sent_since,
        unanswered=max(peer.unanswered - 1, 0),
        excluded_until=peer.excluded_until,
        failures=peer.failures,
    )
    return call_states.CallState(
        data_centre=state.data_centre,
        attempts=remaining,
        loads={**state.loads, attempt.instance: peer},
        budget=state.budget,
        sequence=state.sequence,
    )


def record_load(
    state: call_states.CallState,
    instance: str,
    load: model.Load | None,
    now: call_states.Now,
) -> call_states.CallState:
    """Store the load report of an answer."""
    if load is None:
        return state
    peer = _find_peer(state, instance)
    peer = choices.PeerLoad(
        reported=load,
        reported_at=now.monotonic,
        unanswered=peer.unanswered,
        excluded_until=peer.excluded_until,
        failures=peer.failures,
    )
    return _with_peer(state, instance, peer)


def record_success(
    state: call_states.CallState, instance: str
) -> call_states.CallState:
    """End the back-off of a backend server that answered."""
    peer = _find_peer(state, instance)
    if not peer.failures and not peer.excluded_until:
        return state
    peer = dataclasses.replace(peer, failures=0, excluded_until=0.0)
    return _with_peer(state, instance, peer)


def record_failure(
    state: call_states.CallState, instance: str, now: call_states.Now
) -> call_states.CallState:
    """Start or lengthen the back-off of a backend server."""
    peer = _find_peer(state, instance)
    doublings = min(peer.failures, MAX_DOUBLINGS)
    backoff_seconds = min(
        BACKOFF_MIN_SECONDS * 2.0**doublings, BACKOFF_MAX_SECONDS
    )
    peer = dataclasses.replace(peer, failures=peer.failures + 1)
    return exclude(
        _with_peer(state, instance, peer), instance, now, backoff_seconds
    )


def exclude(
    state: call_states.CallState,
    instance: str,
    now: call_states.Now,
    seconds: float,
) -> call_states.CallState:
    """Set the end of a backend server's back-off."""
    until = now.monotonic + seconds
    peer = dataclasses.replace(
        _find_peer(state, instance), excluded_until=until
    )
    return _with_peer(state, instance, peer)


def _find_peer(
    state: call_states.CallState, instance: str
) -> choices.PeerLoad:
    return state.loads.get(instance, choices.UNKNOWN_PEER)


def _with_peer(
    state: call_states.CallState, instance: str, peer: choices.PeerLoad
) -> call_states.CallState:
    return call_states.CallState(
        data_centre=state.data_centre,
        attempts=state.attempts,
        loads={**state.loads, instance: peer},
        budget=state.budget,
        sequence=state.sequence,
    )
