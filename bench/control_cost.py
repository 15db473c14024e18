"""Cost of control for each node, at rest and for each change."""

import time
import typing

import psutil

from bench import processes
from standins import fleet as fleets
from standins import observations

__all__ = ["run"]

TARGET_BYTES_PER_SECOND = 2000.0
TARGET_CORE = 0.016
TARGET_BYTES_RESIDENT = 32 * 1024 * 1024
SIZES = (4, 12, 36)
REST_SECONDS = 20.0
CHANGES = 5
CHANGES_PER_DAY = 3300
DAY_SECONDS = 86400
# Nodes log their counters every 5 s.
LOG_SECONDS = 6.0


def run(full: bool) -> dict[str, typing.Any]:
    """Measure bytes, processor time and memory of control.

    Bytes are those of the message frames that a node sends and receives,
    without the headers of ZeroMQ and TCP. The memory is that of a whole node
    without a backend server.

    Parameters
    ----------
    full : bool
        Whether to rest three times as long.
    """
    rest = REST_SECONDS * (3 if full else 1)
    raw = {size: _measure(size, rest) for size in SIZES}
    largest = raw[SIZES[-1]]
    spread = SIZES[-1] - SIZES[0]
    slopes = {
        name: round((largest[name] - raw[SIZES[0]][name]) / spread, 4)
        for name in largest
    }
    changes = CHANGES_PER_DAY / DAY_SECONDS
    rate = largest["bytes_per_s"] + changes * largest["bytes_per_change"]
    holds = (
        rate <= TARGET_BYTES_PER_SECOND
        and largest["control_core"] <= TARGET_CORE
        and largest["resident_bytes"] <= TARGET_BYTES_RESIDENT
    )
    return {
        "name": "control cost per node",
        "value": round(rate, 1),
        "unit": "bytes/s sent and received, with 3,300 changes a day",
        "target": {
            "bytes_per_s": TARGET_BYTES_PER_SECOND,
            "core": TARGET_CORE,
            "resident_bytes": TARGET_BYTES_RESIDENT,
        },
        "holds": holds,
        "raw": {"sizes": raw, "slope_per_node": slopes},
    }


def _measure(size: int, rest: float) -> dict[str, float]:
    with processes.open_nodes(size) as (fleet, snapshot):
        # Joins and the spreading of the first records are over after this.
        time.sleep(10.0)
        first, first_core = _sum_counters(fleet), _sum_processor(fleet)
        started = time.monotonic()
        time.sleep(rest)
        last, last_core = _sum_counters(fleet), _sum_processor(fleet)
        seconds = time.monotonic() - started
        for _ in range(CHANGES):
            snapshot = observations.commit_next(fleet, snapshot)
            observations.wait_for_version(
                fleet, fleet.members, snapshot.version, seconds=30
            )
        # Versions held go round after this, at most once in `size` seconds.
        pause = size + LOG_SECONDS
        time.sleep(pause)
        changed = _sum_counters(fleet)
        busy = time.monotonic() - started - seconds
        resident = [_process(m).memory_info().rss for m in fleet.members]
    at_rest = (last["bytes"] - first["bytes"]) / seconds / size
    extra = (changed["bytes"] - last["bytes"]) / size - at_rest * busy
    return {
        "bytes_per_s": round(at_rest, 1),
        "messages_per_s": round(
            (last["messages"] - first["messages"]) / seconds / size, 2
        ),
        "bytes_per_change": round(max(extra, 0.0) / CHANGES, 1),
        "control_core": round(
            (last["cpu_us"] - first["cpu_us"]) / 1e6 / seconds / size, 5
        ),
        "node_core": round((last_core - first_core) / seconds / size, 5),
        "resident_bytes": max(resident),
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


def _sum_processor(fleet: fleets.Fleet) -> float:
    times = [_process(member).cpu_times() for member in fleet.members]
    return sum(found.user + found.system for found in times)


def _process(member: fleets.Member) -> psutil.Process:
    assert member.node is not None
    return psutil.Process(member.node.pid)
