"""Windows of completions of a backend server, relative to uncongested ones.

Each completion counts as a multiple of its route's own uncongested time, so
that a change in the mix of routes is not taken for a slower server.
"""

import dataclasses
import statistics

__all__ = [
    "Completions",
    "Window",
    "discard",
    "open_window",
    "record_finish",
    "record_start",
    "scale_slowness",
]

# A window of completions ends after this time if it has this many; a window
# that has too few after the maximum is incomplete.
WINDOW_SECONDS = 0.5
MAX_WINDOW_SECONDS = 4.0
MIN_SAMPLES = 8
# A completion counts as at most this multiple of the uncongested time.
MAX_RATIO = 6.0
# Weights of a completion in the uncongested time of its route, and in the
# common factor of all routes. Only completions at low concurrency count:
# otherwise, lasting overload would pass for the usual time.
ROUTE_WEIGHT = 0.02
SLOWNESS_WEIGHT = 0.08
# Weight in the common factor of a window that is faster than uncongested.
FASTER_WEIGHT = 0.3
SLOWNESS_BOUNDS = (0.001, 1000.0)
MIN_UNCONGESTED_MS = 0.1
# Completions behind the first estimate of the uncongested time of a route.
FIRST_SAMPLES = 12
# Concurrency up to which a completion counts as uncongested, as a fraction of
# the slots, and at least.
LOW_FRACTION = 0.3
MIN_LOW_RUNNING = 2.0
# Weight of a completion in the mean service time.
MEAN_WEIGHT = 0.1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Moment:
    """A time in seconds, and the integral of the concurrency until then."""

    at: float
    area: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Window:
    """Completions of a short time.

    Parameters
    ----------
    ratio : float
        Mean latency as a multiple of the uncongested latency.
    running : float
        Mean number of running requests.
    complete : bool
        Whether there were enough completions, so that the ratio is valid.
    """

    ratio: float
    running: float
    complete: bool = True

    @property
    def parallel(self) -> float:
        """Throughput, in uncongested requests that run at the same time."""
        return self.running / max(self.ratio, 0.01)


class Completions:
    """State of the measurement.

    Parameters
    ----------
    slots : int
        Requests that the backend server runs at the same time.
    now : float
        Monotonic time, in seconds.
    """

    def __init__(self, *, slots: int, now: float) -> None:
        self.slots = slots
        self.started: dict[str, Moment] = {}
        self.area = 0.0
        self.area_at = now
        self.mean_ms = 0.0
        # Uncongested time of each route, the number of completions behind
        # it, and the factor by which the server is slower on all routes.
        self.route_ms: dict[str, float] = {}
        self.route_samples: dict[str, int] = {}
        self.slowness = 1.0
        # Completions at low concurrency.
        self.low_samples = 0
        # Current window: its ratios, its start, and when it may start.
        self.ratios: list[float] = []
        self.opened = Moment(at=now, area=0.0)
        self.changed_at = now


def record_start(state: Completions, call: str, now: float) -> None:
    """Record that a request is started."""
    _advance(state, now)
    state.started[call] = Moment(at=now, area=state.area)


def discard(state: Completions, call: str, now: float) -> None:
    """Record the end of a request whose time says nothing."""
    _advance(state, now)
    state.started.pop(call, None)


def open_window(state: Completions, now: float) -> None:
    """Start a window at a monotonic time in seconds."""
    _advance(state, now)
    state.ratios = []
    state.opened = Moment(at=now, area=state.area)


def record_finish(
    state: Completions,
    call: str,
    *,
    route: str,
    ran_ms: float,
    warm_at: float,
    now: float,
) -> Window | None:
    """Record a completion, and return the window if it ends.

    Parameters
    ----------
    state : Completions
        State of the measurement.
    call : str
        Identifier of the attempt.
    route : str
        Route of the request.
    ran_ms : float
        Service time, in milliseconds.
    warm_at : float
        End of the cold time. Requests that start before it take longer for
        this reason.
    now : float
        Monotonic time, in seconds.
    """
    _advance(state, now)
    started = state.started.pop(call, None)
    if started is None or now <= started.at:
        return None
    state.mean_ms += MEAN_WEIGHT * (ran_ms - state.mean_ms)
    if started.at < warm_at or now < state.changed_at + state.mean_ms / 1000.0:
        # Soon after a change of the limit, requests end that ran at the
        # previous one, or those that are shorter than others.
        open_window(state, now)
        return None
    running = (state.area - started.area) / (now - started.at)
    ratio = _record_ratio(state, route, ran_ms, running)
    state.ratios.append(min(ratio, MAX_RATIO))
    seconds = now - state.opened.at
    complete = seconds >= WINDOW_SECONDS and len(state.ratios) >= MIN_SAMPLES
    if not complete and seconds <= MAX_WINDOW_SECONDS:
        return None
    window = Window(
        ratio=statistics.fmean(state.ratios),
        running=(state.area - state.opened.area) / seconds,
        complete=complete,
    )
    open_window(state, now)
    if complete and window.ratio < 1.0:
        # A crowded server is never faster than an uncongested one.
        scale_slowness(state, 1.0 + FASTER_WEIGHT * (window.ratio - 1.0))
    return window


def _advance(state: Completions, now: float) -> None:
    state.area += len(state.started) * max(now - state.area_at, 0.0)
    state.area_at = max(now, state.area_at)


def scale_slowness(state: Completions, factor: float) -> None:
    """Multiply the uncongested time of all routes by a factor."""
    low, high = SLOWNESS_BOUNDS
    state.slowness = min(max(state.slowness * factor, low), high)


def _record_ratio(
    state: Completions, route: str, ran_ms: float, running: float
) -> float:
    """Return the latency as a multiple of the uncongested latency."""
    samples = state.route_samples.get(route, 0)
    known_ms = state.route_ms.get(route, ran_ms / state.slowness)
    ratio = ran_ms / max(known_ms * state.slowness, MIN_UNCONGESTED_MS)
    low = running <= max(state.slots * LOW_FRACTION, MIN_LOW_RUNNING)
    if low or samples < FIRST_SAMPLES:
        state.route_samples[route] = samples = samples + 1
        state.low_samples += low
        weight = max(ROUTE_WEIGHT, 1.0 / samples)
        state.route_ms[route] = known_ms + weight * (
            min(ran_ms / state.slowness, MAX_RATIO * known_ms) - known_ms
        )
    if low and samples > FIRST_SAMPLES:
        scale_slowness(state, 1.0 + SLOWNESS_WEIGHT * (min(ratio, 3.0) - 1.0))
    return ratio
