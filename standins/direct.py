"""The platform stand-in without sockets, for tests that inject faults."""

from collections.abc import Callable
import dataclasses
import io
import typing
import urllib.parse

import urllib3

from apricotpost import storage
from apricotpost.storage import http
from apricotpost.storage import objects
from apricotpost.storage import table
from standins import platform

__all__ = ["PendingRequest", "open_store"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class PendingRequest:
    """Request that the stand-in has not handled yet.

    Parameters
    ----------
    operation : str
        Operation of the table service, or method and path of a request to
        the object store.
    execute : callable
        Makes the stand-in handle the request; returns the status and the
        body of the response.
    """

    operation: str
    execute: Callable[[], tuple[int, bytes]]


RequestHook = Callable[[PendingRequest], tuple[int, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pool:
    """Replacement of ``urllib3.PoolManager`` that opens no connection."""

    state: platform.State
    hook: RequestHook

    def request(
        self,
        method: str,
        url: str,
        *,
        body: bytes | None,
        headers: dict[str, str],
        **_: typing.Any,
    ) -> urllib3.HTTPResponse:
        path = urllib.parse.urlsplit(url).path
        target = headers.get("X-Amz-Target", "")

        def execute() -> tuple[int, bytes]:
            status, response_body = platform.handle(
                self.state,
                method=method,
                path=path,
                target=target,
                body=body or b"",
            )
            return int(status.split()[0]), response_body

        operation = target.rpartition(".")[2] or f"{method} {path}"
        status, response_body = self.hook(
            PendingRequest(operation=operation, execute=execute)
        )
        return urllib3.HTTPResponse(
            body=io.BytesIO(response_body),
            headers={"Content-Length": str(len(response_body))},
            status=status,
            preload_content=False,
        )

    def clear(self) -> None:
        pass


def open_store(
    state: platform.State,
    hook: RequestHook = lambda exchange: exchange.execute(),
) -> storage.Store:
    """Return a store on a platform stand-in in the same process.

    Parameters
    ----------
    state : State
        State of the stand-in.
    hook : callable
        Called with each request; returns the status and body of the
        response. It may raise errors of ``urllib3`` before or after the
        request is carried out.
    """
    channel = http.Channel(
        pool=typing.cast(urllib3.PoolManager, _Pool(state=state, hook=hook)),
        timeout_seconds=2.0,
    )
    return storage.Store(
        channel=channel,
        table=table.Table(
            channel=channel, url="http://platform", name="apricotpost"
        ),
        objects=objects.ObjectStore(
            channel=channel, url="http://platform", bucket="apricotpost"
        ),
    )
