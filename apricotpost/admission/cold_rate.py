"""Rate of requests to a cold backend server.

A backend server that has just started gets a limited number of requests in
each sliding window until the end of its cold time.
"""

import collections

__all__ = [
    "WINDOW_SECONDS",
    "ColdRate",
    "capacity",
    "is_limited",
    "next_capacity_at",
    "record_cold_time",
    "record_send",
    "set_cold_rate",
]

# Length of the sliding window in which the requests sent to a cold backend
# server are counted.
WINDOW_SECONDS = 1.0
# A backend server states the rest of its cold time in whole milliseconds, and
# the event loop's clock is that of the start of its turn. A server that is
# taken for warm too early gets all its slots filled beyond the rate.
END_MARGIN_SECONDS = 0.1
# Fraction of the allowed slack that is used in a window. The rest is room for
# requests that reach the backend server late and fall into the next window.
SLACK_FRACTION = 0.5


class ColdRate:
    """State of the rate limit of one backend server."""

    def __init__(self) -> None:
        self.until = 0.0
        self.rate = 0.0
        # Requests that may be sent in each window while the server is cold.
        self.limit = 0
        # Requests that were started and are not sent yet, and the times at
        # which others were sent in the current window.
        self.unsent: set[str] = set()
        self.recent_sends: collections.deque[float] = collections.deque()


def is_limited(state: ColdRate, now: float) -> bool:
    """Tell whether the backend server is cold and has a rate."""
    return now < state.until and state.rate > 0


def next_capacity_at(state: ColdRate, now: float) -> float | None:
    """Return when the next request may be sent if none may be now."""
    if now < state.until and state.recent_sends and not capacity(state, now):
        return state.recent_sends[0] + WINDOW_SECONDS
    return None


def set_cold_rate(
    state: ColdRate, *, rate: float, ratio: float, slack: float
) -> None:
    """Set how many requests a cold backend server gets in each window.

    Parameters
    ----------
    state : ColdRate
        State of the rate limit.
    rate : float
        Requests a second that a cold backend server can process; 0 if it is
        not limited.
    ratio : float
        Multiple of the rate that is allowed.
    slack : float
        Requests in a window that are allowed beyond it.
    """
    state.rate = rate
    state.limit = max(int(rate * ratio + slack * SLACK_FRACTION), 1)


def record_cold_time(
    state: ColdRate, *, remaining_ms: float, now: float
) -> None:
    """Record how long the backend server says that it remains cold.

    Parameters
    ----------
    state : ColdRate
        State of the rate limit.
    remaining_ms : float
        Rest of the cold time in milliseconds; 0 if the server is warm.
    now : float
        Time of the statement, in seconds of the monotonic clock.
    """
    margin_ends_at = now + END_MARGIN_SECONDS
    if remaining_ms > 0:
        state.until = margin_ends_at + remaining_ms / 1000.0
    else:
        state.until = min(state.until, margin_ends_at)


def capacity(state: ColdRate, now: float) -> int:
    """Return how many more requests may be sent to a cold server now."""
    _discard_old_sends(state, now)
    sent = len(state.recent_sends) + len(state.unsent)
    return max(state.limit - sent, 0)


def record_send(state: ColdRate, call: str, now: float) -> None:
    """Record that a started request is sent to the backend server.

    A new connection takes time to open, so that requests which were started
    in different windows could arrive in one.

    Parameters
    ----------
    state : ColdRate
        State of the rate limit.
    call : str
        Identifier of the attempt.
    now : float
        Time of the send, in seconds of the monotonic clock. The event loop's
        clock is not exact enough, as it stands still during a turn.
    """
    state.unsent.discard(call)
    state.recent_sends.append(now)
    _discard_old_sends(state, now)


def _discard_old_sends(state: ColdRate, now: float) -> None:
    while state.recent_sends and now - state.recent_sends[0] >= WINDOW_SECONDS:
        state.recent_sends.popleft()
