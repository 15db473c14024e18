"""Which failed attempts are repeated."""

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
# Another backend server does not change these.
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
        What is left; one retry costs one.
    limit : float
        Most tokens that are saved up.
    per_call : float
        Tokens earned by a call.
    recent : float
        Calls of about the last window.
    seen : float
        Monotonic time of the last call, in seconds.
    """

    tokens: float = MAX_TOKENS
    limit: float = MAX_TOKENS
    per_call: float = TOKENS_PER_CALL
    recent: float = 0.0
    seen: float = 0.0


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
    base: float,
    burst: float,
    window: float,
    now: float,
) -> Budget:
    """Credit a budget that counts in windows for one call.

    Tokens are saved up to a base and a part of the calls of the window, so
    that failures that come together are repeated, and all nodes together
    stay within what the window allows.

    Parameters
    ----------
    budget : Budget
        State before.
    base : float
        Tokens that may be saved without any calls.
    burst : float
        Tokens that may be saved for each call of the window.
    window : float
        Length of the window, in seconds.
    now : float
        Monotonic time, in seconds.
    """
    decay = math.exp(-max(now - budget.seen, 0.0) / window)
    recent = budget.recent * decay + 1.0
    limit = base + burst * recent
    return dataclasses.replace(
        budget,
        tokens=min(budget.tokens + budget.per_call, limit),
        limit=limit,
        recent=recent,
        seen=now,
    )


def spend(budget: Budget) -> Budget:
    """Charge the budget for one retry."""
    return dataclasses.replace(budget, tokens=budget.tokens - 1.0)


def may_retry_not_run(reason: wire.NotRunReason, *, attempts: int) -> bool:
    """Tell whether a call that was not run may go to another server.

    Nothing ran, so this holds for calls that may not be repeated, too.
    """
    return attempts < MAX_ATTEMPTS and reason not in _FINAL_REASONS


def may_retry_failure(
    budget: Budget,
    *,
    idempotent: bool,
    retried: bool,
    attempts: int,
) -> bool:
    """Tell whether a call that may have run may be repeated.

    Parameters
    ----------
    budget : Budget
        Of this node.
    idempotent : bool
        Whether the route allows it.
    retried : bool
        Whether this call, one above or one below it is a retry already;
        retries at several depths would multiply.
    attempts : int
        Attempts so far.
    """
    return (
        idempotent
        and not retried
        and attempts < MAX_ATTEMPTS
        and budget.tokens >= 1.0
    )
