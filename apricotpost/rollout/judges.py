"""Choice of the nodes that judge a rollout, and reports to them."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from apricotpost import distribution
from apricotpost import model

__all__ = [
    "FULL_REPORT_SECONDS",
    "JUDGE_COUNT",
    "ReportPlan",
    "SentReport",
    "SentReports",
    "find_judges",
    "plan_reports",
]

# Number of judges. The first is the holder; the others receive the same
# evidence, so that one of them can take over if the holder fails.
JUDGE_COUNT = 3
# Interval between full reports. Counts are cumulative, so the next full report
# makes up for a lost one.
FULL_REPORT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentReport:
    """Counts that a judge was sent.

    Parameters
    ----------
    full_at : float
        Time of the last full report, in monotonic seconds.
    sent : frozenset of Evidence
        Newest counts that were sent for each route.
    """

    full_at: float
    sent: frozenset[model.Evidence]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SentReports:
    """Counts that each present judge was sent, by the judge's name."""

    by_judge: Mapping[str, SentReport] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReportPlan:
    """Report that one judge is to be sent now.

    Parameters
    ----------
    judge : str
        Name of the judge.
    evidence : tuple of Evidence
        Counts to send.
    is_full : bool
        Whether these are all counts of the gate.
    """

    judge: str
    evidence: tuple[model.Evidence, ...]
    is_full: bool


def find_judges(
    service: str, instances: Iterable[model.InstanceRecord]
) -> tuple[model.InstanceRecord, ...]:
    """Return the judges of a service's rollout, its holder first."""
    live = {
        entry.instance: entry
        for entry in instances
        if entry.service == service and entry.state is model.InstanceState.UP
    }
    return tuple(
        live[name] for name in distribution.rank(live, service)[:JUDGE_COUNT]
    )


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
        Counts sent so far.
    evidence : tuple of Evidence
        All counts of this node's gate.
    judges : sequence of str
        Present judges other than this node. One that was not a judge at the
        previous call gets a full report.
    now : float
        Monotonic time in seconds.
    """
    by_judge: dict[str, SentReport] = {}
    reports: list[ReportPlan] = []
    all_counts = frozenset(evidence)
    for judge in judges:
        last_report = state.by_judge.get(judge)
        if (
            last_report is None
            or now - last_report.full_at >= FULL_REPORT_SECONDS
        ):
            by_judge[judge] = SentReport(full_at=now, sent=all_counts)
            reports.append(
                ReportPlan(judge=judge, evidence=evidence, is_full=True)
            )
            continue
        by_judge[judge] = dataclasses.replace(last_report, sent=all_counts)
        changed = tuple(
            entry for entry in evidence if entry not in last_report.sent
        )
        if changed:
            reports.append(
                ReportPlan(judge=judge, evidence=changed, is_full=False)
            )
    return SentReports(by_judge=by_judge), tuple(reports)
