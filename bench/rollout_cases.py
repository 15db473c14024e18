"""Seeded cases of rollouts: calls of both versions as gates count them.

Gates report cumulative counts once a second, each at its own moment of the
second, as in a fleet. The generator feeds them to the same decisions that a
node runs, with a clock of its own.
"""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
import random
import typing

from apricotpost import config
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost.rollout import evidence
from apricotpost.rollout import steps
from apricotpost.rollout import verdicts

__all__ = ["BAD_KINDS", "Case", "GOOD_KINDS", "Result", "make_case", "play"]

SERVICE = "portal"
OLD, NEW = "v1", "v2"
ROUTES = (("search", 0.6), ("record", 0.3), ("export", 0.1))
STARTED_AT = 1000.0
# Time for a committed step to reach all callers.
SPREAD_SECONDS = 1.0


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


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """How a rollout ended and what the new version got until then."""

    kind: str
    seed: int
    bad: bool
    state: str
    reason: str
    seconds: float
    full_at: float | None
    fault_at: float | None
    new_calls: int
    faulty_calls: int
    all_calls: int


@dataclasses.dataclass(kw_only=True)
class _Fleet:
    """Counts of all gates and the calls of the second in progress."""

    case: Case
    rng: random.Random
    tallies: dict[str, evidence.Tally]
    phases: dict[str, float]
    versions: dict[str, str]
    new_calls: int = 0
    faulty_calls: int = 0
    all_calls: int = 0
    fault_at: float | None = None


def play(
    case: Case, record: Callable[[dict[str, typing.Any]], None] | None = None
) -> Result:
    """Play a rollout to its end.

    Parameters
    ----------
    case : Case
        What happens.
    record : callable, optional
        Gets each event of a trace.
    """
    rng = random.Random(f"{case.kind}-{case.seed}")
    fleet = _make_fleet(case, rng)
    snapshot = _first_snapshot(case)
    times = steps.Times(bake_seconds=case.bake_seconds)
    instances = _instances(case)
    up_since = {entry.instance: STARTED_AT - 60 for entry in instances}
    entry = rollouts.find_open(snapshot, SERVICE)
    assert entry is not None
    book = evidence.Book()
    trial = verdicts.start(
        rollout=entry.identifier, old=OLD, new=NEW, share=0, now=STARTED_AT
    )
    _note(record, kind="start", rollout=_encode(entry), at=STARTED_AT)
    shares = [(STARTED_AT, 0)]
    full_at = None
    now = STARTED_AT
    while True:
        now += 1.0
        effective = _effective(shares, now)
        for report in _second(fleet, now - 1.0 - STARTED_AT, effective):
            book = evidence.receive(book, report)
            _note(record, kind="evidence", at=now, evidence=report)
        book, found = evidence.drain(book)
        trial = verdicts.observe(
            trial,
            found,
            service=SERVICE,
            share=entry.share,
            baking=entry.state is model.RolloutState.BAKING,
            now=now,
        )
        facts = steps.count_servers(entry, instances, up_since, now)
        _note(record, kind="decide", at=now, facts=dataclasses.asdict(facts))
        decision = steps.decide(
            entry, verdicts.judge(trial), facts, now, times
        )
        if isinstance(decision, steps.Withdraw | steps.Finish):
            return _result(fleet, decision, now, full_at)
        if isinstance(decision, steps.Hold):
            continue
        share = model.TOTAL_SHARE
        if isinstance(decision, steps.Advance):
            share = decision.share
        else:
            full_at = now
        snapshot = rollouts.step_rollout(snapshot, entry, share, now)
        entry = rollouts.find_open(snapshot, SERVICE)
        assert entry is not None
        shares.append((now, entry.share))
        _note(record, kind="committed", rollout=_encode(entry), at=now)


def _first_snapshot(case: Case) -> model.Snapshot:
    versions = (model.VersionShare(version=OLD, share=1000),)
    service = model.Service(name=SERVICE, team="demo", versions=versions)
    first = model.Snapshot(version=1, services=(service,))
    planned = rollouts.plan_rollout(
        first, SERVICE, NEW, STARTED_AT + case.finish_seconds, STARTED_AT
    )
    return config.seal(planned)


def _instances(case: Case) -> tuple[model.InstanceRecord, ...]:
    return tuple(
        model.InstanceRecord(
            instance=f"{version}-{number}",
            data_centre="riga-1",
            region="lv-riga",
            call_address="",
            control_address="",
            service=SERVICE,
            version=version,
            state=model.InstanceState.UP,
            slots=12,
        )
        for version in (OLD, NEW)
        for number in range(case.servers)
    )


def _make_fleet(case: Case, rng: random.Random) -> _Fleet:
    names = [entry.instance for entry in _instances(case)]
    return _Fleet(
        case=case,
        rng=rng,
        tallies={name: evidence.Tally() for name in names},
        phases={name: rng.random() for name in names},
        versions={name: name.partition("-")[0] for name in names},
    )


def _effective(shares: list[tuple[float, int]], now: float) -> int:
    """Return the share that callers already use."""
    known = [share for at, share in shares if at + SPREAD_SECONDS <= now]
    return known[-1] if known else 0


def _second(
    fleet: _Fleet, started: float, share: int
) -> Iterator[tuple[model.Evidence, ...]]:
    """Carry out the calls of one second and yield the gates' reports."""
    case, rng = fleet.case, fleet.rng
    calls = [
        (rng.random(), *_draw_target(fleet, share))
        for _ in range(_poisson(rng, case.calls_per_second))
    ]
    calls.sort()
    # Each gate reports in the middle of the second, at its own phase.
    reported = sorted((phase, name) for name, phase in fleet.phases.items())
    position = 0
    for phase, name in reported:
        while position < len(calls) and calls[position][0] < phase:
            _run_call(fleet, started, share, calls[position])
            position += 1
        yield _report(fleet, name)
    for call in calls[position:]:
        _run_call(fleet, started, share, call)


def _draw_target(fleet: _Fleet, share: int) -> tuple[str, str]:
    rng = fleet.rng
    version = NEW if rng.random() * 1000 < share else OLD
    number = int(rng.random() * fleet.case.servers)
    draw = rng.random()
    for route, part in ROUTES:
        draw -= part
        if draw < 0:
            break
    return f"{version}-{number}", route


def _run_call(
    fleet: _Fleet,
    started: float,
    share: int,
    call: tuple[float, str, str],
) -> None:
    case, rng = fleet.case, fleet.rng
    moment, name, route = call
    version = fleet.versions[name]
    at = started + moment
    fault = case.faults(at, share, route, version)
    healthy = case.faults(at, share, route, OLD)
    fleet.all_calls += 1
    if version == NEW:
        fleet.new_calls += 1
        if fault != healthy:
            fleet.faulty_calls += 1
            fleet.fault_at = at if fleet.fault_at is None else fleet.fault_at
    failed = rng.random() < max(case.base_failures, fault.failure_rate)
    served = sum(
        counts.calls for counts in fleet.tallies[name].counts.values()
    )
    cold = version == NEW and served < case.cold_calls
    duration = case.median_ms * math.exp(rng.gauss(0.0, case.spread))
    duration *= fault.slow_factor * (2.0 if cold else 1.0)
    finished = evidence.Finished(
        answered=True,
        status=500 if failed else 200,
        cold=cold,
        duration_ms=duration,
    )
    fleet.tallies[name] = evidence.count(
        fleet.tallies[name], (SERVICE, version, route), finished
    )


def _report(fleet: _Fleet, name: str) -> tuple[model.Evidence, ...]:
    return evidence.describe(fleet.tallies[name], instance=name, epoch=1)


def _poisson(rng: random.Random, mean: float) -> int:
    # The normal approximation is close enough for means above 30.
    if mean > 30:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit, number, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        number += 1
        product *= rng.random()
    return number


def _result(
    fleet: _Fleet,
    decision: steps.Withdraw | steps.Finish,
    now: float,
    full_at: float | None,
) -> Result:
    case = fleet.case
    withdrawn = isinstance(decision, steps.Withdraw)
    return Result(
        kind=case.kind,
        seed=case.seed,
        bad=case.bad,
        state="withdrawn" if withdrawn else "done",
        reason=decision.reason if withdrawn else "",
        seconds=now - STARTED_AT,
        full_at=None if full_at is None else full_at - STARTED_AT,
        fault_at=fleet.fault_at,
        new_calls=fleet.new_calls,
        faulty_calls=fleet.faulty_calls,
        all_calls=fleet.all_calls,
    )


def _encode(entry: model.Rollout) -> dict[str, typing.Any]:
    return dataclasses.asdict(entry)


def _note(
    record: Callable[[dict[str, typing.Any]], None] | None,
    **event: typing.Any,
) -> None:
    if record is not None:
        record(event)


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
