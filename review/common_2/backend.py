"""Stand-in of a backend, with its announcements to the node beside it."""

import asyncio
from collections.abc import Callable
import json
import time

from review.common_2 import wire

__all__ = ["Backend"]

Log = Callable[[str], None]


class Backend:
    """One backend: runs requests, answers health checks, sends heartbeats.

    Parameters
    ----------
    identifier, service, version, zone : str
        What the heartbeats say.
    address, control : str
        Its address and the control address of its machine, as IP:PORT.
    log : callable
        Writes a line of the record.
    """

    def __init__(
        self,
        *,
        identifier: str,
        service: str,
        version: str,
        zone: str,
        address: str,
        control: str,
        log: Log,
    ) -> None:
        self.identifier = identifier
        self.service = service
        self.version = version
        self.zone = zone
        self.address = address
        self.control = control
        self.log = log
        self.born = time.time_ns() // 1_000_000
        self.slots = 12
        self.seq = 0
        self.state = "ready"
        # Whether the health check succeeds and heartbeats are sent.
        self.healthy = True
        self.beating = True
        # Returns the body of an answer; a short text by default.
        self.choose_body: Callable[[wire.Message], bytes] = lambda request: b""
        # Duration of a run, in seconds.
        self.work_seconds = 0.01
        # Of the runs, each of this number fails; 0 for none.
        self.fail_every = 0
        self.run_count = 0
        # Monotonic time of each failure, in seconds.
        self.failed_at: list[float] = []
        # Runs of requests with this prefix are recorded.
        self.recorded_path = "/"
        # Monotonic time of the start, identifier and request of each run.
        self.runs: list[tuple[float, str, wire.Message]] = []
        # Identifiers of the runs that were answered, and of those whose
        # connection was closed before.
        self.answered: list[str] = []
        self.broken_off: list[str] = []
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and send heartbeats from now on."""
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self.serve, host, int(port))
        self.task = asyncio.create_task(self.send_heartbeats())

    def stop(self) -> None:
        """End as a process does."""
        if self.task is not None:
            self.task.cancel()
        if self.server is not None:
            self.server.close()
        for writer in tuple(self.writers):
            writer.close()

    # Requests.

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the requests on one connection, one at a time."""
        self.writers.add(writer)
        try:
            while True:
                request = await wire.read_message(reader)
                if not await self.answer(request, reader, writer):
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer one request; return False if its connection has ended."""
        if request.first_line[1] == "/health":
            status = 200 if self.healthy and self.state == "ready" else 503
            self.log(f"backend {self.identifier} health check: {status}")
            headers = {"X-Instance-Id": self.identifier}
            writer.write(wire.encode_response(status, headers))
            await writer.drain()
            return True
        identifier = request.headers.get("x-request-id", "")
        echo = {"X-Request-Id": identifier}
        if request.headers.get("x-expect-instance") != self.identifier:
            headers = {**echo, "X-Instance-Id": self.identifier}
            writer.write(wire.encode_response(421, headers))
            await writer.drain()
            return True
        if request.first_line[1].startswith(self.recorded_path):
            self.record_run(identifier, request)
        # A backend drops a request when its connection closes.
        ends_at = time.monotonic() + self.work_seconds
        while (remaining := ends_at - time.monotonic()) > 0:
            await asyncio.sleep(min(remaining, 0.04))
            if reader.at_eof() or writer.is_closing():
                self.broken_off.append(identifier)
                self.log(
                    f"backend {self.identifier}: connection of {identifier}"
                    " was closed while it ran"
                )
                return False
        status = 200
        self.run_count += 1
        if self.fail_every and not self.run_count % self.fail_every:
            status = 500
            self.failed_at.append(time.monotonic())
        body = self.choose_body(request)
        body = body or f"{self.identifier} {identifier}".encode()
        headers = {**echo, "X-Response-Seal": f"seal.{identifier}"}
        writer.write(wire.encode_response(status, headers, body))
        await writer.drain()
        self.answered.append(identifier)
        return True

    def record_run(self, identifier: str, request: wire.Message) -> None:
        """Record the start of a run."""
        self.runs.append((time.monotonic(), identifier, request))
        caller = request.headers.get("x-caller-service", "")
        line = " ".join(request.first_line[:2])
        self.log(
            f"backend {self.identifier} ({self.service} {self.version}) runs"
            f" {identifier}: {line} caller={caller}"
        )

    # Announcements.

    async def send_heartbeats(self) -> None:
        """Send a heartbeat each 1.5 s."""
        while True:
            if self.beating:
                await self.announce("Heartbeat", self.make_heartbeat())
            await asyncio.sleep(1.5)

    def make_heartbeat(self) -> dict[str, object]:
        """Return the next heartbeat."""
        self.seq += 1
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self.seq,
            "born": self.born,
        }

    async def announce(self, call: str, body: dict[str, object]) -> int:
        """Send an announcement; return the status, 0 if there is none."""
        host, _, port = self.control.rpartition(":")
        data = json.dumps(body).encode()
        head = (
            f"POST /v1/Instances.{call}/{self.identifier} HTTP/1.1\r\n"
            f"Host: {self.control}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n"
        )
        status = 0
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    host, int(port), local_addr=(host, 0)
                )
                try:
                    writer.write(head.encode() + data)
                    status = (await wire.read_message(reader)).status
                finally:
                    writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        shown = {k: body[k] for k in ("state", "seq") if k in body}
        result = status or "no answer"
        self.log(f"backend {self.identifier} sent {call} {shown}: {result}")
        return status
