"""Nodes of the fleet as they describe themselves."""

from collections.abc import Iterable
import dataclasses

import msgspec

from apricotpost import wire

__all__ = [
    "Fleet",
    "KnownNode",
    "is_reader",
    "record_state",
    "live_nodes",
    "set_address",
    "newest_orders",
    "silent_data_centres",
    "probe_seconds",
    "record_contact",
]

# States come every half a second within a data centre; two may be late.
SILENT_SECONDS = 1.6
# Nodes of a data centre that look for the return of the store, and the pause
# of those that have others to do so.
PROBERS = 2
SLOW_PROBE_SECONDS = 6.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class KnownNode:
    """Newest state of a node, and when it was heard, in monotonic seconds."""

    state: wire.NodeState
    heard_at: float


class Fleet:
    """Known nodes by name.

    Parameters
    ----------
    node, data_centre : str
        The node that keeps this.
    """

    def __init__(self, *, node: str, data_centre: str) -> None:
        self.node = node
        self.data_centre = data_centre
        self.nodes: dict[str, KnownNode] = {}


def record_state(
    fleet: Fleet, state: wire.NodeState, now: float, *, age: float = 0.0
) -> bool:
    """Take a state and tell whether the node's process is a new one.

    States may overtake each other; an older one changes nothing.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    state : wire.NodeState
        The state.
    now : float
        Monotonic time, in seconds.
    age : float
        How long ago the node was heard by the one that handed it on.
    """
    known = fleet.nodes.get(state.node)
    if known is not None:
        newest = (known.state.boot, known.state.sequence)
        if (state.boot, state.sequence) <= newest:
            return False
    fleet.nodes[state.node] = KnownNode(state=state, heard_at=now - age)
    return known is None or known.state.boot != state.boot


def record_contact(fleet: Fleet, node: str, now: float) -> None:
    """Note a sign of life that is not a state."""
    known = fleet.nodes.get(node)
    if known is not None:
        fleet.nodes[node] = dataclasses.replace(known, heard_at=now)


def set_address(fleet: Fleet, node: str, address: str) -> None:
    """Note the address at which a silent node has registered."""
    known = fleet.nodes[node]
    state = msgspec.structs.replace(known.state, address=address)
    fleet.nodes[node] = dataclasses.replace(known, state=state)


def live_nodes(
    fleet: Fleet, now: float, *, within: float = SILENT_SECONDS
) -> Iterable[wire.NodeState]:
    """Yield the nodes that were heard within a time, in seconds."""
    for known in fleet.nodes.values():
        if now - known.heard_at <= within:
            yield known.state


def is_reader(fleet: Fleet, now: float, *, reaches_store: bool) -> bool:
    """Tell whether this node watches the store for its data centre.

    The first node by name that reaches the store does. A node that cannot
    hear the others watches by itself.
    """
    if not reaches_store:
        return False
    return not any(
        state.node < fleet.node
        and state.data_centre == fleet.data_centre
        and state.store
        and not state.leaving
        for state in live_nodes(fleet, now)
        if state.node != fleet.node
    )


def probe_seconds(fleet: Fleet, now: float) -> float:
    """Return how long a node that lost the store waits between its probes.

    Two nodes of each data centre probe often. The others get the orders from
    their neighbours, and hundreds of nodes would else call a store that has
    just returned.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    now : float
        Monotonic time, in seconds.
    """
    before = 0
    for state in live_nodes(fleet, now):
        if state.node == fleet.node or state.data_centre != fleet.data_centre:
            continue
        if state.store and not state.leaving:
            return SLOW_PROBE_SECONDS
        before += state.node < fleet.node
    return SLOW_PROBE_SECONDS if before >= PROBERS else 0.0


def silent_data_centres(
    fleet: Fleet, now: float, data_centres: Iterable[str], *, within: float
) -> tuple[str, ...]:
    """Return the data centres of which no node was heard within a time.

    Parameters
    ----------
    fleet : Fleet
        Known nodes.
    now : float
        Monotonic time, in seconds.
    data_centres : iterable of str
        All data centres.
    within : float
        In seconds.
    """
    heard = {s.data_centre for s in live_nodes(fleet, now, within=within)}
    heard.add(fleet.data_centre)
    return tuple(name for name in data_centres if name not in heard)


def newest_orders(fleet: Fleet) -> int:
    """Return the newest store revision that any node holds."""
    return max((k.state.orders for k in fleet.nodes.values()), default=0)
