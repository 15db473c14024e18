"""Task that tells other nodes of this one and learns of them."""

import asyncio
from collections.abc import Callable
import logging

from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.sidecar import gate
from apricotpost.sidecar import links
from apricotpost.sidecar import options
from apricotpost.sidecar import roster
from apricotpost import wire

__all__ = ["Gossip"]

_LOG = logging.getLogger(__name__)

# States within a data centre, where bytes are free, and to others.
NEAR_SECONDS = 0.5
# While a new version carries most requests of this node's service, its
# evidence goes to all nodes at this interval.
LOADED_SECONDS = 0.25
# Every so many rounds the state goes to the other data centres, too.
FAR_ROUNDS = 3
# A node that was not heard for so long is forgotten.
FORGET_SECONDS = 180.0


class Gossip:
    """State of the task.

    Parameters
    ----------
    settings : options.Options
        Of the node.
    boot : int
        Orders the processes of this node.
    known : fleet.Fleet
        States of all nodes.
    servers : roster.Roster
        Index of the backend servers, rebuilt after changes.
    on_state : callable
        Called with every newer state.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        boot: int,
        known: fleet.Fleet,
        servers: roster.Roster,
        on_state: Callable[[wire.NodeState, bool], None],
    ) -> None:
        self.settings = settings
        self.boot = boot
        self.known = known
        self.servers = servers
        self.on_state = on_state
        self.loop = asyncio.get_running_loop()
        self.sequence = 0
        self.round = 0
        self.leaving = False
        self.reaches_store = True
        self.orders = 0
        self.links: links.Links | None = None
        self.gate: gate.Gate | None = None
        self.pending = False

    async def run(self) -> None:
        """Publish at intervals."""
        while True:
            self.round += 1
            loaded = self.gate is not None and self.gate.is_loaded_trial()
            self.publish(far=loaded or self.round % FAR_ROUNDS == 0)
            self.forget_lost()
            await asyncio.sleep(LOADED_SECONDS if loaded else NEAR_SECONDS)

    def announce(self) -> None:
        """Publish a change to all nodes, once for several changes."""
        if not self.pending:
            self.pending = True
            self.loop.call_soon(self.publish_change)

    def publish_change(self) -> None:
        """Publish what `announce` asked for."""
        self.pending = False
        self.publish(far=True)

    def publish(self, *, far: bool) -> None:
        """Send this node's state."""
        state = self.describe()
        fleet.learn(self.known, state, self.loop.time())
        self.servers.rebuild()
        if self.links is None:
            return
        for name, known in self.known.nodes.items():
            near = known.state.data_centre == self.settings.data_centre
            if name != self.settings.instance and (near or far):
                self.links.send(name, state)
        self.on_state(state, False)

    def describe(self) -> wire.NodeState:
        """Return this node's state."""
        self.sequence += 1
        return wire.NodeState(
            node=self.settings.instance,
            data_centre=self.settings.data_centre,
            address=self.settings.addresses.links,
            boot=self.boot,
            sequence=self.sequence,
            leaving=self.leaving,
            store=self.reaches_store,
            orders=self.orders,
            server=self.gate.describe() if self.gate is not None else None,
            counts=self.gate.describe_counts() if self.gate else (),
        )

    def take_state(self, state: wire.NodeState) -> None:
        """Take the state of another node."""
        if state.node == self.settings.instance:
            self.outlive(state)
            return
        before = self.known.nodes.get(state.node)
        newer = fleet.learn(self.known, state, self.loop.time())
        known = self.known.nodes[state.node]
        if known.state is not state:
            return
        if self.links is not None:
            self.links.connect(state.node, state.address)
        if newer:
            events.emit(
                _LOG, events.NODE_MET, node=state.node, boot=state.boot
            )
            if self.links is not None:
                self.links.send(state.node, self.describe())
        if before is None or _differs(before.state, state):
            self.servers.rebuild()
        self.on_state(state, newer)

    def outlive(self, state: wire.NodeState) -> None:
        """Order this process after an earlier one of the same node."""
        if state.boot > self.boot:
            self.boot = state.boot + 1
            self.announce()

    def meet(self, name: str, address: str, data_centre: str) -> None:
        """Connect to a node that the store lists."""
        if name == self.settings.instance or name in self.known.nodes:
            return
        unheard = wire.NodeState(
            node=name,
            data_centre=data_centre,
            address=address,
            boot=0,
            sequence=0,
            leaving=False,
            store=False,
            orders=0,
            server=None,
        )
        fleet.learn(self.known, unheard, self.loop.time())
        if self.links is not None:
            self.links.connect(name, address)

    def greet(self, name: str) -> None:
        """Send the state to a node that has just become connected."""
        if self.links is not None:
            self.links.send(name, self.describe())

    def forget_lost(self) -> None:
        """Drop nodes that were not heard for a long time."""
        now = self.loop.time()
        for name, known in tuple(self.known.nodes.items()):
            if now - known.heard < FORGET_SECONDS:
                continue
            del self.known.nodes[name]
            self.servers.rebuild()
            if self.links is not None:
                self.links.disconnect(name)


def _differs(before: wire.NodeState, after: wire.NodeState) -> bool:
    """Tell whether the index of backend servers changes."""
    if before.leaving != after.leaving or before.address != after.address:
        return True
    first, second = before.server, after.server
    if first is None or second is None:
        return first is not second
    return (first.backend, first.service, first.version, first.ready) != (
        second.backend,
        second.service,
        second.version,
        second.ready,
    )
