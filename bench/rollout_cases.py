"""Simulate seeded rollouts: gates count the calls of both versions.

Each gate reports its cumulative counts once a second, at its own phase of the
second, as in a fleet. The counts are passed to the decision functions that a
node uses, in simulated time.
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
from apricotpost.rollout import monitor
from apricotpost.rollout import steps
from bench import rollout_faults

__all__ = ["RecordEvent", "Result", "simulate"]

RecordEvent = Callable[[dict[str, typing.Any]], None]

SERVICE = "portal"
OLD, NEW = rollout_faults.OLD, rollout_faults.NEW
STARTED_AT = 1000.0
# Time until all callers use a committed step.
PROPAGATION_SECONDS = 1.0

# A rollout is on time if it has the full share this long before finish_by.
ON_TIME_MARGIN_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Outcome of a rollout and the number of calls until then.

    Times are in seconds since the start of the rollout.

    Parameters
    ----------
    seconds : float
        When the rollout ended.
    full_at : float, optional
        When the new version got the full share.
    fault_at : float, optional
        When a call of the new version first met its fault.
    new_calls : int
        Calls of the new version.
    faulty_calls : int
        Calls of the new version that met its fault.
    all_calls : int
        Calls of both versions.
    """

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
    """State of the simulated gates, and counts of all calls so far."""

    case: rollout_faults.Case
    rng: random.Random
    outcomes: dict[str, evidence.OutcomeCounts]
    report_phases: dict[str, float]
    instance_versions: dict[str, str]
    new_calls: int = 0
    faulty_calls: int = 0
    all_calls: int = 0
    fault_at: float | None = None


def simulate(
    case: rollout_faults.Case, record: RecordEvent | None = None
) -> Result:
    """Simulate a rollout to its end.

    Parameters
    ----------
    case : Case
        Rollout to simulate.
    record : callable, optional
        Called with each event of the trace.
    """
    fleet = _make_fleet(case, random.Random(f"{case.kind}-{case.seed}"))
    record_event = record or (lambda event: None)
    times = steps.Times(bake_seconds=case.bake_seconds)
    instances = _make_instances(case)
    view = model.View(snapshot=_make_first_snapshot(case), instances=instances)
    record_event(
        {"event": "instances", "instances": msgspec.to_builtins(instances)}
    )
    record_event(_configuration_event(view))
    share_history = [(STARTED_AT, 0)]
    full_at = None
    state = monitor.RolloutMonitor()
    now = STARTED_AT
    while True:
        now += 1.0
        share = _effective_share(share_history, now)
        for report in _simulate_second(fleet, now - 1.0 - STARTED_AT, share):
            state = monitor.receive(state, report, full=True, now=now)
            record_event(_evidence_event(report))
        state, observation = monitor.evaluate(
            state, view, instance=instances[0].instance, now=now
        )
        record_event({"event": "look", "at": now})
        assert observation is not None
        decision = steps.decide(
            observation.rollout,
            observation.judgement,
            observation.server_counts,
            now,
            times,
        )
        if isinstance(decision, steps.Withdraw | steps.Finish):
            return _make_result(fleet, decision, now, full_at)
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
        share_history.append((now, min(share, steps.BAKING_SHARE)))
        record_event(_configuration_event(view))


def _configuration_event(view: model.View) -> dict[str, typing.Any]:
    snapshot = msgspec.to_builtins(view.snapshot)
    return {"event": "configuration", "snapshot": snapshot}


def _evidence_event(
    report: tuple[model.Evidence, ...],
) -> dict[str, typing.Any]:
    counts = [dataclasses.astuple(counts_entry) for counts_entry in report]
    return {"event": "evidence", "counts": counts}


def _make_first_snapshot(case: rollout_faults.Case) -> model.Snapshot:
    versions = (model.VersionShare(version=OLD, share=1000),)
    service = model.Service(name=SERVICE, team="demo", versions=versions)
    first = model.Snapshot(version=1, services=(service,))
    planned = rollouts.plan_rollout(
        first, SERVICE, NEW, STARTED_AT + case.finish_seconds, STARTED_AT
    )
    return config.with_checksum(planned)


def _make_instances(
    case: rollout_faults.Case,
) -> tuple[model.InstanceRecord, ...]:
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
    names = [entry.instance for entry in _make_instances(case)]
    return _Fleet(
        case=case,
        rng=rng,
        outcomes={name: evidence.OutcomeCounts() for name in names},
        report_phases={name: rng.random() for name in names},
        instance_versions={name: name.partition("-")[0] for name in names},
    )


def _effective_share(
    share_history: list[tuple[float, int]], now: float
) -> int:
    """Return the share of the new version that callers already use."""
    effective_shares = [
        share for at, share in share_history if at + PROPAGATION_SECONDS <= now
    ]
    return effective_shares[-1] if effective_shares else 0


def _simulate_second(
    fleet: _Fleet, started: float, share: int
) -> Iterator[tuple[model.Evidence, ...]]:
    """Simulate the calls of one second and yield the gates' reports."""
    case, rng = fleet.case, fleet.rng
    calls = [
        (rng.random(), *_draw_target(fleet, share))
        for _ in range(_draw_poisson(rng, case.calls_per_second))
    ]
    calls.sort()
    # Each gate reports at its own phase of the second.
    report_order = sorted(
        (phase, name) for name, phase in fleet.report_phases.items()
    )
    next_call = 0
    for phase, name in report_order:
        while next_call < len(calls) and calls[next_call][0] < phase:
            _run_call(fleet, started, share, calls[next_call])
            next_call += 1
        yield _make_report(fleet, name)
    for call in calls[next_call:]:
        _run_call(fleet, started, share, call)


def _draw_target(fleet: _Fleet, share: int) -> tuple[str, str]:
    rng = fleet.rng
    version = NEW if rng.random() * 1000 < share else OLD
    number = int(rng.random() * fleet.case.servers)
    remaining_weight = rng.random() * sum(
        weight for _, weight in fleet.case.routes
    )
    for route, weight in fleet.case.routes:
        remaining_weight -= weight
        if remaining_weight < 0:
            break
    return f"{version}-{number}", route


def _run_call(
    fleet: _Fleet,
    started: float,
    share: int,
    call: tuple[float, str, str],
) -> None:
    case, rng = fleet.case, fleet.rng
    offset, name, route = call
    version = fleet.instance_versions[name]
    at = started + offset
    fault = case.faults(at, share, route, version)
    healthy = case.faults(at, share, route, OLD)
    fleet.all_calls += 1
    if version == NEW:
        fleet.new_calls += 1
        if fault != healthy:
            fleet.faulty_calls += 1
            fleet.fault_at = at if fleet.fault_at is None else fleet.fault_at
    failed = rng.random() < max(case.base_failure_rate, fault.failure_rate)
    served_calls = sum(
        counts.calls for counts in fleet.outcomes[name].counts.values()
    )
    cold = version == NEW and served_calls < case.cold_calls
    duration = case.median_ms * math.exp(rng.gauss(0.0, case.latency_sigma))
    duration *= fault.slow_factor * (2.0 if cold else 1.0)
    finished = evidence.FinishedCall(
        answered=True,
        status=404 if fault.rejected else 500 if failed else 200,
        cold=cold,
        duration_ms=duration,
    )
    fleet.outcomes[name] = evidence.record_call(
        fleet.outcomes[name], (SERVICE, version, route), finished
    )


def _make_report(fleet: _Fleet, name: str) -> tuple[model.Evidence, ...]:
    return evidence.describe_counts(
        fleet.outcomes[name], instance=name, epoch=1
    )


def _draw_poisson(rng: random.Random, mean: float) -> int:
    # The normal approximation is close enough for means above 30.
    if mean > 30:
        return max(0, round(rng.gauss(mean, math.sqrt(mean))))
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count += 1
        product *= rng.random()
    return count


def _make_result(
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
        and full_at
        <= STARTED_AT + case.finish_seconds - ON_TIME_MARGIN_SECONDS,
        fault_at=fleet.fault_at,
        new_calls=fleet.new_calls,
        faulty_calls=fleet.faulty_calls,
        all_calls=fleet.all_calls,
    )
