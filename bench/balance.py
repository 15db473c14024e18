"""Compare the load balancing of a node with other policies.

A discrete-event simulation of the balancing function alone: Poisson arrivals
at several callers, exponential service times, one slow and one cold server.
"""

from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random
import typing

from apricotpost import model
from apricotpost.routing import choices

__all__ = ["POLICIES", "run"]

CALLERS = 4
SERVERS = 8
SLOTS = 12
MEAN_SERVICE_SECONDS = 0.010
SLOW_SERVER_FACTOR = 4.0
COLD_CALLS = 200
COLD_SERVER_FACTOR = 3.0
# Offered load as a fraction of the capacity of all servers.
UTILIZATION = 0.6
SEEDS = 5

Policy = Callable[["_Caller", float], model.InstanceRecord]


@dataclasses.dataclass(kw_only=True)
class _Server:
    record: model.InstanceRecord
    latency_factor: float
    busy: int = 0
    queue: list[tuple[float, int, typing.Any]] = dataclasses.field(
        default_factory=list
    )
    served: int = 0
    cold: bool = False
    usual_ms: float = 0.0


@dataclasses.dataclass(kw_only=True)
class _Caller:
    rng: random.Random
    servers: list[_Server]
    loads: dict[str, choices.PeerLoad]
    next_index: typing.Iterator[int]


def _round_robin(caller: _Caller, now: float) -> model.InstanceRecord:
    index = next(caller.next_index) % len(caller.servers)
    return caller.servers[index].record


def _random_choice(caller: _Caller, now: float) -> model.InstanceRecord:
    return caller.rng.choice(caller.servers).record


def _least_in_flight(caller: _Caller, now: float) -> model.InstanceRecord:
    chosen = min(
        caller.servers,
        key=lambda server: (
            caller.loads[server.record.instance].unanswered,
            caller.rng.random(),
        ),
    )
    return chosen.record


def _two_random_choices(caller: _Caller, now: float) -> model.InstanceRecord:
    candidates = caller.rng.sample(caller.servers, 2)
    chosen = min(
        candidates,
        key=lambda server: caller.loads[server.record.instance].unanswered,
    )
    return chosen.record


def _apricotpost(caller: _Caller, now: float) -> model.InstanceRecord:
    chosen = choices.choose_backend_server(
        [server.record for server in caller.servers],
        caller.loads,
        data_centre="other",
        now=now,
        draws=(caller.rng.random(), caller.rng.random()),
    )
    assert chosen is not None
    return chosen


POLICIES: dict[str, Policy] = {
    "round robin": _round_robin,
    "random": _random_choice,
    "least in flight": _least_in_flight,
    "two choices, own calls": _two_random_choices,
    "apricotpost": _apricotpost,
}


def run(full: bool) -> dict[str, typing.Any]:
    """Compare the policies.

    Returns
    -------
    dict
        The value is the 99th percentile of the latency with apricotpost's
        policy divided by that with the best other policy.
    """
    calls = 60_000 if full else 12_000
    raw = {
        name: _measure(policy, calls, seeds=SEEDS)
        for name, policy in POLICIES.items()
    }
    other_p99_ms = [
        figures["p99_ms"]
        for name, figures in raw.items()
        if name != "apricotpost"
    ]
    value = raw["apricotpost"]["p99_ms"] / min(other_p99_ms)
    return {
        "name": "balance",
        "value": value,
        "unit": "ratio",
        "target": 1.0,
        "holds": value <= 1.0,
        "raw": raw,
    }


def _measure(policy: Policy, calls: int, *, seeds: int) -> dict[str, float]:
    latencies: list[float] = []
    for seed in range(seeds):
        latencies.extend(_simulate(policy, calls, random.Random(seed)))
    latencies.sort()
    return {
        "p50_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
    }


def _simulate(policy: Policy, calls: int, rng: random.Random) -> list[float]:
    servers = [_make_server(index) for index in range(SERVERS)]
    servers_by_name = {server.record.instance: server for server in servers}
    callers = [
        _Caller(
            rng=random.Random(rng.random()),
            servers=servers,
            loads={name: choices.PeerLoad() for name in servers_by_name},
            next_index=itertools.count(index),
        )
        for index in range(CALLERS)
    ]
    capacity = sum(
        SLOTS / (MEAN_SERVICE_SECONDS * s.latency_factor) for s in servers
    )
    rate = UTILIZATION * capacity
    events: list[tuple[float, int, str, typing.Any]] = []
    sequence = itertools.count()
    now = 0.0
    for _ in range(calls):
        now += rng.expovariate(rate)
        heapq.heappush(events, (now, next(sequence), "arrive", None))
    latencies = []
    while events:
        now, _, event_kind, data = heapq.heappop(events)
        if event_kind == "arrive":
            caller = rng.choice(callers)
            server = servers_by_name[policy(caller, now).instance]
            _record_sent(caller, server)
            server.queue.append((now, next(sequence), caller))
        else:
            server, caller, arrived_at, duration_seconds = data
            _record_duration(server, duration_seconds)
            server.busy -= 1
            server.served += 1
            _record_answer(caller, server, now)
            latencies.append(now - arrived_at)
        while server.queue and server.busy < SLOTS:
            arrived_at, _, queued_caller = server.queue.pop(0)
            server.busy += 1
            duration_seconds = rng.expovariate(1 / _mean_seconds(server))
            ends_at = now + duration_seconds
            data = (server, queued_caller, arrived_at, duration_seconds)
            finish_event = (ends_at, next(sequence), "finish", data)
            heapq.heappush(events, finish_event)
    return latencies


def _make_server(index: int) -> _Server:
    record = model.InstanceRecord(
        instance=f"server-{index}",
        data_centre="dc1",
        region="lv-riga",
        call_address="",
        control_address="",
        slots=SLOTS,
    )
    latency_factor = SLOW_SERVER_FACTOR if index == 0 else 1.0
    return _Server(
        record=record, latency_factor=latency_factor, cold=index == 1
    )


def _mean_seconds(server: _Server) -> float:
    cold = server.cold and server.served < COLD_CALLS
    return (
        MEAN_SERVICE_SECONDS
        * server.latency_factor
        * (COLD_SERVER_FACTOR if cold else 1.0)
    )


def _record_duration(server: _Server, duration_seconds: float) -> None:
    """Update the moving average of the latency as the gate does."""
    previous_ms = server.usual_ms or duration_seconds * 1000
    server.usual_ms = previous_ms + 0.05 * (
        duration_seconds * 1000 - previous_ms
    )


def _record_sent(caller: _Caller, server: _Server) -> None:
    instance = server.record.instance
    load = caller.loads[instance]
    caller.loads[instance] = dataclasses.replace(
        load,
        sent_since=load.sent_since + 1,
        unanswered=load.unanswered + 1,
    )


def _record_answer(caller: _Caller, server: _Server, now: float) -> None:
    instance = server.record.instance
    load = caller.loads[instance]
    caller.loads[instance] = dataclasses.replace(
        load,
        reported=model.Load(
            in_flight=server.busy,
            limit=SLOTS,
            queued=len(server.queue),
            usual_ms=server.usual_ms,
        ),
        reported_at=now,
        sent_since=0,
        unanswered=load.unanswered - 1,
    )
