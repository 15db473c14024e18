"""Cost of the control task per node, when idle and per change."""

from concurrent import futures
import time
import typing

import psutil

from bench import processes
from standins import fleet as fleets
from standins import observations

__all__ = ["run"]

TARGET_BYTES_PER_SECOND = 2000.0
TARGET_CORES = 0.016
TARGET_RESIDENT_BYTES = 32 * 1024 * 1024
SIZES = (4, 12, 36)
IDLE_SECONDS = 8.0
# Records of joins are forwarded for this long: in a fleet of 36, a node sent
# and received 785 bytes a second 10 s after the start and 286 after 35 s.
SETTLE_SECONDS = 35.0
CHANGES = 5
CHANGES_PER_DAY = 3300
SECONDS_PER_DAY = 86400
# Longer than the 5 s between a node's log lines with counters.
COUNTER_LOG_SECONDS = 6.0


def run(full: bool) -> dict[str, typing.Any]:
    """Measure bytes and processor time of the control task, and memory.

    Bytes are those of the message frames that a node sends and receives,
    without the headers of ZeroMQ and TCP. The memory is that of a whole node
    without a backend server.

    Parameters
    ----------
    full : bool
        Whether to measure the idle nodes three times as long.
    """
    idle_seconds = IDLE_SECONDS * (3 if full else 1)
    with futures.ThreadPoolExecutor(len(SIZES)) as pool:
        measurements = pool.map(
            lambda size: _measure(size, idle_seconds), SIZES
        )
        raw = dict(zip(SIZES, measurements, strict=True))
    largest = raw[SIZES[-1]]
    size_difference = SIZES[-1] - SIZES[0]
    slopes = {
        name: round((largest[name] - raw[SIZES[0]][name]) / size_difference, 4)
        for name in largest
    }
    changes_per_second = CHANGES_PER_DAY / SECONDS_PER_DAY
    bytes_per_second = (
        largest["bytes_per_s"]
        + changes_per_second * largest["bytes_per_change"]
    )
    rows = [
        _row(
            "control-bytes",
            bytes_per_second,
            TARGET_BYTES_PER_SECOND,
            "bytes/s",
        ),
        _row("node-cpu", largest["control_core"], TARGET_CORES, "cores"),
        _row(
            "node-memory",
            largest["resident_bytes"],
            TARGET_RESIDENT_BYTES,
            "bytes",
        ),
    ]
    return {
        "name": "control_cost",
        "value": bytes_per_second,
        "unit": "bytes/s",
        "target": TARGET_BYTES_PER_SECOND,
        "holds": all(row["holds"] for row in rows),
        "rows": rows,
        "raw": {"sizes": raw, "slope_per_node": slopes},
    }


def _row(
    name: str, value: float, target: float, unit: str
) -> dict[str, typing.Any]:
    return {
        "name": name,
        "value": value,
        "unit": unit,
        "target": target,
        "holds": value <= target,
    }


def _measure(size: int, idle_seconds: float) -> dict[str, float]:
    with processes.open_nodes(size) as (fleet, snapshot):
        time.sleep(SETTLE_SECONDS)
        first, first_cpu_seconds = _sum_counters(fleet), _cpu_seconds(fleet)
        started = time.monotonic()
        time.sleep(idle_seconds)
        last, last_cpu_seconds = _sum_counters(fleet), _cpu_seconds(fleet)
        seconds = time.monotonic() - started
        for _ in range(CHANGES):
            snapshot = observations.commit_route_change(fleet, snapshot)
            observations.wait_for_version(
                fleet, fleet.members, snapshot.version, seconds=30
            )
        time.sleep(COUNTER_LOG_SECONDS)
        changed = _sum_counters(fleet)
        change_seconds = time.monotonic() - started - seconds
        memory = [_process(m).memory_full_info() for m in fleet.members]
    idle_bytes_per_second = (last["bytes"] - first["bytes"]) / seconds / size
    change_bytes = (
        changed["bytes"] - last["bytes"]
    ) / size - idle_bytes_per_second * change_seconds
    return {
        "bytes_per_s": round(idle_bytes_per_second, 1),
        "messages_per_s": round(
            (last["messages"] - first["messages"]) / seconds / size,
            2,
        ),
        "bytes_per_change": round(max(change_bytes, 0.0) / CHANGES, 1),
        "control_core": round(
            (last["cpu_us"] - first["cpu_us"]) / 1e6 / seconds / size,
            5,
        ),
        "node_core": round(
            (last_cpu_seconds - first_cpu_seconds) / seconds / size,
            5,
        ),
        "resident_bytes": max(usage.rss for usage in memory),
        # Without pages of programs and libraries that processes share.
        "private_bytes": max(usage.uss for usage in memory),
    }


def _sum_counters(fleet: fleets.Fleet) -> dict[str, float]:
    total = {"bytes": 0.0, "messages": 0.0, "cpu_us": 0.0}
    for member in fleet.members:
        counters = observations.read_counters(fleet, member)
        for name in ("sent", "received"):
            total["bytes"] += counters.get(f"{name}_bytes", 0)
            total["messages"] += counters.get(f"{name}_messages", 0)
        total["cpu_us"] += counters.get("control_cpu_us", 0)
    return total


def _cpu_seconds(fleet: fleets.Fleet) -> float:
    times = [_process(member).cpu_times() for member in fleet.members]
    return sum(cpu_times.user + cpu_times.system for cpu_times in times)


def _process(member: fleets.Member) -> psutil.Process:
    assert member.node is not None
    return psutil.Process(member.node.pid)
