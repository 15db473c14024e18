"""Receives callers' requests, sends them to backend servers, answers them."""

import asyncio
from collections.abc import Callable
import math
import random

from apricotpost.admission import draining
from apricotpost import http
from apricotpost import model
from apricotpost import platform
from apricotpost.routing import prefixes
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import answers
from apricotpost.sidecar import attempts
from apricotpost.sidecar import authentication
from apricotpost.sidecar import held_requests
from apricotpost.sidecar import load_balancer
from apricotpost.sidecar import metrics
from apricotpost.sidecar import options
from apricotpost.sidecar import responses
from apricotpost.sidecar import retry_budgets
from apricotpost.sidecar import server_index
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Dispatcher"]

# Time after a request's deadline during which the response of a backend
# server that ends the request at the deadline itself is still awaited.
ANSWER_SLACK_SECONDS = 0.08
# Retry-After of a request that is refused because the node is draining or has
# no configuration, or because there is no backend server.
NOT_READY_RETRY_MS = 300
# Draw that selects a version on trial only if there is no other version.
LAST_VERSION_DRAW = 1.0


class Dispatcher:
    """State of the requests that this node has received from callers.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    boot : str
        Identifier of this process; part of the identifiers of its calls.
    read_view : callable
        Returns the orders in force.
    servers : server_index.ServerIndex
        Known backend servers.
    send_offer : callable
        Sends an offer to a node; returns False if nothing was sent.
    send_cancel : callable
        Cancels an offer at a node.
    on_new_service : callable
        Called when this node calls a service for the first time.
    instruments : metrics.Metrics
        Metrics of the node.
    rng : random.Random
        Source of randomness.
    contact_age_seconds : callable
        Returns the time since the last contact with the source of the orders.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        boot: str,
        read_view: Callable[[], views.TrafficView],
        servers: server_index.ServerIndex,
        send_offer: attempts.SendOffer,
        send_cancel: attempts.SendCancel,
        on_new_service: Callable[[], None],
        instruments: metrics.Metrics,
        rng: random.Random,
        contact_age_seconds: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.settings = settings
        self.read_view = read_view
        self.servers = servers
        self.contact_age_seconds = contact_age_seconds
        self.instruments = instruments
        self.loop = asyncio.get_running_loop()
        self.balancer = load_balancer.LoadBalancer(
            read_view=read_view,
            servers=servers,
            on_new_service=on_new_service,
            rng=rng,
        )
        self.budgets = retry_budgets.RetryBudgets(
            bounds=settings.bounds, count_nodes=servers.count_nodes
        )
        self.responder = responses.Responder(
            read_view=read_view, instruments=instruments, rng=rng
        )
        self.held = held_requests.HeldRequests(handle=self.handle_request)
        self.attempts = attempts.Attempts(
            call_prefix=f"{settings.instance}/{boot}/",
            service=settings.service,
            balancer=self.balancer,
            servers=servers,
            send_offer=send_offer,
            send_cancel=send_cancel,
        )
        self.answers = answers.Answers(
            open_attempts=self.attempts,
            balancer=self.balancer,
            budgets=self.budgets,
            responder=self.responder,
            instruments=instruments,
            offer=self.offer,
        )
        # Called by the node.
        self.handle_answer = self.answers.handle_answer
        self.handle_node_lost = self.answers.handle_node_lost
        self.fail_open_requests = self.answers.fail_open_requests
        self.has_open_attempts = self.attempts.has_open
        self.find_node = self.attempts.find_node
        self.find_deadline = self.attempts.find_deadline
        self.stop_schedule: draining.StopSchedule | None = None
        self.backend_host = settings.backend_address.rpartition(":")[0]

    def apply_settings(self, settings: options.Options) -> None:
        """Apply changed settings."""
        self.settings = settings
        self.attempts.service = settings.service
        self.budgets.bounds = settings.bounds

    # Requests.

    def handle_request(self, exchange: http.Exchange) -> None:
        """Answer a caller's request, or offer it to a backend server."""
        head = platform.read_head(exchange.request)
        view = self.read_view()
        if not head.request_id:
            self.responder.respond_locally(
                exchange, head, 400, "no-request-id"
            )
            return
        if not view.version:
            if self.held.hold(exchange):
                return
            self.responder.respond_locally(
                exchange,
                head,
                503,
                wire.NotRunReason.NOT_READY,
                NOT_READY_RETRY_MS,
            )
            return
        route = prefixes.match_prefix(view.routes, head.host, head.path)
        if route is None:
            self.responder.respond_locally(
                exchange, head, 404, wire.NotRunReason.NO_ROUTE
            )
            return
        nested = self.is_nested(view, exchange)
        admission = self.decide(view, route, exchange, nested)
        if admission.status == 503 and self.held.hold(exchange):
            return
        if admission.status:
            self.responder.respond_locally(
                exchange,
                head,
                admission.status,
                admission.reason,
                NOT_READY_RETRY_MS if admission.status == 503 else 0,
            )
            return
        if not self.can_finish(exchange, head, route):
            self.responder.respond_locally(
                exchange,
                head,
                503,
                wire.NotRunReason.DRAINING,
                NOT_READY_RETRY_MS,
            )
            return
        service = self.balancer.choose_service(route)
        if not self.servers.list_usable(view, service) and self.held.hold(
            exchange
        ):
            return
        active = active_requests.ActiveRequest(
            exchange=exchange,
            head=head,
            route=route,
            service=service,
            nested=nested,
            version_draw=self.balancer.next_version_draw(service),
            view=view,
            admission=admission,
        )
        self.budgets.earn(service, self.loop.time())

        def handle_disconnect() -> None:
            self.answers.abandon(active)

        exchange.on_disconnect = handle_disconnect
        active.deadline_timer = self.loop.call_at(
            active.expires_at + ANSWER_SLACK_SECONDS,
            self.answers.expire,
            active,
        )
        self.offer(active)
        mean_ms = self.balancer.mean_ms(route.name)
        if route.idempotent and active.open_attempts and mean_ms:
            active.hedge_timer = self.loop.call_later(
                active_requests.hedge_delay_seconds(mean_ms),
                self.hedge,
                active,
            )

    def is_nested(
        self, view: views.TrafficView, exchange: http.Exchange
    ) -> bool:
        """Tell whether the local backend server makes a request.

        Clients of the instance may have the same address. Where clients have
        keys, a request with one is never the backend server's.
        """
        return exchange.connection.is_from(self.backend_host) and not (
            view.uses_keys and platform.carries_key(exchange.request.headers)
        )

    def decide(
        self,
        view: views.TrafficView,
        route: model.TrafficRoute,
        exchange: http.Exchange,
        nested: bool,
    ) -> authentication.Admission:
        """Return whether a request may run, by the key that it carries."""
        bounds = self.settings.bounds
        key_digest = None
        if view.uses_keys:
            key_digest = platform.read_key_digest(exchange.request.headers)
        return authentication.decide(
            view,
            route,
            key_digest=key_digest,
            local=nested,
            max_age_seconds=(
                bounds.revocation_ms / 1000.0
                if bounds.strict_revocation
                else math.inf
            ),
            contact_age_seconds=self.contact_age_seconds,
        )

    def check_again(self, active: active_requests.ActiveRequest) -> bool:
        """Tell whether a request may still run by the orders in force now.

        Its key may have been revoked since the last check.
        """
        view = self.read_view()
        strict = self.settings.bounds.strict_revocation
        if view is active.view and not strict:
            return not active.admission.status
        if strict or authentication.has_changed(active.view, view):
            # The route may have become public, or ceased to be.
            route = prefixes.match_prefix(
                view.routes, active.head.host, active.head.path
            )
            active.admission = self.decide(
                view, route or active.route, active.exchange, active.nested
            )
            active.headers = active_requests.forwarded_headers(
                active.exchange.request, view
            )
        active.view = view
        return not active.admission.status

    def handle_view_change(
        self, before: views.TrafficView, after: views.TrafficView
    ) -> None:
        """Handle held requests again; stop queued ones with a revoked key."""
        self.held.schedule_resume()
        if not authentication.has_changed(before, after):
            return
        for active in set(self.attempts.active_by_call.values()):
            if not self.check_again(active):
                self.attempts.cancel_queued(active)

    def can_finish(
        self,
        exchange: http.Exchange,
        head: platform.RequestHead,
        route: model.TrafficRoute,
    ) -> bool:
        """Tell whether a request can end before this process does."""
        if self.stop_schedule is None:
            return True
        return draining.can_finish(
            self.stop_schedule,
            now=self.loop.time(),
            expires_at=active_requests.find_deadline(exchange, head, route),
            expected_ms=self.balancer.mean_ms(route.name)
            or route.objective_ms,
            idempotent=route.idempotent,
        )

    def offer(self, active: active_requests.ActiveRequest) -> None:
        """Offer a request to a backend server; answer it if there is none."""
        if self.check_again(active) and self.send_to_best(active):
            return
        active.reason = active.reason or wire.NotRunReason.NO_BACKEND_SERVER
        if active.possible_executions:
            self.answers.fail(active, 502)
        else:
            active.retry_after_ms = active.retry_after_ms or NOT_READY_RETRY_MS
            self.answers.refuse(active)

    def send_to_best(self, active: active_requests.ActiveRequest) -> bool:
        """Send an offer to the best backend server that can be reached.

        Returns
        -------
        bool
            Whether an offer was sent.
        """
        now = self.loop.time()
        if active.offers:
            # Further attempts do not go to a version on trial.
            active.version_draw = LAST_VERSION_DRAW
        for candidate in self.balancer.rank_candidates(active):
            if self.attempts.send(active, candidate, now):
                return True
            active.tried_nodes.add(candidate.node)
        return False

    def hedge(self, active: active_requests.ActiveRequest) -> None:
        """Send a request to a second backend server while the first runs it.

        If the first backend server is not suspect, this is checked again
        until the request is overdue.
        """
        active.hedge_timer = None
        now = self.loop.time()
        mean_ms = self.balancer.mean_ms(active.route.name)
        allowed = self.balancer.may_hedge(
            active.service
        ) and active_requests.may_hedge(
            active,
            self.budgets.budget_of(active.service),
            mean_ms=mean_ms,
            now=now,
            untried=self.balancer.count_untried(active),
        )
        if not allowed:
            return
        overdue = active_requests.is_overdue(active, mean_ms=mean_ms, now=now)
        if not overdue and not self.balancer.is_suspect(active):
            active.hedge_timer = self.loop.call_later(
                active_requests.recheck_delay_seconds(mean_ms),
                self.hedge,
                active,
            )
            return
        active.hedged = True
        if self.check_again(active) and self.send_to_best(active):
            self.budgets.spend(active.service)
            self.instruments.retries.add("hedged")

    def start_stopping(self, schedule: draining.StopSchedule) -> None:
        """Refuse the requests that cannot end in time from now on."""
        self.stop_schedule = schedule
