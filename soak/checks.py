"""Promises of the pages, checked on what callers and servers have seen."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

__all__ = [
    "Answer",
    "Bounds",
    "Departure",
    "Rollout",
    "Run",
    "Violation",
    "check_answers",
    "check_configurations",
    "check_departures",
    "check_exposure",
    "check_recovery",
    "check_runs",
]

# Bad answers after which a version has to be withdrawn.
BAD_ANSWERS = 50
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Times that the promises allow, in seconds.

    Parameters
    ----------
    drain : float
        Requests to a server that has said that it leaves.
    evacuation : float
        Requests in a data centre that is taken out.
    recovery_share : float
        Part of the repeatable requests that succeed once all faults are
        over.
    exposure_share, exposure_slack : float, int
        Requests that a bad version may get: a part of those of its service,
        and so many more.
    rollback : float
        Requests to a bad version after its 50th bad answer.
    stretch : float
        Added to that while the store is disturbed.
    """

    drain: float = 2.0
    evacuation: float = 5.0
    recovery_share: float = 0.9
    exposure_share: float = 0.1
    exposure_slack: int = 50
    rollback: float = 5.0
    stretch: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What a caller got for a request.

    Parameters
    ----------
    request : str
        Identifier.
    node : str
        Node that was called, with the number of its process.
    sent, ended : float
        Monotonic times, in seconds.
    idempotent : bool
        Whether the route allows repetition.
    status : int
        0 if there was no answer.
    whole : bool
        Whether a 2xx is the server's answer to this very request.
    generation : int
        Configuration that the request tests; 0 for ordinary requests.
    """

    request: str
    node: str
    sent: float
    ended: float
    idempotent: bool
    status: int
    whole: bool = True
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that a backend server began to run."""

    request: str
    backend: str
    at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Departure:
    """A backend server that may get no requests in a time.

    Parameters
    ----------
    backend : str
        Identifier.
    since, until : float
        Monotonic times, in seconds, with the time allowed included.
    cause : str
        Which promise it is.
    """

    backend: str
    since: float
    until: float
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """A bad version that was ordered.

    Parameters
    ----------
    backend : str
        The server that runs it.
    others : frozenset of str
        All other servers of its service.
    since, until : float
        Order and deadline, in monotonic seconds.
    """

    backend: str
    others: frozenset[str]
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A promise that was broken."""

    promise: str
    detail: str


def check_runs(
    answers: Mapping[str, Answer], runs: Iterable[Run]
) -> list[Violation]:
    """Check at-most-once, true refusals and that requests are callers'."""
    found = []
    counts: dict[str, int] = {}
    for run in runs:
        counts[run.request] = counts.get(run.request, 0) + 1
    for request, count in counts.items():
        answer = answers.get(request)
        if answer is None:
            found.append(Violation(promise="own-requests", detail=request))
        elif not answer.idempotent and count > 1:
            found.append(
                Violation(
                    promise="at-most-once",
                    detail=f"{request} ran {count} times",
                )
            )
        elif not answer.idempotent and answer.status in NOT_RUN_STATUSES:
            found.append(
                Violation(
                    promise="true-refusal",
                    detail=f"{request} got {answer.status} and ran",
                )
            )
    return found


def check_answers(answers: Iterable[Answer]) -> list[Violation]:
    """Check that each 2xx is the whole answer to its request."""
    return [
        Violation(
            promise="whole-answer",
            detail=f"{answer.request} from {answer.node}",
        )
        for answer in answers
        if not answer.whole
    ]


def check_configurations(answers: Iterable[Answer]) -> list[Violation]:
    """Check that no process returns to an older configuration.

    A process that has answered by a route of a configuration may not refuse
    it with 404 later. Requests under way at the same time prove nothing.
    """
    found = []
    served: dict[tuple[str, int], float] = {}
    for answer in sorted(answers, key=lambda answer: answer.sent):
        key = (answer.node, answer.generation)
        if not answer.generation or not answer.status:
            continue
        if answer.status != 404:
            served[key] = min(served.get(key, answer.ended), answer.ended)
        elif key in served and served[key] < answer.sent:
            found.append(
                Violation(
                    promise="never-older",
                    detail=f"{answer.request} at {answer.node}",
                )
            )
    return found


def check_departures(
    runs: Iterable[Run], departures: Iterable[Departure]
) -> list[Violation]:
    """Check that servers get nothing after they were taken out."""
    found = []
    by_backend: dict[str, list[Run]] = {}
    for run in runs:
        by_backend.setdefault(run.backend, []).append(run)
    for departure in departures:
        late = [
            run
            for run in by_backend.get(departure.backend, ())
            if departure.since < run.at < departure.until
        ]
        if late:
            first = late[0]
            found.append(
                Violation(
                    promise=departure.cause,
                    detail=(
                        f"{len(late)} runs at {departure.backend}, "
                        f"{first.request} "
                        f"{first.at - departure.since:.2f} s late"
                    ),
                )
            )
    return found


def check_exposure(
    runs: Iterable[Run], rollouts: Iterable[Rollout], bounds: Bounds
) -> list[Violation]:
    """Check how much a bad version gets, and that it gets no more later.

    The second check allows the longest time of the promise, since faults
    of the store are drawn without regard to the rollout.
    """
    found = []
    ordered = sorted(runs, key=lambda run: run.at)
    for rollout in rollouts:
        bad = [run for run in ordered if run.backend == rollout.backend]
        within = [r for r in bad if rollout.since <= r.at <= rollout.until]
        others = sum(
            run.backend in rollout.others
            and rollout.since <= run.at <= rollout.until
            for run in ordered
        )
        allowed = bounds.exposure_slack + bounds.exposure_share * (
            others + len(within)
        )
        if len(within) > allowed:
            detail = f"{len(within)} runs, {allowed:.0f} allowed"
            found.append(Violation(promise="exposure", detail=detail))
        if len(bad) < BAD_ANSWERS:
            continue
        end = bad[BAD_ANSWERS - 1].at + bounds.rollback + bounds.stretch
        late = sum(run.at > end for run in bad)
        if late:
            detail = f"{late} runs after the rollback"
            found.append(Violation(promise="rollback", detail=detail))
    return found


def check_recovery(
    answers: Iterable[Answer], *, since: float, share: float
) -> list[Violation]:
    """Check that requests are served again after the faults."""
    late = [
        answer
        for answer in answers
        if answer.sent >= since and answer.idempotent and not answer.generation
    ]
    served = sum(answer.status == 200 for answer in late)
    if late and served >= share * len(late):
        return []
    return [
        Violation(
            promise="recovery",
            detail=f"{served} of {len(late)} served after the faults",
        )
    ]
