"""Simulation of many nodes that choose among backend servers by old reports.

Each node receives a load report of the servers of its data centre at
intervals and with each answer, as between event-loop nodes. The simulation
needs no network and no real time.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import heapq
import math
import random

from apricotpost.routing import placement

__all__ = ["Load", "Outcome", "Policy", "rank_all", "simulate"]

REPORT_SECONDS = 0.5
# One way between a node and a backend server.
DELAY_SECONDS = 0.001
# Outcomes of the first seconds are left out: nothing has been measured yet.
WARM_UP_SECONDS = 5.0
# Backend servers of other data centres that a node is connected to.
REMOTE_SERVERS = 6
STRICT_OFFERS = 3
# Parameters of the log-normal distribution of the work of a request, with a
# mean of 1.
WORK_MU, WORK_SIGMA = -0.11, 0.47
# Backend servers get slower above this ratio of running requests to slots.
CROWDED_RATIO, CROWDED_SLOWDOWN = 0.75, 0.6
# Weight of a new measurement in the mean time that a server reports.
MEAN_WEIGHT = 0.1
MAX_SAMPLES = 30

Policy = Callable[
    [
        placement.LatencyModel,
        Sequence[placement.Candidate],
        "Load",
        float,
        random.Random,
    ],
    placement.Candidate,
]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Load:
    """Load of a service; times are in milliseconds and seconds as named.

    Parameters
    ----------
    callers, servers, data_centres : int
        Nodes that send requests, backend servers, and data centres.
    slots : int
        Requests that a backend server runs at the same time.
    rate : float
        Requests a second of all callers together.
    work_ms, objective_ms : float
        Mean time of a request at a server of speed 1, and its objective.
    speeds : tuple of float
        Speeds, drawn for each backend server.
    seconds : float
        Simulated time.
    max_wait_ms : float
        Expected wait above which a server refuses one of the first
        `STRICT_OFFERS` offers of a request, which then asks another one.
    """

    callers: int
    servers: int
    data_centres: int
    slots: int
    rate: float
    work_ms: float
    objective_ms: float
    speeds: tuple[float, ...]
    seconds: float = 20.0
    max_wait_ms: float = math.inf


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What callers got.

    Parameters
    ----------
    within_objective : float
        Fraction of the requests that were answered within the objective.
    median_ms, p99_ms : float
        Percentiles of the response time.
    longest_queue : int
        Most requests that a server held at the same time.
    remote : float
        Fraction of the requests that left their data centre.
    """

    within_objective: float
    median_ms: float
    p99_ms: float
    longest_queue: int
    remote: float


class _Server:
    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.running = 0
        self.queue: list[tuple[int, float, float]] = []
        self.mean_ms = placement.INITIAL_LATENCY_MS
        self.samples = 0


def rank_all(
    model: placement.LatencyModel,
    candidates: Sequence[placement.Candidate],
    load: Load,
    now: float,
    rng: random.Random,
) -> placement.Candidate:
    """Return the candidate with the lowest expected time of all."""
    return placement.rank_candidates(
        model,
        list(candidates),
        route="r",
        objective_ms=load.objective_ms,
        now=now,
    )[0]


def simulate(load: Load, choose: Policy, *, seed: int) -> Outcome:
    """Play a load with a policy and return what callers got."""
    return _Simulation(load=load, choose=choose, seed=seed).run()


class _Simulation:
    def __init__(self, *, load: Load, choose: Policy, seed: int) -> None:
        self.load = load
        self.choose = choose
        self.rng = random.Random(seed)
        self.servers = [
            _Server(self.rng.choice(load.speeds)) for _ in range(load.servers)
        ]
        self.models = [placement.LatencyModel() for _ in range(load.callers)]
        self.candidates = [
            self.connect(caller) for caller in range(load.callers)
        ]
        self.events: list[
            tuple[float, int, Callable[..., None], tuple[object, ...]]
        ] = []
        self.event_count = 0
        self.now = 0.0
        self.latencies: list[float] = []
        self.longest_queue = 0
        self.remote_count = 0

    def connect(self, caller: int) -> list[placement.Candidate]:
        """Return the servers of the data centre, and some of the others."""
        data_centre = caller % self.load.data_centres
        local, remote = [], []
        for server in range(self.load.servers):
            same = server % self.load.data_centres == data_centre
            (local if same else remote).append(
                placement.Candidate(
                    node=str(server),
                    backend=str(server),
                    same_data_centre=same,
                )
            )
        self.rng.shuffle(remote)
        return local + remote[:REMOTE_SERVERS]

    def schedule(
        self, delay: float, call: Callable[..., None], *arguments: object
    ) -> None:
        self.event_count += 1
        event = (self.now + delay, self.event_count, call, arguments)
        heapq.heappush(self.events, event)

    def run(self) -> Outcome:
        self.schedule(0.0, self.arrive)
        for server in range(self.load.servers):
            delay = self.rng.random() * REPORT_SECONDS
            self.schedule(delay, self.report, server)
        while self.events:
            self.now, _, call, arguments = heapq.heappop(self.events)
            if self.now > self.load.seconds:
                break
            call(*arguments)
        self.latencies.sort()
        count = len(self.latencies)
        in_time = sum(ms <= self.load.objective_ms for ms in self.latencies)
        return Outcome(
            within_objective=in_time / count,
            median_ms=self.latencies[count // 2],
            p99_ms=self.latencies[int(count * 0.99)],
            longest_queue=self.longest_queue,
            remote=self.remote_count / count,
        )

    def arrive(self) -> None:
        self.schedule(self.rng.expovariate(self.load.rate), self.arrive)
        caller = self.rng.randrange(self.load.callers)
        work = self.rng.lognormvariate(WORK_MU, WORK_SIGMA)
        self.send((caller, self.now, work * self.load.work_ms), frozenset())

    def send(
        self, request: tuple[int, float, float], tried: frozenset[str]
    ) -> None:
        """Offer a request to a server, the fourth time to any."""
        caller = request[0]
        model = self.models[caller]
        candidates = self.candidates[caller]
        limit = self.load.max_wait_ms
        if len(tried) < STRICT_OFFERS:
            untried = [c for c in candidates if c.node not in tried]
            chosen = self.choose(model, untried, self.load, self.now, self.rng)
        else:
            limit = math.inf
            chosen = rank_all(model, candidates, self.load, self.now, self.rng)
        placement.record_sent(model, chosen.backend)
        self.schedule(DELAY_SECONDS, self.offer, chosen, request, tried, limit)

    def offer(
        self,
        chosen: placement.Candidate,
        request: tuple[int, float, float],
        tried: frozenset[str],
        limit: float,
    ) -> None:
        number = int(chosen.node)
        server = self.servers[number]
        held = server.running + len(server.queue) + 1
        excess = max(held - self.load.slots, 0)
        if excess * server.mean_ms / self.load.slots > limit:
            self.schedule(DELAY_SECONDS, self.refuse, number, request, tried)
            return
        self.remote_count += not chosen.same_data_centre
        if server.running < self.load.slots:
            self.start(number, request)
        else:
            server.queue.append(request)
        self.longest_queue = max(self.longest_queue, held)

    def refuse(
        self,
        number: int,
        request: tuple[int, float, float],
        tried: frozenset[str],
    ) -> None:
        """Return a request to its caller with the load of the server."""
        self.record(self.models[request[0]], number)
        self.send(request, tried | {str(number)})

    def start(self, number: int, request: tuple[int, float, float]) -> None:
        server = self.servers[number]
        caller, sent_at, work_ms = request
        server.running += 1
        excess = max(server.running / self.load.slots - CROWDED_RATIO, 0.0)
        ran_ms = work_ms / server.speed * (1.0 + CROWDED_SLOWDOWN * excess)
        self.schedule(
            ran_ms / 1000.0, self.finish, number, caller, sent_at, ran_ms
        )

    def finish(
        self, number: int, caller: int, sent_at: float, ran_ms: float
    ) -> None:
        server = self.servers[number]
        server.running -= 1
        server.samples = min(server.samples + 1, MAX_SAMPLES)
        weight = max(MEAN_WEIGHT, 1.0 / server.samples)
        server.mean_ms += weight * (ran_ms - server.mean_ms)
        if self.now > WARM_UP_SECONDS:
            self.latencies.append((self.now - sent_at) * 1000.0)
        placement.record_latency(
            self.models[caller],
            route="r",
            backend=str(number),
            ran_ms=ran_ms,
        )
        self.record(self.models[caller], number)
        if server.queue:
            self.start(number, server.queue.pop(0))

    def report(self, number: int) -> None:
        self.schedule(REPORT_SECONDS, self.report, number)
        data_centre = number % self.load.data_centres
        for caller, model in enumerate(self.models):
            same = caller % self.load.data_centres == data_centre
            # States of other data centres arrive half as often.
            if same or self.rng.random() < 0.5:
                self.record(model, number)

    def record(self, model: placement.LatencyModel, number: int) -> None:
        server = self.servers[number]
        placement.record_load(
            model,
            backend=str(number),
            running=server.running,
            queued=len(server.queue),
            limit=self.load.slots,
            mean_ms=server.mean_ms,
            sample_count=server.samples,
        )
