"""Node processes, stand-ins and proxies of a run, and the load on them."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import time

import psutil

from apricotpost import http
from soak import checks
from soak import proxy
from standins import backends
from standins import mesh

__all__ = ["Fleet", "Instance"]

HEARTBEAT_SECONDS = 0.3
# Highest rate of a caller, which pauses for its inverse after each request.
REQUESTS_PER_CALLER_SECOND = 12.0
CALLERS_PER_NODE = 2
DEADLINE_MS = 1500
SERVICE_SECONDS = 0.03
COLD_SECONDS = 1.0
# Time for which a draining backend server keeps running after its
# announcement was acknowledged.
DRAIN_SECONDS = 3.0
# Limits of a node process under the load of a run. A machine of the users'
# sites has 200 MB or more for it.
MAX_MEMORY_MB = 150
MAX_DESCRIPTORS = 400
MEMORY_CHECK_SECONDS = 0.2
ROUTES = (
    {"prefix": "/records/", "service": "portal"},
    {"prefix": "/reports/", "service": "fieldbook", "type": "unsafe"},
)
SERVICES = ("portal", "fieldbook")


@dataclasses.dataclass(kw_only=True)
class Instance:
    """A node, its backend server and the proxies in front of both."""

    node: mesh.NodeProcess
    data_centre: str
    backend: backends.Backend
    to_node: proxy.Proxy
    to_backend: proxy.Proxy
    to_store: proxy.Proxy
    start_count: int = 1
    cold_until: float = 0.0

    def process_label(self) -> str:
        """Return the node's name and the sequence number of its process."""
        return f"{self.node.name}#{self.start_count}"


class Fleet:
    """Instances, store and callers on loopback addresses.

    Parameters
    ----------
    folder : pathlib.Path
        Directory of the settings and logs.
    network : int
        Second byte of the loopback addresses. Concurrent runs need different
        ones, since a port is chosen before a process binds it.
    """

    def __init__(self, *, folder: pathlib.Path, network: int) -> None:
        self.mesh = mesh.Mesh(folder=folder)
        self.folder = folder
        self.host = f"127.{network}.0.1"
        self.backend_net = f"127.{network}.2"
        self.instances: list[Instance] = []
        self.backends: list[backends.Backend] = []
        self.results: dict[str, checks.CallResult] = {}
        self.exclusions: list[checks.Exclusion] = []
        self.rollouts: list[checks.Rollout] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.config_version = 1
        self.request_count = 0
        self.load_stopped = False
        # Whether an operator has ordered the evacuation of dc-a.
        self.evacuated = False
        # Largest memory of each process, in mebibytes, by its label.
        self.peak_memory_mb: dict[str, float] = {}

    # Fleet.

    async def start(self, nodes: int) -> None:
        """Start the fleet, wait until it is ready, and start the load."""
        await self.mesh.store.listen(self.host)
        self.publish_configuration()
        for index in range(nodes):
            await self.add_instance(index)
        loop = asyncio.get_running_loop()
        await self.mesh.wait_ready()
        self.tasks.append(loop.create_task(self.watch_memory()))
        for instance in self.instances:
            for _ in range(CALLERS_PER_NODE):
                self.tasks.append(loop.create_task(self.run_caller(instance)))

    async def add_instance(
        self, index: int, *, service: str = "", version: str = "v1"
    ) -> Instance:
        """Start a node with its backend server and proxies."""
        data_centre = ("dc-a", "dc-b")[index % 2]
        host = f"{self.backend_net}.{index + 1}"
        backend = self.make_backend(f"b{index}-1", index, host)
        backend.service = service or backend.service
        backend.version = version
        await backend.listen()
        to_backend = proxy.Proxy(target=backend.address, host=host)
        await to_backend.listen()
        to_store = proxy.Proxy(target=self.mesh.store.address, host=self.host)
        await to_store.listen()
        own_address = backend.address
        backend.address = to_backend.address
        node = mesh.NodeProcess(
            name=f"n{index}",
            data_centre=data_centre,
            folder=self.folder,
            backend=backend,
            store=to_store.address,
            host=self.host,
        )
        backend.address = own_address
        to_node = proxy.Proxy(target=node.ports.links, host=self.host)
        await to_node.listen()
        addresses = dataclasses.asdict(node.ports)
        node.write_settings(
            addresses={**addresses, "advertised": to_node.address},
            backend_address=to_backend.address,
            heartbeat_ms=HEARTBEAT_SECONDS * 1000,
        )
        node.start()
        self.mesh.nodes.append(node)
        instance = Instance(
            node=node,
            data_centre=data_centre,
            backend=backend,
            to_node=to_node,
            to_backend=to_backend,
            to_store=to_store,
        )
        self.instances.append(instance)
        heartbeats = self.send_heartbeats(instance)
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(heartbeats))
        return instance

    def make_backend(
        self, identifier: str, index: int, host: str
    ) -> backends.Backend:
        """Create a backend server of the service of an instance."""
        backend = backends.Backend(
            identifier=identifier,
            service=SERVICES[index // 2 % len(SERVICES)],
            host=host,
        )
        backend.service_seconds = SERVICE_SECONDS
        self.backends.append(backend)
        return backend

    def publish_configuration(self) -> None:
        """Write the configuration, with a route for each version since 2."""
        version_routes = [
            {"prefix": f"/generation-{number}/", "service": "portal"}
            for number in range(2, self.config_version + 1)
        ]
        self.mesh.store.put(
            "op",
            "config",
            mesh.make_config(
                self.config_version,
                routes=[*ROUTES, *version_routes],
                services=SERVICES,
            ),
        )

    async def send_heartbeats(self, instance: Instance) -> None:
        """Send the heartbeats of an instance's current backend server."""
        while True:
            cold_seconds = instance.cold_until - time.monotonic()
            instance.backend.cold_ms = max(int(cold_seconds * 1000), 0)
            await self.mesh.send_heartbeat(instance.node)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def close(self) -> None:
        """Stop all tasks, processes, proxies and stand-ins."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for instance in self.instances:
            if instance.node.process.poll() is None:
                instance.node.signal(signal.SIGCONT)
            for link in (
                instance.to_node,
                instance.to_backend,
                instance.to_store,
            ):
                link.close()
        for backend in self.backends:
            backend.close()
        await self.mesh.close()

    # Load.

    async def run_caller(self, instance: Instance) -> None:
        """Send requests to a node in turn until the load is stopped."""
        while not self.load_stopped:
            self.request_count += 1
            number = self.request_count
            if number % 3 == 0:
                await self.send_request(
                    instance, number, "/reports/1", b"POST"
                )
            elif number % 10 == 1 and self.config_version > 1:
                generation = 2 + number % (self.config_version - 1)
                path = f"/generation-{generation}/1"
                await self.send_request(
                    instance, number, path, generation=generation
                )
            else:
                await self.send_request(instance, number, "/records/1")
            await asyncio.sleep(1.0 / REQUESTS_PER_CALLER_SECOND)

    async def send_request(
        self,
        instance: Instance,
        number: int,
        path: str,
        method: bytes = b"GET",
        *,
        generation: int = 0,
    ) -> None:
        """Send a request and record its result."""
        request_id = f"s{number}"
        label = instance.process_label()
        sent_at = time.monotonic()
        pending = checks.CallResult(
            request=request_id,
            node=label,
            sent=sent_at,
            ended=sent_at,
            idempotent=method == b"GET",
            status=0,
            generation=generation,
        )
        self.results[request_id] = pending
        result = await self.mesh.caller.send(
            instance.node.ports.callers,
            http.Request(
                method=method,
                target=path.encode(),
                headers=(
                    (b"Host", b"mesh.example"),
                    (b"X-Request-Id", request_id.encode()),
                    (b"X-Deadline-Ms", b"%d" % DEADLINE_MS),
                ),
                body=b"content" if method == b"POST" else b"",
            ),
            timeout=DEADLINE_MS / 1000 + 1.0,
        )
        response = result.response
        status = response.status if response is not None else 0
        self.results[request_id] = dataclasses.replace(
            pending,
            # Another process may have answered after a restart, so that the
            # result says nothing about the configuration of this one.
            node=(label if label == instance.process_label() else f"{label}+"),
            ended=time.monotonic(),
            status=status,
            intact=status != 200 or _is_intact(response, request_id, path),
        )

    # Observations.

    def executions(self) -> list[checks.Execution]:
        """Return the requests that all backend servers executed."""
        return [
            checks.Execution(
                request=request_id,
                backend=backend.identifier,
                started_at=at,
            )
            for backend in self.backends
            for request_id, at in zip(
                backend.executed_ids, backend.run_started_at, strict=True
            )
        ]

    async def read_configurations(self) -> dict[str, int]:
        """Return the version of the configuration that each node has."""
        name = "apricotpost_configuration_version"
        return {
            node.name: int(await self.mesh.read_metric(node, name))
            for node in self.mesh.nodes
        }

    async def watch_memory(self) -> None:
        """Record the largest memory of each node process."""
        while True:
            for instance in self.instances:
                with contextlib.suppress(psutil.Error):
                    process = psutil.Process(instance.node.process.pid)
                    memory_mb = process.memory_info().rss / 2**20
                    label = instance.process_label()
                    peak_mb = self.peak_memory_mb.get(label, 0.0)
                    self.peak_memory_mb[label] = max(peak_mb, memory_mb)
            await asyncio.sleep(MEMORY_CHECK_SECONDS)

    def check_resources(self) -> list[checks.Violation]:
        """Check the memory and file descriptors of all node processes."""
        violations = [
            checks.Violation(
                promise="bounded-resources",
                detail=f"{label}: {memory_mb:.0f} MB",
            )
            for label, memory_mb in self.peak_memory_mb.items()
            if memory_mb > MAX_MEMORY_MB
        ]
        for instance in self.instances:
            process = psutil.Process(instance.node.process.pid)
            descriptors = process.num_fds()
            if descriptors > MAX_DESCRIPTORS:
                violations.append(
                    checks.Violation(
                        promise="bounded-resources",
                        detail=(
                            f"{instance.process_label()}: "
                            f"{descriptors} descriptors"
                        ),
                    )
                )
        return violations


def _is_intact(response: http.Response, request_id: str, path: str) -> bool:
    seal = http.find_header(response.headers, b"x-response-seal")
    return (
        seal == b"seal-" + request_id.encode()
        and response.body == b"body of " + path.encode()
    )
