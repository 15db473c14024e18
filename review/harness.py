"""Starts a small deployment of nodes with stand-ins around them.

The nodes are separate processes, started with the command and the settings
template of the deploy file. The platform's store is `standins.rows`; backend
servers and clients are defined here. Everything listens on loopback addresses:
each machine has one of its own, so that all machines use the same ports.
"""

import asyncio
import contextlib
import dataclasses
import itertools
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from standins import rows  # noqa: E402

HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2

HOST = "mesh.example"
PORTS = {"app": 8628, "outbound": 8629, "ready": 8625, "control": 8620}
LINK_PORTS = (7600, 7615)
METRICS_PORT = 9102
HEARTBEAT_SECONDS = 0.87
START_SECONDS = 20.0
# Of the site citatnik-mesh-grown: its small machines, and its bounds.
MEMORY_MB = 200
LINK_BYTES_PER_SECOND = 10_000_000 / 8
REGION = "hr-central"
ZONES = ("hr-central-a", "hr-central-b")
SLOTS = 18
BOUNDS = {
    "drain_timeout_ms": 2500,
    "grace_s": 6,
    "retry_budget_ratio": 0.2,
    "budget_slack": 174,
    "budget_window_s": 10,
    "cold_overshoot": 1.5,
    "cold_slack": 8,
}
# Loopback has segments of 64 KiB and windows of megabytes; links have neither.
SEGMENT_BYTES = 1460
WINDOW_BYTES = 65536


class CouldNotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes what was sent, answered and run, with times in seconds."""

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w", encoding="utf-8")

    def write(self, text: str) -> None:
        """Write one line."""
        seconds = time.monotonic() - self.started_at
        self.file.write(f"{seconds:8.3f} {text}\n")
        self.file.flush()


def render(template: str, fields: dict[str, object]) -> str:
    """Fill in the placeholders of a settings template."""

    def replace(match: re.Match[str]) -> str:
        value: object = fields
        for name in match.group(1).split("."):
            value = value[int(name) if name.isdigit() else name]
        return json.dumps(value) if match.group(2) else str(value)

    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", replace, template)


def read_role() -> dict[str, str]:
    """Return the role that the deploy file defines."""
    text = (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
    (role,) = tomllib.loads(text)["roles"].values()
    return role


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """One execution of a request by a backend server."""

    request: str
    backend: str
    started_at: float


class Backend:
    """Backend server of one machine; it follows PROTOCOL.md.

    Parameters
    ----------
    identifier, service, zone, ip : str
        What it says of itself, and its address.
    record : Record
        Gets a line for each run.
    """

    def __init__(
        self,
        *,
        identifier: str,
        service: str,
        zone: str,
        ip: str,
        record: Record,
    ) -> None:
        self.identifier = identifier
        self.service = service
        self.zone = zone
        self.ip = ip
        self.record = record
        self.state = "ready"
        self.slots = SLOTS
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        # Seconds of work, and size of the answer, by path.
        self.work: dict[str, float] = {}
        self.answer_bytes: dict[str, int] = {}
        self.running = 0
        self.runs: list[Run] = []
        self.acknowledged: list[tuple[float, str, int]] = []
        self.server: asyncio.Server | None = None
        self.beat_task: asyncio.Task[None] | None = None
        self.connections: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen, and send heartbeats to the node of this machine."""
        self.server = await asyncio.start_server(
            self.serve, self.ip, PORTS["app"], limit=1 << 26
        )
        self.beat_task = asyncio.create_task(self.beat())

    def stop(self) -> None:
        """End as in a crash: all connections are closed."""
        if self.beat_task is not None:
            self.beat_task.cancel()
        if self.server is not None:
            self.server.close()
        for task in self.connections:
            task.cancel()

    async def beat(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            began_at = time.monotonic()
            await self.send_heartbeat()
            passed = time.monotonic() - began_at
            await asyncio.sleep(max(HEARTBEAT_SECONDS - passed, 0.05))

    async def send_heartbeat(self) -> bool:
        """Send one heartbeat; return whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.service,
            "address": f"{self.ip}:{PORTS['app']}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.sequence,
            "born": self.born,
        }
        status = await announce(
            self.ip, f"/v1/Instances.Heartbeat/{self.identifier}", body
        )
        if 200 <= status < 300:
            self.acknowledged.append(
                (time.monotonic(), self.state, self.sequence)
            )
        return 200 <= status < 300

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection, one after the other."""
        task = asyncio.current_task()
        self.connections.add(task)
        with contextlib.suppress(
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            while True:
                await self.serve_one(reader, writer)
        writer.close()
        self.connections.discard(task)

    async def serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        head = await reader.readuntil(b"\r\n\r\n")
        method, path, headers = parse_request(head)
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            respond(writer, status, {"X-Instance-Id": self.identifier})
            return
        request = headers.get("x-request-id", "")
        echo = {"X-Request-Id": request}
        expected = headers.get("x-expect-instance", self.identifier)
        if expected != self.identifier:
            self.record.write(f"{self.identifier} answers 421 to {request}")
            respond(writer, 421, {**echo, "X-Not-Executed": "1"})
            return
        if self.running >= self.slots:
            self.record.write(f"{self.identifier} sheds {request}")
            respond(writer, 503, {**echo, "X-Not-Executed": "1"})
            return
        self.runs.append(
            Run(
                request=request,
                backend=self.identifier,
                started_at=time.monotonic(),
            )
        )
        self.record.write(
            f"{self.identifier} runs {request}: {method} {path}, "
            f"body of {len(body)} bytes"
        )
        self.running += 1
        try:
            await asyncio.sleep(self.work.get(path, 0.05))
        finally:
            self.running -= 1
        await self.answer(writer, path, request)

    async def answer(
        self, writer: asyncio.StreamWriter, path: str, request: str
    ) -> None:
        """Answer a request that has run."""
        headers = {
            "X-Request-Id": request,
            "X-Response-Seal": f"seal-{request}",
        }
        respond(writer, 200, headers, answer_of(path, self.answer_bytes))
        await writer.drain()


def answer_of(path: str, sizes: dict[str, int]) -> bytes:
    """Return the body of a backend server's answer."""
    return (path.encode() + b" ") * (sizes.get(path, 400) // (len(path) + 1))


def parse_request(head: bytes) -> tuple[str, str, dict[str, str]]:
    """Return method, path and headers of a request."""
    first, *lines = head.decode("latin-1").split("\r\n")
    method, path, _ = first.split(" ")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, path, headers


def respond(
    writer: asyncio.StreamWriter,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
) -> None:
    """Write a response with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Answer:
    """What a client got: status 0 means that the connection ended first."""

    status: int
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    expected_bytes: int = 0
    complete: bool = False


def encode_request(
    request: str,
    path: str,
    *,
    method: str = "GET",
    deadline_ms: int,
    body: bytes = b"",
) -> bytes:
    """Encode a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Request-Id: {request}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def read_answer(
    reader: asyncio.StreamReader, *, bytes_per_second: float | None = None
) -> Answer:
    """Read one response, at the rate of the client's link if given."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status=0)
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = bytearray()
    began_at = time.monotonic()
    while len(body) < length:
        try:
            piece = await reader.read(min(16384, length - len(body)))
        except ConnectionError:
            break
        if not piece:
            break
        body += piece
        if bytes_per_second is not None:
            due_at = began_at + len(body) / bytes_per_second
            await asyncio.sleep(max(due_at - time.monotonic(), 0))
    return Answer(
        status=int(first.split(" ")[1]),
        headers=headers,
        body=bytes(body),
        expected_bytes=length,
        complete=len(body) == length,
    )


async def open_client(
    ip: str, port: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a client's connection with the window and segments of a link."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, (ip, port))
    return await asyncio.open_connection(sock=connection, limit=1 << 16)


async def call(ip: str, port: int, data: bytes, seconds: float) -> Answer:
    """Send one request on a new connection and return its answer."""
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(ip, port)
            try:
                writer.write(data)
                return await read_answer(reader)
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return Answer(status=0)


async def announce(ip: str, path: str, body: dict[str, object]) -> int:
    """Send what a backend server says of itself; return the status."""
    data = json.dumps(body).encode()
    head = (
        f"POST {path} HTTP/1.1\r\nHost: node\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(data)}\r\n\r\n"
    )
    answer = await call(ip, PORTS["control"], head.encode() + data, 1.0)
    return answer.status


class Machine:
    """A machine with its backend server and its node.

    Parameters
    ----------
    name, zone, service, ip : str
        What its settings say.
    deployment : Deployment
        The deployment that it belongs to.
    backend_class : type
        Class of its backend server.
    """

    def __init__(
        self,
        *,
        name: str,
        zone: str,
        service: str,
        ip: str,
        deployment: "Deployment",
        backend_class: type[Backend],
    ) -> None:
        self.name = name
        self.zone = zone
        self.service = service
        self.ip = ip
        self.deployment = deployment
        self.backend = backend_class(
            identifier=f"i-{name}",
            service=service,
            zone=zone,
            ip=ip,
            record=deployment.record,
        )
        self.process: subprocess.Popen[bytes] | None = None
        self.settings_path = deployment.folder / f"{name}.conf"
        self.log_path = deployment.folder / f"{name}.log"

    def fields(self) -> dict[str, object]:
        """Return the fields of DEPLOY.md that the template uses."""
        return {
            "node_name": self.name,
            "zone": self.zone,
            "region": REGION,
            "zones": dict.fromkeys(ZONES, REGION),
            "ip": self.ip,
            "listen": {
                kind: f"{self.ip}:{PORTS[kind]}"
                for kind in ("outbound", "ready", "control")
            },
            "internal_ports": list(LINK_PORTS),
            "app_addr": f"{self.ip}:{PORTS['app']}",
            "service": self.service,
            "heartbeat_ms": int(HEARTBEAT_SECONDS * 1000),
            "limits": {"memory_mb": MEMORY_MB},
            "bootstrap": True,
            "platform": {"address": self.deployment.store.address},
            "bounds": BOUNDS,
        }

    def start_node(self) -> None:
        """Start the node with the command of the deploy file."""
        role = read_role()
        template = (ROOT / role["template"]).read_text(encoding="utf-8")
        self.settings_path.write_text(
            render(template, self.fields()), encoding="utf-8"
        )
        command = shlex.split(role["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["APRICOTPOST_BOOT"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the node."""
        os.kill(self.process.pid, number)

    async def is_ready(self) -> bool:
        """Ask the node once whether it is ready."""
        data = b"GET /v1/ready HTTP/1.1\r\nHost: node\r\n\r\n"
        answer = await call(self.ip, PORTS["ready"], data, 1.0)
        return answer.status == 200

    async def read_metric(self, name: str) -> float:
        """Return the value of one of the node's metrics."""
        data = b"GET /metrics HTTP/1.1\r\nHost: node\r\n\r\n"
        answer = await call(self.ip, METRICS_PORT, data, 1.0)
        for line in answer.body.decode().splitlines():
            if line.split(" ")[0] == name:
                return float(line.split(" ")[1])
        return 0.0


class Deployment:
    """The store, the machines and the operator of a small deployment.

    Parameters
    ----------
    folder : pathlib.Path
        Temporary folder for settings and logs.
    record : Record
        Record of the run.
    """

    def __init__(self, *, folder: pathlib.Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.store = rows.RowStore()
        self.machines: list[Machine] = []
        self.addresses = _free_addresses()

    async def start(
        self,
        machines: list[tuple[str, str]],
        routes: list[dict[str, object]],
        backend_class: type[Backend] = Backend,
    ) -> None:
        """Start machines (zone and service) and wait until all are ready."""
        await self.store.listen()
        services = sorted({service for _, service in machines})
        self.put_config(7, routes, services)
        for index, (zone, service) in enumerate(machines, start=1):
            machine = Machine(
                name=f"sidecar-{zone}-{index}",
                zone=zone,
                service=service,
                ip=next(self.addresses),
                deployment=self,
                backend_class=backend_class,
            )
            self.machines.append(machine)
        for machine in self.machines:
            machine.start_node()
        for machine in self.machines:
            await machine.backend.start()
        await self.wait_until_ready()

    async def wait_until_ready(self) -> None:
        """Wait until all nodes are ready and know all backend servers."""
        end_at = time.monotonic() + START_SECONDS
        while time.monotonic() < end_at:
            ready = [await machine.is_ready() for machine in self.machines]
            known = [
                await machine.read_metric("apricotpost_servers_known")
                for machine in self.machines
            ]
            if all(ready) and min(known) >= len(self.machines):
                # Connections to other zones open a moment later.
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.2)
        raise CouldNotRun("the nodes did not become ready")

    def put_config(
        self,
        version: int,
        routes: list[dict[str, object]],
        services: list[str],
    ) -> None:
        """Write a configuration as the operator does."""
        resources: list[dict[str, object]] = [
            {
                "resource_type": "routes",
                "metadata": {"name": f"r-{index}"},
                "spec": {
                    "host": HOST,
                    "type": "safe",
                    "timeout_ms": 3000,
                    "target_latency_ms": 800,
                    "priority": 1,
                    "max_attempts": 2,
                    **route,
                },
            }
            for index, route in enumerate(routes)
        ]
        resources += [
            {
                "resource_type": "services",
                "metadata": {"name": service},
                "spec": {
                    "health_path": "/health",
                    "max_connections": 460,
                    "protocol": "h1",
                    "tls": False,
                    "cold_start_s": 3.0,
                    "cold_per_s": 12.0,
                },
            }
            for service in services
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
        body = {"version": version, "resources": resources}
        self.store.put("op", "config", json.dumps(body).encode())
        self.record.write(f"the operator writes configuration {version}")

    def stop(self) -> None:
        """End all processes and stand-ins."""
        for machine in self.machines:
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()
            machine.backend.stop()
        self.store.close()


def _free_addresses():
    """Yield loopback addresses on which the ports of a machine are free."""
    rng = random.SystemRandom()
    network = f"127.{rng.randrange(2, 250)}.{rng.randrange(1, 250)}"
    ports = [*PORTS.values(), *LINK_PORTS, METRICS_PORT]
    for number in itertools.count(1):
        address = f"{network}.{number}"
        with contextlib.ExitStack() as stack:
            try:
                for port in ports:
                    probe = stack.enter_context(socket.socket())
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((address, port))
            except OSError:
                continue
        yield address


def run_case(folder: pathlib.Path, case) -> int:
    """Run a case and return its exit code.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of the case, which gets ``record.txt``.
    case : coroutine function
        Called with the deployment and with whether to bring about the
        disruption; returns whether the rule was broken.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'yes' if trouble else 'no'}")

    async def run() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(
                folder=pathlib.Path(temporary), record=record
            )
            try:
                async with asyncio.timeout(110.0):
                    return await case(deployment, trouble)
            finally:
                deployment.stop()
                if "KEEP_LOGS" in os.environ:
                    for path in pathlib.Path(temporary).glob("*.log"):
                        target = pathlib.Path(os.environ["KEEP_LOGS"])
                        (target / path.name).write_bytes(path.read_bytes())

    try:
        broken = asyncio.run(run())
    except (CouldNotRun, OSError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
        return COULD_NOT_RUN
    record.write(f"result: {'broken' if broken else 'held'}")
    return BROKEN if broken else HELD
