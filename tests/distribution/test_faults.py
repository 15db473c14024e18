"""Invariants of the distribution under random sequences of faults."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.distribution import simulation

__all__ = ["FaultsTest"]

# Digest rounds after the last fault within which all nodes have to hold the
# newest version.
ROUNDS = 8
ROUND_SECONDS = 2.0
NODES = tuple(f"n{number}" for number in range(6))


class FaultsMachine(stateful.RuleBasedStateMachine):
    """Guards against lost and older versions after any sequence of faults.

    Messages are lost, delayed, reordered and duplicated, a data centre is
    partitioned, nodes restart, and the table becomes unavailable. The
    simulated fleet asserts after each step that the version of a process never
    decreases, that a ready node never holds an older version than its address
    held while ready, and that each route has its service.
    """

    @stateful.initialize(seed=strategies.integers(0, 999))
    def start(self, seed):
        self.fleet = simulation.make_fleet(len(NODES), seed=seed)

    @stateful.rule()
    def commit(self):
        if not self.fleet.table_unavailable:
            self.fleet.commit()

    @stateful.rule(
        choices=strategies.lists(strategies.integers(0, 99), max_size=12),
        keep=strategies.booleans(),
    )
    def deliver(self, choices, keep):
        for choice in choices:
            if self.fleet.in_flight:
                index = choice % len(self.fleet.in_flight)
                self.fleet.deliver(index, keep=keep)

    @stateful.rule(choice=strategies.integers(0, 99))
    def drop(self, choice):
        if self.fleet.in_flight:
            del self.fleet.in_flight[choice % len(self.fleet.in_flight)]

    @stateful.rule(choice=strategies.integers(0, 99))
    def answer_read(self, choice):
        if self.fleet.pending_reads:
            self.fleet.answer_read(choice % len(self.fleet.pending_reads))

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
        without_table = (
            self.fleet.table_unavailable
            or centre in self.fleet.cut_data_centres
        )
        # Without the table a restarted node gets its version from its peers.
        # If all of them missed the pushes and digests of its highest version,
        # it can become ready with an older one. So it restarts only when each
        # node of its data centre holds that version or a newer one.
        if not without_table or min(reachable) >= node.highest_ready_version:
            self.fleet.restart(name)

    @stateful.rule()
    def take_table_out(self):
        # While a restarted node is not ready, its peers may hold older
        # versions than it held.
        if -1 not in self.fleet.ready_versions():
            versions = self.fleet.ready_versions()
            if len(versions) == 1:
                self.fleet.table_unavailable = True

    @stateful.rule()
    def bring_table_back(self):
        self.fleet.table_unavailable = False

    @stateful.rule()
    def cut(self):
        if len(self.fleet.ready_versions()) == 1:
            self.fleet.cut_data_centres = {"dc1"}

    @stateful.rule()
    def heal(self):
        self.fleet.cut_data_centres = set()

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.table_unavailable = False
        self.fleet.cut_data_centres = set()
        self.fleet.run(ROUNDS * ROUND_SECONDS)
        newest = len(self.fleet.history) - 1
        assert self.fleet.ready_versions() == {
            newest
        }, self.fleet.ready_versions()


FaultsTest = FaultsMachine.TestCase
FaultsTest.settings = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=50,
    stateful_step_count=60,
    suppress_health_check=list(hypothesis.HealthCheck),
)
