"""Task that exchanges node states with the other nodes.

A node sends its state to the nodes of its data centre, or in a large one to
the relays (`apricotpost.membership.relays`), which send all of them on in one
message. A relay also sends the states of its data centre to other relays, and
forwards the states that it receives from them.
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

# Interval of states within a data centre, where traffic costs nothing.
LOCAL_SECONDS = 0.5
# Interval of states with evidence while a new version carries most requests of
# a service.
LOADED_SECONDS = 0.25
# Changed states are collected for this time and forwarded in one batch.
FORWARD_DELAY_SECONDS = 0.02
# A node whose last state is older than this is removed.
REMOVE_SILENT_SECONDS = 180.0


class Gossip:
    """Publishes this node's state and receives those of the others.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    boot : int
        Number of this process; later processes of a node have higher ones.
    members : fleet.Fleet
        States of all nodes.
    servers : server_index.ServerIndex
        Index of the backend servers; rebuilt after changes.
    on_state : callable
        Called with each accepted state, and with whether it is the first one
        of a new process of its node.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        boot: int,
        members: fleet.Fleet,
        servers: server_index.ServerIndex,
        on_state: Callable[[wire.NodeState, bool], None],
    ) -> None:
        self.settings = settings
        self.boot = boot
        self.members = members
        self.servers = servers
        self.on_state = on_state
        self.loop = asyncio.get_running_loop()
        self.sequence = 0
        self.round = 0
        self.leaving = False
        self.reaches_store = True
        self.orders_revision = 0
        self.links: links.Links | None = None
        self.gate: gate.Gate | None = None
        self.connections: connections.ConnectionManager | None = None
        # Returns the token and the revision of the lease of usage reports and
        # the Unix time in milliseconds, if this node holds the lease.
        self.read_lease: Callable[[], tuple[int, int, int]] = lambda: (0, 0, 0)
        self.publish_pending = False
        # Nodes whose changed states this relay has still to forward.
        self.changed: set[str] = set()
        # Local nodes whose new states this relay has still to send to the
        # other nodes of its data centre.
        self.collected: set[str] = set()

    async def run(self) -> None:
        """Publish states at intervals."""
        while True:
            self.round += 1
            loaded = self.is_loaded()
            self.publish(urgent=False)
            self.send_collected()
            has_evidence = self.send_remote()
            self.remove_silent_nodes()
            self.update_connections()
            fast = loaded or has_evidence
            await asyncio.sleep(LOADED_SECONDS if fast else LOCAL_SECONDS)

    def update_connections(self) -> None:
        """Open wanted connections and close those no longer wanted."""
        if self.connections is not None:
            self.connections.update(self.loop.time())

    def schedule_publish(self) -> None:
        """Publish changes in the next turn of the loop, all at once."""
        if not self.publish_pending:
            self.publish_pending = True
            self.loop.call_soon(self.publish_change)

    def publish_change(self) -> None:
        """Publish this node's state and forward it to other data centres."""
        self.publish_pending = False
        self.publish(urgent=True)
        self.schedule_forward(self.settings.instance)

    def publish(self, *, urgent: bool) -> None:
        """Send this node's state to its data centre.

        Parameters
        ----------
        urgent : bool
            Whether the state has changed.
        """
        state = self.describe()
        now = self.loop.time()
        fleet.record_state(self.members, state, now)
        self.servers.invalidate()
        if self.links is not None:
            targets = relays.local_targets(
                self.members,
                now,
                urgent=urgent or bool(state.counts),
                is_connected=self.links.is_connected,
            )
            self.links.send_all(targets, state)
        self.on_state(state, False)

    def send_collected(self) -> None:
        """Send the collected states to the other local nodes as a relay."""
        now = self.loop.time()
        collected, self.collected = self.collected, set()
        if not relays.relays_states_locally(
            self.members
        ) or not relays.is_relay(self.members, now):
            return
        collected.add(self.settings.instance)
        states = relays.recent_states(
            self.members, now, wanted=lambda state: state.node in collected
        )
        self.send_local(
            wire.StateBatch(states=relays.pack_states(states), forwarded=True)
        )

    def send_local(self, message: wire.Message) -> None:
        """Send a message to the other nodes of this data centre."""
        if self.links is None:
            return
        self.links.send_all(
            (
                name
                for name, node in self.members.nodes.items()
                if node.state.data_centre == self.settings.data_centre
                and name != self.settings.instance
            ),
            message,
        )

    # Other data centres.

    def send_remote(self) -> bool:
        """Send states to the other data centres if this node is a relay.

        States with evidence are sent in each round, the others less often.

        Returns
        -------
        bool
            Whether states with evidence were sent.
        """
        now = self.loop.time()
        targets = relays.remote_targets(self.members, now)
        if not targets:
            return False
        full_round = relays.sends_full_round(self.members, now, self.round)
        states = relays.recent_states(
            self.members,
            now,
            wanted=lambda state: full_round or bool(state.counts),
        )
        self.send_batch(targets, states)
        return any(aged.state.counts for aged in states)

    def schedule_forward(self, node: str) -> None:
        """Forward a changed state to the other data centres."""
        if not self.changed:
            self.loop.call_later(FORWARD_DELAY_SECONDS, self.forward_changed)
        self.changed.add(node)

    def forward_changed(self) -> None:
        """Send the changed states to the other data centres."""
        changed, self.changed = self.changed, set()
        now = self.loop.time()
        targets = relays.remote_targets(self.members, now)
        states = relays.recent_states(
            self.members, now, wanted=lambda state: state.node in changed
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
        """Record the states in a batch of a relay.

        A batch from another data centre is forwarded to the local nodes.
        """
        try:
            states = relays.unpack_states(batch.states)
        except errors.MalformedMessage as error:
            events.emit(_LOG, events.LINK_MALFORMED, error=error.message)
            return
        if not batch.forwarded:
            self.send_local(
                wire.StateBatch(states=batch.states, forwarded=True)
            )
        contacts = self.count_processes()
        silent = self.silent_data_centres(states)
        for aged in states:
            self.handle_state(aged.state, age=aged.age_ms / 1000.0)
        if self.count_processes() > contacts:
            # Requests can be sent to newly known backend servers at once.
            self.update_connections()
            if silent and not batch.forwarded:
                self.forward_all_local()

    def count_processes(self) -> int:
        """Return the number of nodes that this node knows a process of."""
        return sum(node.state.boot > 0 for node in self.members.nodes.values())

    def silent_data_centres(
        self, states: Iterable[wire.AgedState]
    ) -> set[str]:
        """Return the data centres of states that were not heard before."""
        now = self.loop.time()
        return {
            data_centre
            for data_centre in {aged.state.data_centre for aged in states}
            if data_centre != self.settings.data_centre
            and not relays.relays_of(self.members, data_centre, now)
        }

    def forward_all_local(self) -> None:
        """Send the states of this data centre to the others without delay.

        One that has just been heard of would otherwise get them only in the
        next full round.
        """
        for name, node in self.members.nodes.items():
            if (
                node.state.data_centre == self.settings.data_centre
                and node.state.boot
            ):
                self.schedule_forward(name)

    # States.

    def is_loaded(self) -> bool:
        """Tell whether the backend server is part of a loaded trial."""
        server = self.gate.server.describe() if self.gate is not None else None
        return (
            server is not None
            and self.gate is not None
            and self.gate.server.outcomes.is_loaded_trial(server.service)
        )

    def describe(self) -> wire.NodeState:
        """Return this node's state with the next sequence number."""
        self.sequence += 1
        server = self.gate.server.describe() if self.gate is not None else None
        counts: tuple[wire.VersionCounts, ...] = ()
        if server is not None and self.gate is not None:
            counts = self.gate.server.outcomes.describe(server.service)
        lease_token, lease_revision, time_ms = self.read_lease()
        return wire.NodeState(
            node=self.settings.instance,
            data_centre=self.settings.data_centre,
            address=self.settings.addresses.peer_address(),
            boot=self.boot,
            sequence=self.sequence,
            leaving=self.leaving,
            store_reachable=self.reaches_store,
            orders_revision=self.orders_revision,
            server=server,
            counts=counts,
            receives_parts=True,
            lease_token=lease_token,
            lease_revision=lease_revision,
            time_ms=time_ms,
        )

    def handle_direct_state(self, state: wire.NodeState) -> None:
        """Record a state that its node has sent to this one itself."""
        if state.data_centre == self.settings.data_centre:
            self.collected.add(state.node)
        self.handle_state(state)

    def handle_state(self, state: wire.NodeState, *, age: float = 0.0) -> None:
        """Record the state of another node.

        Parameters
        ----------
        state : wire.NodeState
            The state.
        age : float
            Time since a relay received it from the node, in seconds.
        """
        if state.node == self.settings.instance:
            self.supersede_boot(state)
            return
        before = self.members.nodes.get(state.node)
        new_process = fleet.record_state(
            self.members, state, self.loop.time(), age=age
        )
        if self.members.nodes[state.node].state is not state:
            return
        local = state.data_centre == self.settings.data_centre
        if new_process:
            self.handle_new_process(state, local=local)
        if before is None or _changes_index(before.state, state):
            self.servers.invalidate()
            if local and relays.is_relay(self.members, self.loop.time()):
                self.schedule_forward(state.node)
        self.on_state(state, new_process)

    def handle_new_process(
        self, state: wire.NodeState, *, local: bool
    ) -> None:
        """Connect and send this node's state to a new process of a node."""
        events.emit(
            _LOG,
            events.NODE_PROCESS_DISCOVERED,
            node=state.node,
            boot=state.boot,
        )
        if self.connections is not None and local:
            self.connections.open(state.node, self.loop.time())
        if self.links is not None and self.needs_own_state(state.node):
            self.links.send(state.node, self.describe())

    def supersede_boot(self, state: wire.NodeState) -> None:
        """Raise the boot number above that of another process of this node.

        Otherwise the other nodes would ignore the states of this process.
        """
        if state.boot > self.boot:
            self.boot = state.boot + 1
            self.schedule_publish()

    def add_listed_node(
        self, name: str, address: str, data_centre: str, revision: int
    ) -> None:
        """Add a node that the store lists, or update its address.

        `update_connections` opens the connection.
        """
        self.members.registered[name] = revision
        if name == self.settings.instance:
            return
        node = self.members.nodes.get(name)
        if node is not None:
            if self.loop.time() - node.heard_at > relays.REMOTE_SILENT_SECONDS:
                fleet.set_address(self.members, name, address)
            return
        unheard = wire.NodeState(
            node=name,
            data_centre=data_centre,
            address=address,
            boot=0,
            sequence=0,
            leaving=False,
            store_reachable=False,
            orders_revision=0,
            server=None,
        )
        fleet.record_state(self.members, unheard, self.loop.time())

    def connect(self, name: str) -> None:
        """Open the connection to a node."""
        if self.connections is not None:
            self.connections.open(name, self.loop.time())

    def send_state_to(self, name: str) -> None:
        """Send this node's state to a node that has connected.

        A node of another data centre gets it from the relays, unless this
        node is a relay or has received no recent state of the other node.
        """
        if self.links is not None and self.needs_own_state(name):
            self.links.send(name, self.describe())

    def needs_own_state(self, name: str) -> bool:
        """Tell whether a node may lack this node's state."""
        node = self.members.nodes.get(name)
        now = self.loop.time()
        return (
            node is None
            or node.state.data_centre == self.settings.data_centre
            or relays.is_relay(self.members, now)
            or now - node.heard_at > relays.REMOTE_SILENT_SECONDS
        )

    def remove_silent_nodes(self) -> None:
        """Remove nodes without a new state for `REMOVE_SILENT_SECONDS`."""
        now = self.loop.time()
        for name, node in tuple(self.members.nodes.items()):
            if now - node.heard_at < REMOVE_SILENT_SECONDS:
                continue
            del self.members.nodes[name]
            self.servers.invalidate()
            if self.connections is not None:
                self.connections.close(name)


def _changes_index(before: wire.NodeState, after: wire.NodeState) -> bool:
    """Tell whether a new state changes the index of backend servers."""
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
