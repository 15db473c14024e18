"""Decision whether a request may run, from its key and the configuration."""

from collections.abc import Callable
import dataclasses
import math

from apricotpost import model
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Admission", "decide", "has_changed"]

NO_KEY = "no-key"
UNKNOWN_KEY = "unknown-key"
# A configuration has to be in force this long after it was acknowledged
# (`bounds.config_apply_ms` of the platform).
APPLY_SECONDS = 2.5


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Admission:
    """Whether a request may run, and for whom.

    Parameters
    ----------
    status : int
        Status of the refusal; 0 if the request may run.
    reason : str
        Reason of the refusal, for the log and the metrics.
    tenant : str
        Tenant whose key the request carries; empty if it needs no key.
    rank : int
        Priority of the request.
    """

    status: int = 0
    reason: str = ""
    tenant: str = ""
    rank: int = 0


def decide(
    view: views.TrafficView,
    route: model.TrafficRoute,
    *,
    key_digest: bytes | None,
    local: bool,
    max_age_seconds: float,
    contact_age_seconds: Callable[[], float],
) -> Admission:
    """Return whether a request may run.

    Parameters
    ----------
    view : views.TrafficView
        Orders in force.
    route : model.TrafficRoute
        Route of the request.
    key_digest : bytes or None
        Digest of the key that the request carries; None if it has no
        well-formed key.
    local : bool
        Whether the backend server beside the node makes the request. Its calls
        carry no key.
    max_age_seconds : float
        Time since the last contact with the source of the orders after which
        known keys are refused as well; infinity if they never are.
    contact_age_seconds : callable
        Returns the time since that contact. After `APPLY_SECONDS`, an unknown
        key may be new: the request is refused with 503, as a valid key must
        not get 401.
    """
    if not view.uses_keys:
        return Admission(rank=route.rank)
    tenant = None if key_digest is None else view.tenants.get(key_digest)
    if tenant is None and (route.public or local):
        return Admission(rank=route.rank)
    if key_digest is None:
        return Admission(status=401, reason=NO_KEY)
    if tenant is None:
        max_age_seconds = min(max_age_seconds, APPLY_SECONDS)
    if max_age_seconds < math.inf and contact_age_seconds() > max_age_seconds:
        return Admission(status=503, reason=wire.NotRunReason.NOT_READY)
    if tenant is None:
        return Admission(status=401, reason=UNKNOWN_KEY)
    rank = route.rank if tenant.rank is None else tenant.rank
    return Admission(tenant=tenant.name, rank=rank)


def has_changed(before: views.TrafficView, after: views.TrafficView) -> bool:
    """Tell whether the decisions on open requests may differ."""
    return (before.uses_keys or after.uses_keys) and (
        before.tenants is not after.tenants
        or before.routes is not after.routes
    )
