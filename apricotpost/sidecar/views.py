"""Immutable view of the orders in force, for the call path."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from apricotpost import errors
from apricotpost import model
from apricotpost import platform
from apricotpost.rollout import trials
from apricotpost.routing import prefixes
from apricotpost import wire

__all__ = [
    "EMPTY",
    "TrafficView",
    "apply_orders",
    "choose_versions",
    "uses_one_server",
    "with_trial",
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class TrafficView:
    """Orders in force, replaced as a whole by each change.

    Parameters
    ----------
    version : int
        Version of the configuration; 0 if there is none yet.
    routes : PrefixTable
        Routes by host and prefix.
    services : mapping
        Rule of each service.
    limits : model.ClientLimits or None
        Limits of clients' requests.
    evacuated : frozenset of str
        Data centres that get no requests.
    rollouts : mapping
        Revision and order of each service's rollout.
    service_trials : mapping
        Trial of each service.
    tenants : mapping
        Tenants by the digests of their keys.
    uses_keys : bool
        Whether the configuration has tenants, so that requests need keys.
    """

    version: int = 0
    routes: prefixes.PrefixTable = dataclasses.field(default_factory=dict)
    services: Mapping[str, model.ServiceRule] = dataclasses.field(
        default_factory=dict
    )
    limits: model.ClientLimits | None = None
    evacuated: frozenset[str] = frozenset()
    rollouts: Mapping[str, tuple[int, model.RolloutOrder]] = dataclasses.field(
        default_factory=dict
    )
    service_trials: Mapping[str, trials.Trial] = dataclasses.field(
        default_factory=dict
    )
    tenants: Mapping[bytes, model.Tenant] = dataclasses.field(
        default_factory=dict, repr=False
    )
    uses_keys: bool = False


EMPTY = TrafficView()


def apply_orders(
    view: TrafficView,
    rows: Iterable[wire.OrderRow],
    routes: platform.RouteCache | None = None,
) -> tuple[TrafficView, list[errors.ApricotpostError]]:
    """Return the view with changed orders, and the rows' errors.

    A row with an error is skipped: what it would replace stays in force. So
    is a malformed resource of a configuration.

    Parameters
    ----------
    view : TrafficView
        Orders in force before.
    rows : iterable of wire.OrderRow
        Changed orders.
    routes : platform.RouteCache, optional
        Decoded routes of the previous configuration; updated.
    """
    faults: list[errors.ApricotpostError] = []
    for row in rows:
        try:
            view = _apply(view, row, routes, faults)
        except errors.ApricotpostError as error:
            faults.append(error)
    return view, faults


def with_trial(view: TrafficView, trial: trials.Trial) -> TrafficView:
    """Return the view with a service's trial replaced."""
    return dataclasses.replace(
        view, service_trials={**view.service_trials, trial.service: trial}
    )


def choose_versions(
    view: TrafficView,
    service: str,
    versions: Iterable[str],
    *,
    version_draw: float,
    servers: int,
) -> frozenset[str]:
    """Return the versions of a service that may get a request.

    Parameters
    ----------
    view : TrafficView
        Orders in force.
    service : str
        The service.
    versions : iterable of str
        Versions with a backend server that takes requests, the first known
        version first.
    version_draw : float
        Number of this request between 0 and 1; the new version of a trial
        gets the requests whose draw is below its share.
    servers : int
        Number of backend servers of the new version that take requests.
    """
    available = tuple(versions)
    trial = view.service_trials.get(service)
    if trial is None:
        # A version gets no requests before its rollout order has arrived.
        return frozenset(available[:1])
    if trial.phase is trials.Phase.ROLLED_BACK:
        return frozenset(v for v in available if v != trial.new)
    others = frozenset(v for v in available if v != trial.new)
    if trial.new not in available:
        return others
    if version_draw < trials.new_version_share(trial, servers) or not others:
        return frozenset((trial.new,))
    return others


def uses_one_server(
    view: TrafficView, service: str, versions: frozenset[str]
) -> bool:
    """Tell whether one backend server gets all requests of a new version.

    It does in phase MOVING: a fault that shows only under load then affects
    fewer requests than on all of its servers.
    """
    trial = view.service_trials.get(service)
    return (
        trial is not None
        and trial.phase is trials.Phase.MOVING
        and versions == frozenset((trial.new,))
    )


def _apply(
    view: TrafficView,
    row: wire.OrderRow,
    routes: platform.RouteCache | None,
    faults: list[errors.ApricotpostError],
) -> TrafficView:
    key = row.key
    if key == platform.CONFIGURATION:
        return _apply_configuration(view, row, routes, faults)
    if key.startswith(platform.EVACUATIONS):
        data_centre = frozenset((key[len(platform.EVACUATIONS) :],))
        others = view.evacuated - data_centre
        return dataclasses.replace(
            view, evacuated=others if row.removed else others | data_centre
        )
    if key.startswith(platform.ROLLOUTS):
        service = key[len(platform.ROLLOUTS) :]
        rollouts = dict(view.rollouts)
        rollouts.pop(service, None)
        if not row.removed:
            order = platform.parse_rollout(row.value)
            rollouts[service] = (row.revision, order)
        return dataclasses.replace(view, rollouts=rollouts)
    return view


def _apply_configuration(
    view: TrafficView,
    row: wire.OrderRow,
    routes: platform.RouteCache | None,
    faults: list[errors.ApricotpostError],
) -> TrafficView:
    if row.removed:
        return view
    config = platform.parse_configuration(row.value, routes)
    if config.version <= view.version:
        raise errors.ConfigurationOutdated(
            f"configuration {config.version} is not newer than {view.version}"
        )
    if config.skipped:
        faults.append(
            errors.ConfigurationInvalid(
                f"configuration {config.version} is in force without "
                f"{len(config.skipped)} malformed resources",
                faults=config.skipped,
            )
        )
    return dataclasses.replace(
        view,
        version=config.version,
        routes=prefixes.build_prefixes(config.routes),
        services=config.services,
        limits=config.limits,
        # A key of two tenants belongs to the first one.
        tenants={
            digest: tenant
            for tenant in reversed(config.tenants)
            for digest in tenant.key_digests
        },
        uses_keys=config.uses_keys,
    )
