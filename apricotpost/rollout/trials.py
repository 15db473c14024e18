"""Short rollouts: evaluate a small share, then move the whole service.

An order must be carried out within seconds, so the share is not raised step
by step as in `apricotpost.rollout.steps`. Both versions are compared over the
same slices of time with the sequential tests of
`apricotpost.rollout.sequential`.
"""

from collections.abc import Mapping
import dataclasses
import enum

from apricotpost import revisions
from apricotpost.rollout import evidence
from apricotpost.rollout import sequential
from apricotpost import wire

__all__ = [
    "FINAL_PHASES",
    "LOADED_PHASES",
    "Phase",
    "Trial",
    "TrialEvidence",
    "advance",
    "count_calls",
    "evaluate_slice",
    "is_alarm",
    "is_same_order",
    "may_follow",
    "new_version_share",
    "observe",
]

# Share of the requests that the new version gets while the trial runs. With
# the test under load, a faulty version gets less than a tenth of all
# requests during the order's time.
TRIAL_SHARE = 0.04
# A fault that occurs only under load is found on one server of the new
# version that gets the load which each will have later. This exposes fewer
# requests than loading all its servers. The old version keeps at least half
# of the requests: without them in the same slice of time there is nothing to
# compare with.
MAX_MOVING_SHARE = 0.5
# Fractions of the order's time: from the first on, the service may move to
# the new version; at the second, a trial without enough evidence is rolled
# back.
MOVE_AT_FRACTION = 0.55
GIVE_UP_AT_FRACTION = 0.8
# Shortest time of the test under load: requests must end, be reported, and
# fill three slices.
MIN_MOVING_SECONDS = 2.4
# Alarm level in the phases of `LOADED_PHASES`. It is lower than
# `sequential.ALARM_LEVEL` because a bad version then affects more requests; a
# good version is rolled back in about one of 150 rollouts.
LOADED_ALARM_LEVEL = 5.0
# Time for the old version's requests to end before it is stopped.
SETTLING_SECONDS = 0.8
# Responses of each version that the move to the new one needs.
MIN_CALLS = 15
# From this evidence level on, the service does not move to the new version
# although there is no alarm yet.
DOUBT_LEVEL = 2.5
# A response is slow above this multiple of the old version's mean latency.
SLOW_FACTOR = 3.0
SLICE_SECONDS = 0.3

_TEST_PARAMETERS = sequential.TestParameters(
    excess_rates=(0.15, 0.35),
    allowance_per_call=0.01,
    initial_allowance=1.0,
    min_old_rate=0.01,
)


class Phase(enum.StrEnum):
    """Phase of a trial."""

    RUNNING = "running"
    # One server of the new version gets its full load.
    MOVING = "moving"
    # All new requests go to the new version; older ones are ending.
    SETTLING = "settling"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled-back"


FINAL_PHASES = frozenset((Phase.COMPLETED, Phase.ROLLED_BACK))
# Phases with more load on the new version; nodes report more often.
LOADED_PHASES = frozenset((Phase.MOVING, Phase.SETTLING))
_PHASE_ORDER = {phase: number for number, phase in enumerate(Phase)}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Trial:
    """State of one rollout; times are monotonic, in seconds.

    Parameters
    ----------
    service, old, new : str
        Service and its two versions. The old one is empty while no server of
        another version is known: a node that has just started has not heard
        of the backend servers yet.
    order_revision : int
        Store revision of the order.
    started_at, duration_seconds : float
        Time at which the order was received, and time allowed for it.
    phase : Phase
        Present phase.
    phase_started_at : float
        Start of the present phase.
    reason : str
        Why the new version was rolled back, or empty.
    """

    service: str
    old: str
    new: str
    order_revision: int
    started_at: float
    duration_seconds: float
    phase: Phase = Phase.RUNNING
    phase_started_at: float = 0.0
    reason: str = ""


class TrialEvidence:
    """Evidence of all nodes about the two versions of a trial.

    Attributes
    ----------
    counts : dict
        Newest cumulative counts by node, boot, backend server and route.
    slices, totals : dict
        Counts of the present slice and of the whole trial, by version and
        route.
    tests : dict
        Tests by route and kind of event.
    evaluated_at : float
        Monotonic time of the last evaluation, in seconds.
    """

    def __init__(self) -> None:
        self.counts: dict[tuple[str, int, str, str], wire.VersionCounts] = {}
        self.slices: dict[tuple[str, str], evidence.Counts] = {}
        self.totals: dict[tuple[str, str], evidence.Counts] = {}
        self.tests: dict[tuple[str, str], sequential.TestState] = {}
        self.evaluated_at = 0.0


def may_follow(current: Phase, proposed: Phase) -> bool:
    """Return whether a trial may change from one phase to another."""
    if current in FINAL_PHASES:
        return False
    return _PHASE_ORDER[proposed] > _PHASE_ORDER[current]


def is_same_order(trial: Trial, order_revision: int, version: str) -> bool:
    """Return whether an order is the one that a trial carries out.

    In a new era of the store, operators write the orders again that it has
    lost. Such an order has another revision, and names the same version.

    Parameters
    ----------
    trial : Trial
        State of a rollout.
    order_revision : int
        Store revision of the order.
    version : str
        Version that the order rolls out.
    """
    if revisions.era_of(trial.order_revision) == revisions.era_of(
        order_revision
    ):
        return trial.order_revision == order_revision
    return trial.new == version


def is_alarm(trial: Trial, level: float) -> bool:
    """Return whether the evidence is enough to roll the version back."""
    if trial.phase in LOADED_PHASES:
        return level >= LOADED_ALARM_LEVEL
    return level >= sequential.ALARM_LEVEL


def new_version_share(trial: Trial, servers: int) -> float:
    """Return the fraction of new requests that the new version gets.

    Parameters
    ----------
    trial : Trial
        State of the rollout.
    servers : int
        Number of backend servers of the new version.
    """
    if trial.phase is Phase.RUNNING:
        return TRIAL_SHARE
    if trial.phase is Phase.MOVING:
        return min(1.0 / max(servers, 1), MAX_MOVING_SHARE)
    if trial.phase is Phase.ROLLED_BACK:
        return 0.0
    return 1.0


def observe(
    trial_evidence: TrialEvidence, state: wire.NodeState, trial: Trial
) -> None:
    """Add the new calls of a node's backend server to the evidence."""
    server = state.server
    if server is None or server.service != trial.service:
        return
    if server.version not in (trial.old, trial.new):
        return
    for counts in state.counts:
        key = (state.node, state.boot, server.backend, counts.route)
        previous = trial_evidence.counts.get(key)
        if previous is not None and previous.calls >= counts.calls:
            continue
        trial_evidence.counts[key] = counts
        increase = _difference(counts, previous)
        version_route = (server.version, counts.route)
        for sums in (trial_evidence.slices, trial_evidence.totals):
            total = sums.get(version_route)
            sums[version_route] = (
                increase if total is None else evidence.add(total, increase)
            )


def evaluate_slice(
    trial_evidence: TrialEvidence, trial: Trial, now: float
) -> float:
    """Test the present slice if it is complete; return the evidence level.

    The new version counts as worse if `is_alarm` holds for this level.
    """
    if now - trial_evidence.evaluated_at >= SLICE_SECONDS:
        trial_evidence.evaluated_at = now
        slices = trial_evidence.slices
        trial_evidence.slices = {}
        for route in {route for _, route in slices}:
            _evaluate_route(trial_evidence, trial, route, slices)
    return max(
        (
            sequential.evidence_level(test)
            for test in trial_evidence.tests.values()
        ),
        default=0.0,
    )


def count_calls(trial_evidence: TrialEvidence, version: str) -> int:
    """Return the number of responses of a version so far."""
    return sum(
        counts.calls
        for (counted_version, _), counts in trial_evidence.totals.items()
        if counted_version == version
    )


def advance(
    trial: Trial, *, level: float, new_calls: int, old_calls: int, now: float
) -> Trial:
    """Return the trial after the decision on its next phase.

    Without enough responses of the old version, the evidence level says
    nothing about the new one, so the service does not move to it. While the
    old version is not known, there is none to return to either, and the
    trial stays in its phase.

    Parameters
    ----------
    trial : Trial
        Present state.
    level : float
        Evidence level against the new version.
    new_calls, old_calls : int
        Responses of the two versions so far.
    now : float
        Monotonic time, in seconds.
    """
    if trial.phase in FINAL_PHASES or not trial.old:
        return trial
    if is_alarm(trial, level):
        return _enter_phase(
            trial,
            Phase.ROLLED_BACK,
            now,
            "more failures or slow responses than the old version",
        )
    elapsed = now - trial.started_at
    if trial.phase is Phase.MOVING:
        if now - trial.phase_started_at < MIN_MOVING_SECONDS:
            return trial
        if (
            level >= DOUBT_LEVEL
            and elapsed < trial.duration_seconds * GIVE_UP_AT_FRACTION
        ):
            return trial
        if level >= DOUBT_LEVEL:
            return _enter_phase(
                trial,
                Phase.ROLLED_BACK,
                now,
                "the new version may still be worse",
            )
        return _enter_phase(trial, Phase.SETTLING, now, "")
    if trial.phase is Phase.SETTLING:
        if now - trial.phase_started_at < SETTLING_SECONDS:
            return trial
        return _enter_phase(trial, Phase.COMPLETED, now, "")
    if elapsed >= trial.duration_seconds * GIVE_UP_AT_FRACTION:
        if new_calls < MIN_CALLS:
            reason = "too few responses of the new version"
        elif old_calls < MIN_CALLS:
            reason = "too few responses of the old version to compare with"
        else:
            reason = "the new version may still be worse"
        return _enter_phase(trial, Phase.ROLLED_BACK, now, reason)
    ready = min(new_calls, old_calls) >= MIN_CALLS and level < DOUBT_LEVEL
    if ready and elapsed >= trial.duration_seconds * MOVE_AT_FRACTION:
        return _enter_phase(trial, Phase.MOVING, now, "")
    return trial


def _enter_phase(trial: Trial, phase: Phase, now: float, reason: str) -> Trial:
    return dataclasses.replace(
        trial, phase=phase, phase_started_at=now, reason=reason
    )


def _evaluate_route(
    trial_evidence: TrialEvidence,
    trial: Trial,
    route: str,
    slices: Mapping[tuple[str, str], evidence.Counts],
) -> None:
    empty = evidence.Counts()
    old = slices.get((trial.old, route), empty)
    new = slices.get((trial.new, route), empty)
    old_total = trial_evidence.totals.get((trial.old, route), empty)
    first_slow_bucket = _find_slow_bucket(old_total.latencies)
    events = {
        "failure": (new.failures, old.failures),
        "slow": (
            sum(new.latencies[first_slow_bucket:]),
            sum(old.latencies[first_slow_bucket:]),
        ),
    }
    for kind, (new_events, old_events) in events.items():
        test = trial_evidence.tests.get((route, kind)) or sequential.start(
            _TEST_PARAMETERS
        )
        trial_evidence.tests[(route, kind)] = sequential.update(
            test,
            _TEST_PARAMETERS,
            sequential.Slice(
                new_calls=new.calls,
                new_events=min(new_events, new.calls),
                old_calls=old.calls,
                old_events=min(old_events, old.calls),
            ),
        )


def _find_slow_bucket(latencies: tuple[int, ...]) -> int:
    """Return the first bucket whose responses count as slow."""
    calls = sum(latencies)
    if not calls:
        return len(evidence.BUCKET_BOUNDS_MS)
    # The last bucket has no upper bound; the bound below it is used.
    bounds = (*evidence.BUCKET_BOUNDS_MS, evidence.BUCKET_BOUNDS_MS[-1])
    total = sum(n * bound for n, bound in zip(latencies, bounds, strict=False))
    return evidence.bucket_of(total / calls * SLOW_FACTOR) + 1


def _difference(
    newest: wire.VersionCounts, previous: wire.VersionCounts | None
) -> evidence.Counts:
    if previous is None:
        return _counts_of(newest)
    return evidence.subtract(_counts_of(newest), _counts_of(previous))


def _counts_of(counts: wire.VersionCounts) -> evidence.Counts:
    return evidence.Counts(
        calls=counts.calls,
        failures=counts.failures,
        latencies=counts.latencies,
    )
