"""Sequential probability ratio test of two versions at the same time.

An event is a failed or a slow call. Calls are compared in slices that cover
the same period for both versions. If the new version is no worse, both have
the same event rate within a slice, whatever that rate is. The alternative
hypothesis gives each version a rate of its own; its likelihood is divided by
that of the common rate which is the mean of the two, weighted by calls. The
expectation of this ratio is at most 1 for every common rate, so a slowdown
of both versions is no evidence. The product over all slices exceeds
``1 / FALSE_ALARM_RATE`` with a probability of at most ``FALSE_ALARM_RATE``.

References
----------
Wald, Sequential Tests of Statistical Hypotheses, Ann. Math. Stat. 16 (1945).
Turner, Ly, Grünwald, Generic E-variables for exact sequential k-sample
tests that allow for optional stopping, arXiv:2106.02693 (2021).
"""

import dataclasses
import math

__all__ = [
    "ALARM_LEVEL",
    "FALSE_ALARM_RATE",
    "MISS_RATE",
    "Slice",
    "TestParameters",
    "TestState",
    "evidence_level",
    "start",
    "update",
]

FALSE_ALARM_RATE = 1e-4
MISS_RATE = 1e-2
# Wald's boundaries of the logarithm of the likelihood ratio. A test that
# reaches the lower one stays there instead of ending, so that a fault that
# begins later is still found.
ALARM_LEVEL = math.log((1 - MISS_RATE) / FALSE_ALARM_RATE)
LOWER_BOUNDARY = math.log(MISS_RATE / (1 - FALSE_ALARM_RATE))
# Largest increase of the logarithm in one slice. Gates report at different
# moments of a second, so a fault of both versions may appear in the counts
# of one version up to two slices before the other. Two slices alone must
# therefore not raise the alarm.
MAX_SLICE_GAIN = 0.45 * ALARM_LEVEL
# The old version's event rate is estimated from about this many recent
# calls. A window of calls, not of time, keeps the estimate precise when
# there are few calls a second.
RATE_HISTORY_CALLS = 200.0
MAX_ALLOWANCE_EVENTS = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TestParameters:
    """Parameters of one test.

    Parameters
    ----------
    excess_rates : tuple of float
        Alternative hypotheses: probability that a call of the new version
        has an event where the same call of the old version has none.
    allowance_per_call : float
        Events of the new version that are ignored, per call.
    initial_allowance : float
        Events of the new version that are ignored in addition, once.
    min_old_rate : float
        Lowest event rate assumed for the old version.
    """

    excess_rates: tuple[float, ...]
    allowance_per_call: float
    initial_allowance: float
    min_old_rate: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Slice:
    """Calls and events of both versions over the same period."""

    new_calls: int
    new_events: int
    old_calls: int
    old_events: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TestState:
    """State of one sequential test.

    Parameters
    ----------
    log_ratios : tuple of float
        Logarithm of the likelihood ratio for each alternative.
    allowance : float
        Events of the new version that may still be ignored.
    old_calls, old_events : float
        Calls and events of the old version, decayed so that old ones lose
        weight.
    """

    log_ratios: tuple[float, ...]
    allowance: float
    old_calls: float = 0.0
    old_events: float = 0.0


def start(parameters: TestParameters) -> TestState:
    """Return the state before the first call."""
    return TestState(
        log_ratios=(0.0,) * len(parameters.excess_rates),
        allowance=parameters.initial_allowance,
    )


def update(
    state: TestState, parameters: TestParameters, counts: Slice
) -> TestState:
    """Return the state after one slice.

    The alternatives must be fixed before the slice is evaluated, so the
    rate of the old version is estimated from earlier slices only.
    """
    allowance = (
        state.allowance + parameters.allowance_per_call * counts.new_calls
    )
    ignored = min(counts.new_events, int(allowance))
    allowance = min(
        allowance - ignored,
        max(MAX_ALLOWANCE_EVENTS, parameters.initial_allowance),
    )
    counted = dataclasses.replace(
        counts, new_events=counts.new_events - ignored
    )
    rate = _estimate_old_rate(state, parameters)
    log_ratios = tuple(
        max(
            log_ratio
            + min(
                _log_likelihood_ratio(counted, rate, excess), MAX_SLICE_GAIN
            ),
            LOWER_BOUNDARY,
        )
        for log_ratio, excess in zip(
            state.log_ratios, parameters.excess_rates, strict=True
        )
    )
    decay = max(1 - counts.old_calls / RATE_HISTORY_CALLS, 0.0)
    return TestState(
        log_ratios=log_ratios,
        allowance=allowance,
        old_calls=decay * state.old_calls + counts.old_calls,
        old_events=decay * state.old_events + counts.old_events,
    )


def evidence_level(state: TestState) -> float:
    """Return the log-likelihood ratio for a worse new version.

    At `ALARM_LEVEL` or above, the new version counts as worse.

    The false alarm rate holds for the mean of the alternatives' likelihood
    ratios. The largest one, divided by the number of alternatives, is a
    lower bound of that mean.
    """
    return max(state.log_ratios) - math.log(len(state.log_ratios))


def _estimate_old_rate(state: TestState, parameters: TestParameters) -> float:
    rate = (state.old_events + 0.5) / (state.old_calls + 1.0)
    return min(max(rate, parameters.min_old_rate), 0.95)


def _log_likelihood_ratio(
    counts: Slice, old_rate: float, excess: float
) -> float:
    calls = counts.new_calls + counts.old_calls
    if not counts.new_calls or not counts.old_calls:
        return 0.0
    new_rate = 1 - (1 - old_rate) * (1 - excess)
    common_rate = (
        counts.new_calls * new_rate + counts.old_calls * old_rate
    ) / calls
    return _log_likelihood(
        counts.new_calls, counts.new_events, new_rate, common_rate
    ) + _log_likelihood(
        counts.old_calls, counts.old_events, old_rate, common_rate
    )


def _log_likelihood(
    calls: int, events: int, rate: float, common_rate: float
) -> float:
    return events * math.log(rate / common_rate) + (calls - events) * math.log(
        (1 - rate) / (1 - common_rate)
    )
