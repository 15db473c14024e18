"""Selection of relays and of remote backend servers.

Every node sends its state to the nodes of its data centre. Two relays of each
data centre send the states of all its nodes to the relays of the other data
centres, which forward them to their own nodes. The bytes between data centres
therefore grow linearly with the number of nodes and not with its square, and a
node connects to another data centre only for the backend servers that it
calls. These are selected by rendezvous hashing (Thaler and Ravishankar, 1998),
which distributes the callers over them.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import msgspec
import xxhash
import zstandard

from apricotpost import decoding
from apricotpost import errors
from apricotpost.membership import fleet
from apricotpost import wire

__all__ = [
    "RELAYS",
    "REMOTE_SILENT_SECONDS",
    "is_relay",
    "local_targets",
    "relays_states_locally",
    "pack_states",
    "recent_states",
    "relays_of",
    "remote_servers",
    "remote_targets",
    "sends_full_round",
    "unpack_states",
]

# Relays of each data centre; if one fails, the other still sends all states.
RELAYS = 2
# A data centre is silent if it is partitioned or has lost power, perhaps for
# an hour, or if this node has just started. A relay tries some of its nodes at
# a time, each for long enough to open a connection. Those that registered last
# come first: after many replacements, most registered nodes are gone.
CONNECT_ATTEMPT_SECONDS = 1.5
CONNECT_ATTEMPTS = 3
# Time for which a registered node that was not heard from counts as a relay of
# the own data centre. Neighbours that start at the same time are heard from
# within a fraction of it.
UNHEARD_SECONDS = 0.7
# Number of rounds of 0.5 s after which the first and the second relay send all
# states. The second relay sends them less often: they are needed only if the
# first relay fails, and both relays send changed states at once.
FIRST_RELAY_ROUNDS = 2
SECOND_RELAY_ROUNDS = 4
# The states of a data centre have about two thirds of their bytes in common.
COMPRESSION_LEVEL = 1
MAX_PACKED_BYTES = 4 * 1024 * 1024
# States of other data centres are sent each second and are up to 0.5 s old by
# then; one of them may be lost.
REMOTE_SILENT_SECONDS = 3.2
# Remote backend servers that a node can call for each service and version, in
# all other data centres together.
REMOTE_SERVERS = 6
# The same if few are local: more servers make it likely that fast ones are
# among them, and distribute the load.
REMOTE_SERVERS_FEW_LOCAL = 18
# Up to this number of local servers of a service and version count as few.
FEW_LOCAL_SERVERS = 2
# Up to this number of nodes in a data centre, each sends its state to all
# others, so that states are as recent as possible. Beyond it, the messages of
# this would grow with the square of the number; two relays collect the states
# and send them to all nodes in one message.
DIRECT_NODES = 10
# Older states are not forwarded: the node is silent or has stopped.
MAX_FORWARD_AGE_SECONDS = 5.0


def relays_of(
    fleet_state: fleet.Fleet, data_centre: str, now: float
) -> tuple[str, ...]:
    """Return the relays of a data centre: its first live nodes by name.

    Leaving nodes are left out.
    """
    local = data_centre == fleet_state.data_centre
    within = fleet.SILENT_SECONDS if local else REMOTE_SILENT_SECONDS
    unheard_within = UNHEARD_SECONDS if local else 0.0
    live_names = sorted(
        name
        for name, node in fleet_state.nodes.items()
        if node.state.data_centre == data_centre
        and not node.state.leaving
        and (
            name == fleet_state.node
            or now - node.heard_at
            < (within if node.state.boot else unheard_within)
        )
    )
    return tuple(live_names[:RELAYS])


def is_relay(fleet_state: fleet.Fleet, now: float) -> bool:
    """Return whether this node is a relay of its data centre."""
    return fleet_state.node in relays_of(
        fleet_state, fleet_state.data_centre, now
    )


def relays_states_locally(fleet_state: fleet.Fleet) -> bool:
    """Return whether the relays collect the states of this data centre."""
    local = sum(
        node.state.data_centre == fleet_state.data_centre
        for node in fleet_state.nodes.values()
    )
    return local > DIRECT_NODES


def local_targets(
    fleet_state: fleet.Fleet,
    now: float,
    *,
    urgent: bool,
    is_connected: Callable[[str], bool],
) -> tuple[str, ...]:
    """Return the nodes of this data centre to which a node sends its state.

    Parameters
    ----------
    fleet_state : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    urgent : bool
        Whether the state has changed or has evidence of a trial: it then goes
        to all nodes at once.
    is_connected : callable
        Tells whether a node can be reached. Without a relay that can be
        reached, the state goes to all nodes.
    """
    local = tuple(
        name
        for name, node in fleet_state.nodes.items()
        if node.state.data_centre == fleet_state.data_centre
        and name != fleet_state.node
    )
    if urgent or len(local) < DIRECT_NODES:
        return local
    relays = relays_of(fleet_state, fleet_state.data_centre, now)
    targets = tuple(
        name
        for name in relays
        if name != fleet_state.node and is_connected(name)
    )
    if targets or fleet_state.node in relays:
        return targets
    return local


def remote_targets(fleet_state: fleet.Fleet, now: float) -> tuple[str, ...]:
    """Return the nodes to which this relay sends its data centre's states.

    The first relay sends to the first relay of each other data centre and the
    second to the second, so each state arrives on two paths. The known nodes
    of a silent data centre are tried, some at a time.
    """
    own = relays_of(fleet_state, fleet_state.data_centre, now)
    if fleet_state.node not in own:
        return ()
    position = own.index(fleet_state.node)
    targets: list[str] = []
    for data_centre in _remote_data_centres(fleet_state):
        relays = relays_of(fleet_state, data_centre, now)
        if not relays:
            targets.extend(
                _silent_nodes_to_try(fleet_state, data_centre, now, position)
            )
        elif len(own) == 1:
            targets.extend(relays)
        else:
            targets.append(relays[position % len(relays)])
    return tuple(targets)


def sends_full_round(
    fleet_state: fleet.Fleet, now: float, number: int
) -> bool:
    """Return whether this relay sends all states in a round.

    Parameters
    ----------
    fleet_state : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    number : int
        Number of the round.
    """
    first = relays_of(fleet_state, fleet_state.data_centre, now)[:1] == (
        fleet_state.node,
    )
    return number % (FIRST_RELAY_ROUNDS if first else SECOND_RELAY_ROUNDS) == 0


def pack_states(states: tuple[wire.AgedState, ...]) -> bytes:
    """Encode and compress states for another data centre."""
    return _COMPRESSOR.compress(_ENCODER.encode(states))


def unpack_states(packed: bytes) -> tuple[wire.AgedState, ...]:
    """Decompress and decode states.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The states cannot be decompressed or decoded.
    """
    try:
        encoded = _DECOMPRESSOR.decompress(
            packed, max_output_size=MAX_PACKED_BYTES
        )
    except zstandard.ZstdError as error:
        raise errors.MalformedMessage(
            f"packed states cannot be decompressed: {error}"
        ) from error
    states: tuple[wire.AgedState, ...] = _decode_states(encoded)
    return states


def recent_states(
    fleet_state: fleet.Fleet,
    now: float,
    *,
    wanted: Callable[[wire.NodeState], bool],
) -> tuple[wire.AgedState, ...]:
    """Return the recent states of this data centre's nodes to forward.

    Nodes that are known only from the store have no process and are left out.

    Parameters
    ----------
    fleet_state : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    wanted : callable
        Returns whether to include a state.
    """
    return tuple(
        wire.AgedState(
            state=node.state, age_ms=max(int((now - node.heard_at) * 1000), 0)
        )
        for node in fleet_state.nodes.values()
        if node.state.data_centre == fleet_state.data_centre
        and node.state.boot
        and now - node.heard_at <= MAX_FORWARD_AGE_SECONDS
        and wanted(node.state)
    )


def remote_servers(
    fleet_state: fleet.Fleet,
    now: float,
    *,
    services: Iterable[str],
    fully_connected_versions: Iterable[tuple[str, str]] = (),
    evacuated: Collection[str] = (),
) -> set[str]:
    """Return the nodes of other data centres whose servers this node may call.

    Parameters
    ----------
    fleet_state : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    services : iterable of str
        Names of the services that this node calls.
    fully_connected_versions : iterable of tuple of str
        Services and versions of which every server is returned: during a
        trial all nodes send load to the same server.
    evacuated : collection of str
        Names of data centres that get no requests.
    """
    unlimited = frozenset(fully_connected_versions)
    called = frozenset(services)
    local: dict[tuple[str, str], int] = {}
    remote: dict[tuple[str, str], list[str]] = {}
    for name, node in fleet_state.nodes.items():
        state = node.state
        server = state.server
        if (
            server is None
            or server.service not in called
            or not server.ready
            or state.leaving
            or state.data_centre in evacuated
            or now - node.heard_at > REMOTE_SILENT_SECONDS
        ):
            continue
        group = (server.service, server.version)
        if state.data_centre == fleet_state.data_centre:
            local[group] = local.get(group, 0) + 1
        else:
            remote.setdefault(group, []).append(name)
    selected: set[str] = set()
    for group, names in remote.items():
        names.sort(key=lambda name: _rendezvous_score(fleet_state.node, name))
        few_local = local.get(group, 0) <= FEW_LOCAL_SERVERS
        count = REMOTE_SERVERS_FEW_LOCAL if few_local else REMOTE_SERVERS
        selected.update(names if group in unlimited else names[:count])
    return selected


_COMPRESSOR = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL)
_DECOMPRESSOR = zstandard.ZstdDecompressor()
_ENCODER = msgspec.msgpack.Encoder()
_decode_states = decoding.msgpack_decoder(
    "packed states", tuple[wire.AgedState, ...]
)


def _remote_data_centres(fleet_state: fleet.Fleet) -> list[str]:
    data_centres = {
        node.state.data_centre for node in fleet_state.nodes.values()
    }
    return sorted(data_centres - {fleet_state.data_centre})


def _silent_nodes_to_try(
    fleet_state: fleet.Fleet, data_centre: str, now: float, position: int
) -> tuple[str, ...]:
    names = sorted(
        (
            name
            for name, node in fleet_state.nodes.items()
            if node.state.data_centre == data_centre
        ),
        key=lambda name: (-fleet_state.registered.get(name, 0), name),
    )
    if not names:
        return ()
    turn = int(now / CONNECT_ATTEMPT_SECONDS) * RELAYS + position
    first = turn * CONNECT_ATTEMPTS
    return tuple(
        dict.fromkeys(
            names[(first + offset) % len(names)]
            for offset in range(CONNECT_ATTEMPTS)
        )
    )


def _rendezvous_score(node: str, other: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}>{other}".encode())
