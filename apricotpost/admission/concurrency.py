"""Concurrency limit of a backend server, learnt from its completions.

A backend server may slow down long before its declared slots are in use. The
limit follows the ratio of current to uncongested latency, as gradient limiters
do, and each reduction is a trial: if the throughput falls with the limit, the
server has become slower and is not crowded, and the reduction is taken back.
`docs/decisions/0014-learnt-concurrency.md` compares this with other methods.
"""

import collections
import dataclasses
import enum
import statistics

from apricotpost.admission import completions

__all__ = [
    "LearntLimit",
    "Reason",
    "current",
    "discard_start",
    "record_finish",
    "record_reset",
    "record_start",
]

# Windows whose median shows that a server is crowded, so that noise of 600 ms
# is not taken for it, and windows whose median shows the effect of a trial.
CROWDED_WINDOWS = 5
TRIAL_WINDOWS = 3
# Completions at low concurrency without which the limit is not lowered.
MIN_LOW_SAMPLES = 12
# The limit matters only if this fraction of it is in use.
SATURATED_FRACTION = 0.85
# A server is crowded above this ratio of latency, and is not crowded below
# the lower one.
CROWDED_RATIO = 1.55
UNCROWDED_RATIO = 1.2
# The limit is lowered to this multiple of the throughput.
TARGET_RATIO = 1.2
# Largest reduction in one step, for a crowded server and for one with a ratio
# of at least `VERY_CROWDED_RATIO`, and largest increase.
MIN_STEP_FACTOR = 0.75
MIN_LARGE_STEP_FACTOR = 0.6
VERY_CROWDED_RATIO = 2.0
MAX_STEP_FACTOR = 1.15
# Part of the reduction by which the throughput may fall: at a fall in
# proportion the reduction is useless. It is smaller below `FLOOR_FRACTION`
# of the slots.
MAX_LOSS = 0.4
MAX_LOSS_BELOW_FLOOR = 0.3
FLOOR_FRACTION = 0.5
# Part of an increase by which the throughput has to rise.
MIN_GAIN = 0.7
# Time between trials of a higher limit at a crowded server, and between trials
# of a lower limit. It doubles up to the maximum while they fail.
PROBE_SECONDS = 5.0
MAX_PROBE_SECONDS = 20.0
REDUCE_SECONDS = 6.0
MAX_REDUCE_SECONDS = 90.0
# Time in which the limit grows by one while it is not in use.
IDLE_REGROWTH_SECONDS = 4.0
# Resets of connections lower the limit from the second on, and only if there
# are this many times more at a full server than at others. The counts halve in
# `RESET_HALF_LIFE_SECONDS`. A server that crashes resets all connections; it
# lowers the limit once in `RESET_SECONDS`, in which the limit does not grow.
MIN_RESETS = 1.5
MIN_FULL_RESET_RATIO = 3.0
RESET_HALF_LIFE_SECONDS = 5.0
RESET_SECONDS = 2.0


class Reason(enum.StrEnum):
    """Reason of the last change of the limit."""

    START = "start"
    CROWDED = "crowded"
    THROUGHPUT_FELL = "throughput-fell"
    UNCROWDED = "uncrowded"
    PROBE = "probe"
    NO_GAIN = "no-gain"
    UNUSED = "unused"
    OVERLOADED = "overloaded"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """A change of the limit whose effect is not known yet.

    Parameters
    ----------
    previous : float
        Limit before.
    parallel : float
        Throughput before.
    """

    previous: float
    parallel: float


class Resets:
    """Decayed counts of the connections that the server has reset."""

    def __init__(self) -> None:
        self.full = 0.0
        self.other = 0.0
        self.at = 0.0
        self.lowered_at = -RESET_SECONDS


class LearntLimit:
    """State of the limit of one incarnation of a backend server.

    Parameters
    ----------
    slots : int
        Requests that it runs at the same time; the limit at the start.
    now : float
        Monotonic time, in seconds.
    """

    def __init__(self, *, slots: int, now: float) -> None:
        self.slots = slots
        self.limit = float(slots)
        self.changed_at = now
        self.reason = Reason.START
        self.completions = completions.Completions(slots=slots, now=now)
        self.windows: collections.deque[completions.Window] = (
            collections.deque(maxlen=CROWDED_WINDOWS)
        )
        self.trial: Trial | None = None
        # Earliest next trials of a higher and of a lower limit.
        self.probe_at = now + PROBE_SECONDS
        self.probe_seconds = PROBE_SECONDS
        self.reduce_at = now
        self.reduce_seconds = REDUCE_SECONDS
        self.resets = Resets()


def current(state: LearntLimit) -> int:
    """Return how many requests the server handles well at the same time."""
    return max(min(round(state.limit), state.slots), 1)


def record_start(state: LearntLimit, call: str, now: float) -> None:
    """Record that a request is started."""
    completions.record_start(state.completions, call, now)


def discard_start(state: LearntLimit, call: str, now: float) -> None:
    """Record the end of a request whose time says nothing."""
    completions.discard(state.completions, call, now)


def record_finish(
    state: LearntLimit,
    call: str,
    *,
    route: str,
    ran_ms: float,
    now: float,
    warm_at: float = 0.0,
) -> None:
    """Record the completion of a request and adjust the limit.

    Parameters
    ----------
    state : LearntLimit
        State of the limit.
    call : str
        Identifier of the attempt.
    route : str
        Route of the request.
    ran_ms : float
        Service time, in milliseconds.
    now : float
        Monotonic time, in seconds.
    warm_at : float
        End of the cold time. Requests that start before it take longer for
        this reason.
    """
    window = completions.record_finish(
        state.completions,
        call,
        route=route,
        ran_ms=ran_ms,
        warm_at=warm_at,
        now=now,
    )
    if window is None:
        return
    if window.complete:
        state.windows.append(window)
        _adjust(state, now)
    else:
        _regrow_unused(state, window.running, now)


def record_reset(
    state: LearntLimit, *, running: int, full: bool, now: float
) -> None:
    """Lower the limit if the server resets connections when it is full.

    Parameters
    ----------
    state : LearntLimit
        State of the limit.
    running : int
        Number of other requests that were running.
    full : bool
        Whether the limit was almost reached.
    now : float
        Monotonic time, in seconds.
    """
    resets = state.resets
    decay = 0.5 ** ((now - resets.at) / RESET_HALF_LIFE_SECONDS)
    resets.at = now
    resets.full = resets.full * decay + float(full)
    resets.other = resets.other * decay + float(not full)
    if (
        resets.full < MIN_RESETS
        or resets.other * MIN_FULL_RESET_RATIO > resets.full
        or now - resets.lowered_at < RESET_SECONDS
    ):
        return
    resets.lowered_at = now
    lowest = min(max(state.slots * FLOOR_FRACTION, 1.0), state.limit)
    state.trial = None
    limit = max(min(state.limit, float(running)), lowest)
    _change(state, limit, Reason.OVERLOADED, now)


def _adjust(state: LearntLimit, now: float) -> None:
    count = CROWDED_WINDOWS
    if state.trial is not None or state.reason is Reason.CROWDED:
        count = TRIAL_WINDOWS
    if len(state.windows) < count:
        return
    ratio = statistics.median(w.ratio for w in state.windows)
    running = statistics.fmean(w.running for w in state.windows)
    parallel = statistics.median(w.parallel for w in state.windows)
    if running < SATURATED_FRACTION * current(state):
        state.trial = None
        _regrow_unused(state, running, now)
    elif state.trial is not None:
        _judge(state, state.trial, ratio, parallel, now)
    elif now - state.resets.lowered_at >= RESET_SECONDS:
        _step(state, ratio, parallel, now)


def _regrow_unused(state: LearntLimit, running: float, now: float) -> None:
    if (
        running < SATURATED_FRACTION * current(state)
        and now - state.changed_at > IDLE_REGROWTH_SECONDS
    ):
        _change(state, state.limit + 1.0, Reason.UNUSED, now)


def _step(
    state: LearntLimit, ratio: float, parallel: float, now: float
) -> None:
    """Change the limit by one step if there is a reason."""
    higher = max(state.limit * MAX_STEP_FACTOR, state.limit + 1.0)
    step_factor = MIN_STEP_FACTOR
    if ratio >= VERY_CROWDED_RATIO:
        step_factor = MIN_LARGE_STEP_FACTOR
    lower = min(
        max(parallel * TARGET_RATIO, state.limit * step_factor),
        state.limit - 1.0,
    )
    trial = Trial(previous=state.limit, parallel=parallel)
    if ratio < UNCROWDED_RATIO:
        _change(state, higher, Reason.UNCROWDED, now)
    elif now >= state.probe_at and state.limit < state.slots:
        state.trial = trial
        _change(state, higher, Reason.PROBE, now)
    elif (
        ratio > CROWDED_RATIO
        and state.completions.low_samples >= MIN_LOW_SAMPLES
        and now >= state.reduce_at
        and lower >= 1.0
    ):
        state.trial = trial
        _change(state, lower, Reason.CROWDED, now)


def _judge(
    state: LearntLimit, trial: Trial, ratio: float, parallel: float, now: float
) -> None:
    """Keep a change of the limit, or take it back."""
    state.trial = None
    step = state.limit / trial.previous - 1.0
    change = parallel / max(trial.parallel, 0.01) - 1.0
    if step > 0.0:
        if change < MIN_GAIN * step:
            state.probe_seconds = min(
                state.probe_seconds * 2.0, MAX_PROBE_SECONDS
            )
            _change(state, trial.previous, Reason.NO_GAIN, now)
        else:
            state.probe_seconds = PROBE_SECONDS
        state.probe_at = now + state.probe_seconds
        return
    max_loss = MAX_LOSS
    if state.limit < state.slots * FLOOR_FRACTION:
        max_loss = MAX_LOSS_BELOW_FLOOR
    if change < max_loss * step:
        # The server is slower, and not crowded.
        completions.scale_slowness(state.completions, max(ratio, 1.0))
        state.completions.low_samples = MIN_LOW_SAMPLES
        state.reduce_at = now + state.reduce_seconds
        state.reduce_seconds = min(
            state.reduce_seconds * 2.0, MAX_REDUCE_SECONDS
        )
        _change(state, trial.previous, Reason.THROUGHPUT_FELL, now)
    else:
        state.reduce_seconds = REDUCE_SECONDS
        state.probe_at = now + state.probe_seconds


def _change(
    state: LearntLimit, limit: float, reason: Reason, now: float
) -> None:
    limit = min(max(limit, 1.0), float(state.slots))
    if limit == state.limit:
        return
    state.limit = limit
    state.reason = reason
    state.changed_at = state.completions.changed_at = now
    state.windows.clear()
    completions.open_window(state.completions, now)
