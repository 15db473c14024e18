"""Seeded cases of rollouts: kinds of badness and of noise."""

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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Fault:
    """What is wrong with calls at some moment.

    Parameters
    ----------
    failure_rate : float
        Part of the calls that fail.
    slow_factor : float
        Factor on latencies.
    """

    failure_rate: float = 0.0
    slow_factor: float = 1.0


Faults = Callable[[float, int, str, str], Fault]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Case:
    """One rollout and how its versions behave.

    Parameters
    ----------
    kind : str
        Name of the kind of badness or noise.
    bad : bool
        Whether the new version must be withdrawn.
    calls_per_second : float
        Of the whole service.
    servers : int
        Of each version.
    finish_seconds : float
        Time until ``finish_by``.
    spread : float
        Standard deviation of the logarithm of latencies.
    faults : callable
        ``(seconds since the start, share, route, version) -> Fault``.
    """

    kind: str
    seed: int
    bad: bool
    calls_per_second: float
    servers: int
    finish_seconds: float
    median_ms: float
    spread: float
    base_failures: float
    faults: Faults
    bake_seconds: float = 60.0
    cold_calls: int = 20


def _healthy(at: float, share: int, route: str, version: str) -> Fault:
    return Fault()


def _only_new(fault: Fault) -> Faults:
    return lambda at, share, route, version: (
        fault if version == NEW else Fault()
    )


def _when(
    condition: Callable[[float, int, str], bool], fault: Fault
) -> Faults:
    def faults(at: float, share: int, route: str, version: str) -> Fault:
        if version == NEW and condition(at, share, route):
            return fault
        return Fault()

    return faults


def _general(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(slow_factor=4.0) if 15 <= at < 40 else Fault()


def _dependency(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(failure_rate=0.5) if 20 <= at < 35 else Fault()


def _outage(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(failure_rate=1.0) if 22 <= at < 27 else Fault()


def _old_fails(at: float, share: int, route: str, version: str) -> Fault:
    return Fault(failure_rate=0.2) if version == OLD else Fault()


def _little_different(
    at: float, share: int, route: str, version: str
) -> Fault:
    return Fault(slow_factor=1.1) if version == NEW else Fault()


def _late(at: float, share: int, route: str) -> bool:
    return at >= 45.0


GOOD_KINDS: dict[str, Faults] = {
    "good": _healthy,
    "good-general-slowdown": _general,
    "good-failing-dependency": _dependency,
    "good-short-outage": _outage,
    "good-old-fails": _old_fails,
    "good-10-percent-slower": _little_different,
}
BAD_KINDS: dict[str, Faults] = {
    "fails-always": _only_new(Fault(failure_rate=1.0)),
    "fails-20-percent": _only_new(Fault(failure_rate=0.2)),
    "fails-5-percent": _only_new(Fault(failure_rate=0.05)),
    "slow-5-times": _only_new(Fault(slow_factor=5.0)),
    "slow-2-times": _only_new(Fault(slow_factor=2.0)),
    "fails-on-one-route": _when(
        lambda at, share, route: route == "export", Fault(failure_rate=0.5)
    ),
    "slow-on-one-route": _when(
        lambda at, share, route: route == "export", Fault(slow_factor=4.0)
    ),
    "fails-later": _when(_late, Fault(failure_rate=0.3)),
    "slow-later": _when(_late, Fault(slow_factor=4.0)),
    "fails-under-load": _when(
        lambda at, share, route: share >= 500, Fault(failure_rate=0.3)
    ),
    "slow-under-load": _when(
        lambda at, share, route: share >= 500, Fault(slow_factor=4.0)
    ),
    "fails-after-full-share": _when(
        lambda at, share, route: share >= 980, Fault(failure_rate=0.3)
    ),
    "slow-after-full-share": _when(
        lambda at, share, route: share >= 980, Fault(slow_factor=4.0)
    ),
}


def make_case(kind: str, seed: int, **changes: typing.Any) -> Case:
    """Make a case of a kind; the seed draws the service around it."""
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
        spread=rng.choice((0.1, 0.3, 0.6)),
        base_failures=rng.choice((0.0, 0.001, 0.01)),
        faults=BAD_KINDS[kind] if bad else GOOD_KINDS[kind],
    )
    return dataclasses.replace(case, **changes)
