"""Latency and processor time that the nodes add to a call."""

import contextlib
import http.client
import statistics
import time
import typing

import psutil

from apricotpost import model
from bench import streams
from standins import fleet as fleets

__all__ = ["open_pair", "run"]

TARGET_MS = 2.0
CALLS_PER_SECOND = 83.0
RISING_CALLS_PER_SECOND = (83.0, 166.0, 250.0, 330.0, 420.0, 500.0)
# A 99th percentile above this shows that the nodes are saturated.
SATURATED_P99_MS = 50.0
SERVICE_MS = 2.0


def run(full: bool) -> dict[str, typing.Any]:
    """Compare calls through the system with direct calls.

    Parameters
    ----------
    full : bool
        Whether to measure for longer and at rising rates until the
        nodes are saturated.

    Returns
    -------
    dict
        The value is the difference between the 99th percentiles through
        the nodes and without them; ``rows`` has the other figures.
    """
    with open_pair() as members:
        comparison = _compare_with_direct_calls(
            members, seconds=30.0 if full else 8.0
        )
        rate_steps = _measure_rising_rates(members) if full else []
    added_p99_ms = comparison["added_p99_ms"]
    rows = [
        _row("latency added to a call, median", comparison["added_p50_ms"]),
        _row(
            "latency added to a call, 99th percentile", added_p99_ms, TARGET_MS
        ),
        _row(
            "processor time of the nodes per call",
            comparison["processor_ms_per_call"],
        ),
    ]
    sustained_rates = [step["rate"] for step in rate_steps if step["holds"]]
    if sustained_rates:
        rows.append(
            _row(
                "calls a second per node",
                max(sustained_rates),
                CALLS_PER_SECOND,
                "1/s",
            )
        )
    return {
        "name": "overhead",
        "value": added_p99_ms,
        "unit": "ms",
        "target": TARGET_MS,
        "holds": added_p99_ms <= TARGET_MS,
        "rows": rows,
        "raw": {"compare": comparison, "rising": rate_steps},
    }


@contextlib.contextmanager
def open_pair() -> typing.Iterator[list[fleets.Member]]:
    """Start two nodes, each called for the other's backend server."""
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
        fleets.commit_first_snapshot(fleet, snapshot)
        for number, service in enumerate(services):
            fleets.start_member(
                fleet,
                instance=f"node-{number}",
                data_centre="riga-1",
                service=service,
                version="v1",
                behaviour={"service_ms": SERVICE_MS, "slots": 64},
            )
        for target in _targets_through_nodes(fleet.members):
            fleets.wait_for(lambda: _request_status(target) == 200, seconds=20)
        _warm_up(fleet.members)
        yield fleet.members


def _warm_up(members: list[fleets.Member]) -> None:
    targets = [*_targets_through_nodes(members), *_direct_targets(members)]
    streams.run_streams(
        targets, rate=CALLS_PER_SECOND, seconds=2.0, from_schedule=False
    )


def _targets_through_nodes(
    members: list[fleets.Member],
) -> list[streams.Target]:
    first, second = members
    return [
        streams.Target(address=first.ingress, path=f"/{second.service}/x"),
        streams.Target(address=second.ingress, path=f"/{first.service}/x"),
    ]


def _direct_targets(members: list[fleets.Member]) -> list[streams.Target]:
    return [
        streams.Target(address=member.backend, path=f"/{member.service}/x")
        for member in members
    ]


def _compare_with_direct_calls(
    members: list[fleets.Member], *, seconds: float
) -> dict[str, float]:
    nodes = _node_processes(members)
    seconds_before = _processor_seconds(nodes)
    samples = streams.run_streams(
        [*_targets_through_nodes(members), *_direct_targets(members)],
        rate=CALLS_PER_SECOND,
        seconds=seconds,
        from_schedule=False,
    )
    used_seconds = _processor_seconds(nodes) - seconds_before
    idle_seconds_before = _processor_seconds(nodes)
    time.sleep(2.0)
    idle_seconds = (
        (_processor_seconds(nodes) - idle_seconds_before) / 2.0 * seconds
    )
    through, direct = streams.combine(samples[:2]), streams.combine(
        samples[2:]
    )
    return {
        "rate": CALLS_PER_SECOND,
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
        "processor_ms_per_call": (used_seconds - idle_seconds)
        * 1000
        / through.calls,
    }


def _measure_rising_rates(
    members: list[fleets.Member],
) -> list[dict[str, typing.Any]]:
    steps = []
    for rate in RISING_CALLS_PER_SECOND:
        sample = streams.combine(
            streams.run_streams(
                _targets_through_nodes(members),
                rate=rate,
                seconds=6.0,
                from_schedule=True,
            )
        )
        holds = (
            not sample.failed and sample.percentile(0.99) < SATURATED_P99_MS
        )
        steps.append(
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
    return steps


def _request_status(target: streams.Target) -> int:
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
