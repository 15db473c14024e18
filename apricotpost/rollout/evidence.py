"""Counts of finished calls, made by gates and merged by rollout tasks."""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from apricotpost import model

__all__ = [
    "BUCKET_BOUNDS_MS",
    "CallOutcome",
    "Counts",
    "EvidenceStore",
    "FinishedCall",
    "OutcomeCounts",
    "add",
    "bucket_of",
    "classify",
    "describe_counts",
    "increment",
    "receive",
    "record_call",
    "retain_instances",
    "subtract",
    "take_undrained",
]

# Upper bounds of the latency buckets, in milliseconds. They grow by a factor
# of 1.5 from 1 ms to above the longest call (25 s). One more bucket holds
# the latencies above the last bound.
BUCKET_BOUNDS_MS = tuple(1.5**power for power in range(26))
SHED_STATUS = 503
# A call that timed out is not counted if its caller granted less than this
# fraction of the route's timeout: the backend server had too little time.
MIN_GRANTED_RATIO = 0.25
# Successful calls of a version and route that a gate accepts as cold. The
# latencies of later ones count even if the server reports that it is cold,
# so a slow version cannot avoid the latency test by always sending the
# header. No warm-up needs as many calls.
MAX_COLD_CALLS = 500

CountsKey = tuple[str, str, str]


class CallOutcome(enum.Enum):
    """How a finished call counts for the backend server's version."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEITHER = "neither"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FinishedCall:
    """Result of one call to the backend server.

    Parameters
    ----------
    answered : bool
        Whether a complete answer arrived.
    status : int
        HTTP status of the answer, 0 without one.
    timed_out : bool
        Whether the deadline passed while the call ran.
    expired : bool
        Whether the deadline had passed before the call was sent.
    granted_ratio : float
        Time that the caller granted, as a fraction of the route's timeout.
    is_only_call : bool
        Whether the backend server was running no other call.
    cold : bool
        Whether the answer reports that the backend server is cold.
    duration_ms : float
        Time that the backend server took, in milliseconds.
    """

    answered: bool
    status: int = 0
    timed_out: bool = False
    expired: bool = False
    granted_ratio: float = 1.0
    is_only_call: bool = False
    cold: bool = False
    duration_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """Numbers of calls and failures, and latencies of successful calls.

    Parameters
    ----------
    calls, failures : int
        Number of calls, and how many of them failed.
    latencies : tuple of int
        Successful calls by latency bucket, up to the last bucket that is
        not empty.
    """

    calls: int = 0
    failures: int = 0
    latencies: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeCounts:
    """Cumulative counts of one gate by service, version and route.

    Parameters
    ----------
    counts : mapping
        Calls, failures and latencies.
    cold_calls : mapping
        Successful calls whose latencies were left out because the server
        was cold.
    """

    counts: Mapping[CountsKey, Counts] = dataclasses.field(
        default_factory=dict
    )
    cold_calls: Mapping[CountsKey, int] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceStore:
    """Counts that a rollout task received from gates.

    Parameters
    ----------
    newest : mapping
        Newest cumulative counts by instance, service, version and route.
    undrained : mapping
        Counts added since the last `take_undrained`, summed over all
        instances, by service, version and route.
    """

    newest: Mapping[tuple[str, str, str, str], model.Evidence] = (
        dataclasses.field(default_factory=dict)
    )
    undrained: Mapping[CountsKey, Counts] = dataclasses.field(
        default_factory=dict
    )


def bucket_of(duration_ms: float) -> int:
    """Return the index of the bucket of a latency in milliseconds."""
    return bisect.bisect_left(BUCKET_BOUNDS_MS, duration_ms)


def classify(finished: FinishedCall) -> CallOutcome:
    """Classify a finished call as success, failure or neither.

    Notes
    -----
    A status of 4xx is the caller's fault and counts as neither. A 503 is
    taken for load shedding, and counts as neither, if other calls were
    running or the server reports that it is cold. A 503 of a warm server
    that runs no other call is a failure. A call that timed out is a failure
    unless its caller granted too little time. A refused connection and a
    lost answer are always failures.
    """
    if finished.expired:
        return CallOutcome.NEITHER
    if finished.timed_out:
        long_enough = finished.granted_ratio >= MIN_GRANTED_RATIO
        return CallOutcome.FAILURE if long_enough else CallOutcome.NEITHER
    if not finished.answered:
        return CallOutcome.FAILURE
    if finished.status == SHED_STATUS:
        shed = finished.cold or not finished.is_only_call
        return CallOutcome.NEITHER if shed else CallOutcome.FAILURE
    if finished.status >= 500:
        return CallOutcome.FAILURE
    if finished.status >= 400:
        return CallOutcome.NEITHER
    return CallOutcome.SUCCESS


def record_call(
    outcomes: OutcomeCounts, key: CountsKey, finished: FinishedCall
) -> OutcomeCounts:
    """Add one finished call to a gate's counts.

    Latencies of a cold server are left out: they show that the server was
    started recently, not how fast its version is.
    """
    kind = classify(finished)
    if kind is CallOutcome.NEITHER:
        return outcomes
    previous = outcomes.counts.get(key, Counts())
    failures = previous.failures + (kind is CallOutcome.FAILURE)
    latencies = previous.latencies
    cold_calls = outcomes.cold_calls
    if kind is CallOutcome.SUCCESS:
        cold = cold_calls.get(key, 0)
        if finished.cold and cold < MAX_COLD_CALLS:
            cold_calls = {**cold_calls, key: cold + 1}
        else:
            latencies = increment(latencies, bucket_of(finished.duration_ms))
    updated = Counts(
        calls=previous.calls + 1, failures=failures, latencies=latencies
    )
    return OutcomeCounts(
        counts={**outcomes.counts, key: updated}, cold_calls=cold_calls
    )


def describe_counts(
    outcomes: OutcomeCounts, *, instance: str, epoch: int
) -> tuple[model.Evidence, ...]:
    """Return a gate's counts as the records that nodes exchange."""
    return tuple(
        model.Evidence(
            instance=instance,
            service=service,
            version=version,
            route=route,
            epoch=epoch,
            calls=counts.calls,
            failures=counts.failures,
            latency_counts=counts.latencies,
        )
        for (service, version, route), counts in outcomes.counts.items()
    )


def receive(
    store: EvidenceStore, evidence: Iterable[model.Evidence]
) -> EvidenceStore:
    """Add the increase of a gate's cumulative counts to the store.

    Notes
    -----
    The first report of an instance only sets the baseline, because it may
    include calls from before the rollout. Counts that are not newer than
    the stored ones are ignored, so a report that arrives twice or late
    changes nothing. After a restart (higher epoch) counts start at 0.
    """
    newest = dict(store.newest)
    undrained = dict(store.undrained)
    for report in evidence:
        key = (report.instance, report.service, report.version, report.route)
        stored = newest.get(key)
        if stored is not None and not _is_newer(report, stored):
            continue
        newest[key] = report
        if stored is None and not _has_reported(store, report):
            continue
        baseline = Counts()
        if stored is not None and stored.epoch == report.epoch:
            baseline = _counts_of(stored)
        increase = subtract(_counts_of(report), baseline)
        undrained[key[1:]] = add(undrained.get(key[1:], Counts()), increase)
    return EvidenceStore(newest=newest, undrained=undrained)


def take_undrained(
    store: EvidenceStore,
) -> tuple[EvidenceStore, Mapping[CountsKey, Counts]]:
    """Return the sums since the last call and remove them from the store."""
    return EvidenceStore(newest=store.newest), store.undrained


def retain_instances(
    store: EvidenceStore, instances: Iterable[str]
) -> EvidenceStore:
    """Remove the counts of all other instances from the store."""
    kept = frozenset(instances)
    newest = {
        key: report for key, report in store.newest.items() if key[0] in kept
    }
    return dataclasses.replace(store, newest=newest)


def add(left: Counts, right: Counts) -> Counts:
    """Return the sum of two counts."""
    return Counts(
        calls=left.calls + right.calls,
        failures=left.failures + right.failures,
        latencies=_combine_buckets(left.latencies, right.latencies, 1),
    )


def _is_newer(report: model.Evidence, stored: model.Evidence) -> bool:
    return (report.epoch, report.calls) > (stored.epoch, stored.calls)


def _has_reported(store: EvidenceStore, report: model.Evidence) -> bool:
    """Return whether the instance has reported since its last restart."""
    return any(
        key[0] == report.instance and stored.epoch == report.epoch
        for key, stored in store.newest.items()
    )


def _counts_of(report: model.Evidence) -> Counts:
    return Counts(
        calls=report.calls,
        failures=report.failures,
        latencies=report.latency_counts,
    )


def subtract(after: Counts, before: Counts) -> Counts:
    """Return the increase of cumulative counts since earlier ones."""
    return Counts(
        calls=after.calls - before.calls,
        failures=max(after.failures - before.failures, 0),
        latencies=_combine_buckets(after.latencies, before.latencies, -1),
    )


def _combine_buckets(
    left: tuple[int, ...], right: tuple[int, ...], sign: int
) -> tuple[int, ...]:
    length = max(len(left), len(right))
    padded_left = left + (0,) * (length - len(left))
    padded_right = right + (0,) * (length - len(right))
    return tuple(
        max(first + sign * second, 0)
        for first, second in zip(padded_left, padded_right, strict=True)
    )


def increment(latencies: tuple[int, ...], bucket: int) -> tuple[int, ...]:
    """Return the latency counts with one more call in a bucket."""
    padded = latencies + (0,) * (bucket + 1 - len(latencies))
    return padded[:bucket] + (padded[bucket] + 1,) + padded[bucket + 1 :]
