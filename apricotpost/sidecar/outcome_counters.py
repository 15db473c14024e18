"""Responses of the backend server, the evidence in a rollout."""

from collections.abc import Callable

from apricotpost.rollout import evidence
from apricotpost.rollout import trials
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["OutcomeCounters"]


class OutcomeCounters:
    """Responses by route since the backend server was met.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    """

    def __init__(self, *, read_view: Callable[[], views.TrafficView]) -> None:
        self.read_view = read_view
        self.counts: dict[str, evidence.Counts] = {}

    def reset(self) -> None:
        """Start for another backend server."""
        self.counts = {}

    def count(self, route: str, *, failed: bool, ran_ms: float) -> None:
        """Count a response, or a request that was given up as slow."""
        known = self.counts.get(route, evidence.Counts())
        latencies = known.latencies
        if not failed:
            bucket = evidence.bucket_of(ran_ms)
            latencies = evidence.increment(latencies, bucket)
        self.counts[route] = evidence.Counts(
            calls=known.calls + 1,
            failures=known.failures + int(failed),
            latencies=latencies,
        )

    def describe(self, service: str) -> tuple[wire.VersionCounts, ...]:
        """Return the evidence while the service is on trial."""
        trial = self.read_view().service_trials.get(service)
        if trial is None or trial.phase in trials.FINAL:
            return ()
        return tuple(
            wire.VersionCounts(
                route=route,
                calls=counts.calls,
                failures=counts.failures,
                latencies=counts.latencies,
            )
            for route, counts in self.counts.items()
        )

    def is_loaded_trial(self, service: str) -> bool:
        """Tell whether a new version carries most of the requests."""
        trial = self.read_view().service_trials.get(service)
        return trial is not None and trial.phase in trials.LOADED
