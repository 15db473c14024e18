"""Verdict on a new version, from the evidence about both versions.

Notes
-----
Measured with ``bench/verdict_rates.py``, tests of failures over 100 s at 80
calls a second: no alarm in 10,000 tests without a difference. With 30 % more
failures: no miss in 5,000 tests with an old version that fails in at most
1 % of its calls, and 89 misses in 2,500 with one that fails in 10 %, all of
them at a share of 10. Against an old version that fails in half of its calls
most tests at shares of 10 and 980 miss within 100 s.

Measured with ``bench/moves.py``, 2,372 rollouts: none of 891 good versions
was withdrawn by a verdict (two had too few calls to finish on time), and all
1,481 bad ones were withdrawn. A version that always fails got at most 17
calls, one that fails in 20 % of its calls at most 93.
"""

from collections.abc import Mapping
import dataclasses

from apricotpost.rollout import evidence
from apricotpost.rollout import route_trials
from apricotpost.rollout import sequential

__all__ = [
    "Judgement",
    "MIN_CALLS",
    "Trial",
    "judge",
    "observe",
    "start",
]

# Calls of the new version that a step forward needs.
MIN_CALLS = 20
# A step forward waits while the evidence favours "worse" at all: shares of
# about one half tell most, and the full share tells least.
DOUBT = 0.0
# A version above this level (1 in 20) at the end of the bake is withdrawn.
SUSPICION = 3.0
# A busier second is remembered for some ten seconds.
BUSY_MEMORY = 0.9

Key = evidence.Key


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """Evidence about one rollout.

    Parameters
    ----------
    rollout : str
        Identifier.
    share : int
        Share of the new version, in thousandths.
    routes : mapping
        Tests by route.
    overall : RouteTrial
        Test of all routes together that both versions answer. It finds a
        fault of every route before the calls of any single one suffice.
    heard_at : float
        Last time that calls of the new version were reported.
    busy_slots : float
        Average number of calls in work in both versions.
    bad : str
        Why the new version is bad; stays once it is set.
    """

    rollout: str
    share: int
    old: str
    new: str
    started_at: float
    observed_at: float
    overall: route_trials.RouteTrial
    routes: Mapping[str, route_trials.RouteTrial] = dataclasses.field(
        default_factory=dict
    )
    heard_at: float = float("-inf")
    busy_slots: float = 0.0
    bad: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Judgement:
    """What the evidence allows.

    Parameters
    ----------
    bad : str
        Why the new version must be withdrawn, or empty.
    doubt : str
        Why no step forward is allowed yet, or empty.
    suspect : bool
        Whether the doubt is that the new version may be worse.
    calls : int
        Calls of the new version since the last step.
    heard_at : float
        Last report of calls of the new version, Unix time in seconds.
    busy_slots : float
        Average number of calls in work in both versions.
    calls_per_second : float
        Calls of both versions since the first observation.
    summary : str
        The figures, for the outcome record.
    """

    bad: str = ""
    doubt: str = ""
    suspect: bool = False
    calls: int = 0
    heard_at: float = float("-inf")
    busy_slots: float = 0.0
    calls_per_second: float = 0.0
    summary: str = ""


def start(
    *, rollout: str, old: str, new: str, share: int, now: float
) -> Trial:
    """Return the state before the first evidence."""
    return Trial(
        rollout=rollout,
        share=share,
        old=old,
        new=new,
        started_at=now,
        observed_at=now,
        overall=route_trials.start(now),
    )


def observe(
    trial: Trial,
    found: Mapping[Key, evidence.Counts],
    *,
    service: str,
    share: int,
    baking: bool,
    now: float,
) -> Trial:
    """Account for the calls since the last observation.

    Parameters
    ----------
    trial : Trial
        State before.
    found : mapping
        New calls by service, version and route.
    service : str
        Service of the rollout.
    share : int
        Present share; a change starts a new step.
    baking : bool
        Whether the new version has the full share.
    now : float
        Unix time in seconds.
    """
    if share != trial.share:
        trial = _start_step(trial, share)
    names = {key[2] for key in found if key[0] == service}
    pooled_new, pooled_old = evidence.Counts(), evidence.Counts()
    heard_at = trial.heard_at
    known = dict(trial.routes)
    for name in sorted(names | known.keys()):
        new = found.get((service, trial.new, name), evidence.Counts())
        old = found.get((service, trial.old, name), evidence.Counts())
        if new.calls:
            heard_at = now
        before = known.get(name) or route_trials.start(now)
        known[name] = route_trials.collect(before, new, old, share)
        if known[name].old_calls:
            pooled_new = evidence.add(pooled_new, new)
            pooled_old = evidence.add(pooled_old, old)
    for name, entry in known.items():
        known[name] = route_trials.close_slice(
            entry, pooled_old, baking=baking, now=now
        )
    overall = route_trials.collect(
        trial.overall, pooled_new, pooled_old, share
    )
    seconds = max(now - trial.observed_at, 0.1)
    trial = dataclasses.replace(
        trial,
        routes=known,
        overall=route_trials.close_slice(
            overall, pooled_old, baking=baking, now=now
        ),
        heard_at=heard_at,
        observed_at=now,
        busy_slots=_average_busy(trial, found, service, seconds),
    )
    return dataclasses.replace(trial, bad=trial.bad or _find_bad(trial))


def judge(trial: Trial) -> Judgement:
    """Say what the evidence so far allows."""
    calls = sum(entry.step_calls for entry in trial.routes.values())
    doubt = ""
    if calls < MIN_CALLS:
        doubt = f"{calls} calls of {trial.new}, {MIN_CALLS} are needed"
    suspect = False
    for name, entry in _all_trials(trial):
        worst = max(route_trials.levels(entry).values())
        suspect = suspect or worst >= SUSPICION
        if worst >= DOUBT:
            doubt = f"{name} may be worse (level {worst:.1f})"
        elif route_trials.is_missing(entry):
            suspect = True
            doubt = (
                f"{name}: {entry.new_calls} usable answers of "
                f"{trial.new}, about {entry.expected:.0f} expected"
            )
    return Judgement(
        bad=trial.bad,
        doubt=doubt,
        suspect=suspect,
        calls=calls,
        heard_at=trial.heard_at,
        busy_slots=trial.busy_slots,
        calls_per_second=_rate(trial),
        summary=_summarize(trial),
    )


def _rate(trial: Trial) -> float:
    """Return the calls a second since the first observation."""
    seconds = trial.observed_at - trial.started_at
    if seconds <= 0:
        return 0.0
    calls = sum(
        entry.new_calls + entry.old_calls for entry in trial.routes.values()
    )
    return calls / seconds


def _find_bad(trial: Trial) -> str:
    for name, entry in _all_trials(trial):
        for what, found in route_trials.levels(entry).items():
            if found >= sequential.ALARM:
                return (
                    f"more {what} than {trial.old} on {name} "
                    f"(level {found:.1f})"
                )
    return ""


def _average_busy(
    trial: Trial,
    found: Mapping[Key, evidence.Counts],
    service: str,
    seconds: float,
) -> float:
    """Estimate calls in work by Little's law, from latency buckets."""
    busy_ms = 0.0
    for key, counts in found.items():
        if key[0] == service:
            busy_ms += sum(
                number * evidence.BOUNDS_MS[min(bucket, 25)]
                for bucket, number in enumerate(counts.latencies)
            )
    present = busy_ms / 1000 / seconds
    return max(present, BUSY_MEMORY * trial.busy_slots)


def _all_trials(
    trial: Trial,
) -> tuple[tuple[str, route_trials.RouteTrial], ...]:
    named = [(f"route {name}", entry) for name, entry in trial.routes.items()]
    return (*named, ("all routes", trial.overall))


def _start_step(trial: Trial, share: int) -> Trial:
    known = {
        name: dataclasses.replace(entry, step_calls=0)
        for name, entry in trial.routes.items()
    }
    overall = dataclasses.replace(trial.overall, step_calls=0)
    return dataclasses.replace(
        trial, share=share, routes=known, overall=overall
    )


def _summarize(trial: Trial) -> str:
    parts = []
    for name, entry in _all_trials(trial):
        found = route_trials.levels(entry)
        parts.append(
            f"{name}: {entry.new_calls} calls of {trial.new}, "
            f"{entry.old_calls} of {trial.old}, levels "
            f"{found['failures']:.1f} failures, "
            f"{found['slow calls']:.1f} slow"
        )
    return "; ".join(parts)
