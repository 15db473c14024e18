"""Client for the platform's store."""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import logging
from urllib import parse

import msgspec

from apricotpost import errors
from apricotpost import events
from apricotpost import http
from apricotpost.platform import store_messages
from apricotpost import revisions

__all__ = ["Page", "Store", "Transaction"]

_LOG = logging.getLogger(__name__)

# The store usually answers in 4 ms. A slow store takes 50 times as long, and
# its rate limit may delay the answer by another second.
CALL_SECONDS = 2.0
# A watch whose answer is overdue by more than this time is taken to be on a
# dead connection.
WATCH_MARGIN_SECONDS = 0.8
# Number in every answer that rises by one when the store returns from an older
# copy of itself.
ERA_HEADER = b"store-era"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Page:
    """Rows, and the revision of the store when they were read."""

    rows: tuple[store_messages.Row, ...]
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Transaction:
    """Transaction of conditional writes.

    Parameters
    ----------
    expected : tuple of (table, key, revision)
        Revisions that the rows must have; 0 if the row must not exist.
    put : tuple of (table, key, value)
        Rows to write.
    remove : tuple of (table, key)
        Rows to remove.
    """

    expected: tuple[tuple[str, str, int], ...] = ()
    put: tuple[tuple[str, str, bytes], ...] = ()
    remove: tuple[tuple[str, str], ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class _Answer:
    """An answer of the store, and the era in which it was given."""

    response: http.Response
    era: int


class Store:
    """Client for the platform's store.

    Parameters
    ----------
    client : http.Client
        HTTP client for the store's address.
    host : str
        Value of the Host header.
    """

    def __init__(self, *, client: http.Client, host: str) -> None:
        self.client = client
        self.host = host.encode()
        self.call_count = 0
        # Newest known era; 0 if no answer has named one.
        self.era = 0
        # Called when the store has returned from an older copy.
        self.on_new_era: Callable[[], None] = lambda: None

    async def read(self, table: str) -> Page:
        """Read all rows of a table.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store does not answer, refuses the request or sends a
            malformed answer.
        """
        rows: list[store_messages.Row] = []
        start = ""
        first_era: int | None = None
        while True:
            query = {"table": table, "part": ""}
            if start:
                query["from"] = start
            answer, era = await self._get("/v1/rows-get", query)
            if first_era not in (None, era):
                raise errors.PlatformUnavailable(
                    f"the store returned from an older copy while table "
                    f"{table} was read"
                )
            first_era = era
            rows.extend(store_messages.decode_rows(answer.rows, era))
            if not answer.has_more:
                revision = revisions.compose(era=era, version=answer.ver)
                return Page(rows=tuple(rows), revision=revision)
            # The smallest key that sorts after the last one.
            following = rows[-1].key + "\x00" if rows else ""
            if following == start:
                raise errors.PlatformDataDamaged(
                    f"no row of a page of table {table} can be decoded"
                )
            start = following

    async def watch(self, table: str, after: int, seconds: float) -> Page:
        """Wait for changes to a table after a revision.

        Parameters
        ----------
        table : str
            Name of the table.
        after : int
            Store revision after which changes are returned.
        seconds : float
            Longest time that the store waits for a change.

        Raises
        ------
        apricotpost.errors.HistoryExpired
            The store no longer keeps the changes after that revision, or has
            returned from an older copy since then.
        apricotpost.errors.PlatformError
            The store does not answer, refuses the request or sends a
            malformed answer.
        """
        _check_era(after, self.era)
        query = {
            "table": table,
            "after": str(revisions.version_of(after)),
            "wait_ms": str(int(seconds * 1000)),
        }
        answer, era = await self._get(
            "/v1/rows-feed", query, timeout=seconds + WATCH_MARGIN_SECONDS
        )
        # The versions between may have been given out twice.
        _check_era(after, era)
        return Page(
            rows=tuple(store_messages.decode_rows(answer.rows, era)),
            revision=revisions.compose(era=era, version=answer.ver),
        )

    async def write(self, transaction: Transaction) -> int:
        """Write rows if the conditions hold, and return the new revision.

        A condition on a revision of a former era does not hold: the store may
        have given its version to another change.

        Raises
        ------
        apricotpost.errors.TransactionRejected
            A condition does not hold.
        apricotpost.errors.PlatformOutcomeUnknown
            There is no usable answer; the write may have been done or may
            be done later.
        apricotpost.errors.PlatformError
            The store refused the write or could not be reached, and
            changed nothing.
        """
        expected_eras = {
            revisions.era_of(revision)
            for _, _, revision in transaction.expected
            if revision > 0
        }
        if expected_eras - {self.era}:
            raise errors.TransactionRejected(
                "transaction rejected: the store has returned from an older "
                "copy since its rows were read"
            )
        body = msgspec.json.encode(
            {
                "expected_revision": [
                    {
                        "table": t,
                        "part": "",
                        "key": k,
                        "ver": revisions.version_of(r),
                    }
                    for t, k, r in transaction.expected
                ],
                "put": [
                    {
                        "table": t,
                        "part": "",
                        "key": k,
                        "value": base64.b64encode(v).decode(),
                    }
                    for t, k, v in transaction.put
                ],
                "remove": [
                    {"table": t, "part": "", "key": k}
                    for t, k in transaction.remove
                ],
            }
        )
        request = self._request(b"POST", "/v1/rows-tx", body)
        answer = await self._send(request, CALL_SECONDS)
        response = answer.response
        if response.status == 412:
            raise errors.TransactionRejected(
                "transaction rejected: a row has an unexpected revision"
            )
        _check_status(response)
        if expected_eras - {answer.era}:
            raise errors.PlatformOutcomeUnknown(
                "the store returned from an older copy during a write"
            )
        try:
            version: int = store_messages.decode_write(response.body).ver
        except errors.MalformedMessage as error:
            raise errors.PlatformOutcomeUnknown(error.message) from error
        return revisions.compose(era=answer.era, version=version)

    async def _get(
        self,
        path: str,
        query: dict[str, str],
        timeout: float = CALL_SECONDS,
    ) -> tuple[store_messages.RowsResponse, int]:
        target = f"{path}?{parse.urlencode(query)}"
        answer = await self._send(self._request(b"GET", target), timeout)
        _check_status(answer.response)
        try:
            rows: store_messages.RowsResponse = store_messages.decode_response(
                answer.response.body
            )
        except errors.MalformedMessage as error:
            raise errors.PlatformDataDamaged(error.message) from error
        return rows, answer.era

    def _request(
        self, method: bytes, target: str, body: bytes = b""
    ) -> http.Request:
        headers: http.Headers = ((b"Host", self.host),)
        if body:
            headers += ((b"Content-Type", b"application/json"),)
        return http.Request(
            method=method, target=target.encode(), headers=headers, body=body
        )

    async def _send(self, request: http.Request, timeout: float) -> _Answer:
        self.call_count += 1
        loop = asyncio.get_running_loop()
        future: asyncio.Future[http.Result] = loop.create_future()

        def finish(result: http.Result) -> None:
            if not future.done():
                future.set_result(result)

        handle = self.client.send(request, finish, timeout_seconds=timeout)
        try:
            result = await future
        except asyncio.CancelledError:
            handle.cancel()
            raise
        if result.response is not None:
            era = self._record_era(result.response)
            return _Answer(response=result.response, era=era)
        if result.failure is http.Failure.NOT_CONNECTED:
            raise errors.PlatformUnavailable("cannot connect to the store")
        raise errors.PlatformOutcomeUnknown(
            f"no answer from the store: {result.failure}"
        )

    def _record_era(self, response: http.Response) -> int:
        """Return the era of an answer, and record it if it is a new one.

        Without a valid era, an answer belongs to the newest known one.
        """
        value = http.find_header(response.headers, ERA_HEADER)
        if value is None:
            return self.era
        try:
            era: int = store_messages.decode_era(value)
        except errors.MalformedMessage as error:
            events.emit(_LOG, events.STORE_ERA_INVALID, error=error.message)
            return self.era
        if era < self.era:
            events.emit(
                _LOG,
                events.STORE_ERA_INVALID,
                error=f"era {era} after era {self.era}",
            )
        elif era > self.era:
            previous, self.era = self.era, era
            if previous:
                events.emit(
                    _LOG, events.STORE_ERA_CHANGED, previous=previous, era=era
                )
                self.on_new_era()
        return era


def _check_status(response: http.Response) -> None:
    status = response.status
    if status == 200:
        return
    if status == 410:
        raise errors.HistoryExpired(
            "the store no longer keeps the requested changes"
        )
    if status == 429:
        raise errors.PlatformThrottled(
            "request exceeds the store's rate limit (status 429)"
        )
    raise errors.PlatformUnavailable(
        f"the store answered with status {status}"
    )


def _check_era(after: int, era: int) -> None:
    """Raise an error if changes after a revision span two eras."""
    if after and revisions.era_of(after) != era:
        raise errors.HistoryExpired(
            "the store has returned from an older copy since the revision"
        )
