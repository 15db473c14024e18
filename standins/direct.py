"""The platform stand-in without sockets, for tests that inject faults."""

from collections.abc import Callable
import dataclasses
import io
import typing
import urllib.parse

import urllib3

from apricotpost import storage as client
from apricotpost.storage import http
from apricotpost.storage import objects
from apricotpost.storage import table
from standins import platform

__all__ = ["Exchange", "open_store"]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Exchange:
    """One request on its way to the stand-in.

    Parameters
    ----------
    operation : str
        Operation of the table, or method and path of the object store.
    carry_out : callable
        Hands the request over and returns status and body of the answer.
    """

    operation: str
    carry_out: Callable[[], tuple[int, bytes]]


Hook = Callable[[Exchange], tuple[int, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Pool:
    """Takes the place of ``urllib3.PoolManager``."""

    state: platform.State
    hook: Hook

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

        def carry_out() -> tuple[int, bytes]:
            status, answer = platform.handle(
                self.state,
                method=method,
                path=path,
                target=target,
                body=body or b"",
            )
            return int(status.split()[0]), answer

        operation = target.rpartition(".")[2] or f"{method} {path}"
        status, answer = self.hook(
            Exchange(operation=operation, carry_out=carry_out)
        )
        return urllib3.HTTPResponse(
            body=io.BytesIO(answer),
            headers={"Content-Length": str(len(answer))},
            status=status,
            preload_content=False,
        )

    def clear(self) -> None:
        pass


def open_store(
    state: platform.State,
    hook: Hook = lambda exchange: exchange.carry_out(),
) -> client.Store:
    """Make a store over a stand-in of the same process.

    Parameters
    ----------
    state : State
        The stand-in's.
    hook : callable
        Sees each request; it may raise errors of ``urllib3`` before or after
        the request is carried out.
    """
    channel = http.Channel(
        pool=typing.cast(urllib3.PoolManager, _Pool(state=state, hook=hook)),
        timeout_seconds=2.0,
    )
    return client.Store(
        channel=channel,
        table=table.Table(
            channel=channel, url="http://platform", name="apricotpost"
        ),
        objects=objects.ObjectStore(
            channel=channel, url="http://platform", bucket="apricotpost"
        ),
    )
