"""Task that takes callers' requests and answers them."""

import asyncio
from collections.abc import Callable
import random

from apricotpost import http
from apricotpost import platform
from apricotpost.routing import placement
from apricotpost.routing import prefixes
from apricotpost.sidecar import budgets
from apricotpost.sidecar import choice
from apricotpost.sidecar import flights
from apricotpost.sidecar import metrics
from apricotpost.sidecar import options
from apricotpost.sidecar import replies
from apricotpost.sidecar import roster
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Entry"]

# The backend server's own answer to a passed deadline is awaited so long.
ANSWER_SLACK_SECONDS = 0.08
# An answer may come on another connection after the first was reset.
LOST_ANSWER_SECONDS = 0.6
# A client whose request found no configuration or no backend server.
NOT_READY_RETRY_MS = 300
# Calls of running requests go before all others: their callers hold slots.
NESTED_RANK = -1000
# Place of a request that a version on trial does not get.
LAST_TURN = 1.0

SendOffer = Callable[[str, wire.Offer], bool]


class Entry:
    """State of the task.

    Parameters
    ----------
    settings : options.Options
        Of the node.
    boot : str
        Identifies this process.
    read_view : callable
        Returns the orders in force.
    servers : roster.Roster
        Known backend servers.
    send_offer : callable
        Hands an offer to a node; False means that nothing was sent.
    send_cancel : callable
        Tells a node that a caller is gone.
    on_service : callable
        Called when a service is called for the first time.
    instruments : metrics.Metrics
        Counters.
    draws : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        boot: str,
        read_view: Callable[[], views.TrafficView],
        servers: roster.Roster,
        send_offer: SendOffer,
        send_cancel: Callable[[str, wire.Cancel], None],
        on_service: Callable[[], None],
        instruments: metrics.Metrics,
        draws: random.Random,
    ) -> None:
        self.settings = settings
        self.prefix = f"{settings.instance}/{boot}/"
        self.read_view = read_view
        self.servers = servers
        self.send_offer = send_offer
        self.send_cancel = send_cancel
        self.instruments = instruments
        self.loop = asyncio.get_running_loop()
        self.choice = choice.Choice(
            read_view=read_view,
            servers=servers,
            on_service=on_service,
            draws=draws,
        )
        self.budgets = budgets.Budgets(
            bounds=settings.bounds, count_nodes=servers.count_nodes
        )
        self.replies = replies.Replies(
            read_view=read_view, instruments=instruments, draws=draws
        )
        self.flights: dict[str, flights.Flight] = {}
        self.next_call = 0
        self.stopping = False
        self.backend_host = settings.backend_address.rpartition(":")[0]

    def take_settings(self, settings: options.Options) -> None:
        """Take up changed settings."""
        self.settings = settings
        self.budgets.bounds = settings.bounds

    # Requests.

    def handle(self, exchange: http.Exchange) -> None:
        """Take a request of a caller."""
        head = platform.read_head(exchange.request)
        view = self.read_view()
        if not head.request_id:
            self.replies.answer_own(exchange, head, 400, "no-request-id")
            return
        if not view.version:
            self.replies.answer_own(
                exchange,
                head,
                503,
                wire.NotRunReason.NOT_READY,
                NOT_READY_RETRY_MS,
            )
            return
        if self.stopping:
            self.replies.answer_own(
                exchange,
                head,
                503,
                wire.NotRunReason.DRAINING,
                NOT_READY_RETRY_MS,
            )
            return
        route = prefixes.match_prefix(view.routes, head.host, head.path)
        if route is None:
            self.replies.answer_own(
                exchange, head, 404, wire.NotRunReason.NO_ROUTE
            )
            return
        service = self.choice.choose_service(route)
        flight = flights.Flight(
            exchange=exchange,
            head=head,
            route=route,
            service=service,
            nested=exchange.connection.is_from(self.backend_host),
            turn=self.choice.take_turn(service),
        )
        self.budgets.earn(service, self.loop.time())

        def leave() -> None:
            self.abandon(flight)

        exchange.on_gone = leave
        flight.timer = self.loop.call_at(
            flight.expires + ANSWER_SLACK_SECONDS, self.expire, flight
        )
        self.offer(flight)
        usual_ms = self.choice.usual_ms(route.name)
        if route.idempotent and flight.open and usual_ms:
            flight.hedge = self.loop.call_later(
                flights.hedge_seconds(usual_ms), self.hedge, flight
            )

    def offer(self, flight: flights.Flight) -> None:
        """Offer a request to the best backend server, or answer it."""
        if self.send_best(flight):
            return
        flight.reason = flight.reason or wire.NotRunReason.NO_BACKEND_SERVER
        if flight.runs:
            self.fail(flight, 502)
        else:
            flight.retry_ms = flight.retry_ms or NOT_READY_RETRY_MS
            self.refuse(flight)

    def send_best(self, flight: flights.Flight) -> bool:
        """Send an offer to the best backend server that takes it."""
        now = self.loop.time()
        if flight.offers:
            # A second attempt is not made with a version on trial.
            flight.turn = LAST_TURN
        for candidate in self.choice.order(flight):
            if self.send(flight, candidate, now):
                return True
            flight.tried.add(candidate.node)
        return False

    def hedge(self, flight: flights.Flight) -> None:
        """Ask a second backend server while the first one runs.

        If that seems sound it is looked at again until the request is
        overdue.
        """
        flight.hedge = None
        now = self.loop.time()
        usual_ms = self.choice.usual_ms(flight.route.name)
        allowed = self.choice.may_hedge(flight.service) and flights.may_hedge(
            flight,
            self.budgets.of(flight.service),
            usual_ms=usual_ms,
            now=now,
            others=self.choice.count_others(flight),
        )
        if not allowed:
            return
        overdue = flights.is_overdue(flight, usual_ms=usual_ms, now=now)
        if not overdue and not self.choice.is_suspect(flight):
            flight.hedge = self.loop.call_later(
                flights.recheck_seconds(usual_ms), self.hedge, flight
            )
            return
        flight.hedged = True
        if self.send_best(flight):
            self.budgets.spend(flight.service)
            self.instruments.retries.add("hedged")

    def send(
        self,
        flight: flights.Flight,
        candidate: placement.Candidate,
        now: float,
    ) -> bool:
        """Send an offer; False means that nothing was sent."""
        self.next_call += 1
        request = flight.exchange.request
        flight.call = f"{self.prefix}{self.next_call}"
        flight.node = candidate.node
        flight.backend = candidate.backend
        rank = flight.route.rank + (NESTED_RANK if flight.nested else 0)
        offer = wire.Offer(
            call=flight.call,
            request=flight.head.request_id,
            backend=candidate.backend,
            route=flight.route.name,
            service=flight.service,
            version=self.servers.version_of(candidate.node),
            caller=self.settings.service,
            rank=rank,
            idempotent=flight.route.idempotent,
            patient=flight.patient,
            left_ms=int((flight.expires - now) * 1000),
            objective_ms=int((flight.objective - now) * 1000),
            method=request.method,
            target=request.target,
            headers=flight.headers,
            body=request.body,
        )
        self.flights[flight.call] = flight
        flight.open[flight.call] = flights.Attempt(
            node=candidate.node, backend=candidate.backend, sent=now
        )
        flight.offers += 1
        flight.tried.add(candidate.node)
        self.choice.note_sent(candidate.backend)
        if self.send_offer(candidate.node, offer):
            return True
        self.close_attempt(flight.call)
        return False

    def close_attempt(
        self, call: str
    ) -> tuple[flights.Flight, flights.Attempt] | None:
        """Return the request and the attempt that an answer belongs to."""
        flight = self.flights.pop(call, None)
        if flight is None:
            return None
        return flight, flight.open.pop(call)

    def cancel_attempts(self, flight: flights.Flight) -> None:
        """Tell the nodes of all open attempts that nobody waits."""
        for call, attempt in tuple(flight.open.items()):
            self.close_attempt(call)
            self.send_cancel(attempt.node, wire.Cancel(call=call))

    def is_busy(self, node: str) -> bool:
        """Tell whether requests are under way at a node."""
        return any(
            flight.open[call].node == node
            for call, flight in self.flights.items()
        )

    # Answers.

    def take(self, message: wire.Message) -> None:
        """Take the answer of a gate."""
        found = self.close_attempt(message.call)
        if found is None:
            if isinstance(message, wire.Delivered):
                self.replies.report_late(message.call)
            return
        flight, attempt = found
        if message.load is not None:
            self.choice.learn_load(attempt.backend, message.load)
        if isinstance(message, wire.Delivered):
            self.take_delivered(flight, attempt, message)
        elif isinstance(message, wire.Refused):
            self.take_refused(flight, attempt, message)
        else:
            self.take_failed(flight, attempt, message.reason)

    def take_delivered(
        self,
        flight: flights.Flight,
        attempt: flights.Attempt,
        message: wire.Delivered,
    ) -> None:
        """Answer the caller, or try a failed request once more."""
        failed = message.status >= 500
        self.choice.learn_outcome(attempt.backend, failed=failed)
        if not failed:
            self.choice.learn_served(
                flight,
                attempt.backend,
                ran_ms=message.ran_ms,
                response_bytes=len(message.body),
            )
        flight.arrivals += 1
        flight.runs += 1
        if failed and flight.open:
            # The other attempt may still succeed.
            return
        if failed and self.repeat(flight, f"status-{message.status}"):
            return
        flight.node = attempt.node
        flight.backend = attempt.backend
        for other in flight.open.values():
            self.choice.learn_given_up(flight, other)
        response = http.Response(
            status=message.status, headers=message.headers, body=message.body
        )
        self.end(flight, response, "answered", "")

    def take_refused(
        self,
        flight: flights.Flight,
        attempt: flights.Attempt,
        message: wire.Refused,
    ) -> None:
        """Try another backend server, or refuse the request."""
        flight.arrivals += int(message.offered)
        if message.offered:
            self.choice.learn_outcome(attempt.backend, failed=True)
        if flight.open:
            return
        flight.reason = message.reason
        wait = message.retry_ms
        if not flight.retry_ms or 0 < wait < flight.retry_ms:
            flight.retry_ms = wait
        verdict = flights.after_refusal(
            flight,
            message,
            self.budgets.of(flight.service),
            now=self.loop.time(),
            others=self.choice.count_others(flight),
        )
        if message.offered and verdict.next is flights.Next.OFFER:
            self.budgets.spend(flight.service)
        if verdict.next is flights.Next.OFFER:
            flight.patient = verdict.patient
            self.instruments.retries.add(message.reason)
            self.offer(flight)
        elif flight.runs:
            self.fail(flight, 502)
        else:
            self.refuse(flight)

    def take_failed(
        self, flight: flights.Flight, attempt: flights.Attempt, reason: str
    ) -> None:
        """Repeat a request whose outcome is unknown, or say so."""
        self.choice.learn_outcome(attempt.backend, failed=True)
        flight.arrivals += 1
        flight.runs += 1
        flight.reason = reason
        if flight.open:
            return
        if not self.repeat(flight, reason):
            self.fail(flight, 502)

    def repeat(self, flight: flights.Flight, reason: str) -> bool:
        """Send a failed request to another backend server if it may be."""
        verdict = flights.after_failure(
            flight,
            self.budgets.of(flight.service),
            usual_ms=self.choice.usual_ms(flight.route.name),
            now=self.loop.time(),
            others=self.choice.count_others(flight),
        )
        if verdict.next is not flights.Next.OFFER:
            return False
        self.budgets.spend(flight.service)
        self.instruments.retries.add(reason)
        flight.patient = verdict.patient
        self.offer(flight)
        return True

    # Ends.

    def node_lost(self, node: str) -> None:
        """Settle the requests at a node whose connection is lost."""
        lost = [
            (call, flight)
            for call, flight in self.flights.items()
            if flight.open[call].node == node
        ]
        for call, flight in lost:
            if not flight.route.idempotent:
                self.loop.call_later(
                    LOST_ANSWER_SECONDS, self.give_up, flight, call
                )
                continue
            found = self.close_attempt(call)
            if found is not None:
                self.take_failed(*found, wire.UnknownReason.NODE_LOST)

    def give_up(self, flight: flights.Flight, call: str) -> None:
        """Answer a request whose answer has not come another way."""
        if self.close_attempt(call) is None:
            return
        flight.runs += 1
        flight.reason = wire.UnknownReason.NODE_LOST
        self.fail(flight, 502)

    def expire(self, flight: flights.Flight) -> None:
        """Answer a request whose time is over."""
        if not flight.open:
            return
        for attempt in flight.open.values():
            self.choice.learn_outcome(attempt.backend, failed=True)
        self.cancel_attempts(flight)
        flight.reason = wire.UnknownReason.TIMEOUT
        self.fail(flight, 504)

    def abandon(self, flight: flights.Flight) -> None:
        """End a request whose caller has hung up."""
        flights.stop_timers(flight)
        self.instruments.requests.add("abandoned", "caller-gone")
        self.cancel_attempts(flight)

    def stop_taking(self) -> None:
        """Refuse new requests; those that were taken are finished."""
        self.stopping = True

    def settle_all(self) -> None:
        """Answer what is still open at the end of the process."""
        for flight in set(self.flights.values()):
            for call in tuple(flight.open):
                self.close_attempt(call)
            flight.reason = wire.UnknownReason.TIMEOUT
            self.fail(flight, 504)

    def refuse(self, flight: flights.Flight) -> None:
        """Answer that a request has not run and will not run."""
        seconds = self.replies.return_seconds(flight.retry_ms)
        response = http.Response(
            status=503,
            headers=platform.refusal_headers(flight.head.request_id, seconds),
        )
        self.end(flight, response, "refused", flight.reason)

    def fail(self, flight: flights.Flight, status: int) -> None:
        """Answer that the outcome of a request is unknown."""
        response = http.Response(
            status=status,
            headers=platform.refusal_headers(flight.head.request_id, 0.0),
        )
        self.end(flight, response, "failed", flight.reason)

    def end(
        self,
        flight: flights.Flight,
        response: http.Response,
        outcome: str,
        reason: str,
    ) -> None:
        """Answer a request and log the decision."""
        flights.stop_timers(flight)
        self.cancel_attempts(flight)
        self.replies.end(flight, response, outcome, reason)
