"""Backend servers of the fleet, by service, as the call path reads them."""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses

from apricotpost.membership import fleet
from apricotpost.routing import placement
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["ServerIndex"]

# A node that was not heard for so long takes no new requests while others
# can.
LOST_SECONDS = 3.2


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Server:
    node: str
    data_centre: str
    server: wire.ServerState


class ServerIndex:
    """Index of the fleet's backend servers.

    Parameters
    ----------
    known : fleet.Fleet
        States of all nodes.
    regions : mapping
        Region of each data centre.
    is_connected : callable
        Tells whether a node can be reached.
    """

    def __init__(
        self,
        *,
        known: fleet.Fleet,
        regions: Mapping[str, str],
        is_connected: Callable[[str], bool],
    ) -> None:
        self.known = known
        self.regions = regions
        self.is_connected = is_connected
        self.services: dict[str, list[_Server]] = {}
        # Versions of each service in the order in which they were seen.
        self.versions: dict[str, list[str]] = {}

    def rebuild(self) -> None:
        """Index the states again after one of them has changed."""
        services: dict[str, list[_Server]] = {}
        for name, node in self.known.nodes.items():
            state = node.state
            server = state.server
            if server is None or state.leaving or not server.ready:
                continue
            services.setdefault(server.service, []).append(
                _Server(
                    node=name, data_centre=state.data_centre, server=server
                )
            )
            seen = self.versions.setdefault(server.service, [])
            if server.version not in seen:
                seen.append(server.version)
        self.services = services

    def settle_version(self, service: str, version: str) -> None:
        """Note the version that a completed rollout has left in place."""
        seen = self.versions.setdefault(service, [])
        if version in seen:
            seen.remove(version)
        seen.insert(0, version)

    def count_nodes(self) -> int:
        """Return the number of known nodes."""
        return len(self.known.nodes)

    def version_of(self, node: str) -> str:
        """Return the version of the backend server beside a node."""
        known = self.known.nodes.get(node)
        if known is None or known.state.server is None:
            return ""
        return known.state.server.version

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
            Place in the division among versions.
        regions : tuple of str
            Where it may run; empty means everywhere.
        now : float
            Monotonic time, in seconds.
        """
        usable = [
            entry
            for entry in self.services.get(service, ())
            if entry.data_centre not in view.evacuated
            and (not regions or self.regions.get(entry.data_centre) in regions)
            and self.is_reachable(entry.node)
        ]
        present = {entry.server.version for entry in usable}
        if len(present) > 1 or service in view.service_trials:
            usable = self.filter_versions(view, service, usable, version_draw)
        heard = [(entry, self.silence(entry.node, now)) for entry in usable]
        recent = [pair for pair in heard if pair[1] < LOST_SECONDS]
        return [
            placement.Candidate(
                node=entry.node,
                backend=entry.server.backend,
                same_data_centre=entry.data_centre == self.known.data_centre,
                silent_seconds=silence,
                cold=entry.server.cold,
            )
            for entry, silence in recent or heard
        ]

    def filter_versions(
        self,
        view: views.TrafficView,
        service: str,
        usable: list[_Server],
        version_draw: float,
    ) -> list[_Server]:
        """Keep the backend servers of the versions that may be used."""
        found = [entry.server.version for entry in usable]
        trial = view.service_trials.get(service)
        allowed = views.choose_version(
            view,
            service,
            [v for v in self.versions.get(service, ()) if v in found],
            version_draw=version_draw,
            servers=found.count(trial.new) if trial is not None else 0,
        )
        kept = [e for e in usable if e.server.version in allowed]
        if views.loads_one_server(view, service, allowed):
            # All nodes choose the same one.
            return sorted(kept, key=lambda e: e.server.backend)[:1]
        return kept

    def is_reachable(self, node: str) -> bool:
        """Tell whether requests can be sent to a node."""
        return node == self.known.node or self.is_connected(node)

    def silence(self, node: str, now: float) -> float:
        """Return for how many seconds a node was not heard."""
        if node == self.known.node:
            return 0.0
        return now - self.known.nodes[node].heard_at
