"""Stand-ins of backend servers that record requests and inject faults."""

import asyncio
import time

import msgspec

from apricotpost import http

__all__ = ["Backend"]


class Backend:
    """Backend server that records the requests it executes.

    Parameters
    ----------
    identifier : str
        Identifier of the backend server.
    service, version : str
        Service and version that it runs.
    host : str
        IP address to listen on.
    """

    def __init__(
        self,
        *,
        identifier: str,
        service: str = "portal",
        version: str = "v1",
        host: str = "127.0.0.1",
    ) -> None:
        self.identifier = identifier
        self.service = service
        self.version = version
        self.host = host
        self.slots = 8
        self.state = "ready"
        self.cold_ms = 0
        self.service_seconds = 0.005
        self.fault_mode = "answer"
        self.last_refusal = b""
        # Sent as it is in the modes "raw" and "endless"; %b stands for the
        # request's identifier.
        self.raw_response = b""
        # Sent again and again after it in the mode "endless", and the number
        # of bytes that were sent so.
        self.endless_piece = b""
        self.endless_bytes = 0
        # Size of the body of each response; 0 for a short text.
        self.body_bytes = 0
        self.sequence = 0
        self.started_at_ms = time.time_ns() // 1_000_000
        self.executed_ids: list[str] = []
        # Monotonic time of the start of each of `executed_ids`, in seconds.
        self.run_started_at: list[float] = []
        self.executed_requests: list[http.Request] = []
        self.active_requests = 0
        self.max_active_requests = 0
        self.cancelled = 0
        self.listener = http.Listener(
            handler=self.handle, limits=http.Limits()
        )
        self.address = ""
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int = 0) -> None:
        """Listen on a port; 0 chooses a free one."""
        await self.listener.listen(self.host, port)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def close(self) -> None:
        """Abort all requests and close all connections, as in a crash."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()

    def handle(self, exchange: http.Exchange) -> None:
        """Execute a request in a task of its own."""
        task = asyncio.get_running_loop().create_task(self.execute(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def execute(self, exchange: http.Exchange) -> None:
        """Execute a request, or refuse it, as `fault_mode` says."""
        headers = {
            name.lower().decode(): value.decode()
            for name, value in exchange.request.headers
        }
        identifier = headers.get("x-request-id", "")
        if exchange.request.target == b"/health":
            self.respond_to_health_check(exchange)
            return
        echo = ((b"X-Request-Id", identifier.encode()),)
        if headers.get("x-expect-instance") != self.identifier:
            exchange.respond(http.Response(status=421, headers=echo))
            return
        if self.fault_mode == "shed":
            not_run_headers = (*echo, (b"X-Not-Executed", b"1"))
            refusal = http.Response(status=503, headers=not_run_headers)
            self.last_refusal = http.encode_response(refusal, close=False)
            exchange.respond(refusal)
            return
        if self.fault_mode.startswith("repeat"):
            # The last refusal once more, where the response is expected.
            exchange.connection.transport.write(self.last_refusal)
        self.executed_ids.append(identifier)
        self.run_started_at.append(time.monotonic())
        self.executed_requests.append(exchange.request)
        self.active_requests += 1
        self.max_active_requests = max(
            self.max_active_requests, self.active_requests
        )
        disconnected = asyncio.Event()
        exchange.on_disconnect = disconnected.set
        try:
            async with asyncio.timeout(self.service_seconds):
                await disconnected.wait()
            self.cancelled += 1
            return
        except TimeoutError:
            pass
        finally:
            self.active_requests -= 1
        self.respond(exchange, identifier)

    def respond_to_health_check(self, exchange: http.Exchange) -> None:
        """Respond to a health check with 200 if ready, else with 503."""
        exchange.respond(
            http.Response(
                status=200 if self.state == "ready" else 503,
                headers=((b"X-Instance-Id", self.identifier.encode()),),
            )
        )

    def respond(self, exchange: http.Exchange, identifier: str) -> None:
        """Respond to an executed request as `fault_mode` says."""
        if self.fault_mode == "repeat-only":
            return
        if self.fault_mode == "reset":
            exchange.connection.transport.abort()
            return
        if self.fault_mode == "cut":
            exchange.connection.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                b"X-Response-Seal: s\r\nX-Request-Id: "
                + identifier.encode()
                + b"\r\n\r\nhalf"
            )
            exchange.connection.close()
            return
        if self.fault_mode == "cut-head":
            exchange.connection.transport.write(
                b"HTTP/1.1 200 OK\r\nX-Response-Seal: s\r\nX-Request-Id: "
                + identifier.encode()
                + b"\r\nContent-Le"
            )
            exchange.connection.close()
            return
        if self.fault_mode == "raw":
            exchange.connection.transport.write(
                self.raw_response.replace(b"%b", identifier.encode())
            )
            exchange.connection.close()
            return
        if self.fault_mode == "endless":
            self.send_without_end(
                exchange,
                self.raw_response.replace(b"%b", identifier.encode()),
                self.endless_piece,
            )
            return
        if self.fault_mode == "tiny-chunks":
            self.send_without_end(
                exchange,
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                b"X-Response-Seal: s\r\nX-Request-Id: "
                + identifier.encode()
                + b"\r\n\r\n",
                b"2\r\nxx\r\n" * 10_000,
            )
            return
        if self.fault_mode == "wrong":
            identifier = "another"
        exchange.respond(
            http.Response(
                status=500 if self.fault_mode == "fail" else 200,
                headers=(
                    (b"X-Request-Id", identifier.encode()),
                    (b"X-Response-Seal", b"seal-" + identifier.encode()),
                ),
                body=b"x" * self.body_bytes
                or b"body of " + exchange.request.target,
            )
        )

    def send_without_end(
        self, exchange: http.Exchange, start: bytes, piece: bytes
    ) -> None:
        """Send the start of a response, then a piece until the node ends."""
        transport = exchange.connection.transport
        transport.write(start)

        async def send() -> None:
            while not transport.is_closing():
                if transport.get_write_buffer_size() < 100_000:
                    transport.write(piece)
                    self.endless_bytes += len(piece)
                await asyncio.sleep(0.001)

        task = asyncio.get_running_loop().create_task(send())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def make_heartbeat(self) -> bytes:
        """Return the next heartbeat, as the body of a request."""
        self.sequence += 1
        return msgspec.json.encode(
            {
                "service": self.service,
                "address": self.address,
                "zone": "dc-a",
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": self.cold_ms,
                "seq": self.sequence,
                "born": self.started_at_ms,
            }
        )
