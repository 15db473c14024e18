"""Answers of gates to offers, and the ends of callers' requests."""

import asyncio
from collections.abc import Callable

from apricotpost import http
from apricotpost import platform
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import attempts
from apricotpost.sidecar import load_balancer
from apricotpost.sidecar import metrics
from apricotpost.sidecar import responses
from apricotpost.sidecar import retry_budgets
from apricotpost import wire

__all__ = ["Answers"]

# Time in which the answer of a request that may not be repeated may still
# arrive on another connection after the connection to its node was lost.
LOST_ANSWER_SECONDS = 0.6

# Refusals that depend on the queue of a gate.
QUEUE_REASONS = (wire.NotRunReason.GATE_FULL, wire.NotRunReason.COLD)


class Answers:
    """Ends or repeats requests by the answers to their offers.

    Parameters
    ----------
    open_attempts : attempts.Attempts
        Offers without an answer.
    balancer : load_balancer.LoadBalancer
        Learns from the answers.
    budgets : retry_budgets.RetryBudgets
        Budgets of the services.
    responder : responses.Responder
        Answers the callers.
    instruments : metrics.Metrics
        Metrics of the node.
    offer : callable
        Offers a request again.
    """

    def __init__(
        self,
        *,
        open_attempts: attempts.Attempts,
        balancer: load_balancer.LoadBalancer,
        budgets: retry_budgets.RetryBudgets,
        responder: responses.Responder,
        instruments: metrics.Metrics,
        offer: Callable[[active_requests.ActiveRequest], None],
    ) -> None:
        self.attempts = open_attempts
        self.balancer = balancer
        self.budgets = budgets
        self.responder = responder
        self.instruments = instruments
        self.offer = offer
        self.loop = asyncio.get_running_loop()

    def handle_answer(self, message: wire.Message) -> None:
        """Process the answer of a gate to an offer."""
        closed = self.attempts.close(message.call)
        if closed is None:
            if isinstance(message, wire.Delivered):
                self.responder.report_late(message.call)
            return
        active, attempt = closed
        if message.load is not None:
            self.balancer.record_load(attempt.backend, message.load)
        if isinstance(message, wire.Delivered):
            self.handle_delivered(active, attempt, message)
        elif isinstance(message, wire.Refused):
            self.handle_refused(active, attempt, message)
        else:
            self.handle_failed(active, attempt, message.reason)

    def handle_delivered(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        message: wire.Delivered,
    ) -> None:
        """Answer the caller, or retry if the response is an error."""
        failed = message.status >= 500
        self.balancer.record_outcome(attempt.backend, failed=failed)
        if not failed:
            self.balancer.record_served(
                active,
                attempt.backend,
                ran_ms=message.ran_ms,
                response_bytes=len(message.body),
            )
        active.backend_attempts += 1
        active.possible_executions += 1
        if failed and active.open_attempts:
            # The other attempt may still succeed.
            return
        if failed and self.retry(active, f"status-{message.status}"):
            return
        active.node = attempt.node
        active.backend = attempt.backend
        for other in active.open_attempts.values():
            self.balancer.record_cancelled(active, other)
        response = http.Response(
            status=message.status, headers=message.headers, body=message.body
        )
        self.finish(active, response, "answered", "")

    def handle_refused(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        message: wire.Refused,
    ) -> None:
        """Try another backend server, or refuse the request."""
        active.backend_attempts += int(message.rejected_by_backend)
        if message.rejected_by_backend:
            self.balancer.record_outcome(attempt.backend, failed=True)
        if active.open_attempts:
            return
        active.reason = message.reason
        if (
            message.reason in QUEUE_REASONS
            and not message.rejected_by_backend
            and not attempt.may_wait
        ):
            active.busy_nodes.add(attempt.node)
        retry_after_ms = message.retry_after_ms
        if (
            not active.retry_after_ms
            or 0 < retry_after_ms < active.retry_after_ms
        ):
            active.retry_after_ms = retry_after_ms
        decision = active_requests.decide_after_refusal(
            active,
            message,
            self.budgets.budget_of(active.service),
            now=self.loop.time(),
            untried=self.balancer.count_untried(active),
        )
        if (
            message.rejected_by_backend
            and decision.action is active_requests.NextAction.OFFER
        ):
            self.budgets.spend(active.service)
        if decision.action is active_requests.NextAction.OFFER:
            active.accepts_late = decision.accepts_late
            self.instruments.retries.add(message.reason)
            self.offer(active)
        elif active.possible_executions:
            self.fail(active, 502)
        else:
            self.refuse(active)

    def handle_failed(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
        reason: str,
    ) -> None:
        """Retry a request whose outcome is unknown, or fail it."""
        self.balancer.record_outcome(attempt.backend, failed=True)
        active.backend_attempts += 1
        active.possible_executions += 1
        active.reason = reason
        if active.open_attempts:
            return
        if not self.retry(active, reason):
            self.fail(active, 502)

    def retry(
        self, active: active_requests.ActiveRequest, reason: str
    ) -> bool:
        """Offer a failed request again if rules and budget allow it.

        Returns
        -------
        bool
            Whether that was allowed.
        """
        decision = active_requests.decide_after_failure(
            active,
            self.budgets.budget_of(active.service),
            mean_ms=self.balancer.mean_ms(active.route.name),
            now=self.loop.time(),
            untried=self.balancer.count_untried(active),
        )
        if decision.action is not active_requests.NextAction.OFFER:
            return False
        self.budgets.spend(active.service)
        self.instruments.retries.add(reason)
        active.accepts_late = decision.accepts_late
        self.offer(active)
        return True

    def handle_node_lost(self, node: str) -> None:
        """Retry or fail the requests at a node whose connection is lost.

        A request that may not be repeated fails only after
        `LOST_ANSWER_SECONDS`, as its answer may arrive on another connection.
        """
        lost = [
            (call, active)
            for call, active in self.attempts.active_by_call.items()
            if active.open_attempts[call].node == node
        ]
        for call, active in lost:
            if not active.route.idempotent:
                self.loop.call_later(
                    LOST_ANSWER_SECONDS, self.fail_lost_attempt, active, call
                )
                continue
            closed = self.attempts.close(call)
            if closed is not None:
                self.handle_failed(*closed, wire.UnknownReason.NODE_LOST)

    def fail_lost_attempt(
        self, active: active_requests.ActiveRequest, call: str
    ) -> None:
        """Fail a request if no other connection has delivered its answer."""
        if self.attempts.close(call) is None:
            return
        active.possible_executions += 1
        active.reason = wire.UnknownReason.NODE_LOST
        self.fail(active, 502)

    def expire(self, active: active_requests.ActiveRequest) -> None:
        """Fail a request whose deadline has passed."""
        if not active.open_attempts:
            return
        for attempt in active.open_attempts.values():
            self.balancer.record_outcome(attempt.backend, failed=True)
        self.attempts.cancel_all(active)
        active.reason = wire.UnknownReason.TIMEOUT
        self.fail(active, 504)

    def abandon(self, active: active_requests.ActiveRequest) -> None:
        """End a request whose caller has disconnected."""
        active_requests.stop_timers(active)
        self.instruments.requests.add("abandoned", "caller-gone")
        self.attempts.cancel_all(active)

    def fail_open_requests(self) -> None:
        """Fail the requests that are still open when the process ends."""
        for active in set(self.attempts.active_by_call.values()):
            for call in tuple(active.open_attempts):
                self.attempts.close(call)
            active.reason = wire.UnknownReason.TIMEOUT
            self.fail(active, 504)

    def refuse(self, active: active_requests.ActiveRequest) -> None:
        """Answer 503: the request has not run and will not run.

        If its key was revoked meanwhile, the answer is 401.
        """
        status = active.admission.status or 503
        seconds = 0.0
        if status == 503:
            seconds = self.responder.retry_after_seconds(active.retry_after_ms)
        response = http.Response(
            status=status,
            headers=platform.make_local_response_headers(
                active.head.request_id, seconds, unauthorized=status == 401
            ),
        )
        reason = active.admission.reason or active.reason
        self.finish(active, response, "refused", reason)

    def fail(self, active: active_requests.ActiveRequest, status: int) -> None:
        """Answer with an error: the request may have run."""
        response = http.Response(
            status=status,
            headers=platform.make_local_response_headers(
                active.head.request_id, 0.0
            ),
        )
        self.finish(active, response, "failed", active.reason)

    def finish(
        self,
        active: active_requests.ActiveRequest,
        response: http.Response,
        outcome: str,
        reason: str,
    ) -> None:
        """Cancel the open attempts of a request, answer it and log it."""
        active_requests.stop_timers(active)
        self.attempts.cancel_all(active)
        self.responder.finish_request(active, response, outcome, reason)
