"""Concurrency limit of the local backend server."""

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

# A cold backend server starts with one call at a time.
COLD_LIMIT = 1.0
# While it says that it is cold, it gets at most this part of its slots. Its
# word may mislead and counts only for so long after a cold start.
COLD_SHARE = 0.25
COLD_WORD_SECONDS = 60.0
# So many slow completions in a row show that a warm server turned cold.
SLOW_IN_A_ROW = 3
SLOW_FACTOR = 3.0
# Below this latency a factor of three is noise: on a busy machine, answers
# that usually take 5 ms took 22 ms at the 99th percentile.
SLOW_FLOOR_MS = 20.0
LATENCY_WEIGHT = 0.05
HALVE_PAUSE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Limit:
    """How many calls the backend server gets at once.

    Parameters
    ----------
    value : float
        Limit; calls are admitted below its integer part.
    slots : int
        Announced slots, the highest limit.
    cold : bool
        Whether the limit is still rising after a cold start.
    usual_ms : mapping
        Moving average of latencies in milliseconds, by route.
    slow : int
        Slow completions in a row.
    halved_at : float
        Last decrease, in seconds of the monotonic clock.
    reports_cold : bool
        Whether the last answer said that the backend server is cold.
    cold_at : float
        Last cold start, in seconds of the monotonic clock.
    """

    value: float
    slots: int
    cold: bool
    usual_ms: Mapping[str, float] = dataclasses.field(default_factory=dict)
    slow: int = 0
    halved_at: float = float("-inf")
    reports_cold: bool = False
    cold_at: float = float("-inf")


def start(*, slots: int, cold: bool, now: float = 0.0) -> Limit:
    """Return the limit of a backend server that was just announced.

    A server that calls itself warm starts at half of its slots: its word
    may mislead, and the other half comes with the first answers.
    """
    value = COLD_LIMIT if cold else max(slots / 2, COLD_LIMIT)
    return Limit(
        value=value, slots=slots, cold=True, reports_cold=cold, cold_at=now
    )


def set_slots(limit: Limit, slots: int) -> Limit:
    """Adopt a changed number of slots."""
    return dataclasses.replace(
        limit, slots=slots, value=min(limit.value, float(slots))
    )


def record_success(
    limit: Limit, route: str, duration_ms: float, now: float
) -> Limit:
    """Account for a successful completion.

    Parameters
    ----------
    limit : Limit
        Before.
    route : str
        Route of the call; routes differ in what is usual.
    duration_ms : float
        Time that the backend server took, in milliseconds.
    now : float
        Monotonic clock in seconds.
    """
    usual_ms = limit.usual_ms.get(route, 0.0)
    if _is_slow(usual_ms, duration_ms):
        if limit.slow + 1 >= SLOW_IN_A_ROW:
            return record_cold(limit, now)
        return dataclasses.replace(limit, slow=limit.slow + 1)
    # Doubles in about one round of answers while cold, then adds one.
    gain = 1.0 if limit.cold else 1.0 / limit.value
    highest = max(_highest(limit, now), limit.value)
    value = min(limit.value + gain, highest)
    return dataclasses.replace(
        limit,
        value=value,
        cold=limit.cold and value < limit.slots,
        usual_ms={**limit.usual_ms, route: _average(usual_ms, duration_ms)},
        slow=0,
    )


def record_overload(limit: Limit, now: float) -> Limit:
    """Halve the limit after a shed answer, a time-out or a refusal."""
    if now - limit.halved_at < HALVE_PAUSE_SECONDS:
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
    """Account for a call without a whole answer.

    One that ended before the usual time says nothing about the backend
    server: the caller gave it too little time.
    """
    if duration_ms < limit.usual_ms.get(route, 0.0):
        return limit
    return record_overload(limit, now)


def record_cold_report(limit: Limit, reports_cold: bool, now: float) -> Limit:
    """Account for what an answer says: a warm server may turn cold."""
    if reports_cold == limit.reports_cold:
        return limit
    if reports_cold and not limit.cold:
        limit = record_cold(limit, now)
    return dataclasses.replace(limit, reports_cold=reports_cold)


def record_cold(limit: Limit, now: float) -> Limit:
    """Return to the start of the cold ramp."""
    return dataclasses.replace(
        limit, value=COLD_LIMIT, cold=True, usual_ms={}, slow=0, cold_at=now
    )


def _highest(limit: Limit, now: float) -> float:
    if limit.reports_cold and now - limit.cold_at < COLD_WORD_SECONDS:
        return max(limit.slots * COLD_SHARE, COLD_LIMIT)
    return float(limit.slots)


def average_ms(limit: Limit) -> float:
    """Return the usual latency over all routes, 0 before the first."""
    if not limit.usual_ms:
        return 0.0
    return sum(limit.usual_ms.values()) / len(limit.usual_ms)


def _is_slow(usual_ms: float, duration_ms: float) -> bool:
    return (
        usual_ms > 0
        and duration_ms > SLOW_FLOOR_MS
        and duration_ms > SLOW_FACTOR * usual_ms
    )


def _average(usual_ms: float, duration_ms: float) -> float:
    if not usual_ms:
        return duration_ms
    return usual_ms + LATENCY_WEIGHT * (duration_ms - usual_ms)
