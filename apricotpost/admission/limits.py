"""Concurrency limit of the local backend server."""

import dataclasses

__all__ = [
    "COLD_LIMIT",
    "Limit",
    "note_cold",
    "note_fast",
    "note_overload",
    "start",
]

# A cold backend server starts with one call at a time.
COLD_LIMIT = 1.0
# So many slow completions in a row show that a warm server turned cold.
SLOW_IN_A_ROW = 3
SLOW_FACTOR = 3.0
# Below this latency a factor of three is noise of the machine.
SLOW_FLOOR_MS = 5.0
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
    usual_ms : float
        Moving average of latencies in milliseconds, 0 before the first.
    slow : int
        Slow completions in a row.
    halved_at : float
        Last decrease, in seconds of the monotonic clock.
    """

    value: float
    slots: int
    cold: bool
    usual_ms: float = 0.0
    slow: int = 0
    halved_at: float = float("-inf")


def start(*, slots: int, cold: bool) -> Limit:
    """Return the limit of a backend server that was just announced.

    A server that calls itself warm starts at half of its slots: its word
    may mislead, and the other half comes with the first answers.
    """
    value = COLD_LIMIT if cold else max(slots / 2, COLD_LIMIT)
    return Limit(value=value, slots=slots, cold=True)


def note_fast(limit: Limit, duration_ms: float) -> Limit:
    """Account for a successful completion.

    Parameters
    ----------
    limit : Limit
        Before.
    duration_ms : float
        Time that the backend server took, in milliseconds.
    """
    if _is_slow(limit, duration_ms):
        if limit.slow + 1 >= SLOW_IN_A_ROW:
            return note_cold(limit)
        return dataclasses.replace(limit, slow=limit.slow + 1)
    # Doubles in about one round of answers while cold, then adds one.
    gain = 1.0 if limit.cold else 1.0 / limit.value
    value = min(limit.value + gain, float(limit.slots))
    return dataclasses.replace(
        limit,
        value=value,
        cold=limit.cold and value < limit.slots,
        usual_ms=_average(limit.usual_ms, duration_ms),
        slow=0,
    )


def note_overload(limit: Limit, now: float) -> Limit:
    """Halve the limit after a shed answer, a time-out or a refusal."""
    if now - limit.halved_at < HALVE_PAUSE_SECONDS:
        return limit
    return dataclasses.replace(
        limit,
        value=max(limit.value / 2, COLD_LIMIT),
        cold=False,
        halved_at=now,
    )


def note_cold(limit: Limit) -> Limit:
    """Return to the start of the cold ramp."""
    return dataclasses.replace(
        limit, value=COLD_LIMIT, cold=True, usual_ms=0.0, slow=0
    )


def _is_slow(limit: Limit, duration_ms: float) -> bool:
    return (
        limit.usual_ms > 0
        and duration_ms > SLOW_FLOOR_MS
        and duration_ms > SLOW_FACTOR * limit.usual_ms
    )


def _average(usual_ms: float, duration_ms: float) -> float:
    if not usual_ms:
        return duration_ms
    return usual_ms + LATENCY_WEIGHT * (duration_ms - usual_ms)
