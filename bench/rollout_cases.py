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

import msgspec

from apricotpost import config
from apricotpost import model
from apricotpost import rollout as rollouts
from apricotpost.rollout import evidence
from apricotpost.rollout import steps
from apricotpost.rollout import watch
from bench import rollout_faults

__all__ = ["Result", "Record", "play"]

Record = Callable[[dict[str, typing.Any]], None]

SERVICE = "portal"
OLD, NEW = rollout_faults.OLD, rollout_faults.NEW
STARTED_AT = 1000.0
# Time for a committed step to reach all callers.
SPREAD_SECONDS = 1.0

# Full share counts as on time so long before finish_by.
ON_TIME_SECONDS = 10.0


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
    on_time: bool
    fault_at: float | None
    new_calls: int
    faulty_calls: int
    all_calls: int


@dataclasses.dataclass(kw_only=True)
class _Fleet:
    """Counts of all gates and the calls of the second in progress."""

    case: rollout_faults.Case
    rng: random.Random
    outcomes: dict[str, evidence.OutcomeCounts]
    phases: dict[str, float]
    versions: dict[str, str]
    new_calls: int = 0
    faulty_calls: int = 0
    all_calls: int = 0
    fault_at: float | None = None


def play(case: rollout_faults.Case, record: Record | None = None) -> Result:
    """Play a rollout to its end.

    Parameters
    ----------
    case : Case
        What happens.
    record : callable, optional
        Gets each event of a trace.
    """
    fleet = _make_fleet(case, random.Random(f"{case.kind}-{case.seed}"))
    note = record or (lambda event: None)
    times = steps.Times(bake_seconds=case.bake_seconds)
    instances = _instances(case)
    view = model.View(snapshot=_first_snapshot(case), instances=instances)
    note({"event": "instances", "instances": msgspec.to_builtins(instances)})
    note(_configuration(view))
    shares = [(STARTED_AT, 0)]
    full_at = None
    state = watch.Watch()
    now = STARTED_AT
    while True:
        now += 1.0
        share = _effective(shares, now)
        for report in _second(fleet, now - 1.0 - STARTED_AT, share):
            state = watch.receive(state, report, full=True, now=now)
            note(_evidence(report))
        state, observation = watch.evaluate(
            state, view, instance=instances[0].instance, now=now
        )
        note({"event": "look", "at": now})
        assert observation is not None
        decision = steps.decide(
            observation.rollout,
            observation.judgement,
            observation.facts,
            now,
            times,
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
        snapshot = rollouts.step_rollout(
            view.snapshot, observation.rollout, share, now
        )
        view = dataclasses.replace(view, snapshot=snapshot)
        shares.append((now, min(share, steps.BAKING_SHARE)))
        note(_configuration(view))


def _configuration(view: model.View) -> dict[str, typing.Any]:
    snapshot = msgspec.to_builtins(view.snapshot)
    return {"event": "configuration", "snapshot": snapshot}


def _evidence(report: tuple[model.Evidence, ...]) -> dict[str, typing.Any]:
    counts = [dataclasses.astuple(entry) for entry in report]
    return {"event": "evidence", "counts": counts}


def _first_snapshot(case: rollout_faults.Case) -> model.Snapshot:
    versions = (model.VersionShare(version=OLD, share=1000),)
    service = model.Service(name=SERVICE, team="demo", versions=versions)
    first = model.Snapshot(version=1, services=(service,))
    planned = rollouts.plan_rollout(
        first, SERVICE, NEW, STARTED_AT + case.finish_seconds, STARTED_AT
    )
    return config.with_checksum(planned)


def _instances(case: rollout_faults.Case) -> tuple[model.InstanceRecord, ...]:
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


def _make_fleet(case: rollout_faults.Case, rng: random.Random) -> _Fleet:
    names = [entry.instance for entry in _instances(case)]
    return _Fleet(
        case=case,
        rng=rng,
        outcomes={name: evidence.OutcomeCounts() for name in names},
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
    draw = rng.random() * sum(part for _, part in fleet.case.routes)
    for route, part in fleet.case.routes:
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
        counts.calls for counts in fleet.outcomes[name].counts.values()
    )
    cold = version == NEW and served < case.cold_calls
    duration = case.median_ms * math.exp(rng.gauss(0.0, case.spread))
    duration *= fault.slow_factor * (2.0 if cold else 1.0)
    finished = evidence.Finished(
        answered=True,
        status=404 if fault.rejected else 500 if failed else 200,
        cold=cold,
        duration_ms=duration,
    )
    fleet.outcomes[name] = evidence.count(
        fleet.outcomes[name], (SERVICE, version, route), finished
    )


def _report(fleet: _Fleet, name: str) -> tuple[model.Evidence, ...]:
    return evidence.describe(fleet.outcomes[name], instance=name, epoch=1)


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
        on_time=full_at is not None
        and full_at <= STARTED_AT + case.finish_seconds - ON_TIME_SECONDS,
        fault_at=fleet.fault_at,
        new_calls=fleet.new_calls,
        faulty_calls=fleet.faulty_calls,
        all_calls=fleet.all_calls,
    )
