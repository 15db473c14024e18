"""Which requests a stopping node still accepts."""

import dataclasses

__all__ = ["StopSchedule", "can_finish", "make_schedule"]

# Time after SIGTERM in which requests are still accepted. The platform sends
# clients to a node until two readiness checks, one a second, have failed.
ACCEPT_SECONDS = 2.6
# Reserved at the end of the grace period for writing the last answers.
MARGIN_SECONDS = 0.4
# Multiples of a route's mean time within which a request is expected to end.
# One in sixty takes longer than the first (observed log-normal times), which
# applies to requests that may not be repeated.
UNSAFE_MULTIPLE = 4.5
SAFE_MULTIPLE = 2.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class StopSchedule:
    """Times of a stop, in seconds of the monotonic clock.

    Parameters
    ----------
    accepts_until : float
        Requests that arrive later are refused.
    answers_until : float
        Requests without an answer at this time are cut.
    """

    accepts_until: float
    answers_until: float


def make_schedule(*, started_at: float, grace_seconds: float) -> StopSchedule:
    """Return the schedule of a stop.

    Parameters
    ----------
    started_at : float
        Time of the SIGTERM, in seconds of the monotonic clock.
    grace_seconds : float
        Time until the platform kills the process, in seconds.
    """
    answers_until = started_at + max(grace_seconds - MARGIN_SECONDS, 0.0)
    return StopSchedule(
        accepts_until=min(started_at + ACCEPT_SECONDS, answers_until),
        answers_until=answers_until,
    )


def can_finish(
    schedule: StopSchedule,
    *,
    now: float,
    expires_at: float,
    expected_ms: float,
    idempotent: bool,
) -> bool:
    """Tell whether a request is accepted during a stop.

    It is accepted if its answer or its deadline is expected before the
    process ends. Otherwise it would be cut while a backend server runs it,
    and its caller could not tell whether it has run.

    Parameters
    ----------
    schedule : StopSchedule
        Times of the stop.
    now, expires_at : float
        Arrival and deadline, in seconds of the monotonic clock.
    expected_ms : float
        Mean time of the route in milliseconds, or its objective if no request
        has been served.
    idempotent : bool
        Whether the caller may repeat the request.
    """
    if now >= schedule.accepts_until:
        return False
    multiple = SAFE_MULTIPLE if idempotent else UNSAFE_MULTIPLE
    ends_at = now + multiple * expected_ms / 1000.0
    return min(ends_at, expires_at) <= schedule.answers_until
