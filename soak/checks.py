"""Checks of the promised guarantees on the recorded calls of a run."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

__all__ = [
    "Bounds",
    "CallResult",
    "Exclusion",
    "Execution",
    "Rollout",
    "Violation",
    "check_budget",
    "check_configurations",
    "check_exclusions",
    "check_executions",
    "check_exposure",
    "check_in_force",
    "check_integrity",
    "check_recovery",
]

# Failed requests after which a bad version has to be withdrawn.
FAILURES_BEFORE_ROLLBACK = 50
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Limits that the promised guarantees set.

    Parameters
    ----------
    drain_seconds : float
        Longest time for which a server still receives requests after its
        announcement that it drains was acknowledged.
    evacuation_seconds : float
        Longest time for which servers of an evacuated data centre still
        receive requests after the order.
    recovery_ratio : float
        Fraction of the idempotent requests that have to succeed once all
        faults are over.
    exposure_ratio, exposure_slack_requests : float, int
        Requests that a bad version may receive: this fraction of the
        requests of its service, plus this number.
    rollback_seconds : float
        Longest time for which a bad version still receives requests after
        its 50th failure.
    store_fault_seconds : float
        Added to the rollback time, since the store may be faulty then.
    budget_ratio, budget_slack_requests : float, int
        Executions of a service beyond the first of each request in a window:
        this fraction of its requests, plus this number.
    budget_seconds : float
        Length of these windows.
    """

    drain_seconds: float = 2.0
    evacuation_seconds: float = 5.0
    recovery_ratio: float = 0.9
    exposure_ratio: float = 0.1
    exposure_slack_requests: int = 50
    rollback_seconds: float = 5.0
    store_fault_seconds: float = 5.0
    budget_ratio: float = 0.2
    budget_slack_requests: int = 50
    budget_seconds: float = 10.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallResult:
    """Result of a request, as its caller saw it.

    Parameters
    ----------
    request : str
        Identifier of the request.
    node : str
        Name of the called node and sequence number of its process.
    sent, ended : float
        Monotonic times of the start and the end, in seconds.
    idempotent : bool
        Whether the route allows repetition.
    status : int
        HTTP status; 0 if there was no response.
    intact : bool
        False if a response with status 200 is not the backend server's
        complete response to this request.
    generation : int
        Version of the configuration whose route the request uses; 0 for
        ordinary requests.
    """

    request: str
    node: str
    sent: float
    ended: float
    idempotent: bool
    status: int
    intact: bool = True
    generation: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Execution:
    """A request that a backend server started to execute."""

    request: str
    backend: str
    started_at: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Exclusion:
    """Period in which a backend server must not receive requests.

    Parameters
    ----------
    backend : str
        Identifier of the backend server.
    since, until : float
        Monotonic times, in seconds. The period begins after the time that
        the promise allows.
    cause : str
        Name of the promise: ``drain`` or ``evacuation``.
    """

    backend: str
    since: float
    until: float
    cause: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Rollout:
    """Ordered rollout of a bad version.

    Parameters
    ----------
    backend : str
        Identifier of the backend server that runs the bad version.
    other_backends : frozenset of str
        Identifiers of all other backend servers of its service.
    since, until : float
        Monotonic times of the order and of its deadline, in seconds.
    """

    backend: str
    other_backends: frozenset[str]
    since: float
    until: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Violation:
    """A broken promise."""

    promise: str
    detail: str


def check_executions(
    results: Mapping[str, CallResult], executions: Iterable[Execution]
) -> list[Violation]:
    """Check the executions against the results that the callers received.

    A request that is not idempotent is executed at most once, and not at
    all if it was refused. Every executed request was sent by a caller.
    """
    violations = []
    counts: dict[str, int] = {}
    for execution in executions:
        counts[execution.request] = counts.get(execution.request, 0) + 1
    for request, count in counts.items():
        result = results.get(request)
        if result is None:
            violations.append(
                Violation(promise="own-requests", detail=request)
            )
        elif not result.idempotent and count > 1:
            violations.append(
                Violation(
                    promise="at-most-once",
                    detail=f"{request} was executed {count} times",
                )
            )
        elif not result.idempotent and result.status in NOT_RUN_STATUSES:
            violations.append(
                Violation(
                    promise="true-refusal",
                    detail=(
                        f"{request} got {result.status} " "and was executed"
                    ),
                )
            )
    return violations


def check_integrity(results: Iterable[CallResult]) -> list[Violation]:
    """Check that each 200 carries the complete response to its request."""
    return [
        Violation(
            promise="whole-answer",
            detail=f"{result.request} from {result.node}",
        )
        for result in results
        if not result.intact
    ]


def check_configurations(results: Iterable[CallResult]) -> list[Violation]:
    """Check that no process returns to an older configuration.

    A process that has served a route of a configuration must not answer it
    with 404 later. Requests that overlapped in time are not compared, as
    their order at the node is unknown.
    """
    violations = []
    served_at: dict[tuple[str, int], float] = {}
    for result in sorted(results, key=lambda result: result.sent):
        key = (result.node, result.generation)
        if not result.generation or not result.status:
            continue
        if result.status != 404:
            served_at[key] = min(
                served_at.get(key, result.ended), result.ended
            )
        elif key in served_at and served_at[key] < result.sent:
            violations.append(
                Violation(
                    promise="never-older",
                    detail=f"{result.request} at {result.node}",
                )
            )
    return violations


def check_in_force(
    versions: Mapping[str, int], newest: int
) -> list[Violation]:
    """Check that every node has the newest configuration after the faults.

    Parameters
    ----------
    versions : mapping
        Version of the configuration in force on each node, by its name.
    newest : int
        Newest version that an operator has written.
    """
    return [
        Violation(
            promise="in-force",
            detail=f"{node} has version {version}, {newest} was confirmed",
        )
        for node, version in versions.items()
        if version != newest
    ]


def check_exclusions(
    executions: Iterable[Execution], exclusions: Iterable[Exclusion]
) -> list[Violation]:
    """Check that excluded backend servers receive no requests."""
    violations = []
    by_backend: dict[str, list[Execution]] = {}
    for execution in executions:
        by_backend.setdefault(execution.backend, []).append(execution)
    for exclusion in exclusions:
        late = [
            execution
            for execution in by_backend.get(exclusion.backend, ())
            if exclusion.since < execution.started_at < exclusion.until
        ]
        if late:
            first = late[0]
            violations.append(
                Violation(
                    promise=exclusion.cause,
                    detail=(
                        f"{len(late)} requests at {exclusion.backend}, "
                        f"the first, {first.request}, "
                        f"{first.started_at - exclusion.since:.2f} s late"
                    ),
                )
            )
    return violations


def check_exposure(
    executions: Iterable[Execution],
    rollouts: Iterable[Rollout],
    bounds: Bounds,
) -> list[Violation]:
    """Check how many requests a bad version receives, and until when.

    The check of the rollback always allows for a faulty store, since store
    faults are drawn independently of the rollout.
    """
    violations = []
    ordered = sorted(executions, key=lambda execution: execution.started_at)
    for rollout in rollouts:
        bad_executions = [
            execution
            for execution in ordered
            if execution.backend == rollout.backend
        ]
        exposed = [
            candidate
            for candidate in bad_executions
            if rollout.since <= candidate.started_at <= rollout.until
        ]
        other_executions = sum(
            execution.backend in rollout.other_backends
            and rollout.since <= execution.started_at <= rollout.until
            for execution in ordered
        )
        allowed = bounds.exposure_slack_requests + bounds.exposure_ratio * (
            other_executions + len(exposed)
        )
        if len(exposed) > allowed:
            detail = f"{len(exposed)} requests, {allowed:.0f} allowed"
            violations.append(Violation(promise="exposure", detail=detail))
        if len(bad_executions) < FAILURES_BEFORE_ROLLBACK:
            continue
        rollback_due_at = (
            bad_executions[FAILURES_BEFORE_ROLLBACK - 1].started_at
            + bounds.rollback_seconds
            + bounds.store_fault_seconds
        )
        late_count = sum(
            execution.started_at > rollback_due_at
            for execution in bad_executions
        )
        if late_count:
            detail = f"{late_count} requests after the rollback was due"
            violations.append(Violation(promise="rollback", detail=detail))
    return violations


def check_recovery(
    results: Iterable[CallResult], *, since: float, min_ratio: float
) -> list[Violation]:
    """Check that requests are served again once the faults are over."""
    recovery_results = [
        result
        for result in results
        if result.sent >= since and result.idempotent and not result.generation
    ]
    served = sum(result.status == 200 for result in recovery_results)
    if recovery_results and served >= min_ratio * len(recovery_results):
        return []
    return [
        Violation(
            promise="recovery",
            detail=(
                f"{served} of {len(recovery_results)} served after the faults"
            ),
        )
    ]


def check_budget(
    executions: Iterable[Execution],
    services: Mapping[str, str],
    bounds: Bounds,
) -> list[Violation]:
    """Check that repeats stay within the retry budget of each service.

    Parameters
    ----------
    executions : iterable of Execution
        Executions by all backend servers.
    services : mapping
        Service of each backend server, by identifier.
    bounds : Bounds
        Limits that the promises set.
    """
    firsts: dict[str, list[float]] = {}
    repeats: dict[str, list[float]] = {}
    seen: set[str] = set()
    for execution in sorted(executions, key=lambda e: e.started_at):
        times = repeats if execution.request in seen else firsts
        seen.add(execution.request)
        service = services[execution.backend]
        times.setdefault(service, []).append(execution.started_at)
    violations = []
    for service, times in repeats.items():
        for end in times:
            since = end - bounds.budget_seconds
            count = sum(since < at <= end for at in times)
            requests = sum(since < at <= end for at in firsts[service])
            allowed = (
                bounds.budget_ratio * requests + bounds.budget_slack_requests
            )
            if count > allowed:
                detail = f"{service}: {count} repeats, {allowed:.0f} allowed"
                violations.append(
                    Violation(promise="retry-budget", detail=detail)
                )
                break
    return violations
