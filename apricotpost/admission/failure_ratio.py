"""Fraction of the recent requests of a backend server that failed."""

__all__ = ["HALF_LIFE_SECONDS", "FailureRatio", "recent", "record"]

# Weight of a request in the ratio.
WEIGHT = 0.08
# The ratio halves in this time while no request ends.
HALF_LIFE_SECONDS = 3.0


class FailureRatio:
    """The ratio at a monotonic time, in seconds."""

    def __init__(self) -> None:
        self.ratio = 0.0
        self.at = 0.0


def record(state: FailureRatio, *, failed: bool, now: float) -> None:
    """Record whether a request failed."""
    ratio = recent(state, now)
    state.ratio = ratio + WEIGHT * (float(failed) - ratio)
    state.at = now


def recent(state: FailureRatio, now: float) -> float:
    """Return the fraction of recent requests that failed.

    The ratio decays while no request ends, so that callers retry a server
    that they have avoided because of its failures.
    """
    age = max(now - state.at, 0.0)
    decayed: float = state.ratio * 0.5 ** (age / HALF_LIFE_SECONDS)
    return decayed
