"""Time from the commit of a change until it is in force on all nodes."""

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
APPLY_TIMEOUT_SECONDS = 30.0


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
            snapshot, durations = _measure_changes(fleet, snapshot)
            raw[f"{size} nodes"] = _summarize(durations)
            snapshot, seconds = _measure_readers_killed(fleet, snapshot)
            raw[f"{size} nodes, reader killed"] = seconds
            seconds = _measure_table_unavailable(fleet, snapshot)
            raw[f"{size} nodes, table out after one node has it"] = seconds
    slowest_seconds = max(
        figures["max"] if isinstance(figures, dict) else figures
        for figures in raw.values()
    )
    return {
        "name": "convergence",
        "value": round(slowest_seconds, 3),
        "unit": "s",
        "target": TARGET_SECONDS,
        "holds": slowest_seconds <= TARGET_SECONDS,
        "raw": raw,
    }


def _measure_changes(
    fleet: fleets.Fleet, snapshot: model.Snapshot
) -> tuple[model.Snapshot, list[float]]:
    durations = []
    for _ in range(CHANGES):
        snapshot = observations.commit_route_change(fleet, snapshot)
        committed_at = time.time()
        durations.append(
            _measure_apply_seconds(
                fleet, fleet.members, snapshot.version, committed_at
            )
        )
    return snapshot, durations


def _measure_readers_killed(
    fleet: fleets.Fleet, snapshot: model.Snapshot
) -> tuple[model.Snapshot, float]:
    """Kill both readers of a data centre and commit a change right after."""
    data_centre = fleet.members[0].data_centre
    local_members = [m for m in fleet.members if m.data_centre == data_centre]
    readers = observations.sort_by_table_reads(fleet, local_members)[:2]
    for member in readers:
        if member.node is not None:
            member.node.kill()
    snapshot = observations.commit_route_change(fleet, snapshot)
    committed_at = time.time()
    for member in readers:
        fleet.members.remove(member)
        if member.node is not None:
            member.node.wait()
    return snapshot, _measure_apply_seconds(
        fleet, fleet.members, snapshot.version, committed_at
    )


def _measure_table_unavailable(
    fleet: fleets.Fleet, snapshot: model.Snapshot
) -> float:
    """Make the table unavailable once one node has applied a new version."""
    snapshot = observations.commit_route_change(fleet, snapshot)
    committed_at = time.time()
    version = snapshot.version
    fleets.wait_for(
        lambda: any(
            applied_version == version
            for member in fleet.members
            for applied_version, _ in observations.list_applied_versions(
                fleet, member
            )
        ),
        seconds=APPLY_TIMEOUT_SECONDS,
    )
    observations.set_faults(fleet, table_down=True)
    seconds = _measure_apply_seconds(
        fleet, fleet.members, version, committed_at
    )
    observations.set_faults(fleet)
    return seconds


def _measure_apply_seconds(
    fleet: fleets.Fleet,
    members: list[fleets.Member],
    version: int,
    committed_at: float,
) -> float:
    """Return the time until the last node applied a version.

    Returns
    -------
    float
        Seconds since ``committed_at``, or infinity after a time-out.
    """
    if not observations.wait_for_version(
        fleet, members, version, seconds=APPLY_TIMEOUT_SECONDS
    ):
        return float("inf")
    last_applied_at = max(
        min(
            applied_at
            for applied, applied_at in observations.list_applied_versions(
                fleet, member
            )
            if applied >= version
        )
        for member in members
    )
    return round(max(last_applied_at - committed_at, 0.0), 3)


def _summarize(durations: list[float]) -> dict[str, float]:
    return {
        "p50": round(statistics.median(durations), 3),
        "max": max(durations),
        "changes": len(durations),
    }
