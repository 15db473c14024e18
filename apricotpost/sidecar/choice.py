"""Choice of the backend server for a request, and what it learns from."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random

from apricotpost import model
from apricotpost.rollout import trials
from apricotpost.routing import placement
from apricotpost.routing import splits
from apricotpost.sidecar import flights
from apricotpost.sidecar import roster
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Choice"]

# Fraction of the golden ratio: its multiples spread any number of places
# evenly between 0 and 1.
GOLDEN_FRACTION = 0.6180339887498949


class Choice:
    """Learnt speeds, divisions among services and versions.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    servers : roster.Roster
        Known backend servers.
    on_service : callable
        Called when a service is called for the first time.
    draws : random.Random
        Source of randomness.
    """

    def __init__(
        self,
        *,
        read_view: Callable[[], views.TrafficView],
        servers: roster.Roster,
        on_service: Callable[[], None],
        draws: random.Random,
    ) -> None:
        self.read_view = read_view
        self.servers = servers
        self.on_service = on_service
        self.draws = draws
        self.loop = asyncio.get_running_loop()
        self.speeds = placement.Speeds()
        self.splits = splits.Splits()
        # Last place in the division among versions, by service.
        self.turns: dict[str, float] = {}

    def choose_service(self, route: model.TrafficRoute) -> str:
        """Return the service that gets the next request of a route."""
        return splits.choose_service(self.splits, route)

    def take_turn(self, service: str) -> float:
        """Return the request's place in the division among versions."""
        turn = self.turns.get(service)
        if turn is None:
            turn = self.turns[service] = self.draws.random()
            self.on_service()
        turn = (turn + GOLDEN_FRACTION) % 1.0
        self.turns[service] = turn
        return turn

    def called_services(self) -> Iterable[str]:
        """Return the services that were called."""
        return self.turns

    def candidates(self, flight: flights.Flight) -> list[placement.Candidate]:
        """Return the backend servers that may run a request."""
        return self.servers.candidates(
            self.read_view(),
            flight.service,
            turn=flight.turn,
            regions=flight.route.regions,
            now=self.loop.time(),
        )

    def count_others(self, flight: flights.Flight) -> int:
        """Return how many backend servers were not tried yet."""
        return sum(c.node not in flight.tried for c in self.candidates(flight))

    def order(self, flight: flights.Flight) -> list[placement.Candidate]:
        """Return backend servers for the next offer, the best in front.

        A patient offer goes to the shortest queue, tried before or not.
        """
        found = self.candidates(flight)
        if not flight.patient or flight.runs:
            found = [c for c in found if c.node not in flight.tried]
        return placement.order(
            self.speeds,
            found,
            route=flight.route.name,
            objective_ms=flight.route.objective_ms,
            now=self.loop.time(),
        )

    def usual_ms(self, route: str) -> float:
        """Return the usual time of a route; 0 if it is not known."""
        return self.speeds.routes.get(route, 0.0)

    def may_hedge(self, service: str) -> bool:
        """Tell whether slow requests of a service are hedged now.

        While a version is judged its slow requests are evidence, and a hedge
        ends them before they count as slow.
        """
        trial = self.read_view().service_trials.get(service)
        return trial is None or trial.phase in trials.FINAL

    def is_suspect(self, flight: flights.Flight) -> bool:
        """Tell whether the server of the open attempt seems to be faulty."""
        mean_ms = placement.mean_reported_ms(
            self.speeds, self.candidates(flight)
        )
        return any(
            placement.is_suspect(
                self.speeds,
                attempt.backend,
                now=self.loop.time(),
                mean_ms=mean_ms,
            )
            for attempt in flight.open.values()
        )

    # Evidence.

    def note_sent(self, backend: str) -> None:
        """Count an offer that no report includes yet."""
        placement.note_sent(self.speeds, backend)

    def learn_load(self, backend: str, load: wire.ServerLoad) -> None:
        """Take a report of a backend server's load."""
        placement.learn_load(
            self.speeds,
            backend=backend,
            running=load.running,
            queued=load.queued,
            limit=load.limit,
            usual_ms=load.usual_ms,
            served=load.served,
            failing=load.failing,
            quiet_ms=load.quiet_ms,
        )

    def learn_outcome(self, backend: str, *, failed: bool) -> None:
        """Take the outcome of an attempt."""
        placement.learn_failure(
            self.speeds, backend=backend, failed=failed, now=self.loop.time()
        )

    def learn_served(
        self,
        flight: flights.Flight,
        backend: str,
        *,
        ran_ms: float,
        response_bytes: int,
    ) -> None:
        """Take the time and size of a served request."""
        placement.learn_time(
            self.speeds,
            route=flight.route.name,
            backend=backend,
            ran_ms=ran_ms,
        )
        placement.learn_size(
            self.speeds,
            route=flight.route.name,
            size=len(flight.exchange.request.body) + response_bytes,
        )

    def learn_given_up(
        self, flight: flights.Flight, attempt: flights.Attempt
    ) -> None:
        """Take an attempt whose hedge was faster.

        What has passed is the least that it would have taken. Without that,
        a slow server would be known by its fast answers only.
        """
        placement.learn_time(
            self.speeds,
            route=flight.route.name,
            backend=attempt.backend,
            ran_ms=(self.loop.time() - attempt.sent) * 1000.0,
        )
