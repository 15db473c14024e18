"""Table reads, messages and recovery time after a data centre restarts."""

import time
import typing

from bench import processes
from standins import fleet as fleets
from standins import observations

__all__ = ["run"]

TARGET_SECONDS = 8.0
DATA_CENTRE_COUNT = 3
READY_TIMEOUT_SECONDS = 60.0


def run(full: bool) -> dict[str, typing.Any]:
    """Kill all nodes of one of three data centres and restart them at once.

    The value includes the time that the processes need to start.

    Parameters
    ----------
    full : bool
        Whether to use 90 instead of 30 nodes.
    """
    size = 90 if full else 30
    with processes.open_nodes(size, data_centres=DATA_CENTRE_COUNT) as (
        fleet,
        snapshot,
    ):
        for _ in range(3):
            snapshot = observations.commit_route_change(fleet, snapshot)
            observations.wait_for_version(
                fleet, fleet.members, snapshot.version, seconds=30
            )
        restarted = [m for m in fleet.members if m.data_centre == "dc1"]
        _kill_nodes(restarted)
        reads_before = _count_table_reads(fleet)
        started_at = time.time()
        for member in restarted:
            fleets.start_node(fleet, member)
        ready = _wait_ready(fleet, restarted, started_at)
        seconds = time.time() - started_at
        reads = _count_table_reads(fleet) - reads_before
        time.sleep(6.0)
        counters = [observations.read_counters(fleet, m) for m in restarted]
    messages = [
        node_counters.get("sent_messages", 0)
        + node_counters.get("received_messages", 0)
        for node_counters in counters
    ]
    behind = [
        version for version, _ in ready.values() if version < snapshot.version
    ]
    last_ready_seconds = max(
        ready_at - started_at for _, ready_at in ready.values()
    )
    return {
        "name": "restart of a data centre, last node ready",
        "value": round(last_ready_seconds, 3),
        "unit": "s",
        "target": TARGET_SECONDS,
        "holds": last_ready_seconds <= TARGET_SECONDS and not behind,
        "raw": {
            "restarted": len(restarted),
            "fleet": size,
            "table_reads": reads,
            # Each data centre has two readers that poll once a second.
            "table_reads_of_polls": round(2 * DATA_CENTRE_COUNT * seconds),
            "messages_per_restarted_node": sum(messages) / len(messages),
            "ready_below_last_version": len(behind),
        },
    }


def _kill_nodes(members: list[fleets.Member]) -> None:
    for member in members:
        if member.node is not None:
            member.node.kill()
            member.node.wait()


def _count_table_reads(fleet: fleets.Fleet) -> int:
    counters = fleets.call_json(fleet, fleet.platform_url, "/-/counters")
    return int(counters.get("GetItem", 0)) + int(counters.get("Query", 0))


def _wait_ready(
    fleet: fleets.Fleet, members: list[fleets.Member], started_at: float
) -> dict[str, tuple[int, float]]:
    """Return the version and Unix time at which each node became ready."""
    ready: dict[str, tuple[int, float]] = {}

    def all_ready() -> bool:
        for member in members:
            for version, ready_at in observations.list_ready_versions(
                fleet, member
            ):
                if ready_at >= started_at:
                    ready[member.instance] = (version, ready_at)
        return len(ready) == len(members)

    if fleets.wait_for(all_ready, seconds=READY_TIMEOUT_SECONDS) is None:
        raise TimeoutError(
            f"only {len(ready)} of {len(members)} restarted nodes became ready"
        )
    return ready
