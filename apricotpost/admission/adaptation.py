"""Decisions that change the limit: results, announcements, returns."""

import dataclasses

from apricotpost.admission import limits
from apricotpost.admission import states
from apricotpost import wire

__all__ = [
    "ANNOUNCEMENT_SECONDS",
    "adapt",
    "apply_announcement",
    "record_return_to_service",
    "reports_cold",
]

# A backend server that does not repeat its announcement is taken for dead.
ANNOUNCEMENT_SECONDS = 15.0
SHED_STATUS = 503
COLD_HEADER = "x-backend-cold"


def adapt(
    limit: limits.Limit,
    route: str,
    result: wire.BackendResult,
    now: float,
) -> limits.Limit:
    """Adapt the limit to a finished call."""
    if result.outcome is wire.Outcome.NOT_RUN:
        if result.reason != wire.NotRunReason.NOT_SENT:
            return limit
        return limits.record_overload(limit, now)
    if result.outcome is wire.Outcome.UNKNOWN:
        return limits.record_lost(limit, route, result.duration_ms, now)
    if result.status == SHED_STATUS:
        return limits.record_overload(limit, now)
    before = limit
    limit = limits.record_cold_report(limit, reports_cold(result), now)
    if result.status >= 500 or limit.cold_at != before.cold_at:
        return limit
    return limits.record_success(limit, route, result.duration_ms, now)


def reports_cold(result: wire.BackendResult) -> bool:
    """Tell whether the backend server called itself cold."""
    return any(
        name.lower() == COLD_HEADER and value == "1"
        for name, value in result.headers
    )


def apply_announcement(
    state: states.GateState,
    announcement: wire.BackendServerAnnounced,
    now: float,
) -> states.GateState:
    """Adopt what the backend server says about itself."""
    before = state.announced
    fresh = (
        before is None
        or before.address != announcement.address
        or before.version != announcement.version
        or before.service != announcement.service
    )
    # It was silent or refused connections, so it is another process now.
    back = (
        state.refused_connection
        or now - state.announced_at > ANNOUNCEMENT_SECONDS
    )
    limit = state.limit
    if fresh or back:
        limit = limits.start(
            slots=announcement.slots,
            cold=announcement.cold or not fresh,
            now=now,
        )
    elif before is not None and announcement.cold and not before.cold:
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
    """Start cold when the data centre takes new work again."""
    if state.was_out == policy.data_centre_out:
        return state
    limit = state.limit
    if not policy.data_centre_out:
        limit = limits.record_cold(limit, now)
    return dataclasses.replace(
        state, was_out=policy.data_centre_out, limit=limit
    )
