"""Which nodes carry states between data centres, and who connects to whom.

Every node tells the nodes of its data centre of itself. Two relays of each
data centre send the states of all its nodes to the relays of the others, which
hand them on. So the bytes between data centres grow with the number of nodes
and not with its square, and a node needs a connection to another data centre
only for the backend servers that it calls. These are chosen by rendezvous
hashing (Thaler and Ravishankar, 1998), so that the callers spread over them.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

import msgspec
import xxhash
import zstandard

from apricotpost import errors
from apricotpost.membership import fleet
from apricotpost import wire

__all__ = [
    "REMOTE_SILENT_SECONDS",
    "RELAYS",
    "remote_servers",
    "remote_targets",
    "recent_states",
    "is_relay",
    "pack_states",
    "relays_of",
    "sends_full_round",
    "unpack_states",
]

# One relay may be lost without a gap.
RELAYS = 2
# A data centre of which nobody is heard is cut off or without power, perhaps
# for an hour. A relay tries its nodes in turn, each for so long that a
# connection can be made.
TRY_SECONDS = 3.0
# The first relay sends all states every so many rounds of half a second, the
# second one less often: its states are needed only if the first one is lost,
# and what changes goes on both ways at once.
FIRST_ROUNDS = 2
SECOND_ROUNDS = 4
# The states of a data centre differ in a third of their bytes.
PACK_LEVEL = 1
MAX_PACKED_BYTES = 4 * 1024 * 1024
# States of other data centres are sent each second and are up to half a
# second old by then; one of them may be lost.
REMOTE_SILENT_SECONDS = 3.2
# Backend servers of a service and version that a node can call in each of
# the other data centres together.
REMOTE_SERVERS = 6
# As many if its own data centre has nearly none, so that fast ones are among
# them and the load spreads.
REMOTE_SERVERS_ALONE = 18
# Backend servers of a service in the own data centre that are few.
FEW_LOCAL = 2
# Older states are not forwarded: the node is silent or gone.
FORWARD_SECONDS = 5.0


def relays_of(
    known: fleet.Fleet, data_centre: str, now: float
) -> tuple[str, ...]:
    """Return the relays of a data centre: its first live nodes by name."""
    within = REMOTE_SILENT_SECONDS
    if data_centre == known.data_centre:
        within = fleet.SILENT_SECONDS
    found = sorted(
        name
        for name, node in known.nodes.items()
        if node.state.data_centre == data_centre
        and not node.state.leaving
        and (name == known.node or now - node.heard_at <= within)
    )
    return tuple(found[:RELAYS])


def is_relay(known: fleet.Fleet, now: float) -> bool:
    """Tell whether this node is a relay."""
    return known.node in relays_of(known, known.data_centre, now)


def remote_targets(known: fleet.Fleet, now: float) -> tuple[str, ...]:
    """Return the nodes to which this relay sends its data centre's states.

    The first relay serves the first ones of the other data centres, the
    second one the second: each state arrives on two ways. Of a data centre
    that is silent the known nodes are tried in turn.
    """
    own = relays_of(known, known.data_centre, now)
    if known.node not in own:
        return ()
    place = own.index(known.node)
    found: list[str] = []
    for data_centre in _remote_data_centres(known):
        relays = relays_of(known, data_centre, now)
        if not relays:
            relays = _silent_node(known, data_centre, now, place)
        if len(own) == 1:
            found.extend(relays)
        elif relays:
            found.append(relays[place % len(relays)])
    return tuple(found)


def sends_full_round(known: fleet.Fleet, now: float, number: int) -> bool:
    """Tell whether this relay sends all states in a round.

    Parameters
    ----------
    known : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    number : int
        Of the round.
    """
    first = relays_of(known, known.data_centre, now)[:1] == (known.node,)
    return number % (FIRST_ROUNDS if first else SECOND_ROUNDS) == 0


def pack_states(states: tuple[wire.AgedState, ...]) -> bytes:
    """Compress states for the way to another data centre."""
    return _COMPRESSOR.compress(_ENCODER.encode(states))


def unpack_states(packed: bytes) -> tuple[wire.AgedState, ...]:
    """Restore states.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        They cannot be decompressed or decoded.
    """
    try:
        return _DECODER.decode(
            _DECOMPRESSOR.decompress(packed, max_output_size=MAX_PACKED_BYTES)
        )
    except (zstandard.ZstdError, msgspec.DecodeError) as error:
        raise errors.MalformedMessage(
            f"states cannot be read: {error}"
        ) from error


def recent_states(
    known: fleet.Fleet,
    now: float,
    *,
    wanted: Callable[[wire.NodeState], bool],
) -> tuple[wire.AgedState, ...]:
    """Return the states of this data centre to forward.

    Parameters
    ----------
    known : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    wanted : callable
        Tells whether a state is sent.
    """
    return tuple(
        wire.AgedState(
            state=node.state, age_ms=max(int((now - node.heard_at) * 1000), 0)
        )
        for node in known.nodes.values()
        if node.state.data_centre == known.data_centre
        and node.state.boot
        and now - node.heard_at <= FORWARD_SECONDS
        and wanted(node.state)
    )


def remote_servers(
    known: fleet.Fleet,
    now: float,
    *,
    services: Iterable[str],
    all_of: Iterable[tuple[str, str]] = (),
    evacuated: Collection[str] = (),
) -> set[str]:
    """Return the nodes of other data centres that this node may call.

    Parameters
    ----------
    known : fleet.Fleet
        States of all nodes.
    now : float
        Monotonic time, in seconds.
    services : iterable of str
        Services that this node calls.
    all_of : iterable of tuple of str
        Services and versions of which every server is wanted: during a
        trial all nodes load the same one.
    evacuated : collection of str
        Data centres that get no requests.
    """
    whole = frozenset(all_of)
    called = frozenset(services)
    local: dict[tuple[str, str], int] = {}
    remote: dict[tuple[str, str], list[str]] = {}
    for name, node in known.nodes.items():
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
        if state.data_centre == known.data_centre:
            local[group] = local.get(group, 0) + 1
        else:
            remote.setdefault(group, []).append(name)
    found: set[str] = set()
    for group, names in remote.items():
        names.sort(key=lambda name: _score(known.node, name))
        alone = local.get(group, 0) <= FEW_LOCAL
        count = REMOTE_SERVERS_ALONE if alone else REMOTE_SERVERS
        found.update(names if group in whole else names[:count])
    return found


_COMPRESSOR = zstandard.ZstdCompressor(level=PACK_LEVEL)
_DECOMPRESSOR = zstandard.ZstdDecompressor()
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(tuple[wire.AgedState, ...])


def _remote_data_centres(known: fleet.Fleet) -> list[str]:
    found = {node.state.data_centre for node in known.nodes.values()}
    return sorted(found - {known.data_centre})


def _silent_node(
    known: fleet.Fleet, data_centre: str, now: float, place: int
) -> tuple[str, ...]:
    names = sorted(
        name
        for name, node in known.nodes.items()
        if node.state.data_centre == data_centre
    )
    if not names:
        return ()
    return (names[(int(now / TRY_SECONDS) + place) % len(names)],)


def _score(node: str, other: str) -> int:
    return xxhash.xxh64_intdigest(f"{node}>{other}".encode())
