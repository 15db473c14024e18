"""Stand-in of the platform's endpoint for usage reports."""

import asyncio
import dataclasses
import time

import msgspec

from apricotpost import http

__all__ = ["Report", "UsageEndpoint"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Report as it arrived, at a monotonic time in seconds."""

    at: float
    holder: str
    token: int
    body: bytes
    window: int
    counts: dict[str, int]
    accepted: bool


class UsageEndpoint:
    """Takes reports and records them with the faults that it finds.

    `status` is the status of its responses. If `loses_answers` is set, reports
    are accepted and the connection is closed without a response.
    """

    def __init__(self, *, lease_seconds: float) -> None:
        self.lease_seconds = lease_seconds
        self.status = 200
        self.loses_answers = False
        self.reports: list[Report] = []
        self.faults: list[str] = []
        self.listener = http.Listener(
            handler=self.handle, limits=http.Limits()
        )
        self.address = ""
        self.changed = asyncio.Event()

    async def listen(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        await self.listener.listen(host, 0)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        self.listener.close()

    def handle(self, exchange: http.Exchange) -> None:
        """Record a report and answer it."""
        request = exchange.request
        headers = {name.lower(): value for name, value in request.headers}
        if request.method != b"POST" or request.target != b"/usage":
            exchange.respond(http.Response(status=404))
            return
        body = msgspec.json.decode(request.body)
        report = Report(
            at=time.monotonic(),
            holder=headers[b"x-lease-holder"].decode(),
            token=int(headers[b"x-fencing-token"]),
            body=request.body,
            window=body["window_seq"],
            counts=body["counts"],
            accepted=self.status == 200,
        )
        self.check(report)
        self.reports.append(report)
        self.changed.set()
        self.changed = asyncio.Event()
        if self.loses_answers:
            exchange.connection.close()
            return
        exchange.respond(http.Response(status=self.status))

    def check(self, report: Report) -> None:
        """Record what must never happen, also for refused reports."""
        recent = []
        for earlier in self.reports:
            if earlier.window == report.window and earlier.body != report.body:
                self.faults.append(f"two contents: {earlier} {report}")
            if (
                earlier.token == report.token
                and earlier.holder != report.holder
            ):
                self.faults.append(f"token of two: {earlier} {report}")
            if earlier.token > report.token:
                self.faults.append(f"lower token: {earlier} {report}")
            if report.at - earlier.at <= self.lease_seconds:
                recent.append(earlier.holder)
        if report.holder in recent:
            later = set(recent[recent.index(report.holder) :])
            if later != {report.holder}:
                self.faults.append(f"holders alternate: {recent} {report}")

    def accepted(self) -> dict[int, dict[str, int]]:
        """Return the counts of each window that was accepted."""
        return {r.window: r.counts for r in self.reports if r.accepted}

    async def wait_for_windows(self, count: int, *, after: int = 0) -> None:
        """Wait until a number of windows after one was accepted."""
        while sum(window > after for window in self.accepted()) < count:
            await self.changed.wait()
