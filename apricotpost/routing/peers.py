"""What dispatch notes about the backend servers that it calls."""

import dataclasses

from apricotpost import model
from apricotpost.routing import choices
from apricotpost.routing import flights

__all__ = [
    "drop",
    "exclude",
    "note_failure",
    "note_load",
    "note_sent",
    "note_success",
]

# The functions that run for each call use constructors: `dataclasses.replace`
# takes several times as long.

# Back-off of a backend server after failures in a row: doubles from the
# first to the last figure.
BACKOFF_MIN_SECONDS = 0.5
BACKOFF_MAX_SECONDS = 8.0
MAX_DOUBLINGS = 4


def note_sent(
    state: flights.CallState, attempt: flights.Attempt
) -> flights.CallState:
    """Add an attempt that is about to be sent."""
    peer = _peer(state, attempt.instance)
    peer = choices.PeerLoad(
        reported=peer.reported,
        reported_at=peer.reported_at,
        sent_since=peer.sent_since + 1,
        unanswered=peer.unanswered + 1,
        excluded_until=peer.excluded_until,
        failures=peer.failures,
    )
    return flights.CallState(
        data_centre=state.data_centre,
        attempts={**state.attempts, attempt.call: attempt},
        loads={**state.loads, attempt.instance: peer},
        budget=state.budget,
        sequence=state.sequence + 1,
    )


def drop(
    state: flights.CallState, attempt: flights.Attempt
) -> flights.CallState:
    """Forget an attempt; a later answer to it belongs to nobody."""
    if attempt.call not in state.attempts:
        return state
    remaining = dict(state.attempts)
    del remaining[attempt.call]
    peer = _peer(state, attempt.instance)
    peer = choices.PeerLoad(
        reported=peer.reported,
        reported_at=peer.reported_at,
        sent_since=peer.sent_since,
        unanswered=max(peer.unanswered - 1, 0),
        excluded_until=peer.excluded_until,
        failures=peer.failures,
    )
    return flights.CallState(
        data_centre=state.data_centre,
        attempts=remaining,
        loads={**state.loads, attempt.instance: peer},
        budget=state.budget,
        sequence=state.sequence,
    )


def note_load(
    state: flights.CallState,
    instance: str,
    load: model.Load | None,
    now: flights.Now,
) -> flights.CallState:
    """Store the load that came with an answer."""
    if load is None:
        return state
    peer = _peer(state, instance)
    peer = choices.PeerLoad(
        reported=load,
        reported_at=now.monotonic,
        unanswered=peer.unanswered,
        excluded_until=peer.excluded_until,
        failures=peer.failures,
    )
    return _put(state, instance, peer)


def note_success(state: flights.CallState, instance: str) -> flights.CallState:
    """End the back-off of a backend server that answered."""
    peer = _peer(state, instance)
    if not peer.failures and not peer.excluded_until:
        return state
    peer = dataclasses.replace(peer, failures=0, excluded_until=0.0)
    return _put(state, instance, peer)


def note_failure(
    state: flights.CallState, instance: str, now: flights.Now
) -> flights.CallState:
    """Start or lengthen the back-off of a backend server."""
    peer = _peer(state, instance)
    doublings = min(peer.failures, MAX_DOUBLINGS)
    pause = min(BACKOFF_MIN_SECONDS * 2.0**doublings, BACKOFF_MAX_SECONDS)
    peer = dataclasses.replace(peer, failures=peer.failures + 1)
    return exclude(_put(state, instance, peer), instance, now, pause)


def exclude(
    state: flights.CallState,
    instance: str,
    now: flights.Now,
    seconds: float,
) -> flights.CallState:
    """Choose a backend server again only after a pause."""
    until = now.monotonic + seconds
    peer = dataclasses.replace(_peer(state, instance), excluded_until=until)
    return _put(state, instance, peer)


def _peer(state: flights.CallState, instance: str) -> choices.PeerLoad:
    return state.loads.get(instance, choices.UNKNOWN_PEER)


def _put(
    state: flights.CallState, instance: str, peer: choices.PeerLoad
) -> flights.CallState:
    return flights.CallState(
        data_centre=state.data_centre,
        attempts=state.attempts,
        loads={**state.loads, instance: peer},
        budget=state.budget,
        sequence=state.sequence,
    )
