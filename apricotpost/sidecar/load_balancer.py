"""Choice of the backend server for a request, and the figures behind it."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

from apricotpost import model
from apricotpost.rollout import trials
from apricotpost.routing import placement
from apricotpost.routing import sampling
from apricotpost.routing import splits
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import server_index
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["LoadBalancer"]

# Fractional part of the golden ratio. Its multiples modulo 1 are evenly spread
# between 0 and 1, however many there are.
GOLDEN_FRACTION = 0.6180339887498949


class LoadBalancer:
    """State of the choice: latencies, service splits and version draws.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    servers : server_index.ServerIndex
        Known backend servers.
    on_new_service : callable
        Called when this node calls a service for the first time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        read_view: Callable[[], views.TrafficView],
        servers: server_index.ServerIndex,
        on_new_service: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.read_view = read_view
        self.servers = servers
        self.on_new_service = on_new_service
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.latency_model = placement.LatencyModel()
        self.round_robin_credits = splits.RoundRobinCredits()
        # Last version draw of each service.
        self.version_draws: dict[str, float] = {}

    def choose_service(self, route: model.TrafficRoute) -> str:
        """Return the service for the next request of a route."""
        return splits.choose_service(self.round_robin_credits, route)

    def next_version_draw(self, service: str) -> float:
        """Return a number between 0 and 1 that selects a request's version."""
        version_draw = self.version_draws.get(service)
        if version_draw is None:
            version_draw = self.version_draws[service] = self.rng.random()
            self.on_new_service()
        version_draw = (version_draw + GOLDEN_FRACTION) % 1.0
        self.version_draws[service] = version_draw
        return version_draw

    def called_services(self) -> Iterable[str]:
        """Return the services that this node has called."""
        return self.version_draws

    def candidates(
        self, active: active_requests.ActiveRequest
    ) -> list[placement.Candidate]:
        """Return the backend servers that may run a request."""
        return self.servers.candidates(
            self.read_view(),
            active.service,
            version_draw=active.version_draw,
            regions=active.route.regions,
            now=self.loop.time(),
        )

    def count_untried(self, active: active_requests.ActiveRequest) -> int:
        """Return the number of backend servers that have not run a request.

        Those that only refused it for their queue are among them.
        """
        return sum(
            c.node not in active.tried_nodes or c.node in active.busy_nodes
            for c in self.candidates(active)
        )

    def rank_candidates(
        self, active: active_requests.ActiveRequest
    ) -> list[placement.Candidate]:
        """Return the backend servers for the next offer, best first.

        The first ones are the best of a random sample and of those that have
        refused the request for their queue. An offer that accepts a missed
        objective may go to any server. A request that may have run is not
        offered to the same server again.
        """
        candidates = self.candidates(active)
        untried = [c for c in candidates if c.node not in active.tried_nodes]
        if active.possible_executions:
            candidates = [
                c
                for c in candidates
                if c.node not in active.tried_nodes
                or c.node in active.busy_nodes
            ]
        others: list[placement.Candidate] = []
        if active.accepts_late:
            chosen = candidates
        else:
            chosen, others = sampling.sample_candidates(
                untried, self.rng, retrying=active.offers > 0
            )
            chosen.extend(c for c in candidates if c.node in active.busy_nodes)
        ranked = placement.rank_candidates(
            self.latency_model,
            chosen,
            route=active.route.name,
            objective_ms=active.route.objective_ms,
            now=self.loop.time(),
        )
        # The others are used only if none of the chosen can be reached.
        return [*ranked, *others]

    def mean_ms(self, route: str) -> float:
        """Return the mean time of a route, in milliseconds; 0 if unknown."""
        return self.latency_model.route_mean_ms.get(route, 0.0)

    def may_hedge(self, service: str) -> bool:
        """Tell whether slow requests of a service may be hedged now.

        During a trial they may not: slow requests are evidence, and a hedge
        would cancel them before they count as slow.
        """
        trial = self.read_view().service_trials.get(service)
        return trial is None or trial.phase in trials.FINAL_PHASES

    def is_suspect(self, active: active_requests.ActiveRequest) -> bool:
        """Tell whether the backend server of an open attempt is suspect."""
        service_mean_ms = placement.mean_reported_ms(
            self.latency_model, self.candidates(active)
        )
        return any(
            placement.is_suspect(
                self.latency_model,
                attempt.backend,
                now=self.loop.time(),
                service_mean_ms=service_mean_ms,
            )
            for attempt in active.open_attempts.values()
        )

    # Evidence.

    def record_sent(self, backend: str) -> None:
        """Count an offer that no load report of its server includes yet."""
        placement.record_sent(self.latency_model, backend)

    def record_load(self, backend: str, load: wire.ServerLoad) -> None:
        """Record a load report of a backend server."""
        placement.record_load(
            self.latency_model,
            backend=backend,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            mean_ms=load.mean_ms,
            sample_count=load.sample_count,
            failure_ratio=load.failure_ratio,
            silent_ms=load.silent_ms,
        )

    def record_outcome(self, backend: str, *, failed: bool) -> None:
        """Record whether an attempt failed."""
        placement.record_outcome(
            self.latency_model,
            backend=backend,
            failed=failed,
            now=self.loop.time(),
        )

    def record_served(
        self,
        active: active_requests.ActiveRequest,
        backend: str,
        *,
        ran_ms: float,
        response_bytes: int,
    ) -> None:
        """Record the time and size of a served request."""
        placement.record_latency(
            self.latency_model,
            route=active.route.name,
            backend=backend,
            ran_ms=ran_ms,
        )
        placement.record_size(
            self.latency_model,
            route=active.route.name,
            size=len(active.exchange.request.body) + response_bytes,
        )

    def record_cancelled(
        self,
        active: active_requests.ActiveRequest,
        attempt: active_requests.Attempt,
    ) -> None:
        """Record an attempt that was cancelled because its hedge was faster.

        The elapsed time is a lower bound of its latency. Without it, only the
        fast responses of a slow server would be measured.
        """
        placement.record_latency(
            self.latency_model,
            route=active.route.name,
            backend=attempt.backend,
            ran_ms=(self.loop.time() - attempt.sent_at) * 1000.0,
        )
