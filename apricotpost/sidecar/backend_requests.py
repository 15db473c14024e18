"""Requests to the backend server beside the node."""

import asyncio
from collections.abc import Callable
import time

from apricotpost.admission import ranked
from apricotpost import http
from apricotpost import memory
from apricotpost import platform
from apricotpost.sidecar import options
from apricotpost import wire

__all__ = [
    "BackendRequests",
    "PendingOffer",
    "RecordStart",
    "Reply",
    "count_nothing",
]

# Idle time after which a kept-alive connection is not used. If the server has
# closed the connection, the node notices within this time; otherwise the
# request could be lost.
TRUSTED_IDLE_SECONDS = 0.25
# The backend server ends requests at their deadline itself. Its response is
# awaited for this time after the deadline.
LATE_RESPONSE_SECONDS = 0.3
# Requests whose repeated responses are recognized. A connection is kept for a
# few seconds; at 100 requests a second, this covers ten seconds.
MAX_REMEMBERED_REQUESTS = 1000
# The largest response that fits into one message to another node, with space
# for its headers.
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

Reply = Callable[[wire.Delivered | wire.Refused | wire.Failed], None]
RecordStart = Callable[[str], Callable[[], None]]
OnResult = Callable[[ranked.QueuedRequest, http.Result], None]


def count_nothing(tenant: str) -> Callable[[], None]:
    """Count no request; used by nodes that report no usage."""
    return _do_nothing


class PendingOffer:
    """An offer in the queue or at the backend server, and its reply."""

    __slots__ = (
        "handle",
        "offer",
        "reply",
        "started_at",
        "take_back",
    )

    def __init__(self, *, offer: wire.Offer, reply: Reply) -> None:
        self.offer = offer
        self.reply = reply
        self.handle: http.RequestHandle | None = None
        self.started_at = 0.0
        # Takes the request out of the counts of its tenant again.
        self.take_back: Callable[[], None] = _do_nothing


class BackendRequests:
    """Connections to the backend server, and what was sent on them.

    Parameters
    ----------
    address : str
        Address of the backend server, as IP:PORT.
    queue : ranked.RankedQueue
        Queued and running requests.
    room : memory.Room
        Memory for the responses.
    on_result : callable
        Called with a request and its result.
    uses_keys : callable
        Tells whether the configuration has tenants.
    record_start : callable
        Called with the tenant of each request that is sent; returns the
        function that takes it back if the server did not run it.
    """

    def __init__(
        self,
        *,
        address: str,
        queue: ranked.RankedQueue,
        room: memory.Room,
        on_result: OnResult,
        uses_keys: Callable[[], bool],
        record_start: RecordStart,
    ) -> None:
        self.queue = queue
        self.uses_keys = uses_keys
        self.record_start = record_start
        self.on_result = on_result
        self.loop = asyncio.get_running_loop()
        # Identifiers of the last requests that the backend server got.
        self.sent: dict[str, None] = {}
        host, port = options.split_address(address)
        largest_bytes = room.budget.allowed_bytes(MAX_RESPONSE_BYTES)
        self.client = http.Client(
            host=host,
            port=port,
            max_response_bytes=min(largest_bytes, MAX_RESPONSE_BYTES),
            room=room,
        )

    def send(self, queued: ranked.QueuedRequest) -> None:
        """Send a request to the backend server."""
        pending: PendingOffer = queued.payload
        offer = pending.offer
        remaining_seconds = queued.expires_at - self.loop.time()
        request = http.Request(
            method=offer.method,
            target=offer.target,
            headers=platform.make_call_headers(
                offer.headers,
                backend=offer.backend,
                remaining_ms=max(int(remaining_seconds * 1000), 1),
                caller=offer.caller,
                tenant=offer.tenant,
                uses_keys=self.uses_keys(),
            ),
            body=offer.body,
        )
        max_idle_seconds = TRUSTED_IDLE_SECONDS
        if offer.request in self.sent:
            # A repeated response to the first attempt has the same identifier
            # as the second one. Only a new connection keeps them apart.
            max_idle_seconds = -1.0
        self.remember_sent(offer.request)

        def finish(result: http.Result) -> None:
            self.on_result(queued, result)

        def check(status: int, headers: http.Headers) -> http.Verdict:
            return platform.classify_response(
                status, headers, offer.request, self.sent
            )

        def record_send() -> None:
            ranked.record_send(self.queue, offer.call, time.monotonic())
            pending.take_back = self.record_start(offer.tenant)

        pending.handle = self.client.send(
            request,
            finish,
            timeout_seconds=remaining_seconds + LATE_RESPONSE_SECONDS,
            max_idle_seconds=max_idle_seconds,
            check=check,
            on_sent=record_send,
        )

    def remember_sent(self, request: str) -> None:
        """Record the identifier of a request to the backend server."""
        self.sent[request] = None
        if len(self.sent) > MAX_REMEMBERED_REQUESTS:
            del self.sent[next(iter(self.sent))]


def _do_nothing() -> None:
    pass
