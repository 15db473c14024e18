"""What a node of a service keeps while a rollout of it is open."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from apricotpost import model
from apricotpost.rollout import evidence
from apricotpost.rollout import judges
from apricotpost.rollout import plans
from apricotpost.rollout import steps
from apricotpost.rollout import verdicts

__all__ = ["Observation", "Watch", "evaluate", "receive"]

# After two full reports in a row were lost, or while this node was no judge,
# the calls in between may belong to another step or rollout.
GAP_SECONDS = 3 * judges.FULL_SECONDS


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Watch:
    """Evidence, its evaluation and the ages of backend servers.

    Parameters
    ----------
    evidence_store : EvidenceStore
        Counts received.
    heard_at : mapping
        When each instance with counts in the book last reported, in
        monotonic seconds.
    trial : Trial, optional
        Evidence about the open rollout.
    up_since : mapping
        Version and Unix time since when an instance is up with it.
    """

    evidence_store: evidence.EvidenceStore = evidence.EvidenceStore()
    heard_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    trial: verdicts.Trial | None = None
    up_since: Mapping[str, tuple[str, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Observation:
    """An open rollout as this node sees it at one moment.

    Parameters
    ----------
    snapshot : apricotpost.model.Snapshot
        Configuration in force.
    rollout : apricotpost.model.Rollout
        Open rollout of the service.
    judgement : Judgement
        Verdict of this node.
    facts : Facts
        Backend servers, and a withdrawal by any node.
    is_first : bool
        Whether this node is to be the holder.
    """

    snapshot: model.Snapshot
    rollout: model.Rollout
    judgement: verdicts.Judgement
    facts: steps.Facts
    is_first: bool


def receive(
    watch: Watch,
    found: Iterable[model.Evidence],
    *,
    full: bool,
    now: float,
) -> Watch:
    """Account for a report of a gate.

    Notes
    -----
    The first report, or the first after a gap, must be full: it sets the
    starting point. Had a partial one set it, the older calls of the routes
    left out of it would later count as new ones.
    """
    heard = {
        name: at
        for name, at in watch.heard_at.items()
        if now - at <= GAP_SECONDS
    }
    store = evidence.keep_instances(watch.evidence_store, heard)
    usable = [entry for entry in found if full or entry.instance in heard]
    heard.update((entry.instance, now) for entry in usable)
    return dataclasses.replace(
        watch, evidence_store=evidence.receive(store, usable), heard_at=heard
    )


def evaluate(
    watch: Watch, view: model.View, *, instance: str, now: float
) -> tuple[Watch, Observation | None]:
    """Evaluate the evidence since the last look.

    Parameters
    ----------
    watch : Watch
        State before.
    view : apricotpost.model.View
        View in force.
    instance : str
        Own name; rollouts of other services are none of its business.
    now : float
        Unix time in seconds.

    Returns
    -------
    watch : Watch
        State after.
    observation : Observation, optional
        The open rollout of the own service, if there is one.
    """
    service = _service_of(view, instance)
    members = [entry for entry in view.instances if entry.service == service]
    store, found = evidence.take_undrained(watch.evidence_store)
    names = [entry.instance for entry in members]
    watch = Watch(
        evidence_store=evidence.keep_instances(store, names),
        heard_at={
            name: at for name, at in watch.heard_at.items() if name in names
        },
        trial=watch.trial,
        up_since=_note_ages(watch.up_since, members, now),
    )
    rollout = plans.find_open(view.snapshot, service) if service else None
    if rollout is None:
        return dataclasses.replace(watch, trial=None), None
    trial = watch.trial
    if trial is None or trial.rollout != rollout.identifier:
        trial = verdicts.start(
            rollout=rollout.identifier,
            old=rollout.old,
            new=rollout.new,
            share=rollout.share,
            now=now,
        )
    trial = verdicts.observe(
        trial,
        found,
        service=service,
        share=rollout.share,
        baking=rollout.state is model.RolloutState.BAKING,
        now=now,
    )
    watch = dataclasses.replace(watch, trial=trial)
    observation = Observation(
        snapshot=view.snapshot,
        rollout=rollout,
        judgement=verdicts.judge(trial),
        facts=steps.count_servers(
            rollout,
            members,
            {name: since for name, (_, since) in watch.up_since.items()},
            now,
            _find_withdrawal(view, rollout),
        ),
        is_first=_is_first(service, members, instance),
    )
    return watch, observation


def _is_first(
    service: str, members: Iterable[model.InstanceRecord], instance: str
) -> bool:
    found = judges.find_judges(service, members)
    return bool(found) and found[0].instance == instance


def _service_of(view: model.View, instance: str) -> str:
    for entry in view.instances:
        if entry.instance == instance:
            return entry.service
    return ""


def _note_ages(
    known: Mapping[str, tuple[str, float]],
    members: Iterable[model.InstanceRecord],
    now: float,
) -> dict[str, tuple[str, float]]:
    ages: dict[str, tuple[str, float]] = {}
    for entry in members:
        if entry.state is not model.InstanceState.UP:
            continue
        before = known.get(entry.instance)
        same = before is not None and before[0] == entry.version
        ages[entry.instance] = (
            before if same and before is not None else (entry.version, now)
        )
    return ages


def _find_withdrawal(view: model.View, rollout: model.Rollout) -> str:
    for entry in view.withdrawals:
        if entry.rollout == rollout.identifier:
            return entry.reason or "withdrawn"
    return ""
