"""Short rollouts: a small share, a judgement, and the whole service at once.

Orders end within seconds, so there are no steps by evidence as in
`apricotpost.rollout.steps`. Both versions are compared over the same slices
of time with the sequential tests of `apricotpost.rollout.sequential`.
"""

from collections.abc import Mapping
import dataclasses
import enum

from apricotpost.rollout import evidence
from apricotpost.rollout import sequential
from apricotpost import wire

__all__ = [
    "FINAL",
    "Judge",
    "LOADED",
    "Phase",
    "Trial",
    "advance",
    "count_new_calls",
    "is_alarm",
    "judge_slice",
    "may_follow",
    "observe",
    "new_version_share",
]

# Part of the requests of a running trial; with the final test it stays below
# a tenth of all requests of the order's time.
TRIAL_SHARE = 0.04
# A fault under load shows on one server that gets what each will get later,
# which exposes fewer requests than loading all of them. The old version
# keeps the rest: without its requests in the same slice of time there is
# nothing to compare with.
MAX_MOVING_SHARE = 0.5
# Parts of the order's time: when the service moves, and when a trial without
# enough calls is given up.
MOVE_PART = 0.55
GIVE_UP_PART = 0.8
# Evidence under load: requests end, are reported, and fill three slices.
MOVE_SECONDS = 2.4
# While most requests are at stake, less evidence is enough: a good version
# is taken back in about one of 150 rollouts.
MOVING_ALARM = 5.0
# The old version's requests end before it is stopped.
SETTLE_SECONDS = 0.8
MIN_CALLS = 15
# Evidence that is not yet an alarm but too much for a move.
DOUBT = 2.5
# A response is slow beyond this multiple of the old version's mean.
SLOW_FACTOR = 3.0
SLICE_SECONDS = 0.3

_PLAN = sequential.Plan(
    excesses=(0.15, 0.35), tolerance=0.01, pardon=1.0, least_rate=0.01
)


class Phase(enum.StrEnum):
    """Where a trial stands."""

    RUNNING = "running"
    # One server of the new version is under its full load.
    MOVING = "moving"
    # All requests go to the new version.
    SETTLING = "settling"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


FINAL = frozenset((Phase.COMPLETED, Phase.ROLLED_BACK))
# The new version carries most requests; evidence is reported more often.
LOADED = frozenset((Phase.MOVING, Phase.SETTLING))
_ORDER = {phase: number for number, phase in enumerate(Phase)}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """One rollout; times are of the monotonic clock, in seconds.

    Parameters
    ----------
    service, old, new : str
        What is rolled out.
    order : int
        Store revision of the order.
    started, seconds : float
        When the order was seen, and how long it may take.
    phase : Phase
        Where it stands.
    since : float
        Start of the phase.
    reason : str
        Why it was rolled back.
    """

    service: str
    old: str
    new: str
    order: int
    started: float
    seconds: float
    phase: Phase = Phase.RUNNING
    since: float = 0.0
    reason: str = ""


class Judge:
    """Evidence of all nodes on the two versions of a trial."""

    def __init__(self) -> None:
        # Newest cumulative counts by node, boot, backend server and route.
        self.counts: dict[tuple[str, int, str, str], wire.VersionCounts] = {}
        self.slices: dict[tuple[str, str], evidence.Counts] = {}
        self.totals: dict[tuple[str, str], evidence.Counts] = {}
        self.tests: dict[tuple[str, str], sequential.Test] = {}
        self.judged = 0.0


def may_follow(known: Phase, after: Phase) -> bool:
    """Tell whether a trial may go from one phase to another."""
    if known in FINAL:
        return False
    return _ORDER[after] > _ORDER[known]


def is_alarm(trial: Trial, level: float) -> bool:
    """Tell whether the evidence is enough to take the new version back."""
    if trial.phase in LOADED:
        return level >= MOVING_ALARM
    return level >= sequential.ALARM


def new_version_share(trial: Trial, servers: int) -> float:
    """Return the part of new requests that the new version gets.

    Parameters
    ----------
    trial : Trial
        Its state.
    servers : int
        Backend servers of the new version.
    """
    if trial.phase is Phase.RUNNING:
        return TRIAL_SHARE
    if trial.phase is Phase.MOVING:
        return min(1.0 / max(servers, 1), MAX_MOVING_SHARE)
    if trial.phase is Phase.ROLLED_BACK:
        return 0.0
    return 1.0


def observe(judge: Judge, state: wire.NodeState, trial: Trial) -> None:
    """Take the counts of a node's backend server."""
    server = state.server
    if server is None or server.service != trial.service:
        return
    if server.version not in (trial.old, trial.new):
        return
    for counts in state.counts:
        key = (state.node, state.boot, server.backend, counts.route)
        before = judge.counts.get(key)
        if before is not None and before.calls >= counts.calls:
            continue
        judge.counts[key] = counts
        found = _difference(counts, before)
        place = (server.version, counts.route)
        for table in (judge.slices, judge.totals):
            known = table.get(place)
            table[place] = (
                found if known is None else evidence.add(known, found)
            )


def judge_slice(judge: Judge, trial: Trial, now: float) -> float:
    """Account for the slice since the last call; return the evidence.

    At `sequential.ALARM` the new version is worse.
    """
    if now - judge.judged >= SLICE_SECONDS:
        judge.judged = now
        slices = judge.slices
        judge.slices = {}
        for route in {route for _, route in slices}:
            _judge_route(judge, trial, route, slices)
    return max(
        (sequential.level(test) for test in judge.tests.values()), default=0.0
    )


def count_new_calls(judge: Judge, trial: Trial) -> int:
    """Return how many responses of the new version were judged."""
    return sum(
        counts.calls
        for (version, _), counts in judge.totals.items()
        if version == trial.new
    )


def advance(
    trial: Trial, *, level: float, new_calls: int, now: float
) -> Trial:
    """Decide what follows from the evidence and the time.

    Parameters
    ----------
    trial : Trial
        A trial that is not over.
    level : float
        Evidence against the new version.
    new_calls : int
        Responses of the new version.
    now : float
        Monotonic time, in seconds.
    """
    if trial.phase in FINAL:
        return trial
    if is_alarm(trial, level):
        return _enter(trial, Phase.ROLLED_BACK, now, "worse than the old one")
    elapsed = now - trial.started
    if trial.phase is Phase.MOVING:
        if now - trial.since < MOVE_SECONDS:
            return trial
        if level >= DOUBT and elapsed < trial.seconds * GIVE_UP_PART:
            return trial
        if level >= DOUBT:
            return _enter(trial, Phase.ROLLED_BACK, now, "doubt remains")
        return _enter(trial, Phase.SETTLING, now, "")
    if trial.phase is Phase.SETTLING:
        if now - trial.since < SETTLE_SECONDS:
            return trial
        return _enter(trial, Phase.COMPLETED, now, "")
    if elapsed >= trial.seconds * GIVE_UP_PART:
        reason = "too few calls" if new_calls < MIN_CALLS else "doubt remains"
        return _enter(trial, Phase.ROLLED_BACK, now, reason)
    ready = new_calls >= MIN_CALLS and level < DOUBT
    if ready and elapsed >= trial.seconds * MOVE_PART:
        return _enter(trial, Phase.MOVING, now, "")
    return trial


def _enter(trial: Trial, phase: Phase, now: float, reason: str) -> Trial:
    return dataclasses.replace(trial, phase=phase, since=now, reason=reason)


def _judge_route(
    judge: Judge,
    trial: Trial,
    route: str,
    slices: Mapping[tuple[str, str], evidence.Counts],
) -> None:
    empty = evidence.Counts()
    old = slices.get((trial.old, route), empty)
    new = slices.get((trial.new, route), empty)
    usual = judge.totals.get((trial.old, route), empty)
    threshold = _slow_bucket(usual.latencies)
    events = {
        "failure": (new.failures, old.failures),
        "slow": (
            sum(new.latencies[threshold:]),
            sum(old.latencies[threshold:]),
        ),
    }
    for kind, (new_events, old_events) in events.items():
        test = judge.tests.get((route, kind)) or sequential.start(_PLAN)
        judge.tests[(route, kind)] = sequential.update(
            test,
            _PLAN,
            sequential.Slice(
                new_calls=new.calls,
                new_events=min(new_events, new.calls),
                old_calls=old.calls,
                old_events=min(old_events, old.calls),
            ),
        )


def _slow_bucket(latencies: tuple[int, ...]) -> int:
    """Return the first bucket of responses that count as slow."""
    calls = sum(latencies)
    if not calls:
        return len(evidence.BOUNDS_MS)
    # The last bucket has no bound of its own.
    bounds = (*evidence.BOUNDS_MS, evidence.BOUNDS_MS[-1])
    total = sum(n * bound for n, bound in zip(latencies, bounds, strict=False))
    return evidence.bucket_of(total / calls * SLOW_FACTOR) + 1


def _difference(
    after: wire.VersionCounts, before: wire.VersionCounts | None
) -> evidence.Counts:
    if before is None:
        return _counts_of(after)
    return evidence.subtract(_counts_of(after), _counts_of(before))


def _counts_of(found: wire.VersionCounts) -> evidence.Counts:
    return evidence.Counts(
        calls=found.calls,
        failures=found.failures,
        latencies=found.latencies,
    )
