"""Nodes as processes, started with the command of the deploy file."""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

from review.common_2 import backend as backends
from review.common_2 import store as stores
from review.common_2 import wire

__all__ = ["Call", "Fleet", "Node", "make_config", "run"]

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = ("python3", "-m", "apricotpost.sidecar.main")
# Exit code of a case whose rule was broken; 1 is that of any failed program.
BROKEN = 10
CLIENT_HOST = "127.0.0.1"
STORE_HOST = "127.20.0.1"
# The bounds of the small deployment `kaplis-mesh`.
BOUNDS = {
    "drain_ms": 2000,
    "grace_seconds": 6,
    "retry_ratio": 0.2,
    "retry_slack": 56,
    "retry_window_seconds": 10,
    "cold_ratio": 1.5,
    "cold_slack": 5,
}
ADDITIONS = {
    "bounds": {"strict_revocation": None, "revocation_ms": None},
    "limits": {
        "processor_share": 0.86,
        "cores": 1,
        "descriptors": 4100,
        "link_mbps": 1000.0,
    },
    "usage": {"address": None},
}


def make_config(
    version: int,
    *,
    routes: dict[str, dict[str, object]],
    services: tuple[str, ...],
) -> bytes:
    """Return a configuration as the operator writes it."""
    resources: list[dict[str, object]] = [
        {
            "resource_type": "routes",
            "metadata": {"name": name},
            "spec": {
                "host": "mesh.example",
                "type": "safe",
                "timeout_ms": 1500,
                "target_latency_ms": 600,
                "priority": 1,
                "max_attempts": 3,
                **spec,
            },
        }
        for name, spec in routes.items()
    ]
    resources += [
        {
            "resource_type": "services",
            "metadata": {"name": name},
            "spec": {
                "health_path": "/health",
                "max_connections": 110,
                "cold_start_s": 3.0,
                "cold_per_s": 16.0,
            },
        }
        for name in services
    ]
    resources.append(
        {
            "resource_type": "limits",
            "metadata": {},
            "spec": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
    )
    document = {"version": version, "resources": resources}
    return json.dumps(document).encode()


@dataclasses.dataclass(kw_only=True)
class Call:
    """A client's request and what became of it.

    Parameters
    ----------
    identifier : str
        Its `X-Request-Id`.
    sent_at, ended_at : float
        Monotonic times, in seconds.
    status : int
        Status of the complete answer; 0 if there was none.
    outcome : str
        The status, or how the request ended without an answer.
    body : bytes
        Body of the answer.
    headers : dict
        Headers of the answer.
    """

    identifier: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    outcome: str = ""
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)


class Node:
    """Process of a node."""

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        host: str,
        service: str,
        folder: pathlib.Path,
    ) -> None:
        self.name = name
        self.zone = zone
        self.host = host
        self.service = service
        self.settings_path = folder / f"{name}.jsonc"
        self.log_path = folder / f"{name}.log"
        names = ("outbound", "ready", "control", "links", "metrics", "app")
        self.ports = dict(
            zip(names, find_ports(host, len(names)), strict=True)
        )
        self.process: subprocess.Popen[bytes] | None = None

    def address(self, name: str) -> str:
        """Return one of its addresses, as IP:PORT."""
        return f"{self.host}:{self.ports[name]}"

    def write_settings(
        self, store: str, zones: dict[str, str], *, first_start: bool
    ) -> None:
        """Write what the platform makes of the template of the deploy file."""
        content = {
            "instance": self.name,
            "data_centre": self.zone,
            "region": zones[self.zone],
            "data_centres": zones,
            "addresses": {
                "callers": self.address("outbound"),
                "readiness": self.address("ready"),
                "announcements": self.address("control"),
                "links": self.address("links"),
                "metrics": self.address("metrics"),
            },
            "backend_address": self.address("app"),
            "service": self.service,
            "heartbeat_ms": 1500,
            "memory_mb": 300,
            "first_start": first_start,
            "store": {"address": store},
            "bounds": BOUNDS,
        }
        self.settings_path.write_text(json.dumps(content), encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME")
            if name in os.environ
        }
        environment["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
        environment["APRICOTPOST_BOOT"] = str(self.settings_path)
        environment["APRICOTPOST_SETTINGS"] = json.dumps(ADDITIONS)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


def find_ports(host: str, count: int) -> list[int]:
    """Return free ports of an address."""
    with contextlib.ExitStack() as stack:
        listeners = [
            stack.enter_context(socket.socket()) for _ in range(count)
        ]
        for listener in listeners:
            listener.bind((host, 0))
        return [listener.getsockname()[1] for listener in listeners]


class Fleet:
    """A store, nodes and backends, and the record of what happens.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder of the settings and logs.
    record_path : pathlib.Path
        File of the record.
    zones : dict
        Region of each zone.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        record_path: pathlib.Path,
        zones: dict[str, str],
    ) -> None:
        self.folder = folder
        self.zones = zones
        self.store = stores.Store()
        self.store_address = ""
        self.nodes: list[Node] = []
        self.backends: list[backends.Backend] = []
        self.began_at = time.monotonic()
        self.record = record_path.open("w", encoding="utf-8")
        self.last_number = 0

    def log(self, text: str) -> None:
        """Write a line of the record, unless the case has ended."""
        if self.record.closed:
            return
        seconds = time.monotonic() - self.began_at
        self.record.write(f"{seconds:9.4f} {text}\n")

    async def start_store(self, config: bytes) -> None:
        """Start the store with its first configuration."""
        (port,) = find_ports(STORE_HOST, 1)
        await self.store.listen(STORE_HOST, port)
        self.store_address = f"{STORE_HOST}:{port}"
        self.store.put("op", "config", config)

    async def add(
        self, zone: str, service: str, version: str = "v1"
    ) -> tuple[Node, backends.Backend]:
        """Start a machine: a node and the backend beside it."""
        number = len(self.nodes) + 1
        node = Node(
            name=f"sidecar-{zone}-{number}",
            zone=zone,
            host=f"127.20.1.{number}",
            service=service,
            folder=self.folder,
        )
        node.write_settings(self.store_address, self.zones, first_start=True)
        backend = backends.Backend(
            identifier=f"i-{number:04x}",
            service=service,
            version=version,
            zone=zone,
            address=node.address("app"),
            control=node.address("control"),
            log=self.log,
        )
        self.nodes.append(node)
        self.backends.append(backend)
        node.start()
        await backend.start()
        self.log(
            f"started {node.name} ({service} {version}, {backend.identifier})"
        )
        return node, backend

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until every node is ready and serves requests of others."""
        async with asyncio.timeout(seconds):
            for node in self.nodes:
                while not await self.is_ready(node):
                    await asyncio.sleep(0.1)
                # Later starts are not the first one of the whole system.
                node.write_settings(
                    self.store_address, self.zones, first_start=False
                )
        # All nodes hear of each other.
        await asyncio.sleep(3.0)

    async def is_ready(self, node: Node) -> bool:
        """Ask a node whether it is ready."""
        request = b"GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n"
        try:
            reader, writer = await asyncio.open_connection(
                node.host, node.ports["ready"]
            )
        except OSError:
            return False
        try:
            writer.write(request)
            return (await wire.read_message(reader)).status == 200
        except (OSError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    # Clients.

    def next_identifier(self) -> str:
        """Return the identifier of the next request."""
        self.last_number += 1
        return f"{self.last_number:016x}"

    def make_request(
        self,
        identifier: str,
        path: str,
        *,
        method: str = "GET",
        deadline_ms: int = 1500,
        body: bytes = b"",
        extra: str = "",
    ) -> bytes:
        """Encode a client's request."""
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: mesh.example\r\n"
            f"X-Request-Id: {identifier}\r\nX-Deadline-Ms: {deadline_ms}\r\n"
            f"{extra}"
        )
        if method != "GET":
            head += f"Content-Length: {len(body)}\r\n"
        return head.encode() + b"\r\n" + body

    async def connect(
        self, node: Node
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a client's connection to a node."""
        return await asyncio.open_connection(
            node.host, node.ports["outbound"], local_addr=(CLIENT_HOST, 0)
        )

    async def call(
        self,
        node: Node,
        path: str,
        *,
        method: str = "GET",
        deadline_ms: int = 1500,
    ) -> Call:
        """Send one request on a new connection and wait until its deadline."""
        call = Call(
            identifier=self.next_identifier(), sent_at=time.monotonic()
        )
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                reader, writer = await self.connect(node)
                try:
                    call.sent_at = time.monotonic()
                    writer.write(
                        self.make_request(
                            call.identifier,
                            path,
                            method=method,
                            deadline_ms=deadline_ms,
                        )
                    )
                    answer = await wire.read_message(reader)
                    call.status = answer.status
                    call.body = answer.body
                    call.headers = answer.headers
                    call.outcome = str(answer.status)
                finally:
                    writer.close()
        except TimeoutError:
            call.outcome = "deadline"
        except (OSError, asyncio.IncompleteReadError) as error:
            call.outcome = f"closed without answer ({type(error).__name__})"
        call.ended_at = time.monotonic()
        self.log_call(call, node, f"{method} {path}")
        return call

    def log_call(self, call: Call, node: Node, line: str) -> None:
        """Record a client's request."""
        sent = call.sent_at - self.began_at
        self.log(
            f"client {call.identifier} to {node.name}: {line}"
            f" sent {sent:.4f}, {call.outcome}"
        )

    def close(self) -> None:
        """End everything that was started."""
        for backend in self.backends:
            backend.stop()
        for node in self.nodes:
            node.kill()
        if self.store.server is not None:
            self.store.server.close()
        self.record.close()


def run(main, folder: pathlib.Path) -> int:
    """Run a case and return its exit code.

    Parameters
    ----------
    main : callable
        Coroutine function of the case; called with the temporary folder, the
        path of the record and whether the disruption takes place. It returns
        whether the rule held.
    folder : pathlib.Path
        Folder of the case.

    Returns
    -------
    int
        0 if the rule held, `BROKEN` if not, 2 if the case did not run.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run_main(temporary: str) -> bool:
        held = await main(
            pathlib.Path(temporary), folder / "record.txt", trouble
        )
        # Connections that were closed end before the event loop does.
        await asyncio.sleep(0.2)
        return held

    with tempfile.TemporaryDirectory() as temporary:
        try:
            held = asyncio.run(run_main(temporary))
        except Exception:
            traceback.print_exc()
            for path in sorted(pathlib.Path(temporary).glob("*.log")):
                lines = path.read_text(encoding="utf-8").splitlines()[-5:]
                print(path.name, *lines, sep="\n", file=sys.stderr)
            return 2
    return 0 if held else BROKEN
