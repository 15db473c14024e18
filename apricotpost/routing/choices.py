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

# A load report older than this is ignored.
LOAD_REPORT_SECONDS = 1.0
# Backend servers in the own data centre are preferred while their load, in
# calls per slot, is below this.
LOCAL_PREFERENCE_LOAD = 0.7


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """Load of one backend server, as known to this node.

    Parameters
    ----------
    reported : apricotpost.model.Load, optional
        Load report of the last answer.
    reported_at : float
        Time of that answer, in seconds of the monotonic clock.
    sent_since : int
        Number of calls sent since that answer.
    unanswered : int
        Number of calls of this node that have no answer yet.
    excluded_until : float
        End of the back-off, in seconds of the monotonic clock.
    failures : int
        Number of failures in a row.
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
    """Return the shares of a service's versions at a given time.

    The share of a version that is withdrawn, or whose rollout did not finish
    in time, goes to the rollout's old version.

    Parameters
    ----------
    table : RoutingTable
        Derived from the view in force.
    service : apricotpost.model.Service
        Service whose versions share the calls.
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
        overdue = (
            rollout.state is model.RolloutState.RUNNING
            and wall >= rollout.finish_by
        )
        if overdue or (service.name, rollout.new) in table.withdrawn:
            moved_share = shares.pop(rollout.new, 0)
            shares[rollout.old] = shares.get(rollout.old, 0) + moved_share
    return shares


def choose_version(
    table: tables.RoutingTable,
    service: model.Service,
    *,
    wall: float,
    draw: float,
) -> str | None:
    """Choose a version at random, weighted by the versions' shares.

    Versions without a backend server are left out.

    Parameters
    ----------
    table : RoutingTable
        Derived from the view in force.
    service : apricotpost.model.Service
        Service to call.
    wall : float
        Unix time in seconds.
    draw : float
        Random number in [0, 1).

    Returns
    -------
    str or None
        Version, or None if no version with a share has a backend server.
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
        Backend servers that may run the call.
    loads : mapping
        Known load of the backend servers, by instance.
    data_centre : str
        Own data centre, preferred while its backend servers have free slots.
    now : float
        Monotonic clock in seconds.
    draws : tuple of float
        Two random numbers in [0, 1).

    Notes
    -----
    The power of two random choices: Mitzenmacher, IEEE TPDS 12 (2001).
    """
    usable = [
        entry
        for entry in candidates
        if loads.get(entry.instance, UNKNOWN_PEER).excluded_until <= now
    ]
    # If all are in back-off, calls go to any of them, because refusing every
    # call would be worse.
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
    expected_ms = _estimate_latencies((first, second), loads, now=now)
    return second if expected_ms[1] < expected_ms[0] else first


def estimate_load(
    entry: model.InstanceRecord,
    loads: Mapping[str, PeerLoad],
    *,
    now: float,
) -> float:
    """Return the number of a backend server's calls divided by its limit."""
    peer = loads.get(entry.instance, UNKNOWN_PEER)
    if peer.reported is None:
        return peer.unanswered / max(entry.slots, 1)
    limit = max(peer.reported.limit, 1)
    if now - peer.reported_at > LOAD_REPORT_SECONDS:
        return peer.unanswered / limit
    busy = peer.reported.in_flight + peer.reported.queued
    return max(busy + peer.sent_since, peer.unanswered) / limit


def _estimate_latencies(
    pair: tuple[model.InstanceRecord, model.InstanceRecord],
    loads: Mapping[str, PeerLoad],
    *,
    now: float,
) -> list[float]:
    """Return the estimated relative time of one more call at two servers.

    A server without a current latency is assumed to be as fast as the other
    one, so that it gets a call and reports again even if it was slow before.
    """
    latencies_ms = [_usual_ms(entry, loads, now=now) for entry in pair]
    known_ms = [value for value in latencies_ms if value]
    default_ms = known_ms[0] if known_ms else 1.0
    return [
        (estimate_load(entry, loads, now=now) + 1 / max(entry.slots, 1))
        * (value or default_ms)
        for entry, value in zip(pair, latencies_ms, strict=True)
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
