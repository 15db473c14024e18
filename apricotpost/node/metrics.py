"""Metrics of the call path for a statsd server, sent once a second."""

from collections.abc import Callable
import dataclasses
import time
import typing

from apricotpost import model
from apricotpost import settings

__all__ = ["Recorder", "make_recorder"]

FLUSH_SECONDS = 1.0
# Latencies beyond this number in one second are counted but not sent.
MAX_TIMINGS = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Recorder:
    """Functions through which one task reports; none of them blocks.

    Parameters
    ----------
    call : callable
        Takes route, outcome and latency in milliseconds of a call.
    load : callable
        Takes the present load of the gate.
    flush : callable
        Sends what has gathered, at most once a second.
    """

    call: Callable[[str, str, float], None]
    load: Callable[[model.Load], None]
    flush: Callable[[], None]


def make_recorder(options: settings.MetricSettings) -> Recorder:
    """Make the recorder of one task, which owns its UDP socket.

    Without a statsd address the functions do nothing.
    """
    if options.statsd is None:
        return Recorder(
            call=lambda route, outcome, ms: None,
            load=lambda load: None,
            flush=lambda: None,
        )
    import statsd

    host, _, port = options.statsd.rpartition(":")
    client = statsd.StatsClient(
        host.strip("[]"), int(port), prefix=options.prefix
    )
    return _make_functions(client)


def _make_functions(client: typing.Any) -> Recorder:
    counts: dict[str, int] = {}
    timings: list[tuple[str, float]] = []
    gauges: dict[str, int] = {}
    sent_at = time.monotonic()

    def call(route: str, outcome: str, milliseconds: float) -> None:
        name = _clean(route)
        key = f"calls.{name}.{outcome}"
        counts[key] = counts.get(key, 0) + 1
        if len(timings) < MAX_TIMINGS:
            timings.append((f"calls.{name}.latency", milliseconds))

    def load(found: model.Load) -> None:
        gauges["gate.in_flight"] = found.in_flight
        gauges["gate.limit"] = found.limit
        gauges["gate.queued"] = found.queued

    def flush() -> None:
        nonlocal sent_at
        now = time.monotonic()
        if now - sent_at < FLUSH_SECONDS:
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

    return Recorder(call=call, load=load, flush=flush)


def _clean(name: str) -> str:
    """Replace the characters that separate parts in statsd."""
    return name.replace(".", "_").replace(":", "_").replace("|", "_")
