"""Metrics of the call path for a statsd server, sent once a second."""

from collections.abc import Callable
import dataclasses
import time
import typing

from apricotpost import model
from apricotpost import settings

__all__ = ["Recorder", "make_recorder"]

FLUSH_INTERVAL_SECONDS = 1.0
# Calls beyond this number in one second are counted, but their latencies are
# not sent.
MAX_TIMINGS_PER_FLUSH = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recorder:
    """Functions that record the metrics of one task without blocking.

    Parameters
    ----------
    record_call : callable
        Records route, outcome and latency in milliseconds of a call.
    record_load : callable
        Records the current load of the gate.
    flush : callable
        Sends the recorded metrics, at most once a second.
    """

    record_call: Callable[[str, str, float], None]
    record_load: Callable[[model.Load], None]
    flush: Callable[[], None]


def make_recorder(options: settings.MetricSettings) -> Recorder:
    """Make the recorder of one task, which owns its UDP socket.

    Without a statsd address its functions do nothing.
    """
    if options.statsd is None:
        return Recorder(
            record_call=lambda route, outcome, ms: None,
            record_load=lambda load: None,
            flush=lambda: None,
        )
    import statsd

    host, _, port = options.statsd.rpartition(":")
    client = statsd.StatsClient(
        host.strip("[]"), int(port), prefix=options.prefix
    )
    return _make_statsd_recorder(client)


def _make_statsd_recorder(client: typing.Any) -> Recorder:
    counts: dict[str, int] = {}
    timings: list[tuple[str, float]] = []
    gauges: dict[str, int] = {}
    sent_at = time.monotonic()

    def record_call(route: str, outcome: str, milliseconds: float) -> None:
        name = _replace_separators(route)
        key = f"calls.{name}.{outcome}"
        counts[key] = counts.get(key, 0) + 1
        if len(timings) < MAX_TIMINGS_PER_FLUSH:
            timings.append((f"calls.{name}.latency", milliseconds))

    def record_load(load: model.Load) -> None:
        gauges["gate.in_flight"] = load.in_flight
        gauges["gate.limit"] = load.limit
        gauges["gate.queued"] = load.queued

    def flush() -> None:
        nonlocal sent_at
        now = time.monotonic()
        if now - sent_at < FLUSH_INTERVAL_SECONDS:
            return
        sent_at = now
        with client.pipeline() as pipeline:
            for key, count in counts.items():
                pipeline.incr(key, count)
            for key, milliseconds in timings:
                pipeline.timing(key, milliseconds)
            for key, value in gauges.items():
                pipeline.gauge(key, value)
        counts.clear()
        timings.clear()
        gauges.clear()

    return Recorder(
        record_call=record_call, record_load=record_load, flush=flush
    )


def _replace_separators(name: str) -> str:
    """Replace the characters that are separators in the statsd protocol."""
    return name.replace(".", "_").replace(":", "_").replace("|", "_")
