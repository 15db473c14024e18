"""Cost of keyed calls: writes, reads and latency, against unkeyed ones."""

import statistics
import time
import typing

import urllib3

from apricotpost import model
from apricotpost import storage
from standins import fleet as fleets

__all__ = ["run"]

WRITES_PER_CALL_TARGET = 2.0
# The platform handles several hundred writes a second; so many are planned.
TABLE_WRITES_PER_SECOND = 300
TARGET_CALLS_PER_SECOND = 100_000
CALLS_A_SECOND = 50.0

CONFIGURATION = model.Snapshot(
    version=1,
    services=(
        model.Service(
            name="fieldbook",
            team="baltkalns",
            versions=(model.VersionShare(version="v1", share=1000),),
        ),
    ),
    routes=(
        model.Route(
            name="reports",
            service="fieldbook",
            prefix="/reports",
            methods=("POST",),
            idempotent=False,
        ),
    ),
    data_centres=(model.DataCentre(name="dc1", region="lv-riga"),),
)


def run(full: bool) -> dict[str, typing.Any]:
    """Measure keyed and unkeyed posts, one after the other in turn.

    Parameters
    ----------
    full : bool
        Whether to send 1500 calls of each kind instead of 250.

    Returns
    -------
    dict
        Writes to the table per keyed call, with its target and raw figures.
    """
    count = 1500 if full else 250
    with fleets.open_fleet() as fleet:
        fleets.commit_first(fleet, CONFIGURATION)
        member = fleets.start_member(
            fleet,
            instance="fieldbook-1",
            data_centre="dc1",
            service="fieldbook",
            version="v1",
        )
        caller = urllib3.PoolManager(maxsize=1, retries=False)
        ready = fleets.wait_for(lambda: _is_warm(caller, member), seconds=30)
        if ready is None:
            raise RuntimeError("the node did not become ready")
        latencies, costs = _measure(fleet, caller, member, count)
        latencies["table_put"] = _time_puts(fleet, count)
        caller.clear()
    return _describe(latencies, costs, count)


def _measure(
    fleet: fleets.Fleet,
    caller: urllib3.PoolManager,
    member: fleets.Member,
    count: int,
) -> tuple[dict[str, list[float]], dict[str, int]]:
    """Send calls in turn at an even pace; the platform counts its items."""
    latencies: dict[str, list[float]] = {"keyed": [], "unkeyed": []}
    costs = dict.fromkeys(("written", "rejected", "read"), 0)
    started = time.monotonic()
    before = _counters(fleet)
    for number in range(count):
        for kind, key in (("keyed", f"k{number}"), ("unkeyed", None)):
            latencies[kind].append(_post(caller, member, key))
        pause = started + (number + 1) * 2 / CALLS_A_SECOND - time.monotonic()
        time.sleep(max(pause, 0.0))
    after = _counters(fleet)
    for name in costs:
        costs[name] = after[f"items_{name}"] - before[f"items_{name}"]
    seconds = time.monotonic() - started
    # Reads of the configuration go on during the run; they are measured
    # without calls and taken off.
    idle = _idle_reads(fleet)
    costs["read"] = max(round(costs["read"] - idle * seconds), 0)
    return latencies, costs


def _time_puts(fleet: fleets.Fleet, count: int) -> list[float]:
    """Time single writes to the table, which the added latency consists of."""
    store = storage.open_store(
        table_url=fleet.platform_url,
        object_url=fleet.platform_url,
        table_name="bench",
        bucket="bench",
        timeout_seconds=5.0,
    )
    values = []
    for number in range(count):
        key = storage.table.Key(pk="bench", sk=str(number))
        item = storage.table.Item(key=key, attributes={"n": number})
        started = time.perf_counter()
        storage.table.put(store.table, storage.table.Put(item=item))
        values.append((time.perf_counter() - started) * 1000)
    store.channel.pool.clear()
    return values


def _idle_reads(fleet: fleets.Fleet) -> float:
    before = _counters(fleet)
    started = time.monotonic()
    time.sleep(4.0)
    after = _counters(fleet)
    seconds = time.monotonic() - started
    return (after["items_read"] - before["items_read"]) / seconds


def _counters(fleet: fleets.Fleet) -> dict[str, int]:
    found = fleets.call_json(fleet, fleet.platform_url, "/-/counters")
    return typing.cast(dict[str, int], found)


def _post(
    caller: urllib3.PoolManager, member: fleets.Member, key: str | None
) -> float:
    headers = {"Idempotency-Key": key} if key else {}
    started = time.perf_counter()
    response = caller.request(
        "POST",
        f"http://{member.ingress}/reports",
        body=b'{"defect": "crack"}',
        headers=headers,
        timeout=10.0,
    )
    elapsed_ms = (time.perf_counter() - started) * 1000
    if response.status != 200:
        raise RuntimeError(f"status {response.status}: {response.data!r}")
    return elapsed_ms


def _is_warm(caller: urllib3.PoolManager, member: fleets.Member) -> bool:
    """Tell whether 30 calls in a row were answered."""
    try:
        for number in range(30):
            _post(caller, member, f"warm-{time.time_ns()}-{number}")
    except (RuntimeError, urllib3.exceptions.HTTPError):
        return False
    return True


def _describe(
    latencies: dict[str, list[float]], costs: dict[str, int], count: int
) -> dict[str, typing.Any]:
    writes = (costs["written"] + costs["rejected"]) / count
    rate = TABLE_WRITES_PER_SECOND / writes
    raw: dict[str, typing.Any] = {
        "calls_of_each_kind": count,
        "items_written": costs["written"],
        "items_rejected": costs["rejected"],
        "items_read_per_keyed_call": round(costs["read"] / count, 3),
        "keyed_calls_per_second_at_300_writes": rate,
        "share_of_100000_calls_percent": rate / TARGET_CALLS_PER_SECOND * 100,
    }
    for kind, values in latencies.items():
        raw[f"{kind}_p50_ms"] = _percentile(values, 50)
        raw[f"{kind}_p99_ms"] = _percentile(values, 99)
    for name in ("p50_ms", "p99_ms"):
        raw[f"added_{name}"] = round(
            raw[f"keyed_{name}"] - raw[f"unkeyed_{name}"], 3
        )
    return {
        "name": "keyed-calls.table-writes-per-call",
        "value": writes,
        "unit": "writes",
        "target": WRITES_PER_CALL_TARGET,
        "holds": writes <= WRITES_PER_CALL_TARGET,
        "raw": raw,
    }


def _percentile(values: list[float], percent: int) -> float:
    return round(statistics.quantiles(values, n=100)[percent - 1], 3)
