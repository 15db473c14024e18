"""Seeded rollout cases: kinds of faults and of disturbances."""

from collections.abc import Callable
import dataclasses
import random
import typing

__all__ = [
    "BAD_KINDS",
    "Case",
    "Fault",
    "GOOD_KINDS",
    "NEW",
    "OLD",
    "make_case",
]

OLD, NEW = "v1", "v2"
ROUTES = (("search", 0.6), ("record", 0.3), ("export", 0.1))


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """Effect of a fault on a call.

    Parameters
    ----------
    failure_rate : float
        Probability that the call fails.
    slow_factor : float
        Factor by which the latency is multiplied.
    rejected : bool
        Whether the call is answered with status 404.
    """

    failure_rate: float = 0.0
    slow_factor: float = 1.0
    rejected: bool = False


FaultFunction = Callable[[float, int, str, str], Fault]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One rollout and how its versions behave.

    Parameters
    ----------
    kind : str
        Name of the kind of fault or disturbance.
    bad : bool
        Whether the new version must be withdrawn.
    calls_per_second : float
        Calls of the whole service.
    servers : int
        Backend servers of each version.
    finish_seconds : float
        Time until ``finish_by``.
    median_ms : float
        Median latency.
    latency_sigma : float
        Standard deviation of the logarithm of latencies.
    base_failure_rate : float
        Fraction of the calls that fail in both versions.
    faults : callable
        ``(seconds since the start, share, route, version) -> Fault``.
    cold_calls : int
        First calls of a server of the new version; they take twice as long.
    routes : tuple
        Name and share of the calls of each route.
    """

    kind: str
    seed: int
    bad: bool
    calls_per_second: float
    servers: int
    finish_seconds: float
    median_ms: float
    latency_sigma: float
    base_failure_rate: float
    faults: FaultFunction
    bake_seconds: float = 60.0
    cold_calls: int = 20
    routes: tuple[tuple[str, float], ...] = ROUTES


def _healthy(at: float, share: int, route: str, version: str) -> Fault:
    return Fault()


def _new_version_always(fault: Fault) -> FaultFunction:
    return lambda at, share, route, version: (
        fault if version == NEW else Fault()
    )


def _new_version_when(
    condition: Callable[[float, int, str], bool], fault: Fault
) -> FaultFunction:
    def faults(at: float, share: int, route: str, version: str) -> Fault:
        if version == NEW and condition(at, share, route):
            return fault
        return Fault()

    return faults


def _general_slowdown(
    at: float, share: int, route: str, version: str
) -> Fault:
    return Fault(slow_factor=4.0) if 15 <= at < 40 else Fault()


def _failing_dependency(
    at: float, share: int, route: str, version: str
) -> Fault:
    return Fault(failure_rate=0.5) if 20 <= at < 35 else Fault()


def _short_outage(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(failure_rate=1.0) if 22 <= at < 27 else Fault()


def _old_fails(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(failure_rate=0.2) if version == OLD else Fault()


def _slightly_slower(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(slow_factor=1.1) if version == NEW else Fault()


def _after_45_seconds(at: float, share: int, route: str) -> bool:
    return at >= 45.0


def _new_route(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(rejected=route == "preview" and version == OLD)


def _bad_new_route(at: float, share: int, route: str, version: str) -> Fault:
    if route == "preview" and version == NEW:
        return Fault(failure_rate=0.5)
    return _new_route(at, share, route, version)


GOOD_KINDS: dict[str, FaultFunction] = {
    "good": _healthy,
    "good-general-slowdown": _general_slowdown,
    "good-failing-dependency": _failing_dependency,
    "good-short-outage": _short_outage,
    "good-old-fails": _old_fails,
    "good-10-percent-slower": _slightly_slower,
    "good-quiet-route": _healthy,
    "good-low-traffic": _healthy,
    "good-new-route": _new_route,
}
BAD_KINDS: dict[str, FaultFunction] = {
    "fails-always": _new_version_always(Fault(failure_rate=1.0)),
    "fails-20-percent": _new_version_always(Fault(failure_rate=0.2)),
    "fails-5-percent": _new_version_always(Fault(failure_rate=0.05)),
    "slow-5-times": _new_version_always(Fault(slow_factor=5.0)),
    "slow-2-times": _new_version_always(Fault(slow_factor=2.0)),
    "fails-on-one-route": _new_version_when(
        lambda at, share, route: route == "export", Fault(failure_rate=0.5)
    ),
    "slow-on-one-route": _new_version_when(
        lambda at, share, route: route == "export", Fault(slow_factor=4.0)
    ),
    "fails-later": _new_version_when(
        _after_45_seconds, Fault(failure_rate=0.3)
    ),
    "slow-later": _new_version_when(_after_45_seconds, Fault(slow_factor=4.0)),
    "fails-under-load": _new_version_when(
        lambda at, share, route: share >= 500, Fault(failure_rate=0.3)
    ),
    "slow-under-load": _new_version_when(
        lambda at, share, route: share >= 500, Fault(slow_factor=4.0)
    ),
    "fails-after-full-share": _new_version_when(
        lambda at, share, route: share >= 980, Fault(failure_rate=0.3)
    ),
    "slow-after-full-share": _new_version_when(
        lambda at, share, route: share >= 980, Fault(slow_factor=4.0)
    ),
    "fails-on-new-route": _bad_new_route,
    "rejects-one-route": _new_version_when(
        lambda at, share, route: route == "export", Fault(rejected=True)
    ),
}
_CASE_CHANGES: dict[str, dict[str, typing.Any]] = {
    "good-quiet-route": {"routes": (*ROUTES, ("quiet", 0.0005))},
    "good-low-traffic": {"calls_per_second": 8.0, "finish_seconds": 900.0},
    "good-new-route": {"routes": (("preview", 0.1), *ROUTES)},
    "fails-on-new-route": {"routes": (("preview", 0.1), *ROUTES)},
}


def make_case(kind: str, seed: int, **changes: typing.Any) -> Case:
    """Make a case of a kind; the seed determines load, size and latencies."""
    rng = random.Random(f"case-{kind}-{seed}")
    bad = kind in BAD_KINDS
    case = Case(
        kind=kind,
        seed=seed,
        bad=bad,
        calls_per_second=rng.choice((40.0, 83.0, 200.0)),
        servers=rng.choice((2, 4)),
        finish_seconds=rng.choice((120.0, 180.0, 300.0)),
        median_ms=rng.choice((2.0, 5.0, 12.0, 40.0)),
        latency_sigma=rng.choice((0.1, 0.3, 0.6)),
        base_failure_rate=rng.choice((0.0, 0.001, 0.01)),
        faults=BAD_KINDS[kind] if bad else GOOD_KINDS[kind],
    )
    changes = {**changes, **_CASE_CHANGES.get(kind, {})}
    return dataclasses.replace(case, **changes)
