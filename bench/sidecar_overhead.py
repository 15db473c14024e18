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
# Calls per second of each node in a fleet of the target size.
CALLS_PER_SECOND = 83.0
SERVICE_SECONDS = 0.002
WARM_UP_CALLS = 200
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
        The value is the difference between the 99th percentiles through
        the nodes and without them, in milliseconds.
    """
    figures = asyncio.run(_measure(30.0 if full else 8.0))
    added = figures["through_p99_ms"] - figures["direct_p99_ms"]
    return {
        "name": "sidecar_overhead",
        "value": round(added, 2),
        "unit": "ms",
        "target": TARGET_MS,
        "holds": added <= TARGET_MS,
        **figures,
    }


async def _measure(seconds: float) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as folder:
        running_mesh = mesh.Mesh(folder=pathlib.Path(folder))
        try:
            return await _measure_mesh(running_mesh, seconds)
        finally:
            await running_mesh.close()


async def _measure_mesh(
    running_mesh: mesh.Mesh, seconds: float
) -> dict[str, float]:
    await running_mesh.start(
        ("dc-a", "dc-a"),
        services=("portal", "fieldbook"),
        routes=[{"prefix": "/records/", "service": "fieldbook"}],
    )
    backend = running_mesh.nodes[1].backend
    backend.service_seconds = SERVICE_SECONDS
    backend.slots = 64
    node_address = running_mesh.nodes[0].ports.callers
    for _ in range(WARM_UP_CALLS):
        await running_mesh.caller.call(node_address)
    processes = [
        psutil.Process(node.process.pid) for node in running_mesh.nodes
    ]
    processor_ms_before = sum(_processor_ms(process) for process in processes)
    direct, through = await _call_both(running_mesh, seconds)
    processor_ms_after = sum(_processor_ms(process) for process in processes)
    resident_bytes = max(process.memory_info().rss for process in processes)
    return {
        "direct_p50_ms": round(_percentile(direct, 50), 2),
        "direct_p99_ms": round(_percentile(direct, 99), 2),
        "through_p50_ms": round(_percentile(through, 50), 2),
        "through_p99_ms": round(_percentile(through, 99), 2),
        "processor_ms_per_call": round(
            (processor_ms_after - processor_ms_before) / len(through), 2
        ),
        "resident_mb": round(resident_bytes / 1e6, 1),
        "calls": len(through),
    }


async def _call_both(
    running_mesh: mesh.Mesh, seconds: float
) -> tuple[list[float], list[float]]:
    """Alternate calls through the nodes and direct calls at random times."""
    rng = random.Random(SEED)
    loop = asyncio.get_running_loop()
    node_address = running_mesh.nodes[0].ports.callers
    backend = running_mesh.nodes[1].backend
    headers: http.Headers = (
        (b"X-Expect-Instance", backend.identifier.encode()),
    )
    latencies_ms: dict[str, list[float]] = {
        node_address: [],
        backend.address: [],
    }

    async def call(address: str) -> None:
        started_at = loop.time()
        result = await running_mesh.caller.call(address, headers=headers)
        if result.response is None or result.response.status != 200:
            raise RuntimeError(f"call to {address} failed: {result}")
        latencies_ms[address].append((loop.time() - started_at) * 1000.0)

    end_at = loop.time() + seconds
    async with asyncio.TaskGroup() as group:
        while loop.time() < end_at:
            for address in latencies_ms:
                group.create_task(call(address))
                await asyncio.sleep(rng.expovariate(2 * CALLS_PER_SECOND))
    return latencies_ms[backend.address], latencies_ms[node_address]


def _processor_ms(process: psutil.Process) -> float:
    cpu_times = process.cpu_times()
    return (cpu_times.user + cpu_times.system) * 1000.0


def _percentile(values: list[float], percent: int) -> float:
    return statistics.quantiles(values, n=100)[percent - 1]
