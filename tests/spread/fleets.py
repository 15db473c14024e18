"""A fake network and platform around many distribution states."""

import collections
import dataclasses
import random

from apricotpost import config
from apricotpost import model
from apricotpost import spread
from apricotpost import wire

__all__ = ["Fleet", "Node", "make_snapshot", "open_fleet"]

STEP_SECONDS = 0.25


def make_snapshot(version: int, services: int = 2) -> model.Snapshot:
    """Return a configuration whose services and routes vary by version.

    Each version drops a service together with its route and adds others, so
    that deltas which cross can leave a route without its service.
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
    """One node and what its address held at most while ready."""

    record: model.InstanceRecord
    state: spread.SpreadState
    best: int = 0
    knows_fleet: bool = True
    damages: frozenset[int] = frozenset()
    known: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """Nodes, messages under way and the table.

    ``cut`` names data centres that reach neither others nor the table.
    """

    nodes: dict[str, Node]
    rng: random.Random
    now: float = 0.0
    pending: list[tuple[str, str, wire.Message]] = dataclasses.field(
        default_factory=list
    )
    reads: list[tuple[str, int, wire.ConfigRead]] = dataclasses.field(
        default_factory=list
    )
    history: list[model.Snapshot] = dataclasses.field(
        default_factory=lambda: [model.EMPTY_SNAPSHOT]
    )
    table_out: bool = False
    cut: set[str] = dataclasses.field(default_factory=set)
    lives: dict[str, int] = dataclasses.field(default_factory=dict)
    sent: list[tuple[str, str, wire.Message]] = dataclasses.field(
        default_factory=list
    )
    read_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    actions: list[spread.Action] = dataclasses.field(default_factory=list)

    def commit(self) -> None:
        """Commit the next version to the table."""
        self.history.append(make_snapshot(len(self.history)))

    def cluster(self, name: str) -> spread.ClusterView:
        """Return whom a node knows."""
        node = self.nodes[name]
        others = [other for other in self.nodes if other != name]
        centre = node.record.data_centre
        if not node.knows_fleet:
            return spread.ClusterView(
                record=node.record, seeds=tuple(others[:3])
            )
        local, remote = [], []
        for other in others:
            same = self.nodes[other].record.data_centre == centre
            peer = spread.Peer(instance=other, address=other)
            (local if same else remote).append(peer)
        candidates = [name, *(peer.instance for peer in local)]
        return spread.ClusterView(
            record=node.record,
            local=tuple(local),
            remote=tuple(remote),
            reader=name in spread.rank(candidates, centre)[:2],
            seeds=tuple(others[:3]),
        )

    def handle(self, name: str, event: spread.Event) -> None:
        """Run one decision, check its result and take up its actions."""
        node = self.nodes[name]
        before = node.state.snapshot.version
        node.state, actions = spread.handle(
            node.state,
            event,
            self.now,
            cluster=self.cluster(name),
            draw=self.rng.getrandbits(32),
        )
        held = node.state.snapshot
        assert held.version >= before, f"{name} went back to {held.version}"
        assert not list(config.find_faults(held)), f"{name} holds faults"
        if held.version and not node.damages:
            assert held == self.history[held.version]
        if node.state.ready:
            assert held.version >= node.best, f"{name} ready below its best"
            node.best = held.version
        self.actions.extend(actions)
        for action in actions:
            self.take_up(name, action)

    def take_up(self, name: str, action: spread.Action) -> None:
        """Put what an action causes under way."""
        if isinstance(action, spread.ReadTable):
            self.read_counts[name] += 1
            self.reads.append((name, self.life(name), self.read(name, action)))
        elif isinstance(action, spread.Send):
            self.pending.append((name, action.address, action.message))
        elif isinstance(action, spread.Reply):
            target = action.reply_to.decode()
            self.pending.append((name, target, action.message))

    def life(self, name: str) -> int:
        """Return how often a node was restarted."""
        return self.lives.get(name, 0)

    def read(self, name: str, action: spread.ReadTable) -> wire.ConfigRead:
        """Answer a read as of now; the answer may arrive much later."""
        centre = self.nodes[name].record.data_centre
        if self.table_out or centre in self.cut:
            return wire.ConfigRead(available=False)
        head = len(self.history) - 1
        return wire.ConfigRead(
            available=True,
            head=head,
            deltas=tuple(
                config.compute_delta(self.history[at], self.history[at + 1])
                for at in range(action.have, head)
            ),
        )

    def deliver(self, index: int, *, keep: bool = False) -> None:
        """Deliver one message under way; a kept one arrives again."""
        source, target, message = self.pending[index]
        if not keep:
            del self.pending[index]
        if self.is_cut(source, target):
            return
        self.sent.append((source, target, message))
        node = self.nodes[target]
        message = self.damage(node, message)
        if isinstance(message, wire.ConfigDigest):
            known = node.known.get(source, 0)
            node.known[source] = max(known, message.version)
        if isinstance(message, wire.Welcome):
            node.knows_fleet = True
        event = spread.Received(
            message=message,
            reply_to=source.encode(),
            floor=node.known.get(source, 0),
        )
        self.handle(target, event)

    def answer_read(self, index: int) -> None:
        """Deliver the answer to a read, unless its reader restarted."""
        name, life, found = self.reads.pop(index)
        if life != self.life(name):
            return
        node = self.nodes[name]
        deltas = tuple(self.damage_delta(node, d) for d in found.deltas)
        found = dataclasses.replace(found, deltas=deltas)
        self.handle(name, spread.TableRead(found=found))

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a cut lies between two nodes."""
        centres = {
            self.nodes[name].record.data_centre for name in (source, target)
        }
        return len(centres) > 1 and bool(centres & self.cut)

    def damage(self, node: Node, message: wire.Message) -> wire.Message:
        """Make the node refuse the versions that it is to refuse."""
        if isinstance(message, wire.ConfigDelta):
            deltas = tuple(self.damage_delta(node, d) for d in message.deltas)
            return dataclasses.replace(message, deltas=deltas)
        if isinstance(message, wire.ConfigSnapshot):
            if message.snapshot.version in node.damages:
                broken = dataclasses.replace(message.snapshot, checksum="bad")
                return dataclasses.replace(message, snapshot=broken)
        return message

    def damage_delta(self, node: Node, delta: model.Delta) -> model.Delta:
        """Return the delta as the node gets it."""
        if delta.version in node.damages:
            return dataclasses.replace(delta, checksum="bad")
        return delta

    def restart(self, name: str) -> None:
        """Replace a node by one with an empty memory."""
        node = self.nodes[name]
        self.lives[name] = self.life(name) + 1
        node.state = spread.start(
            name, self.now, draw=self.rng.getrandbits(32)
        )
        node.knows_fleet = False
        node.known = {}

    def tick(self, name: str) -> None:
        """Let a node do what is due."""
        state = self.nodes[name].state
        if self.now >= spread.next_tick(state, self.cluster(name)):
            self.handle(name, spread.Tick())

    def run(self, seconds: float) -> None:
        """Let time pass without faults; each message takes one step."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for _ in range(len(self.pending)):
                self.deliver(0)
            for _ in range(len(self.reads)):
                self.answer_read(0)
            for name in self.nodes:
                self.tick(name)

    def versions(self) -> set[int]:
        """Return the versions that nodes are ready with; -1 if not ready."""
        return {
            node.state.snapshot.version if node.state.ready else -1
            for node in self.nodes.values()
        }


def open_fleet(
    size: int, *, centres: int = 2, seed: int = 1, versions: int = 1
) -> Fleet:
    """Make ready nodes that hold the newest version."""
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
        state = spread.start(name, 0.0, draw=rng.getrandbits(32))
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
