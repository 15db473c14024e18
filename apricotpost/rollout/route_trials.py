"""Tests of one route: failures and slow calls of both versions."""

import dataclasses

from apricotpost.rollout import evidence
from apricotpost.rollout import sequential

__all__ = [
    "RouteTrial",
    "close_slice",
    "collect",
    "is_missing",
    "levels",
    "start",
]

# A slice waits this long for calls of both versions. A longer slice would
# compare different periods.
MAX_SLICE_SECONDS = 30.0
# Calls of the old version before its 90th percentile is used.
MIN_REFERENCE_CALLS = 20.0
REFERENCE_MEMORY = 0.9
SLOW_PART = 0.1
# A route with so many expected calls of the new version, and less than a
# quarter of them counted, is answered differently by the new version.
MIN_EXPECTED_CALLS = 40.0
MIN_EXPECTED_PART = 0.25
# Calls on a route of which the old version has seen none.
NEW_ROUTE_CALLS = 20

FAILURES = sequential.Plan(
    excesses=(0.03, 0.15, 0.5, 0.95),
    tolerance=0.005,
    pardon=2.0,
    least_rate=0.002,
)
# Without the old version's calls on a route, its other routes are all there
# is to compare with, so more is tolerated.
NEW_ROUTE_FAILURES = sequential.Plan(
    excesses=(0.2, 0.5, 0.95), tolerance=0.05, pardon=3.0, least_rate=0.01
)
# A bucket above the 90th percentile's may be 1 % slower; only a marked
# excess of such calls is evidence.
SLOWER = sequential.Plan(
    excesses=(0.5, 0.9), tolerance=0.3, pardon=2.0, least_rate=0.02
)
# Two buckets above is at least 1.5 times slower.
MUCH_SLOWER = sequential.Plan(
    excesses=(0.1, 0.4, 0.9), tolerance=0.05, pardon=2.0, least_rate=0.02
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteTrial:
    """Tests of one route and the calls that wait for a full slice.

    Parameters
    ----------
    new, old : Counts
        Calls of the present slice.
    since : float
        Start of the present slice.
    reference : tuple of float
        Fading latency counts of the old version before this slice.
    new_calls, old_calls : int
        All calls so far.
    step_calls : int
        Calls of the new version since the last step.
    expected : float
        Calls of the new version expected since the last step.
    """

    failures: sequential.Test
    new_route: sequential.Test
    slower: sequential.Test
    much_slower: sequential.Test
    new: evidence.Counts = evidence.Counts()
    old: evidence.Counts = evidence.Counts()
    since: float = 0.0
    reference: tuple[float, ...] = ()
    new_calls: int = 0
    old_calls: int = 0
    step_calls: int = 0
    expected: float = 0.0


def start(now: float) -> RouteTrial:
    """Return the state before the first call."""
    return RouteTrial(
        failures=sequential.start(FAILURES),
        new_route=sequential.start(NEW_ROUTE_FAILURES),
        slower=sequential.start(SLOWER),
        much_slower=sequential.start(MUCH_SLOWER),
        since=now,
    )


def collect(
    entry: RouteTrial, new: evidence.Counts, old: evidence.Counts, share: int
) -> RouteTrial:
    """Add calls to the present slice."""
    expected = old.calls * share / max(1000 - share, 1)
    return dataclasses.replace(
        entry,
        new=evidence.add(entry.new, new),
        old=evidence.add(entry.old, old),
        new_calls=entry.new_calls + new.calls,
        old_calls=entry.old_calls + old.calls,
        step_calls=entry.step_calls + new.calls,
        expected=entry.expected + expected,
    )


def close_slice(
    entry: RouteTrial, pooled: evidence.Counts, *, baking: bool, now: float
) -> RouteTrial:
    """Test the present slice when both versions have calls in it."""
    only_new = not entry.old_calls and entry.new_calls >= NEW_ROUTE_CALLS
    if only_new and pooled.calls:
        return _test_new_route(entry, pooled, now)
    if entry.new.calls and entry.old.calls:
        return _test_slice(entry, baking=baking, now=now)
    # Calls of one version only say nothing; they must not meet calls of
    # the other version from a later period.
    waits = entry.new.calls and now - entry.since <= MAX_SLICE_SECONDS
    if waits:
        return entry
    return _next_slice(entry, now)


def levels(entry: RouteTrial) -> dict[str, float]:
    """Return the evidence against the new version by kind of event."""
    return {
        "failures": max(
            sequential.level(entry.failures),
            sequential.level(entry.new_route),
        ),
        "slow calls": max(
            sequential.level(entry.slower),
            sequential.level(entry.much_slower),
        ),
    }


def is_missing(entry: RouteTrial) -> bool:
    """Whether the new version gives far fewer usable answers than due."""
    return (
        entry.expected >= MIN_EXPECTED_CALLS
        and entry.step_calls < MIN_EXPECTED_PART * entry.expected
    )


def _test_slice(entry: RouteTrial, *, baking: bool, now: float) -> RouteTrial:
    failures = sequential.update(
        entry.failures,
        FAILURES,
        sequential.Slice(
            new_calls=entry.new.calls,
            new_events=entry.new.failures,
            old_calls=entry.old.calls,
            old_events=entry.old.failures,
        ),
    )
    slower, much_slower = entry.slower, entry.much_slower
    limit = _find_limit(entry.reference)
    if limit is not None:
        much_slower = sequential.update(
            much_slower, MUCH_SLOWER, _slow_slice(entry, limit + 1)
        )
        # While baking the new version's servers carry 49 times the calls;
        # a small difference then comes from the load.
        if not baking:
            slower = sequential.update(
                slower, SLOWER, _slow_slice(entry, limit)
            )
    tested = dataclasses.replace(
        entry, failures=failures, slower=slower, much_slower=much_slower
    )
    return _next_slice(tested, now)


def _test_new_route(
    entry: RouteTrial, pooled: evidence.Counts, now: float
) -> RouteTrial:
    """Test failures of a route that the old version does not answer."""
    found = sequential.Slice(
        new_calls=entry.new.calls,
        new_events=entry.new.failures,
        old_calls=pooled.calls,
        old_events=pooled.failures,
    )
    new_route = sequential.update(entry.new_route, NEW_ROUTE_FAILURES, found)
    return _next_slice(dataclasses.replace(entry, new_route=new_route), now)


def _next_slice(entry: RouteTrial, now: float) -> RouteTrial:
    return dataclasses.replace(
        entry,
        new=evidence.Counts(),
        old=evidence.Counts(),
        since=now,
        reference=_fade(entry.reference, entry.old.latencies),
    )


def _fade(
    reference: tuple[float, ...], latencies: tuple[int, ...]
) -> tuple[float, ...]:
    if not latencies:
        return reference
    length = max(len(reference), len(latencies))
    known = reference + (0.0,) * (length - len(reference))
    added = latencies + (0,) * (length - len(latencies))
    return tuple(
        REFERENCE_MEMORY * before + count
        for before, count in zip(known, added, strict=True)
    )


def _find_limit(reference: tuple[float, ...]) -> int | None:
    """Return the bucket of the 90th percentile before this slice."""
    total = sum(reference)
    if total < MIN_REFERENCE_CALLS:
        return None
    above = 0.0
    for bucket in range(len(reference) - 1, -1, -1):
        above += reference[bucket]
        if above > SLOW_PART * total:
            return bucket
    return 0


def _slow_slice(entry: RouteTrial, limit: int) -> sequential.Slice:
    return sequential.Slice(
        new_calls=sum(entry.new.latencies),
        new_events=sum(entry.new.latencies[limit + 1 :]),
        old_calls=sum(entry.old.latencies),
        old_events=sum(entry.old.latencies[limit + 1 :]),
    )
