"""Invariants of the distribution under arbitrary orders of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.spread import fleets

__all__ = ["FaultsTest"]

# Digest rounds after the last fault until all must hold the newest version.
ROUNDS = 8
ROUND_SECONDS = 2.0
NODES = tuple(f"n{number}" for number in range(6))


class FaultsMachine(stateful.RuleBasedStateMachine):
    """Drop, delay, reorder, duplicate, cut, restart and take the table out.

    The fake fleet asserts after each step that no version goes down within a
    process, that a ready node is never below what its address held while
    ready, and that no route lacks its service.
    """

    @stateful.initialize(seed=strategies.integers(0, 999))
    def start(self, seed):
        self.fleet = fleets.open_fleet(len(NODES), seed=seed)

    @stateful.rule()
    def commit(self):
        if not self.fleet.table_out:
            self.fleet.commit()

    @stateful.rule(
        choices=strategies.lists(strategies.integers(0, 99), max_size=12),
        keep=strategies.booleans(),
    )
    def deliver(self, choices, keep):
        for choice in choices:
            if self.fleet.pending:
                index = choice % len(self.fleet.pending)
                self.fleet.deliver(index, keep=keep)

    @stateful.rule(choice=strategies.integers(0, 99))
    def drop(self, choice):
        if self.fleet.pending:
            del self.fleet.pending[choice % len(self.fleet.pending)]

    @stateful.rule(choice=strategies.integers(0, 99))
    def answer_read(self, choice):
        if self.fleet.reads:
            self.fleet.answer_read(choice % len(self.fleet.reads))

    @stateful.rule(seconds=strategies.sampled_from((0.25, 1.0, 4.0)))
    def pass_time(self, seconds):
        self.fleet.now += seconds
        for name in NODES:
            self.fleet.tick(name)

    @stateful.rule(seconds=strategies.sampled_from((1.0, 3.0)))
    def run_without_faults(self, seconds):
        self.fleet.run(seconds)

    @stateful.rule(name=strategies.sampled_from(NODES))
    def restart(self, name):
        node = self.fleet.nodes[name]
        centre = node.record.data_centre
        reachable = [
            other.state.snapshot.version
            for other in self.fleet.nodes.values()
            if other.record.data_centre == centre
        ]
        without_table = self.fleet.table_out or centre in self.fleet.cut
        # With neither memory nor table a node knows what its peers know.
        # It can pass below its own best only if every peer missed its push
        # and its comparisons, so such restarts wait until they have not.
        if not without_table or min(reachable) >= node.best:
            self.fleet.restart(name)

    @stateful.rule()
    def take_table_out(self):
        # While a node that restarted is not ready, its peers may lag.
        if -1 not in self.fleet.versions():
            versions = self.fleet.versions()
            if len(versions) == 1:
                self.fleet.table_out = True

    @stateful.rule()
    def bring_table_back(self):
        self.fleet.table_out = False

    @stateful.rule()
    def cut(self):
        if len(self.fleet.versions()) == 1:
            self.fleet.cut = {"dc1"}

    @stateful.rule()
    def heal(self):
        self.fleet.cut = set()

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.table_out = False
        self.fleet.cut = set()
        self.fleet.run(ROUNDS * ROUND_SECONDS)
        newest = len(self.fleet.history) - 1
        assert self.fleet.versions() == {newest}, self.fleet.versions()


FaultsTest = FaultsMachine.TestCase
FaultsTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
