"""Answers to callers, and the log lines and metrics about them."""

import asyncio
from collections.abc import Callable
import logging
import random

from apricotpost import events
from apricotpost import http
from apricotpost import platform
from apricotpost.sidecar import flights
from apricotpost.sidecar import logs
from apricotpost.sidecar import metrics
from apricotpost.sidecar import views

__all__ = ["Replies"]

_LOG = logging.getLogger(__name__)


class Replies:
    """Answers requests and reports each outcome once.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    instruments : metrics.Metrics
        Counters.
    draws : random.Random
        Spreads the times at which refused clients return.
    """

    def __init__(
        self,
        *,
        read_view: Callable[[], views.TrafficView],
        instruments: metrics.Metrics,
        draws: random.Random,
    ) -> None:
        self.read_view = read_view
        self.instruments = instruments
        self.draws = draws
        self.loop = asyncio.get_running_loop()
        self.decisions = logs.Decisions(logger=_LOG)

    def end(
        self,
        flight: flights.Flight,
        response: http.Response,
        outcome: str,
        reason: str,
    ) -> None:
        """Answer a request that was offered to backend servers."""
        flight.exchange.respond(response)
        seconds = self.loop.time() - flight.exchange.arrived
        self.instruments.requests.add(outcome, reason)
        self.instruments.latency.observe(seconds)
        report = self.decisions.report
        event = events.REQUEST_ENDED
        if outcome == "answered":
            report = self.decisions.report_served
            event = events.REQUEST_SERVED
        report(
            event,
            request=flight.head.request_id,
            route=flight.route.name,
            service=flight.service,
            outcome=outcome,
            reason=reason,
            status=response.status,
            backend=flight.backend,
            node=flight.node,
            offers=flight.offers,
            runs=flight.runs,
            hedged=flight.hedged,
            ms=round(seconds * 1000),
            version=self.read_view().version,
        )

    def answer_own(
        self,
        exchange: http.Exchange,
        head: platform.RequestHead,
        status: int,
        reason: str,
        retry_ms: int = 0,
    ) -> None:
        """Answer a request that matches no route or cannot be served.

        Parameters
        ----------
        exchange : http.Exchange
            The request.
        head : platform.RequestHead
            What its headers say.
        status : int
            Of the answer.
        reason : str
            For the log and the metrics.
        retry_ms : int
            When the client may come back; 0 says nothing of it.
        """
        seconds = 0.0
        if retry_ms:
            seconds = self.return_seconds(retry_ms)
        exchange.respond(
            http.Response(
                status=status,
                headers=platform.refusal_headers(head.request_id, seconds),
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

    def return_seconds(self, retry_ms: int) -> float:
        """Return when a refused client may come back."""
        return flights.refusal_seconds(retry_ms, self.draws.random())

    def report_late(self, call: str) -> None:
        """Report an answer that came after its request had ended."""
        self.decisions.report(events.ANSWER_LATE, call=call)
