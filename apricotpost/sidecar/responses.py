"""Responses to callers, with their log lines and metrics."""

import asyncio
from collections.abc import Callable
import logging
import random

from apricotpost import events
from apricotpost import http
from apricotpost import platform
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import logs
from apricotpost.sidecar import metrics
from apricotpost.sidecar import views

__all__ = ["Responder"]

_LOG = logging.getLogger(__name__)


class Responder:
    """Answers requests and reports each outcome once.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    instruments : metrics.Metrics
        Metrics of the node.
    rng : random.Random
        Source of the jitter of Retry-After.
    """

    def __init__(
        self,
        *,
        read_view: Callable[[], views.TrafficView],
        instruments: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self.read_view = read_view
        self.instruments = instruments
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.decisions = logs.Decisions(logger=_LOG)

    def finish_request(
        self,
        active: active_requests.ActiveRequest,
        response: http.Response,
        outcome: str,
        reason: str,
    ) -> None:
        """Respond to a routed request, then log and count the outcome."""
        active.exchange.respond(response)
        seconds = self.loop.time() - active.exchange.arrived_at
        self.instruments.requests.add(outcome, reason)
        self.instruments.latency.observe(seconds)
        report = self.decisions.report
        event = events.REQUEST_ENDED
        if outcome == "answered":
            report = self.decisions.report_served
            event = events.REQUEST_SERVED
        report(
            event,
            request=active.head.request_id,
            route=active.route.name,
            service=active.service,
            outcome=outcome,
            reason=reason,
            status=response.status,
            backend=active.backend,
            node=active.node,
            offers=active.offers,
            runs=active.possible_executions,
            hedged=active.hedged,
            ms=round(seconds * 1000),
            version=self.read_view().version,
        )

    def respond_locally(
        self,
        exchange: http.Exchange,
        head: platform.RequestHead,
        status: int,
        reason: str,
        retry_after_ms: int = 0,
    ) -> None:
        """Refuse a request that was not routed to a service.

        Parameters
        ----------
        exchange : http.Exchange
            The request.
        head : platform.RequestHead
            Fields of its headers.
        status : int
            Status of the response.
        reason : str
            Reason for the log and the metrics.
        retry_after_ms : int
            Time after which the client may retry, in milliseconds; 0 for a
            response without Retry-After.
        """
        seconds = 0.0
        if retry_after_ms:
            seconds = self.retry_after_seconds(retry_after_ms)
        exchange.respond(
            http.Response(
                status=status,
                headers=platform.make_local_response_headers(
                    head.request_id, seconds, unauthorized=status == 401
                ),
            )
        )
        self.instruments.requests.add("refused", reason)
        self.decisions.report(
            events.REQUEST_UNROUTED,
            request=head.request_id,
            host=head.host,
            path=head.path[:80],
            status=status,
            reason=reason,
            version=self.read_view().version,
        )

    def retry_after_seconds(self, retry_after_ms: int) -> float:
        """Return the Retry-After of a refused request, in seconds."""
        return active_requests.jittered_retry_seconds(
            retry_after_ms, self.rng.random()
        )

    def report_late(self, call: str) -> None:
        """Log an answer that arrived after its request had ended."""
        self.decisions.report(events.RESPONSE_LATE, call=call)
