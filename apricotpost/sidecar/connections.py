"""Connections of this node: which are opened and kept."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost.sidecar import links

__all__ = ["ConnectionManager"]

# A connection that is no longer wanted is closed after this time, so that a
# choice that changes to and fro does not open connections each time.
KEEP_SECONDS = 30.0


class ConnectionManager:
    """Opens and closes the connections to other nodes.

    Parameters
    ----------
    known : fleet.Fleet
        States of all nodes.
    peer_links : links.Links
        The sockets.
    called_services : callable
        Returns the services that this node calls.
    whole_versions : callable
        Returns services and versions of which every server is wanted.
    evacuated : callable
        Returns the data centres that get no requests.
    is_busy : callable
        Tells whether requests are under way at a node.
    """

    def __init__(
        self,
        *,
        known: fleet.Fleet,
        peer_links: links.Links,
        called_services: Callable[[], Iterable[str]],
        whole_versions: Callable[[], Iterable[tuple[str, str]]],
        evacuated: Callable[[], Collection[str]],
        is_busy: Callable[[str], bool],
    ) -> None:
        self.known = known
        self.peer_links = peer_links
        self.called_services = called_services
        self.whole_versions = whole_versions
        self.evacuated = evacuated
        self.is_busy = is_busy
        self.wanted_at: dict[str, float] = {}

    def wanted_nodes(self, now: float) -> set[str]:
        """Return the nodes to which a connection is wanted."""
        local = {
            name
            for name, node in self.known.nodes.items()
            if node.state.data_centre == self.known.data_centre
        }
        remote = relays.remote_servers(
            self.known,
            now,
            services=self.called_services(),
            all_of=self.whole_versions(),
            evacuated=self.evacuated(),
        )
        wanted = local | remote | set(relays.remote_targets(self.known, now))
        wanted.discard(self.known.node)
        return wanted

    def update(self, now: float) -> None:
        """Open the wanted connections and close those long unwanted."""
        for name in self.wanted_nodes(now):
            self.open(name, now)
        for name in tuple(self.peer_links.links):
            idle = now - self.wanted_at.setdefault(name, now)
            if idle > KEEP_SECONDS and not self.is_busy(name):
                self.close(name)

    def open(self, name: str, now: float) -> None:
        """Open the connection to a known node unless it is open."""
        node = self.known.nodes.get(name)
        if node is None or name == self.known.node:
            return
        self.wanted_at[name] = now
        self.peer_links.connect(name, node.state.address)

    def close(self, name: str) -> None:
        """Close the connection to a node, if any."""
        self.wanted_at.pop(name, None)
        self.peer_links.disconnect(name)
