"""Client of the platform's store."""

import asyncio
import base64
from collections.abc import Iterable
import dataclasses
from urllib import parse

import msgspec

from apricotpost import errors
from apricotpost import http

__all__ = ["Change", "Page", "Row", "Store"]

# An answer takes 4 ms and a slow store takes 50 times as long, on top of the
# wait for a rate limit of a second.
CALL_SECONDS = 2.0
# A watch whose answer is this late sits on a silent connection.
WATCH_MARGIN_SECONDS = 0.8


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Row:
    """A row, or where one was removed.

    Parameters
    ----------
    table, key : str
        Where it stands.
    value : bytes
        Empty if removed.
    revision : int
        Of the last change; grows over all tables.
    removed : bool
        Whether the row is gone.
    """

    table: str
    key: str
    value: bytes
    revision: int
    removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Rows, and the store's newest revision when they were read."""

    rows: tuple[Row, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Conditional write.

    Parameters
    ----------
    expected : tuple of (table, key, revision)
        Revisions that the rows must have; 0 means that there is no row.
    put : tuple of (table, key, value)
        Rows to write.
    remove : tuple of (table, key)
        Rows to remove.
    """

    expected: tuple[tuple[str, str, int], ...] = ()
    put: tuple[tuple[str, str, bytes], ...] = ()
    remove: tuple[tuple[str, str], ...] = ()


class _Row(msgspec.Struct, frozen=True):
    table: str
    key: str
    ver: int = 0
    value: str = ""
    tombstone: bool = False
    part: str = ""


class _Rows(msgspec.Struct, frozen=True):
    ver: int
    rows: tuple[_Row, ...] = ()
    has_more: bool = False


class _Written(msgspec.Struct, frozen=True):
    ver: int = 0


_ROWS = msgspec.json.Decoder(_Rows)
_WRITTEN = msgspec.json.Decoder(_Written)


class Store:
    """Calls of the store on one client.

    Parameters
    ----------
    client : http.Client
        Of the store's address.
    host : str
        For the Host header.
    """

    def __init__(self, *, client: http.Client, host: str) -> None:
        self.client = client
        self.host = host.encode()
        self.calls = 0

    async def read(self, table: str) -> Page:
        """Read all rows of a table.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store does not answer, refuses or sends garbage.
        """
        rows: list[Row] = []
        start = ""
        while True:
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            found = await self._get("/v1/rows-get", query)
            rows.extend(_decode_rows(found.rows))
            if not found.has_more or not rows:
                return Page(rows=tuple(rows), revision=found.ver)
            # The smallest key after the last one.
            start = rows[-1].key + "\x00"

    async def watch(self, table: str, after: int, seconds: float) -> Page:
        """Wait for changes of a table after a revision.

        Raises
        ------
        apricotpost.errors.HistoryLost
            The changes after that revision are no longer kept.
        apricotpost.errors.PlatformError
            The store does not answer, refuses or sends garbage.
        """
        query = {
            "table": table,
            "after": str(after),
            "wait_ms": str(int(seconds * 1000)),
        }
        found = await self._get(
            "/v1/rows-feed", query, timeout=seconds + WATCH_MARGIN_SECONDS
        )
        rows = tuple(_decode_rows(found.rows))
        return Page(rows=rows, revision=found.ver)

    async def write(self, change: Change) -> int:
        """Write under conditions and return the revision.

        Raises
        ------
        apricotpost.errors.TransactionRejected
            A condition does not hold.
        apricotpost.errors.PlatformOutcomeUnknown
            No answer; the write may have been done or be done later.
        apricotpost.errors.PlatformError
            The store refused and did nothing.
        """
        body = msgspec.json.encode(
            {
                "expected_revision": [
                    {"table": t, "part": "", "key": k, "ver": r}
                    for t, k, r in change.expected
                ],
                "put": [
                    {
                        "table": t,
                        "part": "",
                        "key": k,
                        "value": base64.b64encode(v).decode(),
                    }
                    for t, k, v in change.put
                ],
                "remove": [
                    {"table": t, "part": "", "key": k}
                    for t, k in change.remove
                ],
            }
        )
        request = self._request(b"POST", "/v1/rows-tx", body)
        response = await self._send(request, CALL_SECONDS)
        if response.status == 412:
            raise errors.TransactionRejected("a row was changed by another")
        _check_status(response)
        try:
            return _WRITTEN.decode(response.body).ver
        except msgspec.DecodeError as error:
            raise errors.PlatformOutcomeUnknown(
                f"answer to a write cannot be decoded: {error}"
            ) from error

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout: float = CALL_SECONDS,
    ) -> _Rows:
        target = f"{path}?{parse.urlencode(query)}"
        response = await self._send(self._request(b"GET", target), timeout)
        _check_status(response)
        try:
            return _ROWS.decode(response.body)
        except msgspec.DecodeError as error:
            raise errors.PlatformDataDamaged(
                f"answer of the store cannot be decoded: {error}"
            ) from error

    def _request(
        self, method: bytes, target: str, body: bytes = b""
    ) -> http.Request:
        headers: http.Headers = ((b"Host", self.host),)
        if body:
            headers += ((b"Content-Type", b"application/json"),)
        return http.Request(
            method=method, target=target.encode(), headers=headers, body=body
        )

    async def _send(
        self, request: http.Request, timeout: float
    ) -> http.Response:
        self.calls += 1
        loop = asyncio.get_running_loop()
        ended: asyncio.Future[http.Result] = loop.create_future()

        def finish(result: http.Result) -> None:
            if not ended.done():
                ended.set_result(result)

        handle = self.client.send(request, finish, timeout=timeout)
        try:
            result = await ended
        except asyncio.CancelledError:
            handle.cancel()
            raise
        if result.response is not None:
            return result.response
        if result.failure is http.Failure.NOT_CONNECTED:
            raise errors.PlatformUnavailable("no connection to the store")
        raise errors.PlatformOutcomeUnknown(
            f"no answer of the store: {result.failure}"
        )


def _check_status(response: http.Response) -> None:
    status = response.status
    if status == 200:
        return
    if status == 410:
        raise errors.HistoryLost("the store no longer keeps these changes")
    if status == 429:
        raise errors.PlatformThrottled("the store is over its rate")
    raise errors.PlatformUnavailable(f"the store answered {status}")


def _decode_rows(rows: Iterable[_Row]) -> Iterable[Row]:
    for row in rows:
        if row.part:
            continue
        yield Row(
            table=row.table,
            key=row.key,
            value=base64.b64decode(row.value),
            revision=row.ver,
            removed=row.tombstone,
        )
