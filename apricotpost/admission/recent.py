"""Memory of recent call identifiers, in buckets of time."""

import dataclasses

__all__ = ["REMEMBER_SECONDS", "Recent", "is_known", "remember"]

# Longer than the longest call, so that no identifier returns in time.
REMEMBER_SECONDS = 60.0
# Only the newest bucket is copied when an identifier is added; with one
# mapping, each call copied the identifiers of a whole minute.
BUCKET_SECONDS = 2.0
_BUCKETS = int(REMEMBER_SECONDS / BUCKET_SECONDS) + 1


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recent:
    """Identifiers by the time at which they were seen.

    Parameters
    ----------
    newest : frozenset of str
        Seen since ``newest_at``.
    newest_at : float
        Start of the newest bucket, in seconds of the monotonic clock.
    older : tuple of frozenset of str
        Full buckets with their starts, newest first.
    """

    newest: frozenset[str] = frozenset()
    newest_at: float = 0.0
    older: tuple[tuple[float, frozenset[str]], ...] = ()


def is_known(recent: Recent, call: str) -> bool:
    """Tell whether an identifier was seen in the last minute."""
    return call in recent.newest or any(
        call in bucket for _, bucket in recent.older
    )


def remember(recent: Recent, call: str, now: float) -> Recent:
    """Add an identifier and forget those that are too old."""
    if now - recent.newest_at < BUCKET_SECONDS:
        return Recent(
            newest=recent.newest | {call},
            newest_at=recent.newest_at,
            older=recent.older,
        )
    full = (recent.newest_at, recent.newest)
    older = tuple(
        entry
        for entry in (full, *recent.older)[:_BUCKETS]
        if entry[1] and now - entry[0] < REMEMBER_SECONDS + BUCKET_SECONDS
    )
    return Recent(newest=frozenset((call,)), newest_at=now, older=older)
