"""Stores on the stand-in's tables in this process, with faults."""

import dataclasses
import io
import typing

import urllib3

from apricotpost import storage
from apricotpost.storage import http
from apricotpost.storage import objects
from apricotpost.storage import table
from standins import platform as standin

__all__ = ["LocalPool", "Paused", "make_store"]


class Paused(Exception):
    """The process stopped after it had sent a request."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Response:
    status: int
    body: io.BytesIO
    headers: dict[str, str]

    def read1(self, size: int) -> bytes:
        """Read a part of the body."""
        return self.body.read(size)

    def release_conn(self) -> None:
        """Do nothing; there is no connection."""


@dataclasses.dataclass(kw_only=True)
class LocalPool:
    """Takes the place of the connection pool.

    Parameters
    ----------
    state : standins.platform.State
        Shared by all stores of a test.
    fault : str
        Applies to writes, and "down" to everything: "down" refuses,
        "lost" carries the write out and loses the answer, "unsent" loses
        the request, "late" keeps it for `carry_out_late`, and so does
        "paused", which raises `Paused` for a process that is stopped.
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
        """Carry out one request or fail in the way that is set."""
        self.requests += 1
        if self.fault == "down":
            raise urllib3.exceptions.ConnectTimeoutError("down")
        operation = headers.get("X-Amz-Target", "")
        write = operation.endswith("TransactWriteItems")
        if write and self.fault in ("late", "paused"):
            self.late.append((operation, body or b""))
        if write and self.fault == "paused":
            raise Paused
        if write and self.fault in ("late", "unsent"):
            raise urllib3.exceptions.ReadTimeoutError(None, url, "no answer")
        status, answer = _carry_out(self.state, method, url, operation, body)
        if write and self.fault == "lost":
            raise urllib3.exceptions.ProtocolError("connection reset")
        return _Response(
            status=int(status[:3]),
            body=io.BytesIO(answer),
            headers={"Content-Length": str(len(answer))},
        )

    def carry_out_late(self) -> None:
        """Carry out the writes that were delayed."""
        for operation, body in self.late:
            _carry_out(self.state, "POST", "/", operation, body)
        self.late.clear()

    def clear(self) -> None:
        """Do nothing; there is no connection."""


def make_store(pool: LocalPool) -> storage.Store:
    """Make a store on a pool."""
    channel = http.Channel(
        pool=typing.cast(urllib3.PoolManager, pool), timeout_seconds=1.0
    )
    return storage.Store(
        channel=channel,
        table=table.Table(channel=channel, url="/", name="apricotpost"),
        objects=objects.ObjectStore(channel=channel, url="", bucket="b"),
    )


def _carry_out(
    state: standin.State,
    method: str,
    url: str,
    operation: str,
    body: bytes | None,
) -> tuple[str, bytes]:
    return standin.handle(
        state, method=method, path=url, target=operation, body=body or b""
    )
