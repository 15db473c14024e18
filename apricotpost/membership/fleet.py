"""States that the nodes of the fleet publish about themselves."""

from collections.abc import Iterable
import dataclasses

import msgspec

from apricotpost import wire

__all__ = [
    "Fleet",
    "KnownNode",
    "is_reader",
    "live_nodes",
    "newest_orders",
    "probe_interval_seconds",
    "reader_heard_at",
    "record_contact",
    "record_state",
    "set_address",
    "silent_data_centres",
]

# Nodes send their state every 0.5 s within a data centre; two may be late.
SILENT_SECONDS = 1.6
# Nodes of each data centre that probe an unreachable store often, and the
# pause between the probes of the other nodes.
PROBING_NODES = 2
SLOW_PROBE_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownNode:
    """Newest state of a node and when the node was last heard from.

    ``heard_at`` is in monotonic seconds.
    """

    state: wire.NodeState
    heard_at: float


class Fleet:
    """Known nodes by name.

    Parameters
    ----------
    node, data_centre : str
        Name and data centre of the node that holds this object.
    """

    def __init__(self, *, node: str, data_centre: str) -> None:
        self.node = node
        self.data_centre = data_centre
        self.nodes: dict[str, KnownNode] = {}
        # Store revision of the registration of each node that the store lists.
        self.registered: dict[str, int] = {}


def record_state(
    fleet: Fleet, state: wire.NodeState, now: float, *, age: float = 0.0
) -> bool:
    """Store a state unless a newer one of the node is known.

    States can arrive out of order.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    state : wire.NodeState
        Received state.
    now : float
        Monotonic time, in seconds.
    age : float
        Seconds between the node's last message to the forwarding node and
        the forwarding.

    Returns
    -------
    bool
        Whether the state comes from a new process of the node.
    """
    known_node = fleet.nodes.get(state.node)
    if known_node is not None:
        newest = (known_node.state.boot, known_node.state.sequence)
        if (state.boot, state.sequence) <= newest:
            return False
    fleet.nodes[state.node] = KnownNode(state=state, heard_at=now - age)
    return known_node is None or known_node.state.boot != state.boot


def record_contact(fleet: Fleet, node: str, now: float) -> None:
    """Record that a message other than a state came from a node."""
    known_node = fleet.nodes.get(node)
    if known_node is not None:
        fleet.nodes[node] = dataclasses.replace(known_node, heard_at=now)


def set_address(fleet: Fleet, node: str, address: str) -> None:
    """Set the address at which a silent node has registered with the store."""
    known_node = fleet.nodes[node]
    state = msgspec.structs.replace(known_node.state, address=address)
    fleet.nodes[node] = dataclasses.replace(known_node, state=state)


def live_nodes(
    fleet: Fleet, now: float, *, within: float = SILENT_SECONDS
) -> Iterable[wire.NodeState]:
    """Yield the states of the nodes heard from within a time, in seconds."""
    for known_node in fleet.nodes.values():
        if now - known_node.heard_at <= within:
            yield known_node.state


def is_reader(fleet: Fleet, now: float, *, reaches_store: bool) -> bool:
    """Return whether this node watches the store for its data centre.

    The first live node by name that reaches the store is the reader. A node
    without live neighbours is a reader if it reaches the store.
    """
    if not reaches_store:
        return False
    return not any(
        state.node < fleet.node
        and state.data_centre == fleet.data_centre
        and state.store_reachable
        and not state.leaving
        for state in live_nodes(fleet, now)
        if state.node != fleet.node
    )


def probe_interval_seconds(fleet: Fleet, now: float) -> float:
    """Return the minimum pause between probes of an unreachable store.

    The pause is in seconds. It is 0 for two nodes of each data centre. The
    others get the orders from their neighbours; otherwise hundreds of nodes
    would call a store that has just become reachable again.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    now : float
        Monotonic time, in seconds.
    """
    preceding = 0
    for state in live_nodes(fleet, now):
        if state.node == fleet.node or state.data_centre != fleet.data_centre:
            continue
        if state.store_reachable and not state.leaving:
            return SLOW_PROBE_SECONDS
        preceding += state.node < fleet.node
    return SLOW_PROBE_SECONDS if preceding >= PROBING_NODES else 0.0


def silent_data_centres(
    fleet: Fleet, now: float, data_centres: Iterable[str], *, within: float
) -> tuple[str, ...]:
    """Return the data centres without a node that was live in a given time.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    now : float
        Monotonic time, in seconds.
    data_centres : iterable of str
        Names of all data centres.
    within : float
        Time since the last message above which a node is silent, in seconds.
    """
    live = {s.data_centre for s in live_nodes(fleet, now, within=within)}
    live.add(fleet.data_centre)
    return tuple(name for name in data_centres if name not in live)


def reader_heard_at(
    fleet: Fleet, now: float, *, revision: int, remote_silent: float
) -> float:
    """Return when a node that reads the store was last heard from.

    These are the first live nodes by name of each data centre that reach the
    store; the other nodes do not notice a lost store. The time is monotonic,
    in seconds; minus infinity if none was heard.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    now : float
        Monotonic time, in seconds.
    revision : int
        Revision of this node's orders; a reader that holds newer ones does not
        count, as this node has not received them.
    remote_silent : float
        Time since the last message above which a node of another data centre
        is silent, in seconds.
    """
    readers: dict[str, KnownNode] = {}
    for known_node in fleet.nodes.values():
        state = known_node.state
        local = state.data_centre == fleet.data_centre
        silent = SILENT_SECONDS if local else remote_silent
        if (
            state.node == fleet.node
            or not state.store_reachable
            or state.leaving
            or now - known_node.heard_at > silent
        ):
            continue
        first = readers.get(state.data_centre)
        if first is None or state.node < first.state.node:
            readers[state.data_centre] = known_node
    return max(
        (
            reader.heard_at
            for reader in readers.values()
            if reader.state.orders_revision <= revision
        ),
        default=float("-inf"),
    )


def newest_orders(fleet: Fleet) -> int:
    """Return the highest orders' revision that any known node holds."""
    return max(
        (k.state.orders_revision for k in fleet.nodes.values()), default=0
    )
