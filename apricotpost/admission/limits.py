"""Adaptive concurrency limit of the local backend server."""

from collections.abc import Mapping
import dataclasses

__all__ = [
    "average_ms",
    "COLD_LIMIT",
    "Limit",
    "record_cold",
    "record_lost",
    "record_overload",
    "record_success",
    "record_cold_report",
    "set_slots",
    "start",
]

# Limit at a cold start, and the lowest limit, in calls.
COLD_LIMIT = 1.0
# A backend server that reports itself cold gets at most this fraction of its
# slots. The report may be wrong, so it is ignored after this time since the
# cold start.
COLD_SLOTS_FRACTION = 0.25
COLD_REPORT_SECONDS = 60.0
# After this many slow calls in a row, a backend server counts as cold again.
SLOW_CALLS_BEFORE_RESET = 3
SLOW_LATENCY_RATIO = 3.0
# Shorter latencies never count as slow, because three times the average is
# noise there: on a busy machine, calls that usually take 5 ms took 22 ms at
# the 99th percentile.
MIN_SLOW_MS = 20.0
# Weight of a new measurement in the average latency of a route.
LATENCY_WEIGHT = 0.05
# The limit is halved at most once in this time, so that a burst of failures
# does not reduce it to one.
MIN_HALVING_INTERVAL_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """How many calls the backend server may run at the same time.

    Parameters
    ----------
    value : float
        Limit; a call is started while fewer than its integer part are running.
    slots : int
        Announced slots of the backend server, the upper bound of the limit.
    cold : bool
        Whether the limit is still rising after a cold start.
    usual_ms : mapping
        Moving average of latencies in milliseconds, by route.
    consecutive_slow : int
        Number of slow completions in a row.
    halved_at : float
        Time of the last halving, in seconds of the monotonic clock.
    reports_cold : bool
        Whether the backend server's last response reported it as cold.
    cold_at : float
        Time of the last cold start, in seconds of the monotonic clock.
    """

    value: float
    slots: int
    cold: bool
    usual_ms: Mapping[str, float] = dataclasses.field(default_factory=dict)
    consecutive_slow: int = 0
    halved_at: float = float("-inf")
    reports_cold: bool = False
    cold_at: float = float("-inf")


def start(*, slots: int, cold: bool, now: float = 0.0) -> Limit:
    """Return the limit of a backend server that was just announced.

    A server that reports itself warm starts at half of its slots, because
    the report may be wrong. The other half follows with the first responses.
    """
    value = COLD_LIMIT if cold else max(slots / 2, COLD_LIMIT)
    return Limit(
        value=value, slots=slots, cold=True, reports_cold=cold, cold_at=now
    )


def set_slots(limit: Limit, slots: int) -> Limit:
    """Set the number of slots and cap the limit at it."""
    return dataclasses.replace(
        limit, slots=slots, value=min(limit.value, float(slots))
    )


def record_success(
    limit: Limit, route: str, duration_ms: float, now: float
) -> Limit:
    """Update the limit after a successful call.

    Parameters
    ----------
    limit : Limit
        Limit before the call finished.
    route : str
        Route of the call; the average latency is kept by route.
    duration_ms : float
        Time that the backend server took, in milliseconds.
    now : float
        Monotonic clock in seconds.
    """
    usual_ms = limit.usual_ms.get(route, 0.0)
    if _is_slow(usual_ms, duration_ms):
        if limit.consecutive_slow + 1 >= SLOW_CALLS_BEFORE_RESET:
            return record_cold(limit, now)
        return dataclasses.replace(
            limit, consecutive_slow=limit.consecutive_slow + 1
        )
    # A round is as many successful calls as the limit. While cold, the limit
    # about doubles in a round; afterwards it grows by one.
    increase = 1.0 if limit.cold else 1.0 / limit.value
    max_value = max(_max_limit(limit, now), limit.value)
    value = min(limit.value + increase, max_value)
    return dataclasses.replace(
        limit,
        value=value,
        cold=limit.cold and value < limit.slots,
        usual_ms={**limit.usual_ms, route: _average(usual_ms, duration_ms)},
        consecutive_slow=0,
    )


def record_overload(limit: Limit, now: float) -> Limit:
    """Halve the limit after a shed or lost call or a refused connection."""
    if now - limit.halved_at < MIN_HALVING_INTERVAL_SECONDS:
        return limit
    return dataclasses.replace(
        limit,
        value=max(limit.value / 2, COLD_LIMIT),
        cold=False,
        halved_at=now,
    )


def record_lost(
    limit: Limit, route: str, duration_ms: float, now: float
) -> Limit:
    """Update the limit after a call without a complete response.

    A call that ended before the average latency of its route says nothing
    about the backend server: the caller's time-out was too short.
    """
    if duration_ms < limit.usual_ms.get(route, 0.0):
        return limit
    return record_overload(limit, now)


def record_cold_report(limit: Limit, reports_cold: bool, now: float) -> Limit:
    """Store the cold report of a response; a warm server may turn cold."""
    if reports_cold == limit.reports_cold:
        return limit
    if reports_cold and not limit.cold:
        limit = record_cold(limit, now)
    return dataclasses.replace(limit, reports_cold=reports_cold)


def record_cold(limit: Limit, now: float) -> Limit:
    """Restart the cold ramp at `COLD_LIMIT`."""
    return dataclasses.replace(
        limit,
        value=COLD_LIMIT,
        cold=True,
        usual_ms={},
        consecutive_slow=0,
        cold_at=now,
    )


def _max_limit(limit: Limit, now: float) -> float:
    if limit.reports_cold and now - limit.cold_at < COLD_REPORT_SECONDS:
        return max(limit.slots * COLD_SLOTS_FRACTION, COLD_LIMIT)
    return float(limit.slots)


def average_ms(limit: Limit) -> float:
    """Return the mean of the routes' average latencies, 0 if none is known."""
    if not limit.usual_ms:
        return 0.0
    return sum(limit.usual_ms.values()) / len(limit.usual_ms)


def _is_slow(usual_ms: float, duration_ms: float) -> bool:
    return (
        usual_ms > 0
        and duration_ms > MIN_SLOW_MS
        and duration_ms > SLOW_LATENCY_RATIO * usual_ms
    )


def _average(usual_ms: float, duration_ms: float) -> float:
    if not usual_ms:
        return duration_ms
    return usual_ms + LATENCY_WEIGHT * (duration_ms - usual_ms)
