"""Time from the acceptance of a change until it is in force everywhere."""

import statistics
import time
import typing

from apricotpost import model
from bench import processes
from standins import fleet as fleets
from standins import observations

__all__ = ["TARGET_SECONDS", "run"]

TARGET_SECONDS = 8.0
CHANGES = 6
LIMIT_SECONDS = 30.0


def run(full: bool) -> dict[str, typing.Any]:
    """Measure fleets of real nodes without backend servers.

    Parameters
    ----------
    full : bool
        Whether to include the fleet of 100 nodes.
    """
    sizes = (12, 50, 100) if full else (12, 50)
    raw: dict[str, typing.Any] = {}
    for size in sizes:
        with processes.open_nodes(size) as (fleet, snapshot):
            snapshot, times = _measure_changes(fleet, snapshot)
            raw[f"{size} nodes"] = _summarize(times)
            snapshot, taken = _measure_reader_killed(fleet, snapshot)
            raw[f"{size} nodes, reader killed"] = taken
            taken = _measure_table_out(fleet, snapshot)
            raw[f"{size} nodes, table out after one node has it"] = taken
    worst = max(
        entry["max"] if isinstance(entry, dict) else entry
        for entry in raw.values()
    )
    return {
        "name": "convergence",
        "value": round(worst, 3),
        "unit": "s",
        "target": TARGET_SECONDS,
        "holds": worst <= TARGET_SECONDS,
        "raw": raw,
    }


def _measure_changes(
    fleet: fleets.Fleet, snapshot: model.Snapshot
) -> tuple[model.Snapshot, list[float]]:
    times = []
    for _ in range(CHANGES):
        snapshot = observations.commit_next(fleet, snapshot)
        at = time.time()
        times.append(_wait(fleet, fleet.members, snapshot.version, at))
    return snapshot, times


def _measure_reader_killed(
    fleet: fleets.Fleet, snapshot: model.Snapshot
) -> tuple[model.Snapshot, float]:
    """Kill both readers of a data centre and commit at the same moment."""
    centre = fleet.members[0].data_centre
    there = [m for m in fleet.members if m.data_centre == centre]
    readers = observations.find_readers(fleet, there)[:2]
    for member in readers:
        if member.node is not None:
            member.node.kill()
    snapshot = observations.commit_next(fleet, snapshot)
    at = time.time()
    for member in readers:
        fleet.members.remove(member)
        if member.node is not None:
            member.node.wait()
    return snapshot, _wait(fleet, fleet.members, snapshot.version, at)


def _measure_table_out(fleet: fleets.Fleet, snapshot: model.Snapshot) -> float:
    """Take the table out as soon as one node holds a new version."""
    snapshot = observations.commit_next(fleet, snapshot)
    at = time.time()
    version = snapshot.version
    fleets.wait_for(
        lambda: any(
            found == version
            for member in fleet.members
            for found, _ in observations.list_applied(fleet, member)
        ),
        seconds=LIMIT_SECONDS,
    )
    observations.set_faults(fleet, table_down=True)
    taken = _wait(fleet, fleet.members, version, at)
    observations.set_faults(fleet)
    return taken


def _wait(
    fleet: fleets.Fleet,
    members: list[fleets.Member],
    version: int,
    at: float,
) -> float:
    """Return how long the last node took, or infinity."""
    if not observations.wait_for_version(
        fleet, members, version, seconds=LIMIT_SECONDS
    ):
        return float("inf")
    last = max(
        min(
            when
            for found, when in observations.list_applied(fleet, member)
            if found >= version
        )
        for member in members
    )
    return round(max(last - at, 0.0), 3)


def _summarize(times: list[float]) -> dict[str, float]:
    return {
        "p50": round(statistics.median(times), 3),
        "max": max(times),
        "changes": len(times),
    }
