"""Index of the fleet's backend servers by service, for the call path."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from apricotpost.membership import fleet
from apricotpost.routing import placement
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["ServerIndex"]

# A node whose last state is older than this gets new requests only if the
# other nodes that run the service are silent as well.
MAX_SILENT_SECONDS = 3.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _IndexedServer:
    node: str
    data_centre: str
    server: wire.ServerState


class ServerIndex:
    """Backend servers that take requests, by service.

    Parameters
    ----------
    members : fleet.Fleet
        States of all nodes.
    regions : mapping
        Region of each data centre.
    is_connected : callable
        Tells whether a node can be reached.
    """

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        regions: Mapping[str, str],
        is_connected: Callable[[str], bool],
    ) -> None:
        self.members = members
        self.regions = regions
        self.is_connected = is_connected
        # Called after each change; replaced by the node.
        self.on_change: Callable[[], None] = lambda: None
        self.services: dict[str, list[_IndexedServer]] = {}
        self.valid = False
        # Usable servers of each service, and the orders that they hold under.
        self.usable: dict[
            str,
            tuple[views.TrafficView | None, tuple[_IndexedServer, ...]],
        ] = {}
        # Versions of each service in the order in which they first appeared;
        # the version of a completed rollout is first.
        self.versions: dict[str, list[str]] = {}

    def invalidate(self) -> None:
        """Rebuild the index before its next use.

        Called after changes of states and connections: hundreds of states
        may change before the next request.
        """
        self.valid = False
        self.on_change()

    def list_services(self) -> Mapping[str, Sequence[_IndexedServer]]:
        """Return the backend servers that take requests, by service."""
        if not self.valid:
            self.rebuild()
        return self.services

    def rebuild(self) -> None:
        """Build the index from the states of all nodes."""
        services: dict[str, list[_IndexedServer]] = {}
        for name, node in self.members.nodes.items():
            state = node.state
            server = state.server
            if server is None or state.leaving or not server.ready:
                continue
            services.setdefault(server.service, []).append(
                _IndexedServer(
                    node=name, data_centre=state.data_centre, server=server
                )
            )
            versions = self.versions.setdefault(server.service, [])
            if server.version not in versions:
                versions.append(server.version)
        self.services = services
        self.usable.clear()
        self.valid = True

    def list_versions(self, service: str) -> Sequence[str]:
        """Return the known versions of a service, the stable one first."""
        if not self.valid:
            self.rebuild()
        return self.versions.get(service, ())

    def list_usable(
        self, view: views.TrafficView, service: str
    ) -> Sequence[_IndexedServer]:
        """Return the servers of a service that a request can be sent to.

        They are kept until the index, the connections or the orders change.
        """
        servers = self.list_services().get(service, ())
        known_view, usable = self.usable.get(service, (None, ()))
        if known_view is not view:
            usable = tuple(
                indexed
                for indexed in servers
                if indexed.data_centre not in view.evacuated
                and self.is_reachable(indexed.node)
            )
            self.usable[service] = (view, usable)
        return usable

    def set_stable_version(self, service: str, version: str) -> None:
        """Move the version of a completed rollout to the front.

        Without a trial, requests go to the first known version.
        """
        versions = self.versions.setdefault(service, [])
        if version in versions:
            versions.remove(version)
        versions.insert(0, version)

    def count_nodes(self) -> int:
        """Return the number of known nodes."""
        return len(self.members.nodes)

    def version_of(self, node: str) -> str:
        """Return the version of the backend server beside a node."""
        member = self.members.nodes.get(node)
        if member is None or member.state.server is None:
            return ""
        return member.state.server.version

    def candidates(
        self,
        view: views.TrafficView,
        service: str,
        *,
        version_draw: float,
        regions: tuple[str, ...],
        now: float,
    ) -> list[placement.Candidate]:
        """Return the backend servers that may run a request.

        Parameters
        ----------
        view : views.TrafficView
            Orders in force.
        service : str
            Service of the request.
        version_draw : float
            Number between 0 and 1 that selects the version.
        regions : tuple of str
            Regions in which the request may run; empty means all.
        now : float
            Monotonic time, in seconds.
        """
        usable = self.list_usable(view, service)
        if regions:
            usable = [
                indexed
                for indexed in usable
                if self.regions.get(indexed.data_centre) in regions
            ]
        usable_versions = {indexed.server.version for indexed in usable}
        if len(usable_versions) > 1 or service in view.service_trials:
            usable = self.filter_versions(view, service, usable, version_draw)
        servers_with_silence = [
            (indexed, self.silent_seconds(indexed.node, now))
            for indexed in usable
        ]
        recent = [
            pair
            for pair in servers_with_silence
            if pair[1] < MAX_SILENT_SECONDS
        ]
        return [
            placement.Candidate(
                node=indexed.node,
                backend=indexed.server.backend,
                same_data_centre=indexed.data_centre
                == self.members.data_centre,
                silent_seconds=silence,
                cold=indexed.server.cold,
            )
            for indexed, silence in recent or servers_with_silence
        ]

    def filter_versions(
        self,
        view: views.TrafficView,
        service: str,
        usable: Sequence[_IndexedServer],
        version_draw: float,
    ) -> Sequence[_IndexedServer]:
        """Return the backend servers whose versions may get the request."""
        usable_versions = [indexed.server.version for indexed in usable]
        trial = view.service_trials.get(service)
        allowed = views.choose_versions(
            view,
            service,
            [v for v in self.list_versions(service) if v in usable_versions],
            version_draw=version_draw,
            servers=(
                usable_versions.count(trial.new) if trial is not None else 0
            ),
        )
        kept = [e for e in usable if e.server.version in allowed]
        if views.uses_one_server(view, service, allowed):
            # All nodes have to choose the same backend server.
            return sorted(kept, key=lambda e: e.server.backend)[:1]
        return kept

    def is_reachable(self, node: str) -> bool:
        """Tell whether requests can be sent to a node."""
        return node == self.members.node or self.is_connected(node)

    def silent_seconds(self, node: str, now: float) -> float:
        """Return the time since a node's last state, in seconds."""
        if node == self.members.node:
            return 0.0
        return now - self.members.nodes[node].heard_at
