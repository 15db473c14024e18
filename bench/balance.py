"""Compare the choice of the backend server with other policies.

A discrete-event replay of the choice function alone: Poisson arrivals from
several callers, exponential service times, one slow and one cold server.
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
SERVICE_SECONDS = 0.010
SLOW_FACTOR = 4.0
COLD_CALLS = 200
COLD_FACTOR = 3.0
# Offered load as a part of what all servers together can do.
UTILIZATION = 0.6
SEEDS = 5

Pick = Callable[["_Caller", float], model.InstanceRecord]


@dataclasses.dataclass(kw_only=True)
class _Server:
    record: model.InstanceRecord
    factor: float
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
    turn: typing.Iterator[int]


def _round_robin(caller: _Caller, now: float) -> model.InstanceRecord:
    index = next(caller.turn) % len(caller.servers)
    return caller.servers[index].record


def _random_choice(caller: _Caller, now: float) -> model.InstanceRecord:
    return caller.rng.choice(caller.servers).record


def _least_in_flight(caller: _Caller, now: float) -> model.InstanceRecord:
    best = min(
        caller.servers,
        key=lambda server: (
            caller.loads[server.record.instance].unanswered,
            caller.rng.random(),
        ),
    )
    return best.record


def _two_choices_own(caller: _Caller, now: float) -> model.InstanceRecord:
    pair = caller.rng.sample(caller.servers, 2)
    best = min(
        pair,
        key=lambda server: caller.loads[server.record.instance].unanswered,
    )
    return best.record


def _apricotpost(caller: _Caller, now: float) -> model.InstanceRecord:
    found = choices.choose_backend_server(
        [server.record for server in caller.servers],
        caller.loads,
        data_centre="other",
        now=now,
        draws=(caller.rng.random(), caller.rng.random()),
    )
    assert found is not None
    return found


POLICIES: dict[str, Pick] = {
    "round robin": _round_robin,
    "random": _random_choice,
    "least in flight": _least_in_flight,
    "two choices, own calls": _two_choices_own,
    "apricotpost": _apricotpost,
}


def run(full: bool) -> dict[str, typing.Any]:
    """Compare the policies.

    Returns
    -------
    dict
        The value is the 99th percentile with our choice divided by that of
        the best other policy.
    """
    calls = 60_000 if full else 12_000
    raw = {
        name: _measure(pick, calls, seeds=SEEDS)
        for name, pick in POLICIES.items()
    }
    others = [
        figures["p99_ms"]
        for name, figures in raw.items()
        if name != "apricotpost"
    ]
    value = raw["apricotpost"]["p99_ms"] / min(others)
    return {
        "name": "balance",
        "value": value,
        "unit": "ratio",
        "target": 1.0,
        "holds": value <= 1.0,
        "raw": raw,
    }


def _measure(pick: Pick, calls: int, *, seeds: int) -> dict[str, float]:
    latencies: list[float] = []
    for seed in range(seeds):
        latencies.extend(_simulate(pick, calls, random.Random(seed)))
    latencies.sort()
    return {
        "p50_ms": latencies[len(latencies) // 2] * 1000,
        "p99_ms": latencies[int(len(latencies) * 0.99)] * 1000,
    }


def _simulate(pick: Pick, calls: int, rng: random.Random) -> list[float]:
    servers = [_make_server(index) for index in range(SERVERS)]
    by_name = {server.record.instance: server for server in servers}
    callers = [
        _Caller(
            rng=random.Random(rng.random()),
            servers=servers,
            loads={name: choices.PeerLoad() for name in by_name},
            turn=itertools.count(index),
        )
        for index in range(CALLERS)
    ]
    capacity = sum(SLOTS / (SERVICE_SECONDS * s.factor) for s in servers)
    rate = UTILIZATION * capacity
    events: list[tuple[float, int, str, typing.Any]] = []
    order = itertools.count()
    now = 0.0
    for _ in range(calls):
        now += rng.expovariate(rate)
        heapq.heappush(events, (now, next(order), "arrive", None))
    latencies = []
    while events:
        now, _, kind, data = heapq.heappop(events)
        if kind == "arrive":
            caller = rng.choice(callers)
            server = by_name[pick(caller, now).instance]
            _note_sent(caller, server)
            server.queue.append((now, next(order), caller))
        else:
            server, caller, since, duration = data
            _note_duration(server, duration)
            server.busy -= 1
            server.served += 1
            _note_answer(caller, server, now)
            latencies.append(now - since)
        while server.queue and server.busy < SLOTS:
            since, _, owner = server.queue.pop(0)
            server.busy += 1
            duration = rng.expovariate(1 / _duration(server))
            ends = now + duration
            data = (server, owner, since, duration)
            entry = (ends, next(order), "finish", data)
            heapq.heappush(events, entry)
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
    factor = SLOW_FACTOR if index == 0 else 1.0
    return _Server(record=record, factor=factor, cold=index == 1)


def _duration(server: _Server) -> float:
    cold = server.cold and server.served < COLD_CALLS
    return SERVICE_SECONDS * server.factor * (COLD_FACTOR if cold else 1.0)


def _note_duration(server: _Server, duration: float) -> None:
    """Average the latency as the gate does."""
    before = server.usual_ms or duration * 1000
    server.usual_ms = before + 0.05 * (duration * 1000 - before)


def _note_sent(caller: _Caller, server: _Server) -> None:
    name = server.record.instance
    load = caller.loads[name]
    caller.loads[name] = dataclasses.replace(
        load,
        sent_since=load.sent_since + 1,
        unanswered=load.unanswered + 1,
    )


def _note_answer(caller: _Caller, server: _Server, now: float) -> None:
    name = server.record.instance
    load = caller.loads[name]
    caller.loads[name] = dataclasses.replace(
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
