"""Offers of callers' requests to gates that are not answered yet."""

from collections.abc import Callable
import typing

from apricotpost.routing import placement
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import load_balancer
from apricotpost.sidecar import server_index
from apricotpost import wire

__all__ = ["Attempts"]

# Added to the rank of calls that the backend server beside this node makes:
# they go before all others, because the requests that make them hold slots.
NESTED_RANK_OFFSET = -1000

SendOffer = Callable[[str, wire.Offer], bool]
SendCancel = Callable[[str, wire.Cancel | wire.CancelQueued], None]


class Attempts:
    """Open attempts of the requests that this node has received.

    Parameters
    ----------
    call_prefix : str
        Prefix of the identifiers of the attempts, unique to this process.
    service : str
        Service of the backend server beside this node.
    balancer : load_balancer.LoadBalancer
        Records the attempts.
    servers : server_index.ServerIndex
        Known backend servers.
    send_offer : callable
        Sends an offer to a node; returns False if nothing was sent.
    send_cancel : callable
        Cancels an offer at a node.
    """

    def __init__(
        self,
        *,
        call_prefix: str,
        service: str,
        balancer: load_balancer.LoadBalancer,
        servers: server_index.ServerIndex,
        send_offer: SendOffer,
        send_cancel: SendCancel,
    ) -> None:
        self.call_prefix = call_prefix
        self.service = service
        self.balancer = balancer
        self.servers = servers
        self.send_offer = send_offer
        self.send_cancel = send_cancel
        self.active_by_call: dict[str, active_requests.ActiveRequest] = {}
        self.last_call_number = 0

    def send(
        self,
        active: active_requests.ActiveRequest,
        candidate: placement.Candidate,
        now: float,
    ) -> bool:
        """Send an offer to a backend server and record the attempt.

        Returns
        -------
        bool
            Whether the offer was sent.
        """
        self.last_call_number += 1
        request = active.exchange.request
        active.call = f"{self.call_prefix}{self.last_call_number}"
        active.node = candidate.node
        active.backend = candidate.backend
        max_wait_ms = active_requests.max_wait_ms(active, candidate.node)
        # It may run there now, or be refused for good.
        active.busy_nodes.discard(candidate.node)
        admission = active.admission
        rank = admission.rank + (NESTED_RANK_OFFSET if active.nested else 0)
        offer = wire.Offer(
            call=active.call,
            request=active.head.request_id,
            backend=candidate.backend,
            route=active.route.name,
            service=active.service,
            version=self.servers.version_of(candidate.node),
            caller=self.service,
            rank=rank,
            idempotent=active.route.idempotent,
            accepts_late=active.accepts_late,
            remaining_ms=int((active.expires_at - now) * 1000),
            objective_ms=int((active.objective_at - now) * 1000),
            method=request.method,
            target=request.target,
            headers=active.headers,
            body=typing.cast(bytes, request.body),
            max_wait_ms=max_wait_ms,
            tenant=admission.tenant,
            receives_parts=True,
        )
        self.active_by_call[active.call] = active
        active.open_attempts[active.call] = active_requests.Attempt(
            node=candidate.node,
            backend=candidate.backend,
            sent_at=now,
            may_wait=max_wait_ms >= wire.UNLIMITED_MS,
        )
        active.offers += 1
        active.tried_nodes.add(candidate.node)
        self.balancer.record_sent(candidate.backend)
        if self.send_offer(candidate.node, offer):
            return True
        self.close(active.call)
        return False

    def close(
        self, call: str
    ) -> tuple[active_requests.ActiveRequest, active_requests.Attempt] | None:
        """Remove an attempt and return it with its request, if it is open."""
        active = self.active_by_call.pop(call, None)
        if active is None:
            return None
        return active, active.open_attempts.pop(call)

    def cancel_all(self, active: active_requests.ActiveRequest) -> None:
        """Cancel all open attempts of a request."""
        for call, attempt in tuple(active.open_attempts.items()):
            self.close(call)
            self.send_cancel(attempt.node, wire.Cancel(call=call))

    def has_open(self, node: str) -> bool:
        """Tell whether a node has open attempts of this node's requests."""
        return any(
            active.open_attempts[call].node == node
            for call, active in self.active_by_call.items()
        )

    def find_node(self, call: str) -> str:
        """Return the node of an open attempt, empty if it is not open."""
        active = self.active_by_call.get(call)
        return "" if active is None else active.open_attempts[call].node

    def find_deadline(self, call: str) -> float | None:
        """Return the deadline of an open attempt, None if it is not open."""
        active = self.active_by_call.get(call)
        return None if active is None else active.expires_at

    def cancel_queued(self, active: active_requests.ActiveRequest) -> None:
        """Have the gates refuse the open attempts that do not run yet."""
        for call, attempt in tuple(active.open_attempts.items()):
            self.send_cancel(attempt.node, wire.CancelQueued(call=call))
