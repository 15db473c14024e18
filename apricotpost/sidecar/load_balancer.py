"""Choice of the backend server for a request, and what it learns from."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

from apricotpost import model
from apricotpost.rollout import trials
from apricotpost.routing import placement
from apricotpost.routing import splits
from apricotpost.sidecar import active_requests
from apricotpost.sidecar import server_index
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["LoadBalancer"]

# Fraction of the golden ratio: its multiples spread any number of places
# evenly between 0 and 1.
GOLDEN_FRACTION = 0.6180339887498949


class LoadBalancer:
    """Learnt speeds, divisions among services and versions.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    servers : server_index.ServerIndex
        Known backend servers.
    on_service : callable
        Called when a service is called for the first time.
    rng : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        read_view: Callable[[], views.TrafficView],
        servers: server_index.ServerIndex,
        on_service: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.read_view = read_view
        self.servers = servers
        self.on_service = on_service
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.latency_model = placement.LatencyModel()
        self.splits = splits.Splits()
        # Last place in the division among versions, by service.
        self.version_draws: dict[str, float] = {}

    def choose_service(self, route: model.TrafficRoute) -> str:
        """Return the service that gets the next request of a route."""
        return splits.choose_service(self.splits, route)

    def next_version_draw(self, service: str) -> float:
        """Return the request's place in the division among versions."""
        version_draw = self.version_draws.get(service)
        if version_draw is None:
            version_draw = self.version_draws[service] = self.rng.random()
            self.on_service()
        version_draw = (version_draw + GOLDEN_FRACTION) % 1.0
        self.version_draws[service] = version_draw
        return version_draw

    def called_services(self) -> Iterable[str]:
        """Return the services that were called."""
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
        """Return how many backend servers were not tried yet."""
        return sum(
            c.node not in active.tried_nodes for c in self.candidates(active)
        )

    def rank_candidates(
        self, active: active_requests.ActiveRequest
    ) -> list[placement.Candidate]:
        """Return backend servers for the next offer, the best in front.

        A patient offer goes to the shortest queue, tried before or not.
        """
        found = self.candidates(active)
        if not active.accepts_late or active.possible_executions:
            found = [c for c in found if c.node not in active.tried_nodes]
        return placement.rank_candidates(
            self.latency_model,
            found,
            route=active.route.name,
            objective_ms=active.route.objective_ms,
            now=self.loop.time(),
        )

    def usual_ms(self, route: str) -> float:
        """Return the usual time of a route; 0 if it is not known."""
        return self.latency_model.routes.get(route, 0.0)

    def may_hedge(self, service: str) -> bool:
        """Tell whether slow requests of a service are hedged now.

        While a version is judged its slow requests are evidence, and a hedge
        ends them before they count as slow.
        """
        trial = self.read_view().service_trials.get(service)
        return trial is None or trial.phase in trials.FINAL

    def is_suspect(self, active: active_requests.ActiveRequest) -> bool:
        """Tell whether the server of the open attempt seems to be faulty."""
        mean_ms = placement.mean_reported_ms(
            self.latency_model, self.candidates(active)
        )
        return any(
            placement.is_suspect(
                self.latency_model,
                attempt.backend,
                now=self.loop.time(),
                mean_ms=mean_ms,
            )
            for attempt in active.open_attempts.values()
        )

    # Evidence.

    def record_sent(self, backend: str) -> None:
        """Count an offer that no report includes yet."""
        placement.record_sent(self.latency_model, backend)

    def record_load(self, backend: str, load: wire.ServerLoad) -> None:
        """Take a report of a backend server's load."""
        placement.record_load(
            self.latency_model,
            backend=backend,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            usual_ms=load.usual_ms,
            served=load.served,
            failing=load.failing,
            quiet_ms=load.quiet_ms,
        )

    def record_outcome(self, backend: str, *, failed: bool) -> None:
        """Take the outcome of an attempt."""
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
        """Take the time and size of a served request."""
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
        """Take an attempt whose hedge was faster.

        What has passed is the least that it would have taken. Without that,
        a slow server would be known by its fast answers only.
        """
        placement.record_latency(
            self.latency_model,
            route=active.route.name,
            backend=attempt.backend,
            ran_ms=(self.loop.time() - attempt.sent_at) * 1000.0,
        )
