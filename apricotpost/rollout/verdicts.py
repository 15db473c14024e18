"""Verdict on a new version, from the evidence about both versions."""

from collections.abc import Mapping
import dataclasses

from apricotpost.rollout import evidence
from apricotpost.rollout import routes
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
# A step forward waits while the evidence is above this level (1 in 20).
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
    routes: Mapping[str, routes.RouteTrial] = dataclasses.field(
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
    calls : int
        Calls of the new version since the last step.
    heard_at : float
        Last report of calls of the new version, Unix time in seconds.
    busy_slots : float
        Average number of calls in work in both versions.
    summary : str
        The figures, for the outcome record.
    """

    bad: str = ""
    doubt: str = ""
    calls: int = 0
    heard_at: float = float("-inf")
    busy_slots: float = 0.0
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
    pooled = evidence.Counts()
    heard_at = trial.heard_at
    known = dict(trial.routes)
    for name in sorted(names | known.keys()):
        new = found.get((service, trial.new, name), evidence.Counts())
        old = found.get((service, trial.old, name), evidence.Counts())
        pooled = evidence.add(pooled, old)
        if new.calls:
            heard_at = now
        before = known.get(name) or routes.start(now)
        known[name] = routes.collect(before, new, old, share)
    for name, entry in known.items():
        known[name] = routes.close_slice(entry, pooled, baking=baking, now=now)
    seconds = max(now - trial.observed_at, 0.1)
    trial = dataclasses.replace(
        trial,
        routes=known,
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
    for name, entry in trial.routes.items():
        worst = max(routes.levels(entry).values())
        if worst >= SUSPICION:
            doubt = f"route {name} may be worse (level {worst:.1f})"
        elif routes.is_missing(entry):
            doubt = (
                f"route {name}: {entry.step_calls} usable answers of "
                f"{trial.new}, about {entry.expected:.0f} expected"
            )
    return Judgement(
        bad=trial.bad,
        doubt=doubt,
        calls=calls,
        heard_at=trial.heard_at,
        busy_slots=trial.busy_slots,
        summary=_summarize(trial),
    )


def _find_bad(trial: Trial) -> str:
    for name, entry in trial.routes.items():
        for what, found in routes.levels(entry).items():
            if found >= sequential.ALARM:
                return (
                    f"more {what} than {trial.old} on route {name} "
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


def _start_step(trial: Trial, share: int) -> Trial:
    known = {
        name: dataclasses.replace(entry, step_calls=0, expected=0.0)
        for name, entry in trial.routes.items()
    }
    return dataclasses.replace(trial, share=share, routes=known)


def _summarize(trial: Trial) -> str:
    parts = []
    for name, entry in sorted(trial.routes.items()):
        found = routes.levels(entry)
        parts.append(
            f"{name}: {entry.new_calls} calls of {trial.new}, "
            f"{entry.old_calls} of {trial.old}, levels "
            f"{found['failures']:.1f} failures, "
            f"{found['slow calls']:.1f} slow"
        )
    return "; ".join(parts)
