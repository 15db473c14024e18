"""Processes, stand-ins and proxies of a run, and the load on them."""

import asyncio
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

__all__ = ["Place", "World"]

HEARTBEAT_SECONDS = 0.3
# Requests a second that each caller sends; two callers for each node.
CALLER_RATE = 12.0
CALLERS = 2
DEADLINE_MS = 1500
WORK_SECONDS = 0.03
COLD_SECONDS = 1.0
# A leaving server goes on so long after its acknowledgement.
LEAVE_SECONDS = 3.0
# A process that runs a soak may take so much.
MAX_MEMORY_MB = 150
MAX_DESCRIPTORS = 400
ROUTES = (
    {"prefix": "/records/", "service": "portal"},
    {"prefix": "/reports/", "service": "fieldbook", "type": "unsafe"},
)
SERVICES = ("portal", "fieldbook")


@dataclasses.dataclass(kw_only=True)
class Place:
    """A node, its backend server and the proxies around them."""

    node: mesh.NodeProcess
    data_centre: str
    backend: backends.Backend
    to_node: proxy.Proxy
    to_backend: proxy.Proxy
    to_store: proxy.Proxy
    starts: int = 1
    cold_until: float = 0.0

    def label(self) -> str:
        """Return the name of the node's current process."""
        return f"{self.node.name}#{self.starts}"


class World:
    """A fleet on loopback.

    Parameters
    ----------
    folder : pathlib.Path
        For settings and logs.
    network : int
        Second part of the loopback addresses; runs at the same time need
        different ones, since ports are chosen before they are used.
    """

    def __init__(self, *, folder: pathlib.Path, network: int) -> None:
        self.mesh = mesh.Mesh(folder=folder)
        self.folder = folder
        self.host = f"127.{network}.0.1"
        self.backend_net = f"127.{network}.2"
        self.places: list[Place] = []
        self.backends: list[backends.Backend] = []
        self.answers: dict[str, checks.Answer] = {}
        self.departures: list[checks.Departure] = []
        self.rollouts: list[checks.Rollout] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.version = 1
        self.requests = 0
        self.stopped = False

    # Fleet.

    async def start(self, nodes: int) -> None:
        """Start the fleet and wait until it serves."""
        await self.mesh.store.listen(self.host)
        self.put_configuration()
        for index in range(nodes):
            await self.add(index)
        loop = asyncio.get_running_loop()
        await self.mesh.wait_ready()
        for place in self.places:
            for _ in range(CALLERS):
                self.tasks.append(loop.create_task(self.call_all(place)))

    async def add(
        self, index: int, *, service: str = "", version: str = "v1"
    ) -> Place:
        """Start one node with its backend server."""
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
        place = Place(
            node=node,
            data_centre=data_centre,
            backend=backend,
            to_node=to_node,
            to_backend=to_backend,
            to_store=to_store,
        )
        self.places.append(place)
        announcing = self.announce_all(place)
        loop = asyncio.get_running_loop()
        self.tasks.append(loop.create_task(announcing))
        return place

    def make_backend(
        self, identifier: str, index: int, host: str
    ) -> backends.Backend:
        """Make a backend server of one of the services."""
        backend = backends.Backend(
            identifier=identifier,
            service=SERVICES[index // 2 % len(SERVICES)],
            host=host,
        )
        backend.work_seconds = WORK_SECONDS
        self.backends.append(backend)
        return backend

    def put_configuration(self) -> None:
        """Write the next configuration with a route of its own."""
        own = [
            {"prefix": f"/generation-{number}/", "service": "portal"}
            for number in range(2, self.version + 1)
        ]
        self.mesh.store.put(
            "op",
            "config",
            mesh.make_config(
                self.version, routes=[*ROUTES, *own], services=SERVICES
            ),
        )

    async def announce_all(self, place: Place) -> None:
        """Send the heartbeats of a backend server."""
        while True:
            left = place.cold_until - time.monotonic()
            place.backend.cold_ms = max(int(left * 1000), 0)
            await self.mesh.beat(place.node)
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def close(self) -> None:
        """End everything that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for place in self.places:
            if place.node.process.poll() is None:
                place.node.signal(signal.SIGCONT)
            for own in (place.to_node, place.to_backend, place.to_store):
                own.close()
        for backend in self.backends:
            backend.close()
        await self.mesh.close()

    # Load.

    async def call_all(self, place: Place) -> None:
        """Send requests to a node, one after the other."""
        while not self.stopped:
            self.requests += 1
            number = self.requests
            if number % 3 == 0:
                await self.call(place, number, "/reports/1", b"POST")
            elif number % 10 == 1 and self.version > 1:
                generation = 2 + number % (self.version - 1)
                path = f"/generation-{generation}/1"
                await self.call(place, number, path, generation=generation)
            else:
                await self.call(place, number, "/records/1")
            await asyncio.sleep(1.0 / CALLER_RATE)

    async def call(
        self,
        place: Place,
        number: int,
        path: str,
        method: bytes = b"GET",
        *,
        generation: int = 0,
    ) -> None:
        """Send a request and note what came of it."""
        request = f"s{number}"
        label = place.label()
        sent = time.monotonic()
        pending = checks.Answer(
            request=request,
            node=label,
            sent=sent,
            ended=sent,
            idempotent=method == b"GET",
            status=0,
            generation=generation,
        )
        self.answers[request] = pending
        result = await self.mesh.caller.send(
            place.node.ports.callers,
            http.Request(
                method=method,
                target=path.encode(),
                headers=(
                    (b"Host", b"mesh.example"),
                    (b"X-Request-Id", request.encode()),
                    (b"X-Deadline-Ms", b"%d" % DEADLINE_MS),
                ),
                body=b"content" if method == b"POST" else b"",
            ),
            timeout=DEADLINE_MS / 1000 + 1.0,
        )
        response = result.response
        status = response.status if response is not None else 0
        self.answers[request] = dataclasses.replace(
            pending,
            # An answer of the next process proves nothing for this one.
            node=label if label == place.label() else f"{label}+",
            ended=time.monotonic(),
            status=status,
            whole=status != 200 or _is_own(response, request, path),
        )

    # Evidence.

    def runs(self) -> list[checks.Run]:
        """Return what all backend servers have run."""
        return [
            checks.Run(request=request, backend=backend.identifier, at=at)
            for backend in self.backends
            for request, at in zip(
                backend.runs, backend.run_started_at, strict=True
            )
        ]

    def check_resources(self) -> list[checks.Violation]:
        """Check that memory and descriptors are bounded."""
        found = []
        for place in self.places:
            process = psutil.Process(place.node.process.pid)
            memory = process.memory_info().rss / 2**20
            descriptors = process.num_fds()
            if memory > MAX_MEMORY_MB or descriptors > MAX_DESCRIPTORS:
                found.append(
                    checks.Violation(
                        promise="bounded-resources",
                        detail=(
                            f"{place.label()}: {memory:.0f} MB, "
                            f"{descriptors} descriptors"
                        ),
                    )
                )
        return found


def _is_own(response: http.Response, request: str, path: str) -> bool:
    seal = http.find_header(response.headers, b"x-response-seal")
    return (
        seal == b"seal-" + request.encode()
        and response.body == b"body of " + path.encode()
    )
