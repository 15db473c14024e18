"""Fleets of event-loop nodes as processes, with stand-ins around them."""

import asyncio
import dataclasses
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

import msgspec

from apricotpost import http
from standins import backends
from standins import rows

__all__ = ["Caller", "Mesh", "NodeProcess", "make_config"]

HEARTBEAT_SECONDS = 0.3
# The ports lie below the system's range for outgoing connections, which could
# use one between its choice and the start of the node.
FIRST_PORT = 20000
PORT_COUNT = 10000
_CANDIDATE_PORTS = itertools.cycle(
    FIRST_PORT + (os.getpid() * 101 + index) % PORT_COUNT
    for index in range(PORT_COUNT)
)
START_SECONDS = 10.0


def make_config(
    version: int,
    *,
    routes: list[dict[str, object]],
    services: tuple[str, ...] = ("portal",),
) -> bytes:
    """Return a configuration in the form that operators write."""
    resources = [
        {
            "resource_type": "routes",
            "metadata": {"name": f"r{index}"},
            "spec": {
                "host": "mesh.example",
                "type": "safe",
                "timeout_ms": 2000,
                "target_latency_ms": 500,
                "priority": 1,
                "max_attempts": 2,
                **spec,
            },
        }
        for index, spec in enumerate(routes)
    ]
    resources += [
        {
            "resource_type": "services",
            "metadata": {"name": name},
            "spec": {
                "health_path": "/health",
                "max_connections": 100,
                "cold_start_s": 1.0,
                "cold_per_s": 20.0,
            },
        }
        for name in services
    ]
    return msgspec.json.encode({"version": version, "resources": resources})


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Ports:
    """Addresses on which a node listens."""

    callers: str
    readiness: str
    announcements: str
    links: str
    metrics: str


class NodeProcess:
    """Process of a node, with the backend server beside it.

    Parameters
    ----------
    name, data_centre : str
        Instance and data centre of the node.
    folder : pathlib.Path
        Directory of the settings file and the log.
    backend : backends.Backend
        Backend server beside the node.
    store : str
        Address of the platform's store, as IP:PORT.
    host : str
        IP address on which the node listens.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        folder: pathlib.Path,
        backend: backends.Backend,
        store: str,
        host: str = "127.0.0.1",
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.backend = backend
        self.store = store
        self.settings_path = folder / f"{name}.jsonc"
        self.log_path = folder / f"{name}.log"
        self.ports = Ports(
            **{f.name: _free_address(host) for f in dataclasses.fields(Ports)}
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.write_settings()

    def write_settings(self, **changes: object) -> None:
        """Write the settings file."""
        content = {
            "instance": self.name,
            "data_centre": self.data_centre,
            "region": "r",
            "data_centres": {"dc-a": "r", "dc-b": "r"},
            "addresses": dataclasses.asdict(self.ports),
            "backend_address": self.backend.address,
            "service": self.backend.service,
            "heartbeat_ms": HEARTBEAT_SECONDS * 1000,
            "memory_mb": 300,
            "store": {"address": self.store},
            "bounds": {
                "drain_ms": 2000,
                "grace_seconds": 6,
                "retry_ratio": 0.2,
                "retry_slack": 50,
                "retry_window_seconds": 10,
            },
            **changes,
        }
        text = "// settings of a test\n" + json.dumps(content)
        self.settings_path.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "apricotpost.sidecar.main",
                    self.settings_path,
                ],
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def read_log(self) -> list[dict[str, object]]:
        """Return the complete lines of the log, decoded."""
        text = self.log_path.read_text(encoding="utf-8")
        return [
            json.loads(line)
            for line in text.splitlines()
            if line.startswith("{") and line.endswith("}")
        ]


class Caller:
    """HTTP client of the nodes."""

    def __init__(self) -> None:
        self.sent_count = 0
        self.clients: dict[str, http.Client] = {}

    async def call(
        self,
        address: str,
        path: str = "/records/1",
        *,
        method: bytes = b"GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: http.Headers = (),
    ) -> http.Result:
        """Send a request with a new identifier and return its result."""
        self.sent_count += 1
        return await self.send(
            address,
            http.Request(
                method=method,
                target=path.encode(),
                headers=(
                    (b"Host", b"mesh.example"),
                    (b"X-Request-Id", b"q%d" % self.sent_count),
                    (b"X-Deadline-Ms", b"%d" % deadline_ms),
                    *headers,
                ),
                body=body,
            ),
            timeout=deadline_ms / 1000 + 1.0,
        )

    async def send(
        self, address: str, request: http.Request, *, timeout: float = 3.0
    ) -> http.Result:
        """Send a request as given and return its result."""
        client = self.clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = http.Client(host=host, port=int(port))
            self.clients[address] = client
        completed = asyncio.get_running_loop().create_future()
        handle = client.send(
            request, completed.set_result, timeout_seconds=timeout
        )
        try:
            return await completed
        except asyncio.CancelledError:
            handle.cancel()
            raise

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()


class Mesh:
    """A store stand-in and nodes with their backend servers.

    Parameters
    ----------
    folder : pathlib.Path
        Directory of the settings and logs.
    """

    def __init__(self, *, folder: pathlib.Path) -> None:
        self.folder = folder
        self.store = rows.RowStore()
        self.nodes: list[NodeProcess] = []
        # Settings of all nodes that differ from the usual ones.
        self.settings: dict[str, object] = {}
        self.caller = Caller()
        self.heartbeat_task: asyncio.Task[None] | None = None

    async def start(
        self,
        data_centres: tuple[str, ...],
        *,
        services: tuple[str, ...] = (),
        routes: list[dict[str, object]] | None = None,
    ) -> None:
        """Start a node per listed data centre; wait until all are ready."""
        await self.store.listen()
        routes = routes or [{"prefix": "/records/", "service": "portal"}]
        service_names = tuple(dict.fromkeys(("portal", *services)))
        config = make_config(1, routes=routes, services=service_names)
        self.store.put("op", "config", config)
        for index, data_centre in enumerate(data_centres):
            service = services[index] if services else "portal"
            await self.add(data_centre, service=service)
        self.heartbeat_task = asyncio.get_running_loop().create_task(
            self.send_heartbeats()
        )
        await self.wait_ready()

    async def add(
        self, data_centre: str, *, service: str = "portal", version: str = "v1"
    ) -> NodeProcess:
        """Start another node with its backend server."""
        index = len(self.nodes)
        backend = backends.Backend(
            identifier=f"b{index}",
            service=service,
            version=version,
            # A node treats a client with the IP address of its backend
            # server as that backend server.
            host=f"127.0.2.{index + 1}",
        )
        await backend.listen()
        node = NodeProcess(
            name=f"n{index}",
            data_centre=data_centre,
            folder=self.folder,
            backend=backend,
            store=self.store.address,
        )
        if self.settings:
            node.write_settings(**self.settings)
        node.start()
        self.nodes.append(node)
        return node

    async def send_heartbeats(self) -> None:
        """Send the heartbeats of all backend servers until cancelled."""
        while True:
            await asyncio.gather(
                *(self.send_heartbeat(node) for node in self.nodes)
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def send_heartbeat(self, node: NodeProcess) -> http.Result:
        """Send the next heartbeat of a backend server to its node."""
        return await self.announce(
            node,
            "Heartbeat",
            node.backend.identifier,
            node.backend.make_heartbeat(),
        )

    async def announce(
        self, node: NodeProcess, call_name: str, identifier: str, body: bytes
    ) -> http.Result:
        """Send an announcement of a backend server to its node."""
        return await self.caller.send(
            node.ports.announcements,
            http.Request(
                method=b"POST",
                target=f"/v1/Instances.{call_name}/{identifier}".encode(),
                headers=((b"Host", b"node"),),
                body=body,
            ),
            timeout=1.0,
        )

    async def wait_ready(self) -> None:
        """Wait until `is_ready` returns true for every node."""
        for node in self.nodes:
            await self.wait_for(node, self.is_ready)

    async def wait_for(self, node, check) -> None:
        """Wait until a check of a node returns true.

        Raises
        ------
        TimeoutError
            The check was still false after `START_SECONDS`.
        """
        async with asyncio.timeout(START_SECONDS):
            while not await check(node):
                await asyncio.sleep(0.05)

    async def is_ready(self, node: NodeProcess) -> bool:
        """Return whether a node is ready and has a complete view.

        The view is complete if the node is connected to the other nodes of
        its data centre and lists the backend servers of all nodes.
        """
        request = http.Request(
            method=b"GET",
            target=b"/v1/ready",
            headers=((b"Host", b"node"),),
        )
        result = await self.caller.send(node.ports.readiness, request)
        if result.response is None or result.response.status != 200:
            return False
        peers = await self.read_metric(node, "apricotpost_peers_connected")
        servers = await self.read_metric(node, "apricotpost_servers_known")
        local = [
            other
            for other in self.nodes
            if other.data_centre == node.data_centre
        ]
        return peers >= len(local) - 1 and servers >= len(self.nodes)

    async def read_metric(self, node: NodeProcess, name: str) -> float:
        """Return the value of a node's metric, summed over its labels."""
        request = http.Request(
            method=b"GET",
            target=b"/metrics",
            headers=((b"Host", b"node"),),
        )
        result = await self.caller.send(node.ports.metrics, request)
        if result.response is None:
            return 0.0
        return sum(
            float(line.split()[-1])
            for line in result.response.body.decode().splitlines()
            if line.split("{")[0].split(" ")[0] == name
        )

    async def close(self) -> None:
        """Stop all nodes, backend servers, clients and the store."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        for node in self.nodes:
            node.kill()
            node.backend.close()
        self.caller.close()
        self.store.close()


def _free_address(host: str) -> str:
    for port in _CANDIDATE_PORTS:
        with socket.socket() as probe:
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return f"{host}:{port}"
    raise RuntimeError("no free port")
