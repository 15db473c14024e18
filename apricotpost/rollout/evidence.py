"""Counts of finished calls: made by gates, merged by rollout tasks."""

import bisect
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from apricotpost import model

__all__ = [
    "BOUNDS_MS",
    "BOUNDS_MS",
    "EvidenceStore",
    "CallKind",
    "Counts",
    "Finished",
    "OutcomeCounts",
    "add",
    "bucket_of",
    "classify",
    "count",
    "describe",
    "take_undrained",
    "keep_instances",
    "increment",
    "receive",
    "subtract",
]

# Upper bounds of the latency buckets; they grow by 1.5 from 1 ms to above
# the longest call (25 s). One more bucket takes everything beyond.
BOUNDS_MS = tuple(1.5**power for power in range(26))
SHED_STATUS = 503
# A time-out of a caller that granted less than this part of the route's
# timeout says nothing about the backend server.
FAIR_TIMEOUT_SHARE = 0.25
# Calls that a server may answer as cold before their latencies count; more
# than any warm-up needs, so a slow version cannot hide behind the header.
MAX_COLD_CALLS = 500

Key = tuple[str, str, str]


class CallKind(enum.Enum):
    """What a finished call says about the backend server's version."""

    SUCCESS = "success"
    FAILURE = "failure"
    NEITHER = "neither"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Finished:
    """How a call ended at the backend server.

    Parameters
    ----------
    answered : bool
        Whether a whole answer arrived.
    status : int
        HTTP status of the answer, 0 without one.
    timed_out : bool
        Whether the deadline passed while the call ran.
    expired : bool
        Whether the deadline had passed before the call was sent.
    granted_share : float
        Time that the caller granted, as a part of the route's timeout.
    alone : bool
        Whether no other call was running there.
    cold : bool
        Whether the answer says that the server is cold.
    duration_ms : float
        Time that the backend server took, in milliseconds.
    """

    answered: bool
    status: int = 0
    timed_out: bool = False
    expired: bool = False
    granted_share: float = 1.0
    alone: bool = False
    cold: bool = False
    duration_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Counts:
    """Calls, failures and latencies of the successes.

    ``latencies`` ends with the last bucket that is not empty.
    """

    calls: int = 0
    failures: int = 0
    latencies: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class OutcomeCounts:
    """Cumulative counts of one gate by service, version and route."""

    counts: Mapping[Key, Counts] = dataclasses.field(default_factory=dict)
    cold_calls: Mapping[Key, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EvidenceStore:
    """What a rollout task received.

    Parameters
    ----------
    newest : mapping
        Newest cumulative counts by instance, service, version and route.
    undrained : mapping
        Sums over all instances since the last `take_undrained`, by service,
        version and route.
    """

    newest: Mapping[tuple[str, str, str, str], model.Evidence] = (
        dataclasses.field(default_factory=dict)
    )
    undrained: Mapping[Key, Counts] = dataclasses.field(default_factory=dict)


def bucket_of(duration_ms: float) -> int:
    """Return the number of the bucket of a latency in milliseconds."""
    return bisect.bisect_left(BOUNDS_MS, duration_ms)


def classify(finished: Finished) -> CallKind:
    """Decide what a finished call counts as.

    Notes
    -----
    A status 4xx is the caller's fault. A 503 is load shedding, and counts
    as neither, where load is plausible: other calls were running or the
    server says that it is cold. A 503 of a warm server without any other
    call is a failure. A time-out counts unless the caller granted too
    little time, and a refused connection or lost answer always counts.
    """
    if finished.expired:
        return CallKind.NEITHER
    if finished.timed_out:
        fair = finished.granted_share >= FAIR_TIMEOUT_SHARE
        return CallKind.FAILURE if fair else CallKind.NEITHER
    if not finished.answered:
        return CallKind.FAILURE
    if finished.status == SHED_STATUS:
        shed = finished.cold or not finished.alone
        return CallKind.NEITHER if shed else CallKind.FAILURE
    if finished.status >= 500:
        return CallKind.FAILURE
    if finished.status >= 400:
        return CallKind.NEITHER
    return CallKind.SUCCESS


def count(
    outcomes: OutcomeCounts, key: Key, finished: Finished
) -> OutcomeCounts:
    """Add one finished call to a gate's counts.

    Latencies of a cold server are left out: they describe its age, not
    its version.
    """
    kind = classify(finished)
    if kind is CallKind.NEITHER:
        return outcomes
    before = outcomes.counts.get(key, Counts())
    failures = before.failures + (kind is CallKind.FAILURE)
    latencies = before.latencies
    cold_calls = outcomes.cold_calls
    if kind is CallKind.SUCCESS:
        cold = cold_calls.get(key, 0)
        if finished.cold and cold < MAX_COLD_CALLS:
            cold_calls = {**cold_calls, key: cold + 1}
        else:
            latencies = increment(latencies, bucket_of(finished.duration_ms))
    after = Counts(
        calls=before.calls + 1, failures=failures, latencies=latencies
    )
    return OutcomeCounts(
        counts={**outcomes.counts, key: after}, cold_calls=cold_calls
    )


def describe(
    outcomes: OutcomeCounts, *, instance: str, epoch: int
) -> tuple[model.Evidence, ...]:
    """Return a gate's counts in the form that nodes exchange."""
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
    """Account for cumulative counts from a gate.

    Notes
    -----
    The first report of an instance only sets its starting point, because
    its counts may be older than the rollout. Counts that are not newer
    than the known ones are dropped, so a report that arrives twice or
    late changes nothing. After a restart (higher epoch) counts start at 0.
    """
    newest = dict(store.newest)
    undrained = dict(store.undrained)
    for entry in evidence:
        key = (entry.instance, entry.service, entry.version, entry.route)
        known = newest.get(key)
        if known is not None and not _is_newer(entry, known):
            continue
        newest[key] = entry
        if known is None and not _is_known(store, entry):
            continue
        before = Counts()
        if known is not None and known.epoch == entry.epoch:
            before = _counts_of(known)
        increment = subtract(_counts_of(entry), before)
        undrained[key[1:]] = add(undrained.get(key[1:], Counts()), increment)
    return EvidenceStore(newest=newest, undrained=undrained)


def take_undrained(
    store: EvidenceStore,
) -> tuple[EvidenceStore, Mapping[Key, Counts]]:
    """Take the sums since the last call."""
    return EvidenceStore(newest=store.newest), store.undrained


def keep_instances(
    store: EvidenceStore, instances: Iterable[str]
) -> EvidenceStore:
    """Keep only the counts of the given instances."""
    kept = frozenset(instances)
    newest = {
        key: entry for key, entry in store.newest.items() if key[0] in kept
    }
    return dataclasses.replace(store, newest=newest)


def add(left: Counts, right: Counts) -> Counts:
    """Return the sum of two counts."""
    return Counts(
        calls=left.calls + right.calls,
        failures=left.failures + right.failures,
        latencies=_combine(left.latencies, right.latencies, 1),
    )


def _is_newer(entry: model.Evidence, known: model.Evidence) -> bool:
    return (entry.epoch, entry.calls) > (known.epoch, known.calls)


def _is_known(store: EvidenceStore, entry: model.Evidence) -> bool:
    """Whether this run of the instance has reported before."""
    return any(
        key[0] == entry.instance and known.epoch == entry.epoch
        for key, known in store.newest.items()
    )


def _counts_of(entry: model.Evidence) -> Counts:
    return Counts(
        calls=entry.calls,
        failures=entry.failures,
        latencies=entry.latency_counts,
    )


def subtract(after: Counts, before: Counts) -> Counts:
    """Return what cumulative counts gained since earlier ones."""
    return Counts(
        calls=after.calls - before.calls,
        failures=max(after.failures - before.failures, 0),
        latencies=_combine(after.latencies, before.latencies, -1),
    )


def _combine(
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
    """Count one more latency in a bucket."""
    padded = latencies + (0,) * (bucket + 1 - len(latencies))
    return padded[:bucket] + (padded[bucket] + 1,) + padded[bucket + 1 :]
