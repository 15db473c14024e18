"""Rules and token budget of retries."""

import dataclasses
import math

from apricotpost import wire

__all__ = [
    "Budget",
    "MAX_ATTEMPTS",
    "earn",
    "earn_in_window",
    "may_retry_failure",
    "may_retry_not_run",
    "spend",
]

MAX_ATTEMPTS = 3
TOKENS_PER_CALL = 0.1
MAX_TOKENS = 10.0
RETRIED_STATUSES = frozenset((502, 503, 504))
# For these reasons, a retry at another backend server would fail as well.
_FINAL_REASONS = frozenset(
    (
        wire.NotRunReason.DEADLINE_PASSED,
        wire.NotRunReason.CANCELLED,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Budget:
    """Tokens that this node may spend on retries.

    Parameters
    ----------
    tokens : float
        Tokens left; a retry costs one.
    limit : float
        Largest number of tokens that can be saved.
    per_call : float
        Tokens earned for each call.
    recent_calls : float
        Number of calls in about the last window (decays exponentially).
    last_call_at : float
        Time of the last call, in seconds of the monotonic clock.
    """

    tokens: float = MAX_TOKENS
    limit: float = MAX_TOKENS
    per_call: float = TOKENS_PER_CALL
    recent_calls: float = 0.0
    last_call_at: float = 0.0


def earn(budget: Budget) -> Budget:
    """Credit the budget for one call."""
    if budget.tokens == budget.limit:
        return budget
    return dataclasses.replace(
        budget, tokens=min(budget.tokens + budget.per_call, budget.limit)
    )


def earn_in_window(
    budget: Budget,
    *,
    base_limit: float,
    limit_per_call: float,
    window_seconds: float,
    now: float,
) -> Budget:
    """Credit a budget that is limited by the calls of a time window.

    The limit is a base plus a fraction of the calls in the window. A burst
    of failures can then be retried, and all nodes together still stay within
    the retry ratio of the window.

    Parameters
    ----------
    budget : Budget
        Budget before the call.
    base_limit : float
        Number of tokens that can be saved without any calls.
    limit_per_call : float
        Number of tokens that can be saved for each call in the window.
    window_seconds : float
        Length of the window, in seconds.
    now : float
        Monotonic time, in seconds.
    """
    decay = math.exp(-max(now - budget.last_call_at, 0.0) / window_seconds)
    recent_calls = budget.recent_calls * decay + 1.0
    limit = base_limit + limit_per_call * recent_calls
    return dataclasses.replace(
        budget,
        tokens=min(budget.tokens + budget.per_call, limit),
        limit=limit,
        recent_calls=recent_calls,
        last_call_at=now,
    )


def spend(budget: Budget) -> Budget:
    """Charge the budget for one retry."""
    return dataclasses.replace(budget, tokens=budget.tokens - 1.0)


def may_retry_not_run(reason: wire.NotRunReason, *, attempts: int) -> bool:
    """Return whether a call that was not run may go to another server.

    Non-idempotent calls may, too, because nothing was run.
    """
    return attempts < MAX_ATTEMPTS and reason not in _FINAL_REASONS


def may_retry_failure(
    budget: Budget,
    *,
    idempotent: bool,
    retried: bool,
    attempts: int,
) -> bool:
    """Return whether a call that may have run may be retried.

    Parameters
    ----------
    budget : Budget
        Retry budget of this node.
    idempotent : bool
        Whether the calls of the route are idempotent.
    retried : bool
        Whether this call, or one above or below it in the call chain, is
        already a retry; retries at several depths would multiply.
    attempts : int
        Number of attempts so far.
    """
    return (
        idempotent
        and not retried
        and attempts < MAX_ATTEMPTS
        and budget.tokens >= 1.0
    )
