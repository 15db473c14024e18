"""Evidence and judgement of the open rollout of a node's own service."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost.rollout import evidence
from apricotpost.rollout import judgements
from apricotpost.rollout import judges
from apricotpost.rollout import plans
from apricotpost.rollout import steps

__all__ = ["Observation", "RolloutMonitor", "evaluate", "receive"]

# A report after a longer gap sets a new baseline, because the calls in the
# gap may belong to another step or rollout. Such a gap arises when two full
# reports in a row are lost, or while this node is not a judge.
MAX_REPORT_GAP_SECONDS = 3 * judges.FULL_REPORT_SECONDS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RolloutMonitor:
    """Evidence about a rollout, state of its trial, start times of servers.

    Parameters
    ----------
    evidence_store : EvidenceStore
        Counts received from gates.
    heard_at : mapping
        Time of the last report of each instance, in monotonic seconds.
    trial : Trial, optional
        State of the tests of the open rollout.
    up_since : mapping
        For each instance that is up, its version and the Unix time at which
        it was first seen up with this version.
    """

    evidence_store: evidence.EvidenceStore = evidence.EvidenceStore()
    heard_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    trial: judgements.Trial | None = None
    up_since: Mapping[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """State of an open rollout as this node sees it.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    rollout : apricotpost.model.Rollout
        Open rollout of the service.
    judgement : Judgement
        Judgement of this node.
    server_counts : ServerCounts
        Numbers of backend servers and slots, and a withdrawal by any node.
    is_holder_candidate : bool
        Whether this node ranks first among the judges, so that it should be
        the holder.
    """

    snapshot: model.Snapshot
    rollout: model.Rollout
    judgement: judgements.Judgement
    server_counts: steps.ServerCounts
    is_holder_candidate: bool


def receive(
    monitor: RolloutMonitor,
    counts: Iterable[model.Evidence],
    *,
    full: bool,
    now: float,
) -> RolloutMonitor:
    """Return the state after a report of a gate's counts.

    Parameters
    ----------
    monitor : RolloutMonitor
        State before the report.
    counts : iterable of apricotpost.model.Evidence
        Counts in the report.
    full : bool
        Whether the report has the counts of all routes.
    now : float
        Monotonic time in seconds.

    Notes
    -----
    The first report of an instance, and the first after a gap, must be full
    because it sets the baseline. A partial report leaves out routes, whose
    older calls would later count as new ones.
    """
    reported_at = {
        name: at
        for name, at in monitor.heard_at.items()
        if now - at <= MAX_REPORT_GAP_SECONDS
    }
    store = evidence.retain_instances(monitor.evidence_store, reported_at)
    accepted = [
        item for item in counts if full or item.instance in reported_at
    ]
    reported_at.update((item.instance, now) for item in accepted)
    return dataclasses.replace(
        monitor,
        evidence_store=evidence.receive(store, accepted),
        heard_at=reported_at,
    )


def evaluate(
    monitor: RolloutMonitor, view: model.View, *, instance: str, now: float
) -> tuple[RolloutMonitor, Observation | None]:
    """Evaluate the evidence since the last evaluation.

    Parameters
    ----------
    monitor : RolloutMonitor
        Present state.
    view : apricotpost.model.View
        View in force.
    instance : str
        Name of the own instance; only rollouts of its service are evaluated.
    now : float
        Unix time in seconds.

    Returns
    -------
    monitor : RolloutMonitor
        New state.
    observation : Observation, optional
        The open rollout of the own service, if there is one.
    """
    service = _service_of(view, instance)
    members = [entry for entry in view.instances if entry.service == service]
    store, counts = evidence.take_undrained(monitor.evidence_store)
    names = [entry.instance for entry in members]
    monitor = RolloutMonitor(
        evidence_store=evidence.retain_instances(store, names),
        heard_at={
            name: at for name, at in monitor.heard_at.items() if name in names
        },
        trial=monitor.trial,
        up_since=_update_up_since(monitor.up_since, members, now),
    )
    rollout = plans.find_open(view.snapshot, service) if service else None
    if rollout is None:
        return dataclasses.replace(monitor, trial=None), None
    trial = monitor.trial
    if trial is None or trial.rollout != rollout.identifier:
        trial = judgements.start(
            rollout=rollout.identifier,
            old=rollout.old,
            new=rollout.new,
            share=rollout.share,
            now=now,
        )
    trial = judgements.observe(
        trial,
        counts,
        service=service,
        share=rollout.share,
        baking=rollout.state is model.RolloutState.BAKING,
        now=now,
    )
    monitor = dataclasses.replace(monitor, trial=trial)
    observation = Observation(
        snapshot=view.snapshot,
        rollout=rollout,
        judgement=judgements.judge(trial),
        server_counts=steps.count_servers(
            rollout,
            members,
            {name: since for name, (_, since) in monitor.up_since.items()},
            now,
            _find_withdrawal(view, rollout),
        ),
        is_holder_candidate=_is_holder_candidate(service, members, instance),
    )
    return monitor, observation


def _is_holder_candidate(
    service: str, members: Iterable[model.InstanceRecord], instance: str
) -> bool:
    ranked = judges.find_judges(service, members)
    return bool(ranked) and ranked[0].instance == instance


def _service_of(view: model.View, instance: str) -> str:
    for entry in view.instances:
        if entry.instance == instance:
            return entry.service
    return ""


def _update_up_since(
    previous: Mapping[str, tuple[str, float]],
    members: Iterable[model.InstanceRecord],
    now: float,
) -> dict[str, tuple[str, float]]:
    updated: dict[str, tuple[str, float]] = {}
    for entry in members:
        if entry.state is not model.InstanceState.UP:
            continue
        last_seen = previous.get(entry.instance)
        is_same_version = (
            last_seen is not None and last_seen[0] == entry.version
        )
        updated[entry.instance] = (
            last_seen
            if is_same_version and last_seen is not None
            else (entry.version, now)
        )
    return updated


def _find_withdrawal(view: model.View, rollout: model.Rollout) -> str:
    for entry in view.withdrawals:
        if entry.rollout == rollout.identifier:
            return entry.reason or "withdrawn"
    return ""
