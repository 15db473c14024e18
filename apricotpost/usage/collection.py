"""Counts of all nodes, and when they suffice for the report of a window."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import enum

from apricotpost.usage import counts

__all__ = [
    "Assessment",
    "Collection",
    "Decision",
    "assess",
    "decide",
    "must_wait",
    "record",
]

# Windows and messages that are kept: the open one, two that are due, one
# before them for comparison, and two more for slow nodes. The largest
# deployment has 1,243 nodes.
MAX_WINDOWS = 6
MAX_MESSAGES = 4000
# Part of `late_seconds` after which the counts are used if at most half of
# the tolerance, or the whole of it, is missing. Committing and sending take
# the rest.
FIRST_WAIT = 0.35
SECOND_WAIT = 0.55
LAST_WAIT = 0.75


class Decision(enum.Enum):
    """What to do with a window."""

    WAIT = enum.auto()
    COMMIT = enum.auto()
    GIVE_UP = enum.auto()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Assessment:
    """Counts of a window, and an estimate of what is missing.

    Parameters
    ----------
    counts : mapping
        Number of started requests of each tenant.
    waiting : tuple of str
        Nodes whose counts have not arrived.
    missing_ratio : float
        Estimated part of the requests that is missing.
    """

    counts: Mapping[str, int]
    waiting: tuple[str, ...]
    missing_ratio: float


class Collection:
    """Counts that have arrived, by window, and by node and process."""

    def __init__(self) -> None:
        self.windows: dict[int, dict[tuple[str, int], counts.NodeCounts]] = {}


def record(
    collection: Collection, received: counts.NodeCounts, open_window: int
) -> bool:
    """Keep the counts of a node; return whether they are of use.

    Repeated messages are ignored, and so are windows that are not near.
    """
    if not open_window - MAX_WINDOWS < received.window <= open_window + 1:
        return False
    for old in [
        w for w in collection.windows if w <= open_window - MAX_WINDOWS
    ]:
        del collection.windows[old]
    messages = collection.windows.setdefault(received.window, {})
    key = (received.node, received.boot)
    if key in messages or len(messages) >= MAX_MESSAGES:
        return False
    messages[key] = received
    return True


def must_wait(
    collection: Collection,
    window: int,
    expected: Iterable[str],
    *,
    age_ms: float,
    late_ms: float,
) -> bool:
    """Return whether it is too early to assess a window.

    That is so while counts of a node have not arrived and may arrive yet. The
    counts of 1,200 nodes take 47 ms to add, so this is checked first.
    """
    if age_ms >= FIRST_WAIT * late_ms:
        return False
    heard = {node for node, _ in collection.windows.get(window, {})}
    return not heard.issuperset(expected)


def assess(
    collection: Collection, window: int, expected: Iterable[str]
) -> Assessment:
    """Add the counts of a window and estimate what is missing.

    A node without counts, or with the counts of a process that has started in
    the window, is taken to have as many requests as in its last window before,
    or as the mean of the others if that is unknown.

    Parameters
    ----------
    collection : Collection
        Counts that have arrived.
    window : int
        Number of the window.
    expected : iterable of str
        Nodes that were live in the window.
    """
    messages = collection.windows.get(window, {})
    totals: dict[str, int] = {}
    by_node: dict[str, int] = {}
    whole: set[str] = set()
    for (node, _), message in messages.items():
        for tenant, count in message.counts.items():
            totals[tenant] = totals.get(tenant, 0) + count
            by_node[node] = by_node.get(node, 0) + count
        if not message.partial:
            whole.add(node)
    mean = sum(by_node.get(n, 0) for n in whole) / len(whole) if whole else 0.0
    heard = {node for node, _ in messages}
    lacking = (heard | set(expected)) - whole
    missing = 0.0
    for name in lacking:
        usual = _last_total(collection, name, window)
        if usual is None:
            usual = mean
        missing += max(usual - by_node.get(name, 0), 0.0)
    waiting = tuple(sorted(lacking - heard))
    known = sum(totals.values())
    # Nothing is known of a fleet of which nobody has sent anything.
    unknown = bool(waiting) and not messages
    ratio = missing / (known + missing) if known + missing else float(unknown)
    return Assessment(counts=totals, waiting=waiting, missing_ratio=ratio)


def decide(
    assessment: Assessment,
    *,
    age_ms: float,
    late_ms: float,
    tolerance: float,
) -> Decision:
    """Return whether the counts of a window suffice for its report.

    Parameters
    ----------
    assessment : Assessment
        Counts, and what is missing.
    age_ms : float
        True time since the end of the window, in milliseconds.
    late_ms : float
        Time after which the report is late, in milliseconds.
    tolerance : float
        Part of the requests that may be missing.
    """
    missing = assessment.missing_ratio
    part = age_ms / late_ms
    if part >= LAST_WAIT:
        return Decision.GIVE_UP
    if missing <= 0.0 and not assessment.waiting:
        return Decision.COMMIT
    if part >= SECOND_WAIT and missing <= tolerance:
        return Decision.COMMIT
    if part >= FIRST_WAIT and missing <= tolerance / 2:
        return Decision.COMMIT
    return Decision.WAIT


def _last_total(
    collection: Collection, node: str, window: int
) -> float | None:
    """Return a node's requests in its last whole window before a window."""
    for earlier in sorted(collection.windows, reverse=True):
        if earlier >= window:
            continue
        totals = [
            sum(message.counts.values())
            for (name, _), message in collection.windows[earlier].items()
            if name == node and not message.partial
        ]
        if totals:
            return float(max(totals))
    return None
