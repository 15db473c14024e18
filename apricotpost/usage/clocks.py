"""Estimate of true time from clocks of which single ones may jump."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import statistics

__all__ = [
    "Estimate",
    "Reading",
    "combine_offsets",
    "find_suspension",
    "own_offset",
    "window_at",
]

# Clocks that differ by more than this do not agree on the window in which a
# request started; healthy ones differ by fractions of it.
AGREEMENT_MS = 1000.0
# Difference between the boot and the monotonic clock, or between two readings
# by a task that reads them every 0.1 s, that shows a suspension.
SUSPENDED_MS = 100.0
STALLED_MS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """Readings of three clocks of one machine at one time, in milliseconds."""

    wall_ms: float
    boot_ms: float
    monotonic_ms: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """Difference between true time and the boot clock.

    Parameters
    ----------
    offset_ms : float
        Milliseconds to add to the boot clock to get Unix time.
    trusted : bool
        Whether more than half of the clocks agree.
    """

    offset_ms: float
    trusted: bool


def own_offset(samples: Sequence[float]) -> float:
    """Return the offset of the wall clock from the boot clock.

    It is the median of samples over some minutes. A jump and its return are
    ignored unless the jump lasts for half of that time.
    """
    return statistics.median(samples)


def combine_offsets(own: float, others: Iterable[float]) -> Estimate:
    """Return true time from this node's offset and those of others.

    The median follows no single clock. Of two clocks that disagree neither is
    known to be right, so the result is not trusted.

    Parameters
    ----------
    own : float
        Result of `own_offset`.
    others : iterable of float
        Offset of each other node's clock from this node's boot clock, in
        milliseconds.
    """
    offsets = [own, *others]
    middle = statistics.median(offsets)
    agreeing = sum(abs(o - middle) <= AGREEMENT_MS for o in offsets)
    return Estimate(offset_ms=middle, trusted=2 * agreeing > len(offsets))


def find_suspension(before: Reading, after: Reading) -> bool:
    """Tell whether the process was suspended or stalled between readings.

    CLOCK_MONOTONIC stops while the machine is suspended, and only the time
    between the readings shows that a process was stopped.
    """
    boot_ms = after.boot_ms - before.boot_ms
    monotonic_ms = after.monotonic_ms - before.monotonic_ms
    return boot_ms - monotonic_ms > SUSPENDED_MS or boot_ms > STALLED_MS


def window_at(true_ms: float, window_ms: float) -> int:
    """Return the number of the window that contains a Unix time."""
    return int(true_ms // window_ms)
