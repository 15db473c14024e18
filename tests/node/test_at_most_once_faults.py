"""Stateful test under faults that a keyed call runs at most once."""

import collections
import threading

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from apricotpost import errors
from apricotpost import idempotency
from apricotpost.idempotency import backlog
from apricotpost import model
from apricotpost.node import keyed_calls
from apricotpost import wire
from standins import platform
from tests.node import actors

__all__ = ["AtMostOnceFaultsTest"]

ROUTE = model.Route(
    name="reports",
    service="fieldbook",
    prefix="/reports",
    methods=("POST",),
    idempotent=False,
)
MAX_ACTORS = 6
FAULTS = strategies.sampled_from(("deliver",) * 6 + actors.FAULTS)
STEPS = strategies.lists(
    strategies.tuples(strategies.integers(0, MAX_ACTORS - 1), FAULTS),
    min_size=4,
    max_size=10,
)


class AtMostOnceFaults(stateful.RuleBasedStateMachine):
    """Concurrent calls with shared keys while table and nodes fail."""

    def __init__(self):
        super().__init__()
        self.state = platform.State()
        self.late = []
        self.now = 1000.0
        self.live = []
        self.numbers = 0
        self.executions = collections.defaultdict(list)
        self.bodies = collections.defaultdict(set)
        self.executed = set()
        # Keys with a call that may have run without a known outcome.
        self.uncertain_keys = set()
        self.nodes = [self.make_node() for _ in range(2)]

    def make_node(self):
        return keyed_calls.KeyedCalls(
            open_store=lambda: actors.open_store(self),
            table_slots=threading.BoundedSemaphore(100),
            clock=lambda: self.now,
            retry_thread=threading.Thread(),
        )

    def advance(self, seconds):
        self.now += seconds

    @stateful.precondition(lambda self: len(self.live) < MAX_ACTORS)
    @stateful.rule(
        node=strategies.integers(0, 1),
        key=strategies.sampled_from("aab"),
        bodies=strategies.lists(
            strategies.sampled_from((b"1", b"1", b"1", b"2")),
            min_size=1,
            max_size=3,
        ),
    )
    def call(self, node, key, bodies):
        for number, body in enumerate(bodies):
            chosen = self.nodes[(node + number) % 2]
            actor = self.start_call(chosen, key, body)
            if not actor.done:
                self.live.append(actor)

    def start_call(self, node, key, body):
        self.numbers += 1
        request = wire.CallRequest(
            request=f"request-{self.numbers}",
            route=ROUTE.name,
            method="POST",
            target="/reports",
            headers=(),
            body=body,
            deadline=self.now + 25,
            depth=0,
            retried=False,
        )
        self.bodies[key].add(body)

        def execute():
            return keyed_calls.execute(
                node,
                key=key,
                route=ROUTE,
                request=request,
                dispatch=lambda: self.dispatch(key, request),
            )

        actor = actors.Actor(execute)
        actor.key, actor.request = key, request
        return actor

    def dispatch(self, key, request):
        command = threading.current_thread().actor.wait_for_command()
        if command == "crash-before":
            raise actors.Crash
        if command in ("refuse", "drop"):
            return wire.CallResult(
                request=request.request,
                outcome=wire.Outcome.NOT_RUN,
                status=503,
                reason="gate-full",
            )
        answer = f"{request.request} of {key}".encode()
        if command != "late":
            self.executions[key].append((request.body, answer))
            self.executed.add(request.request)
        if command == "crash-after":
            raise actors.Crash
        if command in ("lose", "late"):
            self.uncertain_keys.add(key)
            return wire.CallResult(
                request=request.request,
                outcome=wire.Outcome.UNKNOWN,
                status=504,
                reason="timeout",
            )
        return wire.CallResult(
            request=request.request,
            outcome=wire.Outcome.ANSWERED,
            status=200,
            body=answer,
        )

    @stateful.precondition(lambda self: self.live)
    @stateful.rule(steps=STEPS)
    def step(self, steps):
        for index, fault in steps:
            if not self.live:
                return
            actor = self.live[index % len(self.live)]
            actor.step(fault)
            self.check_ended_actor(actor)
            self.each_key_runs_at_most_once()

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(index=strategies.integers(0, 99))
    def deliver_late_request(self, index):
        self.late.pop(index % len(self.late)).execute()

    @stateful.precondition(lambda self: len(self.live) < MAX_ACTORS)
    @stateful.rule(node=strategies.integers(0, 1))
    def retry(self, node):
        retry_queue = self.nodes[node].retry_queue
        if retry_queue.empty():
            return
        job = retry_queue.get_nowait()
        actor = self.start_job(retry_queue, job)
        if not actor.done:
            self.live.append(actor)

    def start_job(self, retry_queue, job):
        def attempt():
            try:
                done = backlog.attempt(actors.open_store(self), job)
            except errors.TransactionRejected:
                done = True
            except errors.PlatformError:
                done = False
            if not done:
                retry_queue.put_nowait(job)

        actor = actors.Actor(attempt)
        actor.key, actor.request = job.claim.key, None
        return actor

    @stateful.rule(seconds=strategies.sampled_from((0.5, 3.0, 30.0)))
    def wait(self, seconds):
        self.advance(seconds)

    def check_ended_actor(self, actor):
        """Check the result that an ended actor's caller got."""
        if not actor.done:
            return
        self.live.remove(actor)
        if actor.crashed:
            self.uncertain_keys.add(actor.key)
        elif actor.request is not None:
            self.check_result(actor)

    def check_result(self, actor):
        result, request = actor.result, actor.request
        runs = self.executions[actor.key]
        if result.outcome is wire.Outcome.NOT_RUN:
            assert request.request not in self.executed, result
            if result.status == 422:
                assert len(self.bodies[actor.key]) > 1
        elif result.outcome is wire.Outcome.ANSWERED:
            assert [(request.body, result.body)] == runs, (result, runs)
            replayed = (idempotency.REPLAYED_HEADER, "1") in result.headers
            assert replayed == (request.request not in self.executed)

    @stateful.invariant()
    def each_key_runs_at_most_once(self):
        for key, runs in self.executions.items():
            assert len(runs) <= 1, (key, runs)

    def teardown(self):
        """Stop the faults; keys without an uncertain call must work again."""
        try:
            while self.live:
                self.step([(0, "deliver")])
            while self.late:
                self.late.pop().execute()
            for node in self.nodes:
                for _ in range(node.retry_queue.qsize()):
                    self.finish(
                        self.start_job(
                            node.retry_queue, node.retry_queue.get_nowait()
                        )
                    )
            self.each_key_runs_at_most_once()
            for key in set(self.bodies) - self.uncertain_keys:
                self.check_key(key)
        finally:
            for actor in self.live:
                while not actor.done:
                    actor.step("crash-before")

    def finish(self, actor):
        while not actor.done:
            actor.step("deliver")

    def check_key(self, key):
        runs = self.executions[key]
        body = runs[0][0] if runs else b"1"
        actor = self.start_call(self.nodes[0], key, body)
        self.finish(actor)
        assert actor.result.outcome is wire.Outcome.ANSWERED, actor.result
        self.check_result(actor)
        assert len(self.executions[key]) == 1


AtMostOnceFaultsTest = AtMostOnceFaults.TestCase
AtMostOnceFaultsTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=25,
    suppress_health_check=list(hypothesis.HealthCheck),
    # Without shrinking, which replays threads step by step and takes minutes.
    phases=(hypothesis.Phase.generate,),
)
