"""Admission control in front of the backend server beside the node."""

import asyncio
from collections.abc import Callable
import logging
import typing

from apricotpost.admission import ranked
from apricotpost import events
from apricotpost import http
from apricotpost import memory
from apricotpost import model
from apricotpost import platform
from apricotpost.sidecar import announcements
from apricotpost.sidecar import backend_requests
from apricotpost.sidecar import backend_server
from apricotpost.sidecar import capacity
from apricotpost.sidecar import heartbeats
from apricotpost.sidecar import limit_reports
from apricotpost.sidecar import logs
from apricotpost.sidecar import metrics
from apricotpost.sidecar import options
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Gate"]

_LOG = logging.getLogger(__name__)


class Gate:
    """Queue, running requests and connections of the backend server.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    read_view : callable
        Returns the orders in force.
    on_change : callable
        Called when the backend server appears, drains or leaves.
    instruments : metrics.Metrics
        Metrics of the node.
    record_start : callable, optional
        Called with the tenant of each request that is sent to the backend
        server, empty if there is none; returns the function that takes the
        request back.
    room : memory.Room, optional
        Memory for the responses; by default, the gate has a node's for itself.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        read_view: Callable[[], views.TrafficView],
        on_change: Callable[[], None],
        instruments: metrics.Metrics,
        record_start: backend_requests.RecordStart = (
            backend_requests.count_nothing
        ),
        room: memory.Room | None = None,
    ) -> None:
        self.instruments = instruments
        self.loop = asyncio.get_running_loop()
        self.queue = ranked.RankedQueue()
        self.queue.learning = settings.learnt_concurrency
        self.limit_reports = limit_reports.LimitReports(
            instruments=instruments
        )
        self.next_start_timer: asyncio.TimerHandle | None = None
        self.decisions = logs.Decisions(logger=_LOG)
        self.requests = backend_requests.BackendRequests(
            address=settings.backend_address,
            queue=self.queue,
            room=room
            or memory.Room(
                account=memory.Budget(
                    limit_bytes=capacity.budget_bytes(settings.memory_mb)
                )
            ),
            on_result=self.finish,
            uses_keys=lambda: read_view().uses_keys,
            record_start=record_start,
        )
        self.client = self.requests.client
        self.server = backend_server.BackendServer(
            settings=settings,
            read_view=read_view,
            on_change=on_change,
            queue=self.queue,
            client=self.client,
        )

    # Announcements of the backend server.

    def answer_announcement(self, exchange: http.Exchange) -> None:
        """Process and answer an announcement of the backend server."""
        announcements.answer(
            exchange,
            on_heartbeat=self.handle_heartbeat,
            on_deregistration=self.handle_deregistration,
        )

    def handle_heartbeat(self, heartbeat: model.Heartbeat) -> None:
        """Apply a heartbeat of the backend server to the queue."""
        effect = self.server.handle_heartbeat(heartbeat)
        if effect in (
            heartbeats.HeartbeatEffect.CHANGED,
            heartbeats.HeartbeatEffect.OTHER,
        ):
            self.refuse_queue()
        if effect is not heartbeats.HeartbeatEffect.NONE:
            self.start_queued()

    def handle_deregistration(
        self, deregistration: platform.Deregistration
    ) -> None:
        """Refuse queued requests if the backend server has deregistered."""
        if self.server.handle_deregistration(deregistration):
            self.refuse_queue()

    def stop_accepting(self) -> None:
        """Refuse new offers; requests that run are finished."""
        self.server.leaving = True

    # Requests.

    def handle_offer(
        self, offer: wire.Offer, reply: backend_requests.Reply
    ) -> None:
        """Queue or refuse a request; `start_queued` starts it."""
        now = self.loop.time()
        reason = self.server.find_refusal(offer.service)
        current = self.server.presence.current
        if reason is None and (
            current is None
            or current.backend != offer.backend
            or current.version != offer.version
        ):
            reason = wire.NotRunReason.NO_BACKEND_SERVER
        if reason is not None:
            refusal = ranked.Refusal(reason=reason, retry_after_ms=0.0)
            self.refuse(offer, reply, refusal)
            return
        queued = ranked.QueuedRequest(
            call=offer.call,
            rank=offer.rank,
            route=offer.route,
            accepts_late=offer.accepts_late,
            arrived_at=now,
            expires_at=now + offer.remaining_ms / 1000.0,
            objective_at=now + offer.objective_ms / 1000.0,
            max_wait_ms=offer.max_wait_ms,
            tenant=offer.tenant,
            payload=backend_requests.PendingOffer(offer=offer, reply=reply),
        )
        refused = ranked.admit(self.queue, queued, now)
        if refused is not None:
            self.refuse(offer, reply, refused)
            return
        ranked.enqueue(self.queue, queued)

    def cancel(self, call: str) -> None:
        """Cancel a request that its caller no longer waits for.

        A request that may not be repeated is not cancelled once it runs.
        """
        queued = ranked.remove(self.queue, call)
        if queued is not None:
            return
        queued = self.queue.running.get(call)
        if queued is None or not queued.payload.offer.idempotent:
            return
        now = self.loop.time()
        elapsed_ms = (now - queued.payload.started_at) * 1000.0
        route_mean_ms = self.queue.service_ms.get(
            queued.route, self.queue.mean_ms
        )
        if elapsed_ms > route_mean_ms:
            # The elapsed time is a lower bound of the latency. Without it, a
            # server whose slow requests are all cancelled would look fast.
            self.server.outcomes.count(
                queued.route, failed=False, ran_ms=elapsed_ms
            )
        ranked.finish(
            self.queue,
            call,
            ran_ms=elapsed_ms if elapsed_ms > route_mean_ms else None,
            failed=False,
            now=now,
        )
        if queued.payload.handle is not None:
            queued.payload.handle.cancel()
        self.start_queued()

    def cancel_queued(self, call: str) -> None:
        """Refuse a request if it is queued; one that runs is finished."""
        queued = ranked.remove(self.queue, call)
        if queued is not None:
            refusal = ranked.Refusal(
                reason=wire.NotRunReason.CANCELLED, retry_after_ms=0.0
            )
            self.refuse(queued.payload.offer, queued.payload.reply, refusal)

    def refuse_queue(self) -> None:
        """Refuse the queued requests if the server takes no requests."""
        current = self.server.presence.current
        service = current.service if current is not None else ""
        reason = self.server.find_refusal(service)
        if reason is None:
            return
        refused, self.queue.queue = self.queue.queue, []
        refusal = ranked.Refusal(reason=reason, retry_after_ms=0.0)
        for queued in refused:
            self.refuse(queued.payload.offer, queued.payload.reply, refusal)

    def refuse(
        self,
        offer: wire.Offer,
        reply: backend_requests.Reply,
        refusal: ranked.Refusal,
        *,
        rejected_by_backend: bool = False,
    ) -> None:
        """Reply that a request has not run and will not run here."""
        self.instruments.offers.add("refused", refusal.reason)
        load = None
        if self.server.presence.current is not None:
            load = ranked.describe_load(self.queue, self.loop.time())
        reply(
            wire.Refused(
                call=offer.call,
                reason=refusal.reason,
                retry_after_ms=int(refusal.retry_after_ms),
                rejected_by_backend=rejected_by_backend,
                load=load,
            )
        )

    def start_queued(self) -> None:
        """Start the queued requests that the limits allow."""
        now = self.loop.time()
        self.limit_reports.update(self.queue, now)
        started, refused = ranked.start(self.queue, now)
        for queued, refusal in refused:
            self.refuse(queued.payload.offer, queued.payload.reply, refusal)
        for queued in started:
            queued.payload.started_at = now
            self.requests.send(queued)
        if self.next_start_timer is not None:
            self.next_start_timer.cancel()
            self.next_start_timer = None
        due_at = ranked.next_start(self.queue, now)
        if due_at is not None:
            self.next_start_timer = self.loop.call_at(
                due_at, self.start_queued
            )

    def finish(
        self, queued: ranked.QueuedRequest, result: http.Result
    ) -> None:
        """Process the result of a request and start queued ones.

        A request whose connection is lost may have run. Whether it runs again
        is decided by the node of its caller, which charges the retry budget.
        """
        pending: backend_requests.PendingOffer = queued.payload
        offer = pending.offer
        now = self.loop.time()
        ran_ms = (now - pending.started_at) * 1000.0
        response = result.response
        fault = ""
        if response is not None:
            # Checked first: a refusal is proof only if it is this request's.
            fault = platform.find_response_fault(response, offer.request)
        if response is None or fault:
            failure = result.failure or http.Failure.MALFORMED
            self.fail(queued, failure, ran_ms, fault)
        elif platform.is_not_run(response):
            self.handle_rejection(queued, response)
        else:
            self.deliver(queued, response, ran_ms)
        self.start_queued()

    def deliver(
        self,
        queued: ranked.QueuedRequest,
        response: http.Response,
        ran_ms: float,
    ) -> None:
        """Reply with the response of the backend server."""
        offer = queued.payload.offer
        failed = response.status >= 500
        ranked.finish(
            self.queue,
            offer.call,
            ran_ms=ran_ms,
            failed=failed,
            now=self.loop.time(),
        )
        self.server.outcomes.count(offer.route, failed=failed, ran_ms=ran_ms)
        self.instruments.offers.add("answered", response.status)
        queued.payload.reply(
            wire.Delivered(
                call=offer.call,
                status=response.status,
                headers=http.strip_hop_headers(response.headers),
                body=typing.cast(bytes, response.body),
                ran_ms=round(ran_ms, 1),
                load=ranked.describe_load(self.queue, self.loop.time()),
            )
        )

    def handle_rejection(
        self, queued: ranked.QueuedRequest, response: http.Response
    ) -> None:
        """Reply that the backend server has refused to run a request."""
        offer = queued.payload.offer
        now = self.loop.time()
        queued.payload.take_back()
        misdirected = response.status == platform.NotRunStatus.MISDIRECTED
        # Rejections count as failures in the load report: in a large fleet, a
        # caller sends too few requests to notice them by itself.
        ranked.finish(
            self.queue,
            offer.call,
            ran_ms=None,
            failed=not misdirected,
            now=now,
        )
        reason = wire.NotRunReason.GATE_FULL
        if misdirected:
            reason = wire.NotRunReason.NO_BACKEND_SERVER
            self.server.suspend()
        else:
            ranked.record_rejection(self.queue, now)
        self.decisions.report(
            events.GATE_REJECTED,
            request=offer.request,
            backend=offer.backend,
            status=response.status,
            running=len(self.queue.running),
        )
        retry_after_ms = self.queue.mean_ms
        self.refuse(
            offer,
            queued.payload.reply,
            ranked.Refusal(reason=reason, retry_after_ms=retry_after_ms),
            rejected_by_backend=True,
        )

    def fail(
        self,
        queued: ranked.QueuedRequest,
        failure: http.Failure | None,
        ran_ms: float,
        fault: str = "",
    ) -> None:
        """Reply that there is no usable response.

        Without a connection, the request was not sent and is refused.
        Otherwise it may have run.
        """
        offer = queued.payload.offer
        if failure is http.Failure.NOT_CONNECTED:
            ranked.finish(
                self.queue,
                offer.call,
                ran_ms=None,
                failed=False,
                now=self.loop.time(),
            )
            if self.server.mark_unreachable(offer.backend):
                self.refuse_queue()
            refusal = ranked.Refusal(
                reason=wire.NotRunReason.NOT_SENT, retry_after_ms=0.0
            )
            self.refuse(offer, queued.payload.reply, refusal)
            return
        ranked.finish(
            self.queue,
            offer.call,
            ran_ms=None,
            failed=True,
            now=self.loop.time(),
        )
        if failure is http.Failure.CONNECTION_LOST:
            ranked.record_reset(self.queue, self.loop.time())
        self.server.outcomes.count(offer.route, failed=True, ran_ms=ran_ms)
        reason = wire.UnknownReason.CONNECTION_LOST
        if failure is not None:
            reason = _UNKNOWN_REASONS[failure]
        self.instruments.offers.add("failed", reason)
        self.decisions.report(
            events.GATE_FAILED,
            request=offer.request,
            backend=offer.backend,
            reason=str(failure),
            fault=fault,
            ran_ms=round(ran_ms),
        )
        queued.payload.reply(
            wire.Failed(
                call=offer.call,
                reason=reason,
                ran_ms=round(ran_ms, 1),
                load=ranked.describe_load(self.queue, self.loop.time()),
            )
        )

    def is_running(self, call: str) -> bool:
        """Tell whether a request is at the backend server."""
        return call in self.queue.running

    def is_idle(self) -> bool:
        """Tell whether no request runs or is queued."""
        return not self.queue.running and not self.queue.queue

    def close(self) -> None:
        """Close the connections to the backend server."""
        if self.next_start_timer is not None:
            self.next_start_timer.cancel()
        self.client.close()


_UNKNOWN_REASONS = {
    http.Failure.CONNECTION_LOST: wire.UnknownReason.CONNECTION_LOST,
    http.Failure.MALFORMED: wire.UnknownReason.BODY_INCOMPLETE,
    http.Failure.NO_MEMORY: wire.UnknownReason.BODY_INCOMPLETE,
    http.Failure.TIMED_OUT: wire.UnknownReason.TIMEOUT,
}
