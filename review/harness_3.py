"""Shared parts of the review's scripts: a small deployment and its record.

The nodes are started with the command of the deploy file, each as a process.
The store and the backend servers are the project's stand-ins, in this process.
"""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT / "target" / "deps"))

from apricotpost import http  # noqa: E402
from standins import backends  # noqa: E402
from standins import mesh  # noqa: E402
from standins import rows  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_SECONDS = 110.0
HEARTBEAT_SECONDS = 1.5
# Values of a small deployment, as in the example of the users' pages.
BOUNDS = {
    "drain_ms": 2000,
    "grace_seconds": 6,
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "retry_window_seconds": 10,
    "cold_ratio": 1.5,
    "cold_slack": 5,
}
FIXED_SETTINGS = {
    "limits": {
        "processor_share": 0.86,
        "cores": 1,
        "descriptors": 4100,
        "link_mbps": 1000.0,
    },
}


class Record:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.started_at = time.monotonic()

    def add(self, text: str) -> None:
        """Write a line with the time since the start, in seconds."""
        seconds = time.monotonic() - self.started_at
        print(f"{seconds:8.3f} {text}", file=self.file, flush=True)


class Store(rows.RowStore):
    """Store whose transactions give all their rows one version.

    The pages take the version from a counter that increases with each
    transaction; the project's stand-in counts each row.
    """

    def transact(self, call: dict) -> http.Response:
        """Apply a transaction if all expected versions match."""
        for entry in call["expected_revision"]:
            key = (entry["table"], entry["key"])
            if self.rows.get(key, (b"", 0))[1] != entry["ver"]:
                return http.Response(status=412, body=b'{"rows":[]}')
        self.revision += 1
        for entry in call["put"]:
            table, key = entry["table"], entry["key"]
            value = base64.b64decode(entry["value"])
            self.rows[(table, key)] = (value, self.revision)
            self.record_change(table, key, value, removed=False)
        for entry in call["remove"]:
            table, key = entry["table"], entry["key"]
            if self.rows.pop((table, key), None) is not None:
                self.record_change(table, key, b"", removed=True)
        return self.make_response()


class Node(mesh.NodeProcess):
    """A node that is started as the deploy file says."""

    def write_settings(self, **changes: object) -> None:
        """Write the settings, as the template of the deploy file has them."""
        addresses = {
            name: getattr(self.ports, name)
            for name in (
                "callers",
                "readiness",
                "announcements",
                "links",
                "metrics",
            )
        }
        content = {
            "instance": self.name,
            "data_centre": self.data_centre,
            "region": "r",
            "data_centres": {"dc-a": "r", "dc-b": "r"},
            "addresses": addresses,
            "backend_address": self.backend.address,
            "service": self.backend.service,
            "heartbeat_ms": HEARTBEAT_SECONDS * 1000,
            "memory_mb": 300,
            "first_start": True,
            "store": {"address": self.store},
            "bounds": BOUNDS,
            **changes,
        }
        self.settings_path.write_text(json.dumps(content), encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "APRICOTPOST_BOOT": str(self.settings_path),
            "APRICOTPOST_SETTINGS": json.dumps(FIXED_SETTINGS),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "apricotpost.sidecar.main"],
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env=environment,
            )

    def stop_at_end(self) -> None:
        """Kill the process, also a frozen one."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
        self.kill()


class Deployment:
    """Store, nodes and backend servers."""

    def __init__(self, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = Store()
        self.nodes: list[Node] = []
        self.heartbeats: asyncio.Task[None] | None = None
        self.announcers: dict[str, http.Client] = {}
        # Requests that each backend server processes at the same time.
        self.slots = 12
        # Nodes whose backend servers send no heartbeats any more.
        self.silent: set[str] = set()

    async def start(
        self,
        servers: list[tuple[str, str, str]],
        routes: list[dict[str, object]],
        *,
        changes: dict[str, object] | None = None,
        extra_services: tuple[str, ...] = (),
    ) -> None:
        """Start a node for each (data centre, service, version).

        ``extra_services`` are configured and have no server yet.
        """
        await self.store.listen()
        services = tuple(
            dict.fromkeys(
                (*(service for _, service, _ in servers), *extra_services)
            )
        )
        self.put_config(1, routes, services)
        for data_centre, service, version in servers:
            await self.add(data_centre, service, version, changes=changes)
        self.heartbeats = asyncio.get_running_loop().create_task(self.beat())
        await self.wait_ready()

    def put_config(
        self,
        version: int,
        routes: list[dict[str, object]],
        services: tuple[str, ...],
    ) -> None:
        """Write a configuration, as the operator does."""
        value = mesh.make_config(version, routes=routes, services=services)
        self.store.put("op", "config", value)

    async def add(
        self,
        data_centre: str,
        service: str,
        version: str,
        *,
        changes: dict[str, object] | None = None,
        store: str = "",
    ) -> Node:
        """Start a backend server and the node beside it."""
        index = len(self.nodes)
        backend = backends.Backend(
            identifier=f"b{index}",
            service=service,
            version=version,
            host=f"127.0.2.{index + 1}",
        )
        backend.slots = self.slots
        backend.service_seconds = 0.05
        await backend.listen()
        node = Node(
            name=f"n{index}",
            data_centre=data_centre,
            folder=self.folder,
            backend=backend,
            store=store or self.store.address,
            # Later machines do not start with the whole system.
            changes={
                "first_start": self.heartbeats is None,
                **(changes or {}),
            },
        )
        node.start()
        self.nodes.append(node)
        return node

    async def beat(self) -> None:
        """Send the heartbeats of all backend servers."""
        while True:
            await asyncio.gather(*(self.announce(n) for n in self.nodes))
            waiting = any(n.backend.sequence < 3 for n in self.nodes)
            await asyncio.sleep(0.3 if waiting else HEARTBEAT_SECONDS)

    async def announce(
        self, node: Node, call: str = "Heartbeat", body: bytes | None = None
    ) -> int:
        """Send an announcement; return the status, 0 without an answer."""
        if node.name in self.silent:
            return 0
        if body is None:
            body = node.backend.make_heartbeat()
        target = f"/v1/Instances.{call}/{node.backend.identifier}"
        request = http.Request(
            method=b"POST",
            target=target.encode(),
            headers=(
                (b"Host", b"node"),
                (b"Content-Type", b"application/json"),
            ),
            body=body,
        )
        result = await self.send(node.ports.announcements, request, 1.0)
        return 0 if result.response is None else result.response.status

    async def send(
        self, address: str, request: http.Request, seconds: float
    ) -> http.Result:
        """Send a request of the platform or of a backend server."""
        client = self.announcers.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = http.Client(host=host, port=int(port))
            self.announcers[address] = client
        done: asyncio.Future[http.Result] = (
            asyncio.get_running_loop().create_future()
        )
        client.send(
            request,
            lambda result: done.done() or done.set_result(result),
            timeout_seconds=seconds,
        )
        return await done

    async def is_ready(self, node: Node) -> bool:
        """Ask a node whether it is ready."""
        request = http.Request(
            method=b"GET", target=b"/v1/ready", headers=((b"Host", b"n"),)
        )
        result = await self.send(node.ports.readiness, request, 1.0)
        return result.response is not None and result.response.status == 200

    async def read_metric(self, node: Node, name: str) -> float:
        """Return a metric of a node, summed over its labels."""
        request = http.Request(
            method=b"GET", target=b"/metrics", headers=((b"Host", b"n"),)
        )
        result = await self.send(node.ports.metrics, request, 1.0)
        if result.response is None:
            return 0.0
        lines = bytes(result.response.body).decode().splitlines()
        return sum(
            float(line.split()[-1])
            for line in lines
            if line.split("{")[0].split(" ")[0] == name
        )

    async def wait_ready(self) -> None:
        """Wait until all nodes are ready and know all servers."""
        async with asyncio.timeout(25.0):
            for node in self.nodes:
                while not (
                    await self.is_ready(node)
                    and await self.read_metric(
                        node, "apricotpost_servers_known"
                    )
                    >= len(self.nodes)
                ):
                    await asyncio.sleep(0.1)

    def close(self) -> None:
        """End all processes and stand-ins."""
        if self.heartbeats is not None:
            self.heartbeats.cancel()
        for node in self.nodes:
            node.stop_at_end()
            node.backend.close()
        for client in self.announcers.values():
            client.close()
        self.store.close()


class Client:
    """A client of the pages on one kept connection."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def send(
        self,
        *,
        identifier: str,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: str = "",
        host: str = "mesh.example",
    ) -> None:
        """Send a request, on a new connection if there is none."""
        if self.writer is None or self.writer.is_closing():
            name, _, port = self.address.rpartition(":")
            self.reader, self.writer = await asyncio.open_connection(
                name, int(port)
            )
        length = f"Content-Length: {len(body)}\r\n" if body else ""
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: {host}\r\n"
            f"X-Request-Id: {identifier}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{headers}{length}\r\n"
        )
        self.writer.write(head.encode() + body)
        await self.writer.drain()

    async def receive(self, seconds: float) -> tuple[int, dict, bytes]:
        """Return status, headers and body; status 0 without an answer."""
        assert self.reader is not None
        try:
            async with asyncio.timeout(seconds):
                head = await self.reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await self.reader.readexactly(size)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0, {}, b""
        return int(lines[0].split()[1]), headers, body

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


Case = Callable[[Deployment, Record, bool], Awaitable[int]]


def run(folder: pathlib.Path, case: Case) -> int:
    """Run a case and return its exit code."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"start, with the disruption: {trouble}")

    async def play() -> int:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(pathlib.Path(temporary), record)
            try:
                async with asyncio.timeout(LIMIT_SECONDS):
                    return await case(deployment, record, trouble)
            finally:
                deployment.close()

    try:
        code = asyncio.run(play())
    except Exception:
        record.add("the case could not run:\n" + traceback.format_exc())
        code = NOT_RUN
    record.add(f"exit code {code}")
    return code
