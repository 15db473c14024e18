"""Reads, messages and time to ready when a data centre restarts."""

import time
import typing

from bench import processes
from standins import fleet as fleets
from standins import observations

__all__ = ["run"]

TARGET_SECONDS = 8.0
CENTRES = 3
LIMIT_SECONDS = 60.0


def run(full: bool) -> dict[str, typing.Any]:
    """Kill all nodes of one of three data centres and start them again.

    The time includes the start of the processes, all at the same moment.

    Parameters
    ----------
    full : bool
        Whether to use 90 instead of 30 nodes.
    """
    size = 90 if full else 30
    with processes.open_nodes(size, centres=CENTRES) as (fleet, snapshot):
        for _ in range(3):
            snapshot = observations.commit_next(fleet, snapshot)
            observations.wait_for_version(
                fleet, fleet.members, snapshot.version, seconds=30
            )
        herd = [m for m in fleet.members if m.data_centre == "dc1"]
        _kill(herd)
        reads_before = _count_reads(fleet)
        started = time.time()
        for member in herd:
            fleets.start_node(fleet, member)
        ready = _wait_ready(fleet, herd, started)
        seconds = time.time() - started
        reads = _count_reads(fleet) - reads_before
        time.sleep(6.0)
        counters = [observations.read_counters(fleet, m) for m in herd]
    messages = [
        entry.get("sent_messages", 0) + entry.get("received_messages", 0)
        for entry in counters
    ]
    below = [v for v, _ in ready.values() if v < snapshot.version]
    worst = max(at - started for _, at in ready.values())
    return {
        "name": "restart of a data centre, last node ready",
        "value": round(worst, 3),
        "unit": "s",
        "target": TARGET_SECONDS,
        "holds": worst <= TARGET_SECONDS and not below,
        "raw": {
            "restarted": len(herd),
            "fleet": size,
            "table_reads": reads,
            # Two readers for each data centre that polls once a second.
            "table_reads_of_polls": round(2 * CENTRES * seconds),
            "messages_per_restarted_node": sum(messages) / len(messages),
            "ready_below_last_version": len(below),
        },
    }


def _kill(members: list[fleets.Member]) -> None:
    for member in members:
        if member.node is not None:
            member.node.kill()
            member.node.wait()


def _count_reads(fleet: fleets.Fleet) -> int:
    found = fleets.call_json(fleet, fleet.platform_url, "/-/counters")
    return int(found.get("GetItem", 0)) + int(found.get("Query", 0))


def _wait_ready(
    fleet: fleets.Fleet, members: list[fleets.Member], since: float
) -> dict[str, tuple[int, float]]:
    """Return with which version and when each node became ready."""
    ready: dict[str, tuple[int, float]] = {}

    def done() -> bool:
        for member in members:
            for version, at in observations.list_ready(fleet, member):
                if at >= since:
                    ready[member.instance] = (version, at)
        return len(ready) == len(members)

    if fleets.wait_for(done, seconds=LIMIT_SECONDS) is None:
        raise TimeoutError(f"only {len(ready)} of {len(members)} are ready")
    return ready
