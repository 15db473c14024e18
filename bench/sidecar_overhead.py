"""Latency and processor time that two event-loop nodes add to a call."""

import asyncio
import pathlib
import random
import statistics
import tempfile
import typing

import psutil

from apricotpost import http
from standins import mesh

__all__ = ["run"]

TARGET_MS = 2.0
# Calls a second of each node at the target's size.
RATE = 83.0
SERVICE_SECONDS = 0.002
WARM_CALLS = 200
SEED = 7


def run(full: bool) -> dict[str, typing.Any]:
    """Compare calls through two nodes with direct calls.

    Parameters
    ----------
    full : bool
        Whether to measure for longer.

    Returns
    -------
    dict
        The value is the 99th percentile added to a call, in milliseconds.
    """
    found = asyncio.run(_measure(30.0 if full else 8.0))
    added = found["through_p99_ms"] - found["direct_p99_ms"]
    return {
        "name": "sidecar_overhead",
        "value": round(added, 2),
        "unit": "ms",
        "target": TARGET_MS,
        "holds": added <= TARGET_MS,
        **found,
    }


async def _measure(seconds: float) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        world = mesh.Mesh(folder=pathlib.Path(folder))
        try:
            return await _measure_in(world, seconds)
        finally:
            await world.close()


async def _measure_in(world: mesh.Mesh, seconds: float) -> dict[str, float]:
    await world.start(
        ("dc-a", "dc-a"),
        services=("portal", "fieldbook"),
        routes=[{"prefix": "/records/", "service": "fieldbook"}],
    )
    backend = world.nodes[1].backend
    backend.work_seconds = SERVICE_SECONDS
    backend.slots = 64
    entry = world.nodes[0].ports.callers
    for _ in range(WARM_CALLS):
        await world.caller.call(entry)
    processes = [psutil.Process(node.process.pid) for node in world.nodes]
    before = sum(_processor_ms(p) for p in processes)
    direct, through = await _call_both(world, seconds)
    after = sum(_processor_ms(p) for p in processes)
    resident = max(p.memory_info().rss for p in processes)
    return {
        "direct_p50_ms": round(_percentile(direct, 50), 2),
        "direct_p99_ms": round(_percentile(direct, 99), 2),
        "through_p50_ms": round(_percentile(through, 50), 2),
        "through_p99_ms": round(_percentile(through, 99), 2),
        "processor_ms_per_call": round((after - before) / len(through), 2),
        "resident_mb": round(resident / 1e6, 1),
        "calls": len(through),
    }


async def _call_both(
    world: mesh.Mesh, seconds: float
) -> tuple[list[float], list[float]]:
    """Call through the nodes and directly by turns, at random moments."""
    rng = random.Random(SEED)
    loop = asyncio.get_running_loop()
    entry = world.nodes[0].ports.callers
    backend = world.nodes[1].backend
    named: http.Headers = (
        (b"X-Expect-Instance", backend.identifier.encode()),
    )
    times: dict[str, list[float]] = {entry: [], backend.address: []}

    async def call(address: str) -> None:
        began = loop.time()
        result = await world.caller.call(address, headers=named)
        if result.response is None or result.response.status != 200:
            raise RuntimeError(f"call of {address} failed: {result}")
        times[address].append((loop.time() - began) * 1000.0)

    end = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < end:
            for address in times:
                group.create_task(call(address))
                await asyncio.sleep(rng.expovariate(2 * RATE))
    return times[backend.address], times[entry]


def _processor_ms(process: psutil.Process) -> float:
    times = process.cpu_times()
    return (times.user + times.system) * 1000.0


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100)[percent - 1]
