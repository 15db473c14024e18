"""Backend servers that count what they run and can misbehave."""

import asyncio
import time

import msgspec

from apricotpost import http

__all__ = ["Backend"]


class Backend:
    """A backend server that counts what it runs and can misbehave.

    Parameters
    ----------
    identifier, service, version, host : str
        Who and where it is.
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
        self.work_seconds = 0.005
        self.mode = "answer"
        self.sequence = 0
        self.born = time.time_ns() // 1_000_000
        self.runs: list[str] = []
        # Monotonic time of each run, in seconds.
        self.run_times: list[float] = []
        self.requests: list[http.Request] = []
        self.at_once = 0
        self.most_at_once = 0
        self.cancelled = 0
        self.listener = http.Listener(
            handler=self.handle, limits=http.Limits()
        )
        self.address = ""
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, port: int = 0) -> None:
        """Listen on a port; 0 takes a free one."""
        await self.listener.listen(self.host, port)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    def close(self) -> None:
        """Crash."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()

    def handle(self, exchange: http.Exchange) -> None:
        """Run a request in a task of its own."""
        task = asyncio.get_running_loop().create_task(self.run(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, exchange: http.Exchange) -> None:
        """Run a request as `mode` says."""
        headers = {
            k.lower().decode(): v.decode() for k, v in exchange.request.headers
        }
        identifier = headers.get("x-request-id", "")
        if exchange.request.target == b"/health":
            self.answer_health(exchange)
            return
        if headers.get("x-expect-instance") != self.identifier:
            exchange.respond(http.Response(status=421))
            return
        if self.mode == "shed":
            not_run = ((b"X-Not-Executed", b"1"),)
            exchange.respond(http.Response(status=503, headers=not_run))
            return
        self.runs.append(identifier)
        self.run_times.append(time.monotonic())
        self.requests.append(exchange.request)
        self.at_once += 1
        self.most_at_once = max(self.most_at_once, self.at_once)
        gone = asyncio.Event()
        exchange.on_disconnect = gone.set
        try:
            async with asyncio.timeout(self.work_seconds):
                await gone.wait()
            self.cancelled += 1
            return
        except TimeoutError:
            pass
        finally:
            self.at_once -= 1
        self.answer(exchange, identifier)

    def answer_health(self, exchange: http.Exchange) -> None:
        """Answer whether requests are taken."""
        exchange.respond(
            http.Response(
                status=200 if self.state == "ready" else 503,
                headers=((b"X-Instance-Id", self.identifier.encode()),),
            )
        )

    def answer(self, exchange: http.Exchange, identifier: str) -> None:
        """Answer as `mode` says."""
        if self.mode == "reset":
            exchange.connection.transport.abort()
            return
        if self.mode == "cut":
            exchange.connection.transport.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n"
                b"X-Response-Seal: s\r\nX-Request-Id: "
                + identifier.encode()
                + b"\r\n\r\nhalf"
            )
            exchange.connection.close()
            return
        if self.mode == "wrong":
            identifier = "another"
        exchange.respond(
            http.Response(
                status=500 if self.mode == "fail" else 200,
                headers=(
                    (b"X-Request-Id", identifier.encode()),
                    (b"X-Response-Seal", b"seal-" + identifier.encode()),
                ),
                body=b"body of " + exchange.request.target,
            )
        )

    def beat(self) -> bytes:
        """Return the body of the next heartbeat."""
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
                "born": self.born,
            }
        )
