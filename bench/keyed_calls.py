"""Table items and latency that an Idempotency-Key adds to a call."""

import statistics
import time
import typing

import urllib3

from apricotpost import model
from apricotpost import storage
from standins import fleet as fleets

__all__ = ["run"]

WRITES_PER_CALL_TARGET = 2.0
# The table handles several hundred writes a second; this many are planned for.
TABLE_WRITES_PER_SECOND = 300
TARGET_CALLS_PER_SECOND = 100_000
CALLS_PER_SECOND = 50.0

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
    """Send keyed and unkeyed posts alternately.

    Parameters
    ----------
    full : bool
        Whether to send 1500 calls of each kind instead of 250.

    Returns
    -------
    dict
        The value is the number of items written per keyed call.
    """
    count = 1500 if full else 250
    with fleets.open_fleet() as fleet:
        fleets.commit_first_snapshot(fleet, CONFIGURATION)
        member = fleets.start_member(
            fleet,
            instance="fieldbook-1",
            data_centre="dc1",
            service="fieldbook",
            version="v1",
        )
        pool = urllib3.PoolManager(maxsize=1, retries=False)
        ready = fleets.wait_for(
            lambda: _is_warmed_up(pool, member), seconds=30
        )
        if ready is None:
            raise RuntimeError(
                "node fieldbook-1 did not answer 30 calls in a row within 30 s"
            )
        latencies, item_counts = _measure(fleet, pool, member, count)
        latencies["table_put"] = _measure_puts(fleet, count)
        pool.clear()
    return _make_result(latencies, item_counts, count)


def _measure(
    fleet: fleets.Fleet,
    pool: urllib3.PoolManager,
    member: fleets.Member,
    count: int,
) -> tuple[dict[str, list[float]], dict[str, int]]:
    """Send calls alternately at a constant rate; the table counts items."""
    latencies: dict[str, list[float]] = {"keyed": [], "unkeyed": []}
    item_counts = dict.fromkeys(("written", "rejected", "read"), 0)
    started = time.monotonic()
    counters_before = _read_counters(fleet)
    for number in range(count):
        for kind, key in (("keyed", f"k{number}"), ("unkeyed", None)):
            latencies[kind].append(_post(pool, member, key))
        pause_seconds = (
            started + (number + 1) * 2 / CALLS_PER_SECOND - time.monotonic()
        )
        time.sleep(max(pause_seconds, 0.0))
    counters_after = _read_counters(fleet)
    for name in item_counts:
        item_counts[name] = (
            counters_after[f"items_{name}"] - counters_before[f"items_{name}"]
        )
    seconds = time.monotonic() - started
    # The node also reads the configuration during the run. The rate of
    # these reads is measured without calls, and they are subtracted.
    idle_reads_per_second = _measure_idle_reads(fleet)
    item_counts["read"] = max(
        round(item_counts["read"] - idle_reads_per_second * seconds), 0
    )
    return latencies, item_counts


def _measure_puts(fleet: fleets.Fleet, count: int) -> list[float]:
    """Measure single writes to the table, which cause the added latency."""
    store = storage.open_store(
        table_url=fleet.platform_url,
        object_url=fleet.platform_url,
        table_name="bench",
        bucket="bench",
        timeout_seconds=5.0,
    )
    latencies_ms = []
    for number in range(count):
        key = storage.table.Key(pk="bench", sk=str(number))
        item = storage.table.Item(key=key, attributes={"n": number})
        started = time.perf_counter()
        storage.table.put(store.table, storage.table.Put(item=item))
        latencies_ms.append((time.perf_counter() - started) * 1000)
    store.channel.pool.clear()
    return latencies_ms


def _measure_idle_reads(fleet: fleets.Fleet) -> float:
    counters_before = _read_counters(fleet)
    started = time.monotonic()
    time.sleep(4.0)
    counters_after = _read_counters(fleet)
    seconds = time.monotonic() - started
    return (
        counters_after["items_read"] - counters_before["items_read"]
    ) / seconds


def _read_counters(fleet: fleets.Fleet) -> dict[str, int]:
    counters = fleets.call_json(fleet, fleet.platform_url, "/-/counters")
    return typing.cast(dict[str, int], counters)


def _post(
    pool: urllib3.PoolManager, member: fleets.Member, key: str | None
) -> float:
    headers = {"Idempotency-Key": key} if key else {}
    started = time.perf_counter()
    response = pool.request(
        "POST",
        f"http://{member.ingress}/reports",
        body=b'{"defect": "crack"}',
        headers=headers,
        timeout=10.0,
    )
    elapsed_ms = (time.perf_counter() - started) * 1000
    if response.status != 200:
        raise RuntimeError(
            f"POST /reports: status {response.status}: {response.data!r}"
        )
    return elapsed_ms


def _is_warmed_up(pool: urllib3.PoolManager, member: fleets.Member) -> bool:
    """Return whether 30 keyed calls in a row succeed."""
    try:
        for number in range(30):
            _post(pool, member, f"warm-{time.time_ns()}-{number}")
    except (RuntimeError, urllib3.exceptions.HTTPError):
        return False
    return True


def _make_result(
    latencies: dict[str, list[float]], item_counts: dict[str, int], count: int
) -> dict[str, typing.Any]:
    writes = (item_counts["written"] + item_counts["rejected"]) / count
    keyed_calls_per_second = TABLE_WRITES_PER_SECOND / writes
    raw: dict[str, typing.Any] = {
        "calls_of_each_kind": count,
        "items_written": item_counts["written"],
        "items_rejected": item_counts["rejected"],
        "items_read_per_keyed_call": round(item_counts["read"] / count, 3),
        "keyed_calls_per_second_at_300_writes": keyed_calls_per_second,
        "share_of_100000_calls_percent": keyed_calls_per_second
        / TARGET_CALLS_PER_SECOND
        * 100,
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
