"""Set of recent call identifiers, in time buckets."""

import dataclasses

__all__ = ["RETENTION_SECONDS", "RecentCalls", "is_known", "record_call"]

# Longer than the longest call, so that a duplicate that arrives within the
# call's deadline is recognised.
RETENTION_SECONDS = 60.0
# Adding an identifier copies only the newest bucket. With a single set, each
# call would copy the identifiers of a whole minute.
BUCKET_SECONDS = 2.0
_MAX_BUCKETS = int(RETENTION_SECONDS / BUCKET_SECONDS) + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RecentCalls:
    """Recent call identifiers, grouped by the time of their arrival.

    Parameters
    ----------
    newest : frozenset of str
        Identifiers recorded since ``newest_at``.
    newest_at : float
        Start of the newest bucket, in seconds of the monotonic clock.
    older : tuple of frozenset of str
        Start time and identifiers of the earlier buckets, newest first.
    """

    newest: frozenset[str] = frozenset()
    newest_at: float = 0.0
    older: tuple[tuple[float, frozenset[str]], ...] = ()


def is_known(recent: RecentCalls, call: str) -> bool:
    """Return whether a call was recorded within the retention time."""
    return call in recent.newest or any(
        call in bucket for _, bucket in recent.older
    )


def record_call(recent: RecentCalls, call: str, now: float) -> RecentCalls:
    """Add an identifier and drop the buckets that are too old."""
    if now - recent.newest_at < BUCKET_SECONDS:
        return RecentCalls(
            newest=recent.newest | {call},
            newest_at=recent.newest_at,
            older=recent.older,
        )
    completed = (recent.newest_at, recent.newest)
    older = tuple(
        bucket
        for bucket in (completed, *recent.older)[:_MAX_BUCKETS]
        if bucket[1] and now - bucket[0] < RETENTION_SECONDS + BUCKET_SECONDS
    )
    return RecentCalls(newest=frozenset((call,)), newest_at=now, older=older)
