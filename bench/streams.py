"""Streams of calls from processes of their own, with latencies."""

import concurrent.futures
import dataclasses
import http.client
import multiprocessing
import random
import threading
import time

__all__ = ["Sample", "Target", "join", "run_streams"]

THREADS = 8
SEED = 83
# Time for the sending processes to start.
START_SECONDS = 1.5


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


def run_streams(
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


def join(samples: list[Sample]) -> Sample:
    """Join the samples of several streams."""
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
