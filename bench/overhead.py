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
RATE = 83.0
RISING_RATES = (83.0, 166.0, 250.0, 330.0, 420.0, 500.0)
# A rate is beyond the knee when calls of the 99th percentile wait longer.
KNEE_MS = 50.0
SERVICE_MS = 2.0


def run(full: bool) -> dict[str, typing.Any]:
    """Compare calls through the system with direct calls.

    Parameters
    ----------
    full : bool
        Whether to measure for longer and at rising rates up to the knee.

    Returns
    -------
    dict
        The value is the 99th percentile added to a call; ``rows`` has the
        other figures.
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
    return {
        "name": "overhead",
        "value": added,
        "unit": "ms",
        "target": TARGET_MS,
        "holds": added <= TARGET_MS,
        "rows": rows,
        "raw": {"compare": side_by_side, "rising": rising},
    }


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
    streams.run_streams(targets, rate=RATE, seconds=2.0, from_schedule=False)


def _through(members: list[fleets.Member]) -> list[streams.Target]:
    one, two = members
    return [
        streams.Target(address=one.ingress, path=f"/{two.service}/x"),
        streams.Target(address=two.ingress, path=f"/{one.service}/x"),
    ]


def _direct(members: list[fleets.Member]) -> list[streams.Target]:
    return [
        streams.Target(address=member.backend, path=f"/{member.service}/x")
        for member in members
    ]


def _measure_side_by_side(
    members: list[fleets.Member], *, seconds: float
) -> dict[str, float]:
    nodes = _node_processes(members)
    before = _processor_seconds(nodes)
    samples = streams.run_streams(
        [*_through(members), *_direct(members)],
        rate=RATE,
        seconds=seconds,
        from_schedule=False,
    )
    spent = _processor_seconds(nodes) - before
    idle_before = _processor_seconds(nodes)
    time.sleep(2.0)
    idle = (_processor_seconds(nodes) - idle_before) / 2.0 * seconds
    through, direct = streams.join(samples[:2]), streams.join(samples[2:])
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
        sample = streams.join(
            streams.run_streams(
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


def _call(target: streams.Target) -> int:
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
