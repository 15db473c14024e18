"""Changes of the concurrency limit.

The limit changes with the result of a call, an announcement of the backend
server, and the data centre's return to service.
"""

import dataclasses

from apricotpost.admission import limits
from apricotpost.admission import states
from apricotpost import wire

__all__ = [
    "ANNOUNCEMENT_TIMEOUT_SECONDS",
    "apply_announcement",
    "apply_result",
    "record_return_to_service",
    "reports_cold",
]

# A backend server that has not repeated its announcement for this long is
# considered dead and gets no calls.
ANNOUNCEMENT_TIMEOUT_SECONDS = 15.0
SHED_STATUS = 503
COLD_HEADER = "x-backend-cold"


def apply_result(
    limit: limits.Limit,
    route: str,
    result: wire.BackendResult,
    now: float,
) -> limits.Limit:
    """Return the limit after a finished call."""
    if result.outcome is wire.Outcome.NOT_RUN:
        if result.reason != wire.NotRunReason.NOT_SENT:
            return limit
        return limits.record_overload(limit, now)
    if result.outcome is wire.Outcome.UNKNOWN:
        return limits.record_lost(limit, route, result.duration_ms, now)
    if result.status == SHED_STATUS:
        return limits.record_overload(limit, now)
    previous = limit
    limit = limits.record_cold_report(limit, reports_cold(result), now)
    if result.status >= 500 or limit.cold_at != previous.cold_at:
        return limit
    return limits.record_success(limit, route, result.duration_ms, now)


def reports_cold(result: wire.BackendResult) -> bool:
    """Return whether the response declares the backend server cold."""
    return any(
        name.lower() == COLD_HEADER and value == "1"
        for name, value in result.headers
    )


def apply_announcement(
    state: states.GateState,
    announcement: wire.BackendServerAnnounced,
    now: float,
) -> states.GateState:
    """Store an announcement and adapt the limit to it."""
    previous = state.announced
    is_new_server = (
        previous is None
        or previous.address != announcement.address
        or previous.version != announcement.version
        or previous.service != announcement.service
    )
    # After silence or a refused connection, the announcement comes from a
    # restarted process, even at the same address.
    restarted = (
        state.refused_connection
        or now - state.announced_at > ANNOUNCEMENT_TIMEOUT_SECONDS
    )
    limit = state.limit
    if is_new_server or restarted:
        limit = limits.start(
            slots=announcement.slots,
            cold=announcement.cold or not is_new_server,
            now=now,
        )
    elif previous is not None and announcement.cold and not previous.cold:
        limit = limits.record_cold(limit, now)
    if announcement.slots != limit.slots:
        limit = limits.set_slots(limit, announcement.slots)
    return dataclasses.replace(
        state,
        announced=announcement,
        announced_at=now,
        limit=limit,
        refused_connection=False,
    )


def record_return_to_service(
    state: states.GateState, policy: states.Policy, now: float
) -> states.GateState:
    """Restart the cold ramp when the data centre accepts calls again."""
    if state.data_centre_was_out == policy.data_centre_out:
        return state
    limit = state.limit
    if not policy.data_centre_out:
        limit = limits.record_cold(limit, now)
    return dataclasses.replace(
        state, data_centre_was_out=policy.data_centre_out, limit=limit
    )
