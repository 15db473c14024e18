"""Task that tells other nodes of this one and learns of them.

A node sends its state to the nodes of its data centre. A relay
(`apricotpost.membership.relays`) also sends those of its data centre to other
relays, and forwards what it receives from them.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import logging

from apricotpost import errors
from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost.sidecar import connections
from apricotpost.sidecar import gate
from apricotpost.sidecar import links
from apricotpost.sidecar import options
from apricotpost.sidecar import server_index
from apricotpost import wire

__all__ = ["Gossip"]

_LOG = logging.getLogger(__name__)

# States within a data centre, where bytes are free.
LOCAL_SECONDS = 0.5
# While a new version carries most requests of a service, the evidence on it
# goes to all nodes at this interval.
LOADED_SECONDS = 0.25
# Changes that come together are forwarded together.
GATHER_SECONDS = 0.02
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
    servers : server_index.ServerIndex
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
        servers: server_index.ServerIndex,
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
        self.connections: connections.ConnectionManager | None = None
        self.pending = False
        # Nodes whose changed states a relay has still to forward.
        self.changed: set[str] = set()

    async def run(self) -> None:
        """Publish at intervals."""
        while True:
            self.round += 1
            loaded = self.is_loaded()
            self.publish()
            judged = self.send_remote()
            self.remove_silent_nodes()
            self.update_contacts()
            fast = loaded or judged
            await asyncio.sleep(LOADED_SECONDS if fast else LOCAL_SECONDS)

    def update_contacts(self) -> None:
        """Open the connections that are wanted now."""
        if self.connections is not None:
            self.connections.update(self.loop.time())

    def schedule_publish(self) -> None:
        """Publish a change to all nodes, once for several changes."""
        if not self.pending:
            self.pending = True
            self.loop.call_soon(self.publish_change)

    def publish_change(self) -> None:
        """Publish what `schedule_publish` asked for."""
        self.pending = False
        self.publish()
        self.schedule_forward(self.settings.instance)

    def publish(self) -> None:
        """Send this node's state to its data centre."""
        state = self.describe()
        fleet.record_state(self.known, state, self.loop.time())
        self.servers.rebuild()
        self.send_local(state)
        self.on_state(state, False)

    def send_local(self, message: wire.Message) -> None:
        """Send a message to the other nodes of this data centre."""
        if self.links is None:
            return
        self.links.send_all(
            (
                name
                for name, known in self.known.nodes.items()
                if known.state.data_centre == self.settings.data_centre
                and name != self.settings.instance
            ),
            message,
        )

    # Other data centres.

    def send_remote(self) -> bool:
        """Send states to the other data centres if this node is a relay.

        States with evidence go each round, all of them less often.

        Returns
        -------
        bool
            Whether there is evidence.
        """
        now = self.loop.time()
        targets = relays.remote_targets(self.known, now)
        if not targets:
            return False
        whole = relays.sends_full_round(self.known, now, self.round)
        states = relays.recent_states(
            self.known, now, wanted=lambda state: whole or bool(state.counts)
        )
        self.send_batch(targets, states)
        return any(aged.state.counts for aged in states)

    def schedule_forward(self, node: str) -> None:
        """Forward a changed state to the other data centres."""
        if not self.changed:
            self.loop.call_later(GATHER_SECONDS, self.forward_changed)
        self.changed.add(node)

    def forward_changed(self) -> None:
        """Send the changed states to the other data centres."""
        changed, self.changed = self.changed, set()
        now = self.loop.time()
        targets = relays.remote_targets(self.known, now)
        states = relays.recent_states(
            self.known, now, wanted=lambda state: state.node in changed
        )
        self.send_batch(targets, states)

    def send_batch(
        self, targets: Iterable[str], states: tuple[wire.AgedState, ...]
    ) -> None:
        """Send states to other relays."""
        if self.links is not None and states:
            batch = wire.StateBatch(
                states=relays.pack_states(states), forwarded=False
            )
            self.links.send_all(targets, batch)

    def handle_batch(self, batch: wire.StateBatch) -> None:
        """Take states that relays have sent."""
        try:
            states = relays.unpack_states(batch.states)
        except errors.MalformedMessage as error:
            events.emit(_LOG, events.LINK_MALFORMED, error=error.message)
            return
        if not batch.forwarded:
            self.send_local(
                wire.StateBatch(states=batch.states, forwarded=True)
            )
        for aged in states:
            self.handle_state(aged.state, age=aged.age_ms / 1000.0)

    # States.

    def is_loaded(self) -> bool:
        """Tell whether the evidence of this node is needed often."""
        server = self.gate.server.describe() if self.gate is not None else None
        return (
            server is not None
            and self.gate is not None
            and self.gate.server.outcomes.is_loaded_trial(server.service)
        )

    def describe(self) -> wire.NodeState:
        """Return this node's state."""
        self.sequence += 1
        server = self.gate.server.describe() if self.gate is not None else None
        counts: tuple[wire.VersionCounts, ...] = ()
        if server is not None and self.gate is not None:
            counts = self.gate.server.outcomes.describe(server.service)
        return wire.NodeState(
            node=self.settings.instance,
            data_centre=self.settings.data_centre,
            address=self.settings.addresses.for_peers(),
            boot=self.boot,
            sequence=self.sequence,
            leaving=self.leaving,
            store=self.reaches_store,
            orders=self.orders,
            server=server,
            counts=counts,
        )

    def handle_state(self, state: wire.NodeState, *, age: float = 0.0) -> None:
        """Take the state of another node.

        Parameters
        ----------
        state : wire.NodeState
            The state.
        age : float
            How long ago its node was heard, in seconds.
        """
        if state.node == self.settings.instance:
            self.supersede_boot(state)
            return
        before = self.known.nodes.get(state.node)
        newer = fleet.record_state(
            self.known, state, self.loop.time(), age=age
        )
        if self.known.nodes[state.node].state is not state:
            return
        local = state.data_centre == self.settings.data_centre
        if newer:
            self.handle_new_process(state, local=local)
        if before is None or _differs(before.state, state):
            self.servers.rebuild()
            if local and relays.is_relay(self.known, self.loop.time()):
                self.schedule_forward(state.node)
        self.on_state(state, newer)

    def handle_new_process(
        self, state: wire.NodeState, *, local: bool
    ) -> None:
        """Introduce this node to a new process of another one."""
        events.emit(_LOG, events.NODE_MET, node=state.node, boot=state.boot)
        if self.connections is not None and local:
            self.connections.open(state.node, self.loop.time())
        if self.links is not None and self.needs_own_state(state.node):
            self.links.send(state.node, self.describe())

    def supersede_boot(self, state: wire.NodeState) -> None:
        """Order this process after an earlier one of the same node."""
        if state.boot > self.boot:
            self.boot = state.boot + 1
            self.schedule_publish()

    def add_listed_node(
        self, name: str, address: str, data_centre: str
    ) -> None:
        """Note a node that the store lists; `update_contacts` follows."""
        if name == self.settings.instance:
            return
        known = self.known.nodes.get(name)
        if known is not None:
            if (
                self.loop.time() - known.heard_at
                > relays.REMOTE_SILENT_SECONDS
            ):
                fleet.set_address(self.known, name, address)
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
        fleet.record_state(self.known, unheard, self.loop.time())

    def connect(self, name: str) -> None:
        """Open the connection to a node."""
        if self.connections is not None:
            self.connections.open(name, self.loop.time())

    def send_state_to(self, name: str) -> None:
        """Send the state to a node that has just become connected.

        One in another data centre has it from the relays, unless these are
        the ones that meet or nothing was heard from there.
        """
        if self.links is not None and self.needs_own_state(name):
            self.links.send(name, self.describe())

    def needs_own_state(self, name: str) -> bool:
        """Tell whether a node may not know this one from its relays."""
        known = self.known.nodes.get(name)
        now = self.loop.time()
        return (
            known is None
            or known.state.data_centre == self.settings.data_centre
            or relays.is_relay(self.known, now)
            or now - known.heard_at > relays.REMOTE_SILENT_SECONDS
        )

    def remove_silent_nodes(self) -> None:
        """Drop nodes that were not heard for a long time."""
        now = self.loop.time()
        for name, known in tuple(self.known.nodes.items()):
            if now - known.heard_at < FORGET_SECONDS:
                continue
            del self.known.nodes[name]
            self.servers.rebuild()
            if self.connections is not None:
                self.connections.close(name)


def _differs(before: wire.NodeState, after: wire.NodeState) -> bool:
    """Tell whether the index of backend servers changes."""
    if before.leaving != after.leaving or before.address != after.address:
        return True
    if before.boot != after.boot:
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
