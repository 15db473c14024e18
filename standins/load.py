"""Callers that send requests at a constant rate and record the outcomes."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import itertools
import threading
import time
import typing

import urllib3

__all__ = ["LoadRun", "Record", "percentile_ms", "run_load", "summarize"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Record:
    """One request and its outcome.

    Parameters
    ----------
    at : float
        Monotonic time of the start, in seconds.
    request : str
        Value of ``X-Request-Id``.
    path : str
        Path of the request, without the leading slash.
    status : int
        HTTP status; 0 if there was no response.
    outcome : str
        Values of ``X-Apricotpost-Outcome`` and ``X-Apricotpost-Reason``, or
        the name of the client's error.
    version : str
        Version of the backend server that responded.
    seconds : float
        Duration of the request.
    echoed_request_id : str
        Request identifier in the body of the response.
    """

    at: float
    request: str
    path: str
    status: int
    outcome: str
    version: str
    seconds: float
    echoed_request_id: str = ""


@dataclasses.dataclass(kw_only=True)
class LoadRun:
    """Running callers and the requests that they have recorded."""

    records: list[Record] = dataclasses.field(default_factory=list)
    stopped: threading.Event = dataclasses.field(
        default_factory=threading.Event
    )


@contextlib.contextmanager
def run_load(
    addresses: Sequence[str] | Callable[[], Sequence[str]],
    *,
    per_second: float,
    requests: Sequence[tuple[str, str]],
    threads: int = 16,
    timeout_seconds: float = 10.0,
) -> typing.Iterator[LoadRun]:
    """Send requests to ingress addresses while the block runs.

    Parameters
    ----------
    addresses : sequence of str or callable
        IP:PORT of the nodes, used in turn. A callable is evaluated before
        each request.
    per_second : float
        Requests per second of all threads together.
    requests : sequence of tuple
        Methods and paths, used in turn.
    threads : int
        Number of callers. Each waits for the response to its request before
        it sends the next one.
    timeout_seconds : float
        Timeout of a request.
    """
    load = LoadRun()
    numbers = itertools.count()
    started_at = time.monotonic()
    targets = addresses if callable(addresses) else lambda: addresses
    pool = urllib3.PoolManager(
        num_pools=64, maxsize=threads, retries=False, block=False
    )

    def send_requests() -> None:
        while not load.stopped.is_set():
            number = next(numbers)
            due_at = started_at + number / per_second
            if load.stopped.wait(max(due_at - time.monotonic(), 0)):
                return
            nodes = targets()
            method, path = requests[number % len(requests)]
            url = f"http://{nodes[number % len(nodes)]}{path}"
            load.records.append(
                _send(pool, method, url, f"r{number}", timeout_seconds)
            )

    workers = [
        threading.Thread(target=send_requests, daemon=True)
        for _ in range(threads)
    ]
    for worker in workers:
        worker.start()
    try:
        yield load
    finally:
        load.stopped.set()
        for worker in workers:
            worker.join(timeout_seconds + 1)
        pool.clear()


def summarize(records: Sequence[Record]) -> dict[str, typing.Any]:
    """Count the outcomes and return percentiles of the successful requests."""
    outcomes = collections.Counter(
        f"{record.status} {record.outcome}" for record in records
    )
    successes = [record for record in records if record.status == 200]
    return {
        "requests": len(records),
        "good": len(successes),
        "success": len(successes) / len(records) if records else 0.0,
        "p50_ms": percentile_ms(successes, 0.50),
        "p99_ms": percentile_ms(successes, 0.99),
        "outcomes": dict(outcomes),
    }


def percentile_ms(records: Sequence[Record], fraction: float) -> float:
    """Return a percentile of the durations, in milliseconds."""
    durations = sorted(record.seconds for record in records)
    if not durations:
        return 0.0
    return durations[int(len(durations) * fraction)] * 1000


def _send(
    pool: urllib3.PoolManager,
    method: str,
    url: str,
    request: str,
    timeout_seconds: float,
) -> Record:
    started_at = time.monotonic()
    status, outcome, version, echoed_request_id = 0, "", "", ""
    try:
        response = pool.request(
            method,
            url,
            body=b"report" if method == "POST" else None,
            headers={"X-Request-Id": request},
            timeout=timeout_seconds,
            redirect=False,
        )
        status = response.status
        outcome = response.headers.get("X-Apricotpost-Outcome", "")
        reason = response.headers.get("X-Apricotpost-Reason", "")
        outcome = f"{outcome} {reason}".strip()
        version = response.headers.get("X-Backend-Version", "")
        if status == 200:
            echoed_request_id = response.json().get("request", "")
    except urllib3.exceptions.HTTPError as error:
        outcome = type(error).__name__
    return Record(
        at=started_at,
        request=request,
        path=url.partition("//")[2].partition("/")[2],
        status=status,
        outcome=outcome,
        version=version,
        seconds=time.monotonic() - started_at,
        echoed_request_id=echoed_request_id,
    )
