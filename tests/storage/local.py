"""Stores on the platform stand-in in this process, with injected faults."""

import dataclasses
import io
import typing

import urllib3

from apricotpost import storage
from apricotpost.storage import http
from apricotpost.storage import objects
from apricotpost.storage import table
from standins import platform as standin

__all__ = ["LocalPool", "ProcessPaused", "make_store"]


class ProcessPaused(Exception):
    """Raised in place of a process that is stopped after it sent a request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Response:
    status: int
    body: io.BytesIO
    headers: dict[str, str]

    def read1(self, size: int) -> bytes:
        """Return the next bytes of the body."""
        return self.body.read(size)

    def release_conn(self) -> None:
        """Do nothing, as there is no connection."""


@dataclasses.dataclass(kw_only=True)
class LocalPool:
    """Replacement of ``urllib3.PoolManager`` that injects faults.

    Parameters
    ----------
    state : standins.platform.State
        State of the stand-in, shared by all stores of a test.
    fault : str
        Fault of all requests ("down") or of writes: "down" refuses the
        connection, "lost" executes the write and loses the response,
        "unsent" loses the request, "late" and "paused" keep it for
        `carry_out_late`, where "paused" raises `ProcessPaused`.
    requests : int
        Number of requests so far.
    late : list of tuple of (str, bytes)
        Operation and body of each delayed write.
    """

    state: standin.State
    fault: str = ""
    requests: int = 0
    late: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)

    def request(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None,
        headers: dict[str, str],
        **_: typing.Any,
    ) -> _Response:
        """Execute one request, or fail as ``fault`` says."""
        self.requests += 1
        if self.fault == "down":
            raise urllib3.exceptions.ConnectTimeoutError("down")
        operation = headers.get("X-Amz-Target", "")
        is_write = operation.endswith("TransactWriteItems")
        if is_write and self.fault in ("late", "paused"):
            self.late.append((operation, body or b""))
        if is_write and self.fault == "paused":
            raise ProcessPaused
        if is_write and self.fault in ("late", "unsent"):
            raise urllib3.exceptions.ReadTimeoutError(None, url, "no response")
        status, response_body = _execute(
            self.state, method, url, operation, body
        )
        if is_write and self.fault == "lost":
            raise urllib3.exceptions.ProtocolError("connection reset")
        return _Response(
            status=int(status[:3]),
            body=io.BytesIO(response_body),
            headers={"Content-Length": str(len(response_body))},
        )

    def carry_out_late(self) -> None:
        """Execute the delayed writes."""
        for operation, body in self.late:
            _execute(self.state, "POST", "/", operation, body)
        self.late.clear()

    def clear(self) -> None:
        """Do nothing, as there is no connection."""


def make_store(pool: LocalPool) -> storage.Store:
    """Return a store that sends its requests to a pool."""
    channel = http.Channel(
        pool=typing.cast(urllib3.PoolManager, pool), timeout_seconds=1.0
    )
    return storage.Store(
        channel=channel,
        table=table.Table(channel=channel, url="/", name="apricotpost"),
        objects=objects.ObjectStore(channel=channel, url="", bucket="b"),
    )


def _execute(
    state: standin.State,
    method: str,
    url: str,
    operation: str,
    body: bytes | None,
) -> tuple[str, bytes]:
    return standin.handle(
        state, method=method, path=url, target=operation, body=body or b""
    )
