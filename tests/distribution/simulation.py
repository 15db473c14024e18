"""Simulated network and platform of many distribution states."""

import collections
import dataclasses
import random

from apricotpost import config
from apricotpost import distribution
from apricotpost import model
from apricotpost import wire

__all__ = ["Fleet", "Node", "make_fleet", "make_snapshot"]

STEP_SECONDS = 0.25


def make_snapshot(version: int, services: int = 2) -> model.Snapshot:
    """Return a configuration whose services and routes vary by version.

    Each version removes a service together with its route and adds another,
    so that deltas applied out of order can leave a route without its service.
    """
    names = sorted({f"s{(version + k) % 5}" for k in range(services)})
    return config.with_checksum(
        model.Snapshot(
            version=version,
            services=tuple(
                model.Service(
                    name=name,
                    team="t",
                    versions=(model.VersionShare(version="v1", share=1000),),
                )
                for name in names
            ),
            routes=tuple(
                model.Route(
                    name=name,
                    service=name,
                    prefix=f"/{name}",
                    methods=("GET",),
                    idempotent=True,
                    timeout_ms=100 + version,
                )
                for name in names
            ),
        )
    )


@dataclasses.dataclass(kw_only=True)
class Node:
    """One node, and the highest version that its address held while ready.

    The node receives the versions in ``damaged_versions`` with a wrong
    checksum. ``known_versions`` holds the highest version in a digest from
    each other node. While ``knows_fleet`` is false, the node knows only seeds.
    """

    record: model.InstanceRecord
    state: distribution.DistributionState
    highest_ready_version: int = 0
    knows_fleet: bool = True
    damaged_versions: frozenset[int] = frozenset()
    known_versions: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """Nodes, messages and reads in flight, and the table.

    ``history`` holds all committed versions. Data centres in
    ``cut_data_centres`` reach neither the others nor the table.
    ``delivered`` holds all delivered messages.
    """

    nodes: dict[str, Node]
    rng: random.Random
    now: float = 0.0
    in_flight: list[tuple[str, str, wire.Message]] = dataclasses.field(
        default_factory=list
    )
    pending_reads: list[tuple[str, int, wire.ConfigRead]] = dataclasses.field(
        default_factory=list
    )
    history: list[model.Snapshot] = dataclasses.field(
        default_factory=lambda: [model.EMPTY_SNAPSHOT]
    )
    table_unavailable: bool = False
    cut_data_centres: set[str] = dataclasses.field(default_factory=set)
    restart_counts: dict[str, int] = dataclasses.field(default_factory=dict)
    delivered: list[tuple[str, str, wire.Message]] = dataclasses.field(
        default_factory=list
    )
    read_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    actions: list[distribution.Action] = dataclasses.field(
        default_factory=list
    )

    def commit(self) -> None:
        """Commit the next version to the table."""
        self.history.append(make_snapshot(len(self.history)))

    def cluster(self, name: str) -> distribution.ClusterView:
        """Return the other nodes that a node knows."""
        node = self.nodes[name]
        others = [other for other in self.nodes if other != name]
        centre = node.record.data_centre
        if not node.knows_fleet:
            return distribution.ClusterView(
                record=node.record, seeds=tuple(others[:3])
            )
        local, remote = [], []
        for other in others:
            same = self.nodes[other].record.data_centre == centre
            peer = distribution.Peer(instance=other, address=other)
            (local if same else remote).append(peer)
        candidates = [name, *(peer.instance for peer in local)]
        return distribution.ClusterView(
            record=node.record,
            local=tuple(local),
            remote=tuple(remote),
            is_reader=name in distribution.rank(candidates, centre)[:2],
            seeds=tuple(others[:3]),
        )

    def handle(self, name: str, event: distribution.Event) -> None:
        """Handle an event at a node, check its state and run the actions."""
        node = self.nodes[name]
        before = node.state.snapshot.version
        node.state, actions = distribution.handle(
            node.state,
            event,
            self.now,
            cluster=self.cluster(name),
            seed=self.rng.getrandbits(32),
        )
        held = node.state.snapshot
        assert (
            held.version >= before
        ), f"{name} went back to version {held.version}"
        assert not list(
            config.find_faults(held)
        ), f"{name} holds a faulty configuration"
        if held.version and not node.damaged_versions:
            assert held == self.history[held.version]
        if node.state.ready:
            assert (
                held.version >= node.highest_ready_version
            ), f"{name} is ready below a version that its address held"
            node.highest_ready_version = held.version
        self.actions.extend(actions)
        for action in actions:
            self.perform(name, action)

    def perform(self, name: str, action: distribution.Action) -> None:
        """Queue the message or the read that an action causes."""
        if isinstance(action, distribution.ReadTable):
            self.read_counts[name] += 1
            self.pending_reads.append(
                (name, self.restart_count(name), self.read(name, action))
            )
        elif isinstance(action, distribution.Send):
            self.in_flight.append((name, action.address, action.message))
        elif isinstance(action, distribution.Reply):
            target = action.reply_to.decode()
            self.in_flight.append((name, target, action.message))

    def restart_count(self, name: str) -> int:
        """Return how often a node was restarted."""
        return self.restart_counts.get(name, 0)

    def read(
        self, name: str, action: distribution.ReadTable
    ) -> wire.ConfigRead:
        """Return the table's answer to a read as of now.

        The answer may be delivered much later.
        """
        centre = self.nodes[name].record.data_centre
        if self.table_unavailable or centre in self.cut_data_centres:
            return wire.ConfigRead(available=False)
        head = len(self.history) - 1
        return wire.ConfigRead(
            available=True,
            head=head,
            deltas=tuple(
                config.compute_delta(self.history[at], self.history[at + 1])
                for at in range(action.held_version, head)
            ),
        )

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver a message in flight; a kept one will be delivered again."""
        source, target, message = self.in_flight[index]
        if not keep:
            del self.in_flight[index]
        if self.is_cut(source, target):
            return
        self.delivered.append((source, target, message))
        node = self.nodes[target]
        message = self.damage(node, message)
        if isinstance(message, wire.ConfigDigest):
            known_version = node.known_versions.get(source, 0)
            node.known_versions[source] = max(known_version, message.version)
        if isinstance(message, wire.Welcome):
            node.knows_fleet = True
        event = distribution.Received(
            message=message,
            reply_to=source.encode(),
            min_version=node.known_versions.get(source, 0),
        )
        self.handle(target, event)

    def answer_read(self, index: int) -> None:
        """Deliver the answer to a read, unless its reader restarted."""
        name, restart_count, table_read = self.pending_reads.pop(index)
        if restart_count != self.restart_count(name):
            return
        node = self.nodes[name]
        deltas = tuple(self.damage_delta(node, d) for d in table_read.deltas)
        table_read = dataclasses.replace(table_read, deltas=deltas)
        self.handle(name, distribution.TableRead(result=table_read))

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether two nodes are partitioned from each other."""
        centres = {
            self.nodes[name].record.data_centre for name in (source, target)
        }
        return len(centres) > 1 and bool(centres & self.cut_data_centres)

    def damage(self, node: Node, message: wire.Message) -> wire.Message:
        """Return the message, damaged if the node is to refuse its version."""
        if isinstance(message, wire.ConfigDelta):
            deltas = tuple(self.damage_delta(node, d) for d in message.deltas)
            return dataclasses.replace(message, deltas=deltas)
        if isinstance(message, wire.ConfigSnapshot):
            if message.snapshot.version in node.damaged_versions:
                broken = dataclasses.replace(message.snapshot, checksum="bad")
                return dataclasses.replace(message, snapshot=broken)
        return message

    def damage_delta(self, node: Node, delta: model.Delta) -> model.Delta:
        """Return the delta, damaged if the node has to refuse its version."""
        if delta.version in node.damaged_versions:
            return dataclasses.replace(delta, checksum="bad")
        return delta

    def restart(self, name: str) -> None:
        """Restart a node without its configuration and known nodes."""
        node = self.nodes[name]
        self.restart_counts[name] = self.restart_count(name) + 1
        node.state = distribution.start(
            name, self.now, seed=self.rng.getrandbits(32)
        )
        node.knows_fleet = False
        node.known_versions = {}

    def tick(self, name: str) -> None:
        """Send a tick to a node if one is due."""
        state = self.nodes[name].state
        if self.now >= distribution.next_tick(state, self.cluster(name)):
            self.handle(name, distribution.Tick())

    def run(self, seconds: float) -> None:
        """Advance the time without faults; each message takes one step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for _ in range(len(self.in_flight)):
                self.deliver(0)
            for _ in range(len(self.pending_reads)):
                self.answer_read(0)
            for name in self.nodes:
                self.tick(name)

    def ready_versions(self) -> set[int]:
        """Return the versions that nodes are ready with; -1 if not ready."""
        return {
            node.state.snapshot.version if node.state.ready else -1
            for node in self.nodes.values()
        }


def make_fleet(
    size: int, *, centres: int = 2, seed: int = 1, versions: int = 1
) -> Fleet:
    """Return a fleet of ready nodes that hold the newest version."""
    rng = random.Random(seed)
    nodes = {}
    for number in range(size):
        name = f"n{number}"
        record = model.InstanceRecord(
            instance=name,
            data_centre=f"dc{number % centres}",
            region="r",
            call_address=name,
            control_address=name,
        )
        state = distribution.start(name, 0.0, seed=rng.getrandbits(32))
        nodes[name] = Node(
            record=record,
            state=dataclasses.replace(
                state, ready=True, snapshot=make_snapshot(versions)
            ),
        )
    fleet = Fleet(nodes=nodes, rng=rng)
    for _ in range(versions):
        fleet.commit()
    return fleet
