"""Choice of the version and of the backend server for a call."""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from apricotpost import model
from apricotpost.routing import tables

__all__ = [
    "PeerLoad",
    "UNKNOWN_PEER",
    "choose_backend_server",
    "choose_version",
    "effective_shares",
]

# A load report older than this says nothing about the present load.
LOAD_REPORT_SECONDS = 1.0
# Backend servers of the own data centre are preferred below this load.
LOCAL_PREFERENCE_LOAD = 0.7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """What this node knows about the load of one backend server.

    Parameters
    ----------
    reported : apricotpost.model.Load, optional
        Load in the last answer.
    reported_at : float
        When, in seconds of the monotonic clock.
    sent_since : int
        Calls sent after that.
    unanswered : int
        Calls of this node without an answer.
    excluded_until : float
        End of the back-off, in seconds of the monotonic clock.
    failures : int
        Failures in a row.
    """

    reported: model.Load | None = None
    reported_at: float = 0.0
    sent_since: int = 0
    unanswered: int = 0
    excluded_until: float = 0.0
    failures: int = 0


UNKNOWN_PEER = PeerLoad()


def effective_shares(
    table: tables.RoutingTable, service: model.Service, *, wall: float
) -> dict[str, int]:
    """Compute the shares of a service's versions at this moment.

    The share of a version that is withdrawn, or whose rollout did not finish
    in time, goes to the rollout's old version.

    Parameters
    ----------
    table : RoutingTable
        Derived from the view in force.
    service : apricotpost.model.Service
        Whose versions.
    wall : float
        Unix time in seconds.

    Returns
    -------
    dict
        Shares in thousandths by version.
    """
    shares = {entry.version: entry.share for entry in service.versions}
    rollout = table.rollouts.get(service.name)
    if rollout is not None:
        late = (
            rollout.state is model.RolloutState.RUNNING
            and wall >= rollout.finish_by
        )
        if late or (service.name, rollout.new) in table.withdrawn:
            moved = shares.pop(rollout.new, 0)
            shares[rollout.old] = shares.get(rollout.old, 0) + moved
    return shares


def choose_version(
    table: tables.RoutingTable,
    service: model.Service,
    *,
    wall: float,
    draw: float,
) -> str | None:
    """Choose a version by its share among those with backend servers.

    Parameters
    ----------
    table : RoutingTable
        Derived from the view in force.
    service : apricotpost.model.Service
        Service to call.
    wall : float
        Unix time in seconds.
    draw : float
        Random number from 0 up to 1.

    Returns
    -------
    str or None
        Version, or None when none can take the call.
    """
    shares = effective_shares(table, service, wall=wall)
    present = [
        (version, share)
        for version, share in shares.items()
        if (service.name, version) in table.backend_servers
    ]
    total = sum(share for _, share in present)
    if not total:
        return None
    point = draw * total
    for version, share in present:
        point -= share
        if point < 0:
            return version
    return present[-1][0]


def choose_backend_server(
    candidates: Sequence[model.InstanceRecord],
    loads: Mapping[str, PeerLoad],
    *,
    data_centre: str,
    now: float,
    draws: tuple[float, float],
) -> model.InstanceRecord | None:
    """Choose the faster of two random backend servers.

    Parameters
    ----------
    candidates : sequence of apricotpost.model.InstanceRecord
        Backend servers that may take the call.
    loads : mapping
        What is known of them, by instance.
    data_centre : str
        Own data centre, preferred while its servers have free slots.
    now : float
        Monotonic clock in seconds.
    draws : tuple of float
        Two random numbers from 0 up to 1.

    Notes
    -----
    The power of two random choices: Mitzenmacher, IEEE TPDS 12 (2001).
    """
    usable = [
        entry
        for entry in candidates
        if loads.get(entry.instance, UNKNOWN_PEER).excluded_until <= now
    ]
    # When all are in back-off, refusing every call would be worse.
    usable = usable or list(candidates)
    if not usable:
        return None
    local = [
        entry
        for entry in usable
        if entry.data_centre == data_centre
        and estimate_load(entry, loads, now=now) < LOCAL_PREFERENCE_LOAD
    ]
    pool = local or usable
    first = pool[int(draws[0] * len(pool))]
    if len(pool) == 1:
        return first
    others = [entry for entry in pool if entry is not first]
    second = others[int(draws[1] * len(others))]
    waits = _estimate_waits((first, second), loads, now=now)
    return second if waits[1] < waits[0] else first


def estimate_load(
    entry: model.InstanceRecord,
    loads: Mapping[str, PeerLoad],
    *,
    now: float,
) -> float:
    """Estimate calls per free slot of a backend server."""
    peer = loads.get(entry.instance, UNKNOWN_PEER)
    if peer.reported is None:
        return peer.unanswered / max(entry.slots, 1)
    limit = max(peer.reported.limit, 1)
    if now - peer.reported_at > LOAD_REPORT_SECONDS:
        return peer.unanswered / limit
    busy = peer.reported.in_flight + peer.reported.queued
    return max(busy + peer.sent_since, peer.unanswered) / limit


def _estimate_waits(
    pair: tuple[model.InstanceRecord, model.InstanceRecord],
    loads: Mapping[str, PeerLoad],
    *,
    now: float,
) -> list[float]:
    """Estimate how long one more call would take at each of two servers.

    A server whose latency is not known counts as fast as the other, so that
    it gets a call and a new report even when it used to be slow.
    """
    usual = [_usual_ms(entry, loads, now=now) for entry in pair]
    known = [value for value in usual if value]
    other = known[0] if known else 1.0
    return [
        (estimate_load(entry, loads, now=now) + 1 / max(entry.slots, 1))
        * (value or other)
        for entry, value in zip(pair, usual, strict=True)
    ]


def _usual_ms(
    entry: model.InstanceRecord,
    loads: Mapping[str, PeerLoad],
    *,
    now: float,
) -> float:
    peer = loads.get(entry.instance, UNKNOWN_PEER)
    if peer.reported is None:
        return 0.0
    if now - peer.reported_at > LOAD_REPORT_SECONDS:
        return 0.0
    return peer.reported.usual_ms
