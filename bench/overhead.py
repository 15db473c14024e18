"""Latency and processor time that the nodes add to a call."""

import concurrent.futures
import contextlib
import dataclasses
import http.client
import multiprocessing
import random
import statistics
import threading
import time
import typing

import psutil

from apricotpost import model
from standins import fleet as fleets

__all__ = ["open_pair", "run"]

TARGET_MS = 2.0
RATE = 83.0
RISING_RATES = (83.0, 166.0, 250.0, 330.0, 420.0, 500.0)
THREADS = 8
SEED = 83
# Time for the sending processes to start.
START_SECONDS = 1.5
# A rate is beyond the knee when calls of the 99th percentile wait longer.
KNEE_MS = 50.0
SERVICE_MS = 2.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Where a stream of calls goes."""

    address: str
    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """Latencies of one stream of calls, in milliseconds."""

    latencies_ms: tuple[float, ...]
    failed: int
    calls: int

    def percentile(self, share: float) -> float:
        """Return the latency that this share of the calls stays under."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return float("inf")
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]


def run(full: bool) -> dict[str, typing.Any]:
    """Compare calls through the system with direct calls.

    Parameters
    ----------
    full : bool
        Whether to measure for longer and at rising rates up to the knee.

    Returns
    -------
    dict
        ``rows`` with name, value, unit, target and holds; ``raw`` figures.
    """
    with open_pair() as members:
        side_by_side = _measure_side_by_side(
            members, seconds=30.0 if full else 8.0
        )
        rising = _measure_rising(members) if full else []
    added = side_by_side["added_p99_ms"]
    rows = [
        _row("latency added to a call, median", side_by_side["added_p50_ms"]),
        _row("latency added to a call, 99th percentile", added, TARGET_MS),
        _row(
            "processor time of the nodes per call",
            side_by_side["processor_ms_per_call"],
        ),
    ]
    knee = [entry["rate"] for entry in rising if entry["holds"]]
    if knee:
        rows.append(_row("calls a second per node", max(knee), RATE, "1/s"))
    return {"rows": rows, "raw": {"compare": side_by_side, "rising": rising}}


@contextlib.contextmanager
def open_pair() -> typing.Iterator[list[fleets.Member]]:
    """Start two nodes; each takes calls for the other's backend server."""
    services = ("portal", "fieldbook")
    snapshot = model.Snapshot(
        version=1,
        services=tuple(
            model.Service(
                name=name,
                team="inspection",
                versions=(model.VersionShare(version="v1", share=1000),),
            )
            for name in sorted(services)
        ),
        routes=tuple(
            model.Route(
                name=name,
                service=name,
                prefix="/" + name,
                methods=("GET", "POST"),
                idempotent=False,
            )
            for name in sorted(services)
        ),
        data_centres=(model.DataCentre(name="riga-1", region="lv-riga"),),
    )
    with fleets.open_fleet() as fleet:
        fleets.commit_first(fleet, snapshot)
        for number, service in enumerate(services):
            fleets.start_member(
                fleet,
                instance=f"node-{number}",
                data_centre="riga-1",
                service=service,
                version="v1",
                behaviour={"service_ms": SERVICE_MS, "slots": 64},
            )
        for target in _through(fleet.members):
            fleets.wait_for(lambda: _call(target) == 200, seconds=20)
        _warm_up(fleet.members)
        yield fleet.members


def _warm_up(members: list[fleets.Member]) -> None:
    targets = [*_through(members), *_direct(members)]
    _run_streams(targets, rate=RATE, seconds=2.0, from_schedule=False)


def _through(members: list[fleets.Member]) -> list[Target]:
    one, two = members
    return [
        Target(address=one.ingress, path=f"/{two.service}/x"),
        Target(address=two.ingress, path=f"/{one.service}/x"),
    ]


def _direct(members: list[fleets.Member]) -> list[Target]:
    return [
        Target(address=member.backend, path=f"/{member.service}/x")
        for member in members
    ]


def _measure_side_by_side(
    members: list[fleets.Member], *, seconds: float
) -> dict[str, float]:
    nodes = _node_processes(members)
    before = _processor_seconds(nodes)
    samples = _run_streams(
        [*_through(members), *_direct(members)],
        rate=RATE,
        seconds=seconds,
        from_schedule=False,
    )
    spent = _processor_seconds(nodes) - before
    idle_before = _processor_seconds(nodes)
    time.sleep(2.0)
    idle = (_processor_seconds(nodes) - idle_before) / 2.0 * seconds
    through, direct = _join(samples[:2]), _join(samples[2:])
    return {
        "rate": RATE,
        "seconds": seconds,
        "calls": through.calls,
        "failed": through.failed + direct.failed,
        "through_p50_ms": through.percentile(0.5),
        "through_p99_ms": through.percentile(0.99),
        "direct_p50_ms": direct.percentile(0.5),
        "direct_p99_ms": direct.percentile(0.99),
        "added_mean_ms": statistics.fmean(through.latencies_ms)
        - statistics.fmean(direct.latencies_ms),
        "added_p50_ms": through.percentile(0.5) - direct.percentile(0.5),
        "added_p99_ms": through.percentile(0.99) - direct.percentile(0.99),
        "processor_ms_per_call": (spent - idle) * 1000 / through.calls,
    }


def _measure_rising(
    members: list[fleets.Member],
) -> list[dict[str, typing.Any]]:
    found = []
    for rate in RISING_RATES:
        sample = _join(
            _run_streams(
                _through(members), rate=rate, seconds=6.0, from_schedule=True
            )
        )
        holds = not sample.failed and sample.percentile(0.99) < KNEE_MS
        found.append(
            {
                "rate": rate,
                "calls": sample.calls,
                "failed": sample.failed,
                "p50_ms": sample.percentile(0.5),
                "p99_ms": sample.percentile(0.99),
                "holds": holds,
            }
        )
        if not holds:
            break
    return found


def _run_streams(
    targets: list[Target],
    *,
    rate: float,
    seconds: float,
    from_schedule: bool,
) -> list[Sample]:
    """Send calls to all targets at once, with exponential gaps.

    Each target has a sending process of its own, so that the interpreter
    lock of the sender does not delay the calls that are measured.
    """
    starts_at = time.time() + START_SECONDS
    with concurrent.futures.ProcessPoolExecutor(
        len(targets), mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        futures = [
            pool.submit(
                _send_all,
                target,
                rate=rate,
                seconds=seconds,
                from_schedule=from_schedule,
                starts_at=starts_at,
                seed=SEED + 100 * index,
            )
            for index, target in enumerate(targets)
        ]
        return [_collect(future.result()) for future in futures]


def _send_all(
    target: Target,
    *,
    rate: float,
    seconds: float,
    from_schedule: bool,
    starts_at: float,
    seed: int,
) -> list[list[float]]:
    time.sleep(max(starts_at - time.time(), 0))
    found: list[list[float]] = [[] for _ in range(THREADS)]
    threads = [
        threading.Thread(
            target=_send_stream,
            args=(target, rate / THREADS, seconds, part),
            kwargs={
                "from_schedule": from_schedule,
                "rng": random.Random(seed + number),
            },
        )
        for number, part in enumerate(found)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return found


def _collect(parts: list[list[float]]) -> Sample:
    found = [value for part in parts for value in part]
    good = tuple(value for value in found if value >= 0)
    return Sample(
        latencies_ms=good, failed=len(found) - len(good), calls=len(found)
    )


def _join(samples: list[Sample]) -> Sample:
    return Sample(
        latencies_ms=tuple(
            value for entry in samples for value in entry.latencies_ms
        ),
        failed=sum(entry.failed for entry in samples),
        calls=sum(entry.calls for entry in samples),
    )


def _send_stream(
    target: Target,
    rate: float,
    seconds: float,
    found: list[float],
    *,
    from_schedule: bool,
    rng: random.Random,
) -> None:
    connection = http.client.HTTPConnection(target.address, timeout=10)
    started = time.perf_counter()
    due = started + rng.expovariate(rate)
    while due - started < seconds:
        time.sleep(max(due - time.perf_counter(), 0))
        since = due if from_schedule else time.perf_counter()
        try:
            connection.request("GET", target.path)
            answer = connection.getresponse()
            answer.read()
            good = answer.status == 200
        except (OSError, http.client.HTTPException):
            connection.close()
            good = False
        taken_ms = (time.perf_counter() - since) * 1000
        found.append(taken_ms if good else -1.0)
        due += rng.expovariate(rate)
    connection.close()


def _call(target: Target) -> int:
    connection = http.client.HTTPConnection(target.address, timeout=5)
    try:
        connection.request("GET", target.path)
        return connection.getresponse().status
    except OSError:
        return 0
    finally:
        connection.close()


def _node_processes(members: list[fleets.Member]) -> list[psutil.Process]:
    return [
        psutil.Process(member.node.pid)
        for member in members
        if member.node is not None
    ]


def _processor_seconds(processes: list[psutil.Process]) -> float:
    return sum(
        process.cpu_times().user + process.cpu_times().system
        for process in processes
    )


def _row(
    name: str,
    value: float,
    target: float | None = None,
    unit: str = "ms",
) -> dict[str, typing.Any]:
    holds = None
    if target is not None:
        holds = value >= target if unit == "1/s" else value <= target
    return {
        "name": name,
        "value": round(value, 3),
        "unit": unit,
        "target": target,
        "holds": holds,
    }
