"""Proof under faults that a keyed call runs at most once."""

import collections
import threading
import unittest

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


class AtMostOnceFaults(stateful.RuleBasedStateMachine):
    """Callers and nodes use the same keys while everything fails."""

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
        # Keys of which a call may have run unseen.
        self.open = set()
        self.nodes = [self.make_node() for _ in range(2)]

    def make_node(self):
        return keyed_calls.KeyedCalls(
            open_store=lambda: actors.open_store(self),
            table_slots=threading.BoundedSemaphore(100),
            clock=lambda: self.now,
            worker=threading.Thread(),
        )

    def advance(self, seconds):
        self.now += seconds

    @stateful.precondition(lambda self: len(self.live) < MAX_ACTORS)
    @stateful.rule(
        node=strategies.integers(0, 1),
        key=strategies.sampled_from("aaab"),
        body=strategies.sampled_from((b"1", b"1", b"1", b"2")),
    )
    def call(self, node, key, body):
        actor = self.start_call(self.nodes[node], key, body)
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
            deadline=self.now + 5,
            depth=0,
            retried=False,
        )
        self.bodies[key].add(body)

        def carry():
            return keyed_calls.carry(
                node,
                key=key,
                route=ROUTE,
                request=request,
                dispatch=lambda: self.dispatch(key, request),
            )

        actor = actors.Actor(carry)
        actor.key, actor.request = key, request
        return actor

    def dispatch(self, key, request):
        command = threading.current_thread().actor.point()
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
            self.open.add(key)
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
    @stateful.rule(pick=strategies.integers(0, 99), fault=FAULTS)
    def step(self, pick, fault):
        actor = self.live[pick % len(self.live)]
        actor.step(fault)
        self.settle(actor)

    @stateful.precondition(lambda self: self.late)
    @stateful.rule(pick=strategies.integers(0, 99))
    def arrive_late(self, pick):
        self.late.pop(pick % len(self.late)).carry_out()

    @stateful.precondition(lambda self: len(self.live) < MAX_ACTORS)
    @stateful.rule(node=strategies.integers(0, 1))
    def retry(self, node):
        inbox = self.nodes[node].inbox
        if inbox.empty():
            return
        job = inbox.get_nowait()
        actor = self.start_job(inbox, job)
        if not actor.done:
            self.live.append(actor)

    def start_job(self, inbox, job):
        def attempt():
            try:
                done = backlog.attempt(actors.open_store(self), job)
            except errors.TransactionRejected:
                done = True
            except errors.PlatformError:
                done = False
            if not done:
                inbox.put_nowait(job)

        actor = actors.Actor(attempt)
        actor.key, actor.request = job.claim.key, None
        return actor

    @stateful.rule(seconds=strategies.sampled_from((0.5, 3.0, 20.0)))
    def wait(self, seconds):
        self.advance(seconds)

    def settle(self, actor):
        """Check what an ended actor's caller was told."""
        if not actor.done:
            return
        self.live.remove(actor)
        if actor.crashed:
            self.open.add(actor.key)
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
        """End the faults; keys without an open call must work again."""
        try:
            while self.live:
                self.step(0, "deliver")
            while self.late:
                self.late.pop().carry_out()
            for node in self.nodes:
                for _ in range(node.inbox.qsize()):
                    self.finish(
                        self.start_job(node.inbox, node.inbox.get_nowait())
                    )
            self.each_key_runs_at_most_once()
            for key in set(self.bodies) - self.open:
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
    max_examples=300,
    stateful_step_count=50,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def load_tests(loader, standard_tests, pattern):
    """Return the test, which a plain loader finds once under its name."""
    suite = unittest.TestSuite()
    suite.addTest(AtMostOnceFaultsTest("runTest"))
    return suite
