"""Sending of committed reports to the usage endpoint."""

import asyncio
from collections.abc import Callable
import dataclasses
import logging
import socket
import struct

from apricotpost import events
from apricotpost import http
from apricotpost import platform
from apricotpost.sidecar import options
from apricotpost.sidecar import usage_time
from apricotpost.usage import leases
from apricotpost.usage import records

__all__ = ["Sender"]

_LOG = logging.getLogger(__name__)

MAX_REQUEST_MS = 2000.0
CONNECT_SECONDS = 0.5
FIRST_RETRY_MS = 250.0
LAST_RETRY_MS = 2000.0
# The endpoint's responses are short.
MAX_RESPONSE_BYTES = 64 * 1024
# Part of the calls that the endpoint takes from all nodes together.
CALLS_PART = 0.2
MIN_CALLS_PER_SECOND = 0.2
# Closing the socket discards what was not sent and resets the connection, so
# that no report leaves this machine after the lease.
_DISCARD = struct.pack("ii", 1, 0)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Retry:
    """Time of the next attempt, by the boot clock, and pause after it."""

    at: float
    pause_ms: float


class Sender:
    """Connection to the usage endpoint, and attempts of each report.

    Parameters
    ----------
    usage : options.UsageOptions
        Settings of the reports.
    holder : str
        Name of this instance.
    read_lease : callable
        Checks the clocks and returns the lease if a request may be begun at
        this moment, else None.
    finish : callable
        Called with a report that needs no other attempt, and with the reason
        if it was not accepted.
    """

    def __init__(
        self,
        *,
        usage: options.UsageOptions,
        holder: str,
        read_lease: Callable[[], leases.Lease | None],
        finish: Callable[[records.Report, str], None],
    ) -> None:
        self.usage = usage
        self.holder = holder
        self.read_lease = read_lease
        self.finish = finish
        self.timing = leases.Timing(
            lease_ms=usage.lease_ms, thaw_ms=usage.thaw_ms
        )
        host, port = options.split_address(usage.address)
        self.client = http.Client(
            host=host,
            port=port,
            connect_seconds=CONNECT_SECONDS,
            max_response_bytes=MAX_RESPONSE_BYTES,
        )
        self.wake = asyncio.Event()
        self.retries: dict[int, _Retry] = {}
        self.next_call_at = 0.0

    def close(self) -> None:
        """Close the connections."""
        self.client.close()

    async def run(self) -> None:
        """Send the reports of the lease, one at a time, until cancelled."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            lease = self.read_lease()
            if lease is None or not lease.reports:
                continue
            now = usage_time.read_clocks().boot_ms
            windows = {report.window for report in lease.reports}
            self.retries = {
                w: retry for w, retry in self.retries.items() if w in windows
            }
            report = min(
                lease.reports,
                key=lambda r: (self.due_at(r.window), r.window),
            )
            if max(self.due_at(report.window), self.next_call_at) > now:
                continue
            calls = max(
                self.usage.calls_per_second * CALLS_PART, MIN_CALLS_PER_SECOND
            )
            self.next_call_at = now + 1000.0 / calls
            await self.send(report, lease, now)

    def due_at(self, window: int) -> float:
        """Return when a report may be sent, by the boot clock."""
        retry = self.retries.get(window)
        return retry.at if retry is not None else 0.0

    async def send(
        self, report: records.Report, lease: leases.Lease, now: float
    ) -> None:
        """Send a report once and process the response."""
        assert lease.row is not None
        token = lease.row.token
        until = leases.acting_until(lease, self.timing)
        limit_ms = min(until - now, MAX_REQUEST_MS)
        request = platform.make_usage_request(
            host=self.usage.address,
            holder=self.holder,
            token=token,
            body=report.body,
        )

        def check_lease(transport: asyncio.Transport) -> bool:
            _bound_socket(transport, limit_ms)
            # Read last: opening the connection took time.
            current = self.read_lease()
            return (
                current is not None
                and current.row is not None
                and current.row.token == token
                and report in current.reports
            )

        result = await self.call(request, check_lease, limit_ms / 1000.0)
        self.client.close_idle()
        outcome = platform.classify_report(result.response)
        if outcome is platform.ReportOutcome.ACCEPTED:
            events.emit(_LOG, events.USAGE_ACCEPTED, window=report.window)
            self.finish(report, "")
            return
        if outcome is platform.ReportOutcome.REFUSED:
            status = result.response.status if result.response else 0
            events.emit(
                _LOG,
                events.USAGE_REFUSED,
                window=report.window,
                status=status,
            )
            self.finish(report, f"refused with status {status}")
            return
        retry = self.retries.get(report.window)
        pause_ms = retry.pause_ms if retry is not None else FIRST_RETRY_MS
        self.retries[report.window] = _Retry(
            at=usage_time.read_clocks().boot_ms + pause_ms,
            pause_ms=min(2.0 * pause_ms, LAST_RETRY_MS),
        )

    async def call(
        self,
        request: http.Request,
        check_lease: Callable[[asyncio.Transport], bool],
        seconds: float,
    ) -> http.Result:
        """Send a request on a new connection and return its result."""
        future: asyncio.Future[http.Result] = (
            asyncio.get_running_loop().create_future()
        )

        def finish(result: http.Result) -> None:
            if not future.done():
                future.set_result(result)

        handle = self.client.send(
            request,
            finish,
            timeout_seconds=seconds,
            max_idle_seconds=-1.0,
            before_send=check_lease,
        )
        try:
            return await future
        except asyncio.CancelledError:
            handle.cancel()
            raise


def _bound_socket(transport: asyncio.Transport, limit_ms: float) -> None:
    """Let the system send nothing after a time, also while suspended."""
    endpoint = transport.get_extra_info("socket")
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _DISCARD)
    endpoint.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        max(int(limit_ms), 1),
    )
