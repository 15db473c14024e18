"""Outcomes of the backend server's requests, the evidence of a trial."""

from collections.abc import Callable

from apricotpost.rollout import evidence
from apricotpost.rollout import trials
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["OutcomeCounters"]


class OutcomeCounters:
    """Outcomes by route since the current incarnation's first heartbeat.

    Parameters
    ----------
    read_view : callable
        Returns the orders in force.
    """

    def __init__(self, *, read_view: Callable[[], views.TrafficView]) -> None:
        self.read_view = read_view
        self.counts: dict[str, evidence.Counts] = {}

    def reset(self) -> None:
        """Discard the outcomes of an earlier incarnation."""
        self.counts = {}

    def count(self, route: str, *, failed: bool, ran_ms: float) -> None:
        """Count a response, a failure, or a request cancelled as slow."""
        current = self.counts.get(route, evidence.Counts())
        latencies = current.latencies
        if not failed:
            bucket = evidence.bucket_of(ran_ms)
            latencies = evidence.increment(latencies, bucket)
        self.counts[route] = evidence.Counts(
            calls=current.calls + 1,
            failures=current.failures + int(failed),
            latencies=latencies,
        )

    def describe(self, service: str) -> tuple[wire.VersionCounts, ...]:
        """Return the evidence while the service is on trial, else nothing."""
        trial = self.read_view().service_trials.get(service)
        if trial is None or trial.phase in trials.FINAL_PHASES:
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
        """Tell whether a new version on trial carries most requests."""
        trial = self.read_view().service_trials.get(service)
        return trial is not None and trial.phase in trials.LOADED_PHASES
