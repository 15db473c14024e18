"""Send streams of calls from separate processes and measure latencies."""

import concurrent.futures
import dataclasses
import http.client
import multiprocessing
import random
import threading
import time

__all__ = ["Sample", "Target", "combine", "run_streams"]

THREADS = 8
SEED = 83
# Gives the sending processes time to start before the first call.
START_DELAY_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Address and path that a stream of calls is sent to."""

    address: str
    path: str


@dataclasses.dataclass(frozen=True, kw_only=True)
class Sample:
    """Result of a stream of calls; failed calls have no latency."""

    latencies_ms: tuple[float, ...]
    failed: int
    calls: int

    def percentile(self, fraction: float) -> float:
        """Return the latency that this fraction of calls does not exceed."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return float("inf")
        return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)]


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

    Parameters
    ----------
    targets : list of Target
        Targets, each with a stream of its own.
    rate : float
        Calls per second to each target.
    seconds : float
        Duration of the streams.
    from_schedule : bool
        Whether a latency is measured from the time at which the call was
        due, so that it includes the wait for earlier calls, rather than
        from the time at which the call was sent.
    """
    starts_at = time.time() + START_DELAY_SECONDS
    with concurrent.futures.ProcessPoolExecutor(
        len(targets), mp_context=multiprocessing.get_context("spawn")
    ) as pool:
        futures = [
            pool.submit(
                _send_streams,
                target,
                rate=rate,
                seconds=seconds,
                from_schedule=from_schedule,
                starts_at=starts_at,
                seed=SEED + 100 * index,
            )
            for index, target in enumerate(targets)
        ]
        return [_make_sample(future.result()) for future in futures]


def _send_streams(
    target: Target,
    *,
    rate: float,
    seconds: float,
    from_schedule: bool,
    starts_at: float,
    seed: int,
) -> list[list[float]]:
    time.sleep(max(starts_at - time.time(), 0))
    latencies_by_thread: list[list[float]] = [[] for _ in range(THREADS)]
    threads = [
        threading.Thread(
            target=_send_stream,
            args=(target, rate / THREADS, seconds, latencies_ms),
            kwargs={
                "from_schedule": from_schedule,
                "rng": random.Random(seed + thread_index),
            },
        )
        for thread_index, latencies_ms in enumerate(latencies_by_thread)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return latencies_by_thread


def _make_sample(latencies_by_thread: list[list[float]]) -> Sample:
    """Make a sample from latencies in which -1.0 is a failed call."""
    latencies_ms = [
        latency_ms
        for thread_latencies_ms in latencies_by_thread
        for latency_ms in thread_latencies_ms
    ]
    successful_ms = tuple(
        latency_ms for latency_ms in latencies_ms if latency_ms >= 0
    )
    return Sample(
        latencies_ms=successful_ms,
        failed=len(latencies_ms) - len(successful_ms),
        calls=len(latencies_ms),
    )


def combine(samples: list[Sample]) -> Sample:
    """Combine the samples of several streams."""
    return Sample(
        latencies_ms=tuple(
            latency_ms
            for sample in samples
            for latency_ms in sample.latencies_ms
        ),
        failed=sum(sample.failed for sample in samples),
        calls=sum(sample.calls for sample in samples),
    )


def _send_stream(
    target: Target,
    rate: float,
    seconds: float,
    latencies_ms: list[float],
    *,
    from_schedule: bool,
    rng: random.Random,
) -> None:
    connection = http.client.HTTPConnection(target.address, timeout=10)
    started_at = time.perf_counter()
    due_at = started_at + rng.expovariate(rate)
    while due_at - started_at < seconds:
        time.sleep(max(due_at - time.perf_counter(), 0))
        measured_from = due_at if from_schedule else time.perf_counter()
        try:
            connection.request("GET", target.path)
            response = connection.getresponse()
            response.read()
            succeeded = response.status == 200
        except (OSError, http.client.HTTPException):
            connection.close()
            succeeded = False
        latency_ms = (time.perf_counter() - measured_from) * 1000
        latencies_ms.append(latency_ms if succeeded else -1.0)
        due_at += rng.expovariate(rate)
    connection.close()
