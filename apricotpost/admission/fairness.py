"""Fair shares of a backend server's time among tenants of one priority.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a
start tag, and the request with the lowest tag starts first. The tags of a
tenant are as far apart as the service times of its requests, and no tag is
below the virtual time, which is that of the request started last. A tenant
that asks for less than its share thus finds free slots as soon as they exist,
and a large tenant gets what the others leave. All tenants have equal weights;
requests without a tenant share the weight of one.
"""

from collections.abc import Iterable
import operator
import typing

__all__ = ["Shares", "count_ahead", "record_start", "start_tag"]

# Tenants whose tags are kept. A fleet has about a hundred; more could only
# come from names that change all the time.
MAX_TENANTS = 1000


class Waiting(typing.Protocol):
    """The part of a queued request that the decision needs."""

    @property
    def rank(self) -> int:
        """Priority; lower is more urgent."""

    @property
    def tenant(self) -> str:
        """Tenant of the request; empty if there is none."""


class Shares:
    """Virtual time of a queue, and of its tenants, in milliseconds."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        # Virtual time at which the service that a tenant got ends; only of
        # tenants for which it is in the virtual future.
        self.finish_ms: dict[str, float] = {}


def start_tag(shares: Shares, tenant: str) -> float:
    """Return the start tag of a tenant's next request, in milliseconds."""
    return max(shares.finish_ms.get(tenant, 0.0), shares.now_ms)


def record_start(shares: Shares, tenant: str, service_ms: float) -> None:
    """Charge a request to its tenant as it starts.

    Parameters
    ----------
    shares : Shares
        State of the queue; it stays empty while no request has a tenant.
    tenant : str
        Tenant of the request; empty if there is none.
    service_ms : float
        Expected service time, in milliseconds.
    """
    if not tenant and not shares.finish_ms:
        return
    shares.now_ms = start_tag(shares, tenant)
    shares.finish_ms[tenant] = shares.now_ms + service_ms
    if len(shares.finish_ms) > MAX_TENANTS:
        # The one that is closest to the virtual time loses least.
        nearest = min(shares.finish_ms.items(), key=operator.itemgetter(1))
        del shares.finish_ms[nearest[0]]


def count_ahead(
    shares: Shares,
    queue: Iterable[Waiting],
    queued: Waiting,
    service_ms: float,
) -> int:
    """Return how many queued requests start before a new one.

    Of the requests of another tenant, only those count whose tags are not
    above that of the new request.

    Parameters
    ----------
    shares : Shares
        State of the queue.
    queue : iterable of Waiting
        Queued requests.
    queued : Waiting
        The new request.
    service_ms : float
        Mean service time, in milliseconds.
    """
    ahead = 0
    own = 0
    others: dict[str, int] = {}
    for other in queue:
        if other.rank < queued.rank:
            ahead += 1
        elif other.rank > queued.rank:
            continue
        elif other.tenant == queued.tenant:
            own += 1
        else:
            others[other.tenant] = others.get(other.tenant, 0) + 1
    if others:
        tag = start_tag(shares, queued.tenant) + own * service_ms
        for tenant, count in others.items():
            lead_ms = tag - start_tag(shares, tenant)
            if lead_ms >= 0.0:
                ahead += min(int(lead_ms / service_ms) + 1, count)
    return ahead + own
