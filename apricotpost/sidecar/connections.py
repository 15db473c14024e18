"""Choice of the nodes to which this node keeps connections."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable

from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost.sidecar import links

__all__ = ["ConnectionManager"]

# A connection that is no longer wanted is closed after this time, so that a
# choice that alternates does not reopen connections each time.
KEEP_SECONDS = 30.0


class ConnectionManager:
    """Opens and closes the connections to other nodes.

    Parameters
    ----------
    members : fleet.Fleet
        States of all nodes.
    peer_links : links.Links
        Sockets to the other nodes.
    called_services : callable
        Returns the services that this node calls.
    fully_connected_versions : callable
        Returns services and versions; every server of these is connected.
    evacuated : callable
        Returns the data centres that get no requests.
    has_open_attempts : callable
        Tells whether a node has open attempts of this node's requests.
    """

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        peer_links: links.Links,
        called_services: Callable[[], Iterable[str]],
        fully_connected_versions: Callable[[], Iterable[tuple[str, str]]],
        evacuated: Callable[[], Collection[str]],
        has_open_attempts: Callable[[str], bool],
    ) -> None:
        self.members = members
        self.peer_links = peer_links
        self.called_services = called_services
        self.fully_connected_versions = fully_connected_versions
        self.evacuated = evacuated
        self.has_open_attempts = has_open_attempts
        self.wanted_at: dict[str, float] = {}

    def wanted_nodes(self, now: float) -> set[str]:
        """Return the nodes that should be connected."""
        local = {
            name
            for name, node in self.members.nodes.items()
            if node.state.data_centre == self.members.data_centre
        }
        remote = relays.remote_servers(
            self.members,
            now,
            services=self.called_services(),
            fully_connected_versions=self.fully_connected_versions(),
            evacuated=self.evacuated(),
        )
        wanted = local | remote | set(relays.remote_targets(self.members, now))
        wanted.discard(self.members.node)
        return wanted

    def update(self, now: float) -> None:
        """Open wanted connections; close those unwanted for `KEEP_SECONDS`."""
        for name in self.wanted_nodes(now):
            self.open(name, now)
        for name in tuple(self.peer_links.links):
            idle = now - self.wanted_at.setdefault(name, now)
            if idle > KEEP_SECONDS and not self.has_open_attempts(name):
                self.close(name)

    def open(self, name: str, now: float) -> None:
        """Mark the connection to a node as wanted, and open it if needed."""
        node = self.members.nodes.get(name)
        if node is None or name == self.members.node:
            return
        self.wanted_at[name] = now
        self.peer_links.connect(name, node.state.address)

    def close(self, name: str) -> None:
        """Close the connection to a node, if it is open."""
        self.wanted_at.pop(name, None)
        self.peer_links.disconnect(name)
