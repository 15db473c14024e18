"""Sequential tests of one route for failures and slow calls."""

import dataclasses

from apricotpost import model
from apricotpost.rollout import evidence
from apricotpost.rollout import sequential

__all__ = [
    "RouteTrial",
    "close_slice",
    "collect",
    "lacks_usable_answers",
    "levels",
    "start",
]

# A slice with calls of the new version waits this long for calls of the old
# one. A longer slice would compare different periods.
MAX_SLICE_SECONDS = 30.0
# Calls of the old version that its 90th percentile needs.
MIN_REFERENCE_CALLS = 20.0
# The percentile is taken over about this many recent calls.
REFERENCE_CALLS = 200.0
# Fraction of the old version's calls above the 90th percentile.
SLOW_FRACTION = 0.1
# If less than a quarter of the expected calls of the new version are counted
# on a route, after an allowance for chance, the new version answers the
# route differently: only successes and failures are counted, not 4xx or load
# shedding.
MIN_EXPECTED_RATIO = 0.25
EXPECTED_ALLOWANCE_CALLS = 8.0
# From this share on, the old version has too few calls to derive the expected
# calls of the new version from them.
REFERENCE_SHARE_LIMIT = 900
# Calls of the new version on a route, without any of the old version, from
# which on the route is taken for a new one.
MIN_NEW_ROUTE_CALLS = 20

FAILURE_TEST = sequential.TestParameters(
    excess_rates=(0.03, 0.15, 0.5, 0.95),
    allowance_per_call=0.005,
    initial_allowance=2.0,
    min_old_rate=0.002,
)
# A new route can only be compared with the old version's other routes, so
# more failures are allowed.
NEW_ROUTE_FAILURE_TEST = sequential.TestParameters(
    excess_rates=(0.2, 0.5, 0.95),
    allowance_per_call=0.05,
    initial_allowance=3.0,
    min_old_rate=0.01,
)
# Calls in a bucket above that of the old version's 90th percentile may be only
# 1 % slower, so only a large excess of such calls is evidence.
SLOWER = sequential.TestParameters(
    excess_rates=(0.5, 0.9),
    allowance_per_call=0.3,
    initial_allowance=2.0,
    min_old_rate=0.02,
)
# Calls two buckets above are at least 1.5 times slower.
MUCH_SLOWER = sequential.TestParameters(
    excess_rates=(0.1, 0.4, 0.9),
    allowance_per_call=0.05,
    initial_allowance=2.0,
    min_old_rate=0.02,
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RouteTrial:
    """State of the tests of one route, and calls of the present slice.

    Parameters
    ----------
    failures : TestState
        Test for failures.
    new_route : TestState
        Test for failures if the old version has no calls on the route.
    slower, much_slower : TestState
        Tests for slow calls, one and two buckets above the old version's
        90th percentile.
    new, old : Counts
        Calls of the present slice.
    slice_started_at : float
        Start of the present slice, Unix time in seconds.
    reference_latencies : tuple of float
        Latency counts of the old version before this slice, decayed so that
        old calls lose weight.
    new_calls, old_calls : int
        All calls so far.
    calls_in_step : int
        Calls of the new version since the last step.
    expected_calls : float
        Calls of the new version that are expected from those of the old
        one. Calls during the bake are left out: one call of the old version
        then stands for 49 of the new one, so the estimate is useless.
    """

    failures: sequential.TestState
    new_route: sequential.TestState
    slower: sequential.TestState
    much_slower: sequential.TestState
    new: evidence.Counts = evidence.Counts()
    old: evidence.Counts = evidence.Counts()
    slice_started_at: float = 0.0
    reference_latencies: tuple[float, ...] = ()
    new_calls: int = 0
    old_calls: int = 0
    calls_in_step: int = 0
    expected_calls: float = 0.0


def start(now: float) -> RouteTrial:
    """Return the state before the first call."""
    return RouteTrial(
        failures=sequential.start(FAILURE_TEST),
        new_route=sequential.start(NEW_ROUTE_FAILURE_TEST),
        slower=sequential.start(SLOWER),
        much_slower=sequential.start(MUCH_SLOWER),
        slice_started_at=now,
    )


def collect(
    trial: RouteTrial, new: evidence.Counts, old: evidence.Counts, share: int
) -> RouteTrial:
    """Add calls to the present slice."""
    expected_calls = 0.0
    if share < REFERENCE_SHARE_LIMIT:
        expected_calls = old.calls * share / (model.TOTAL_SHARE - share)
    return dataclasses.replace(
        trial,
        new=evidence.add(trial.new, new),
        old=evidence.add(trial.old, old),
        new_calls=trial.new_calls + new.calls,
        old_calls=trial.old_calls + old.calls,
        calls_in_step=trial.calls_in_step + new.calls,
        expected_calls=trial.expected_calls + expected_calls,
    )


def close_slice(
    trial: RouteTrial, pooled: evidence.Counts, *, baking: bool, now: float
) -> RouteTrial:
    """Test the present slice once both versions have calls in it.

    On a new route, ``pooled`` takes the place of the old version's calls:
    its calls on all routes that it answers.
    """
    is_new_route = (
        not trial.old_calls and trial.new_calls >= MIN_NEW_ROUTE_CALLS
    )
    if is_new_route and pooled.calls:
        return _test_new_route(trial, pooled, now)
    if trial.new.calls and trial.old.calls:
        return _test_slice(trial, baking=baking, now=now)
    # Calls of only one version are no evidence. They must not be compared
    # with calls of the other version from a later period.
    keep_waiting = (
        trial.new.calls and now - trial.slice_started_at <= MAX_SLICE_SECONDS
    )
    if keep_waiting:
        return trial
    return _start_slice(trial, now)


def levels(trial: RouteTrial) -> dict[str, float]:
    """Return the evidence levels against the new version by kind of event."""
    return {
        "failures": max(
            sequential.evidence_level(trial.failures),
            sequential.evidence_level(trial.new_route),
        ),
        "slow calls": max(
            sequential.evidence_level(trial.slower),
            sequential.evidence_level(trial.much_slower),
        ),
    }


def lacks_usable_answers(trial: RouteTrial) -> bool:
    """Return whether the new version has far fewer calls than expected.

    Only successes and failures count, so a route that the new version
    answers with 4xx, for example, lacks calls.
    """
    expected_calls = trial.expected_calls - EXPECTED_ALLOWANCE_CALLS
    return trial.new_calls < MIN_EXPECTED_RATIO * expected_calls


def _test_slice(trial: RouteTrial, *, baking: bool, now: float) -> RouteTrial:
    failures = sequential.update(
        trial.failures,
        FAILURE_TEST,
        sequential.Slice(
            new_calls=trial.new.calls,
            new_events=trial.new.failures,
            old_calls=trial.old.calls,
            old_events=trial.old.failures,
        ),
    )
    slower, much_slower = trial.slower, trial.much_slower
    percentile_bucket = _find_percentile_bucket(trial.reference_latencies)
    if percentile_bucket is not None:
        much_slower = sequential.update(
            much_slower, MUCH_SLOWER, _slow_slice(trial, percentile_bucket + 1)
        )
        # During the bake the new version gets 49 times the calls of the old
        # one, so a small difference in latency may come from the load.
        if not baking:
            slower = sequential.update(
                slower, SLOWER, _slow_slice(trial, percentile_bucket)
            )
    tested = dataclasses.replace(
        trial, failures=failures, slower=slower, much_slower=much_slower
    )
    return _start_slice(tested, now)


def _test_new_route(
    trial: RouteTrial, pooled: evidence.Counts, now: float
) -> RouteTrial:
    """Test failures on a route that the old version does not answer."""
    counts = sequential.Slice(
        new_calls=trial.new.calls,
        new_events=trial.new.failures,
        old_calls=pooled.calls,
        old_events=pooled.failures,
    )
    new_route = sequential.update(
        trial.new_route, NEW_ROUTE_FAILURE_TEST, counts
    )
    return _start_slice(dataclasses.replace(trial, new_route=new_route), now)


def _start_slice(trial: RouteTrial, now: float) -> RouteTrial:
    return dataclasses.replace(
        trial,
        new=evidence.Counts(),
        old=evidence.Counts(),
        slice_started_at=now,
        reference_latencies=_add_decayed(
            trial.reference_latencies, trial.old.latencies
        ),
    )


def _add_decayed(
    reference_latencies: tuple[float, ...], latencies: tuple[int, ...]
) -> tuple[float, ...]:
    if not latencies:
        return reference_latencies
    decay = max(1 - sum(latencies) / REFERENCE_CALLS, 0.0)
    length = max(len(reference_latencies), len(latencies))
    padded = reference_latencies + (0.0,) * (length - len(reference_latencies))
    added = latencies + (0,) * (length - len(latencies))
    return tuple(
        decay * weight + count
        for weight, count in zip(padded, added, strict=True)
    )


def _find_percentile_bucket(
    reference_latencies: tuple[float, ...],
) -> int | None:
    """Return the bucket of the old version's 90th percentile.

    It is None if there are too few calls.
    """
    total = sum(reference_latencies)
    if total < MIN_REFERENCE_CALLS:
        return None
    above = 0.0
    for bucket in range(len(reference_latencies) - 1, -1, -1):
        above += reference_latencies[bucket]
        if above > SLOW_FRACTION * total:
            return bucket
    return 0


def _slow_slice(trial: RouteTrial, percentile_bucket: int) -> sequential.Slice:
    return sequential.Slice(
        new_calls=sum(trial.new.latencies),
        new_events=sum(trial.new.latencies[percentile_bucket + 1 :]),
        old_calls=sum(trial.old.latencies),
        old_events=sum(trial.old.latencies[percentile_bucket + 1 :]),
    )
