"""Which nodes judge a rollout, and what a node sends them when."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from apricotpost import model
from apricotpost import spread

__all__ = [
    "FULL_SECONDS",
    "JUDGES",
    "SentReports",
    "SentReport",
    "ReportPlan",
    "find_judges",
    "plan_reports",
]

# The first is the holder; the others have the evidence when it dies.
JUDGES = 3
# A lost report is repaired by the next full one, because counts are
# cumulative.
FULL_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentReport:
    """What a judge was sent.

    Parameters
    ----------
    full_at : float
        Time of the last full report, in seconds.
    sent : frozenset of Evidence
        Newest counts sent of each route.
    """

    full_at: float
    sent: frozenset[model.Evidence]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentReports:
    """What each present judge was sent, by its name."""

    by_judge: Mapping[str, SentReport] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportPlan:
    """Counts that one judge is to be sent now."""

    judge: str
    evidence: tuple[model.Evidence, ...]
    full: bool


def find_judges(
    service: str, instances: Iterable[model.InstanceRecord]
) -> tuple[model.InstanceRecord, ...]:
    """Return the judges of a service's rollout, its holder first."""
    live = {
        entry.instance: entry
        for entry in instances
        if entry.service == service and entry.state is model.InstanceState.UP
    }
    return tuple(live[name] for name in spread.rank(live, service)[:JUDGES])


def plan_reports(
    state: SentReports,
    evidence: tuple[model.Evidence, ...],
    judges: Sequence[str],
    now: float,
) -> tuple[SentReports, tuple[ReportPlan, ...]]:
    """Decide which judge gets which counts.

    Parameters
    ----------
    state : SentReports
        State before.
    evidence : tuple of Evidence
        All counts of the own gate.
    judges : sequence of str
        Present judges other than this node. One that was no judge at the
        last call gets a full report.
    now : float
        Monotonic time in seconds.
    """
    by_judge: dict[str, SentReport] = {}
    reports: list[ReportPlan] = []
    everything = frozenset(evidence)
    for judge in judges:
        known = state.by_judge.get(judge)
        if known is None or now - known.full_at >= FULL_SECONDS:
            by_judge[judge] = SentReport(full_at=now, sent=everything)
            reports.append(
                ReportPlan(judge=judge, evidence=evidence, full=True)
            )
            continue
        by_judge[judge] = dataclasses.replace(known, sent=everything)
        changed = tuple(entry for entry in evidence if entry not in known.sent)
        if changed:
            reports.append(
                ReportPlan(judge=judge, evidence=changed, full=False)
            )
    return SentReports(by_judge=by_judge), tuple(reports)
