"""Stand-in of the platform's store: rows, watches, transactions, objects.

It speaks the published API over HTTP. Its faults are calls without a response,
error statuses, delays, lost responses to writes, a dropped history, and the
return to an older copy.
"""

import asyncio
import base64
import dataclasses
from urllib import parse

import msgspec

from apricotpost import http

__all__ = ["Copy", "Faults", "RowStore"]

MAX_WATCH_SECONDS = 30.0
MAX_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Faults:
    """Injected faults of the store.

    Parameters
    ----------
    status : int
        HTTP status of the response to every call; 0 for normal service.
    silent : bool
        Whether calls get no response.
    delay_seconds : float
        Delay of every response.
    lose_answers : bool
        Whether writes are executed and the connection is then closed without
        a response.
    era : bytes, optional
        Era that answers name in place of the right one; empty for none.
    """

    status: int = 0
    silent: bool = False
    delay_seconds: float = 0.0
    lose_answers: bool = False
    era: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Copy:
    """Contents of the store at some time."""

    rows: dict[tuple[str, str], tuple[bytes, int]]
    changes: tuple[tuple[str, str, bytes, int, bool], ...]
    revision: int


class RowStore:
    """Contents of the store and its HTTP listener."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[str, str, bytes, int, bool]] = []
        self.history_start = 0
        self.revision = 0
        # Sent in all responses; rises when an older copy is restored.
        self.era = 1
        self.objects: dict[str, bytes] = {}
        self.faults = Faults()
        self.calls: list[str] = []
        self.change_event = asyncio.Event()
        self.listener = http.Listener(
            handler=self.handle, limits=http.Limits()
        )
        self.address = ""
        self.tasks: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        await self.listener.listen(host, 0)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop listening and cancel all calls."""
        for task in self.tasks:
            task.cancel()
        self.listener.close()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row, as an operator does."""
        self.revision += 1
        self.rows[(table, key)] = (value, self.revision)
        self.record_change(table, key, value, removed=False)
        return self.revision

    def remove(self, table: str, key: str) -> int:
        """Remove a row, as an operator does."""
        self.revision += 1
        self.rows.pop((table, key), None)
        self.record_change(table, key, b"", removed=True)
        return self.revision

    def drop_history(self) -> None:
        """Delete the change history; watches of older revisions get 410."""
        self.changes.clear()
        self.history_start = self.revision
        self.wake_watches()

    def copy(self) -> Copy:
        """Return a copy of the contents, to be restored later."""
        return Copy(
            rows=dict(self.rows),
            changes=tuple(self.changes),
            revision=self.revision,
        )

    def restore(self, copy: Copy) -> None:
        """Return to an older copy.

        Later writes are lost, and their revisions are given out again.
        """
        self.rows = dict(copy.rows)
        self.changes = list(copy.changes)
        self.revision = copy.revision
        self.era += 1
        self.wake_watches()

    def record_change(
        self, table: str, key: str, value: bytes, *, removed: bool
    ) -> None:
        """Add a change to the history and wake all watches."""
        self.changes.append((table, key, value, self.revision, removed))
        self.wake_watches()

    def wake_watches(self) -> None:
        """Make all waiting watches check for changes."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def handle(self, exchange: http.Exchange) -> None:
        """Handle a call in a task of its own."""
        task = asyncio.get_running_loop().create_task(
            self.handle_call(exchange)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def handle_call(self, exchange: http.Exchange) -> None:
        """Handle a call under the injected faults."""
        request = exchange.request
        path, _, query_text = request.target.decode().partition("?")
        self.calls.append(path)
        faults = self.faults
        if faults.silent:
            return
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if faults.status:
            exchange.respond(self.sign(http.Response(status=faults.status)))
            return
        query = dict(parse.parse_qsl(query_text))
        response = await self.serve(path, query, request.body)
        if path == "/v1/rows-tx" and faults.lose_answers:
            exchange.connection.close()
            return
        exchange.respond(self.sign(response))

    def sign(self, response: http.Response) -> http.Response:
        """Return a response with the header that names the store's era."""
        era = self.faults.era
        if era is None:
            era = b"%d" % self.era
        if not era:
            return response
        return dataclasses.replace(
            response, headers=(*response.headers, (b"Store-Era", era))
        )

    async def serve(
        self, path: str, query: dict[str, str], body: bytes
    ) -> http.Response:
        """Execute a call and return its response."""
        if path == "/v1/rows-get":
            return self.read_rows(query)
        if path == "/v1/rows-feed":
            return await self.watch_rows(query)
        if path == "/v1/rows-tx":
            return self.transact(msgspec.json.decode(body))
        name = path.rpartition("/")[2]
        if path.startswith("/v1/blob-put/"):
            self.objects[name] = body
            return http.Response(status=200)
        if path.startswith("/v1/blob-get/") and name in self.objects:
            return http.Response(status=200, body=self.objects[name])
        return http.Response(status=404)

    def read_rows(self, query: dict[str, str]) -> http.Response:
        """Return a page of a table's rows in the order of their keys."""
        table = query["table"]
        matching_rows = sorted(
            (key, value, revision)
            for (name, key), (value, revision) in self.rows.items()
            if name == table and key >= query.get("from", "")
        )
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [
            _encode_row(table, row_key, row_value, row_revision)
            for row_key, row_value, row_revision in matching_rows[:limit]
        ]
        return self.make_response(
            rows=rows, has_more=len(matching_rows) > limit
        )

    async def watch_rows(self, query: dict[str, str]) -> http.Response:
        """Wait for changes of a table after a revision and return them."""
        table = query["table"]
        after_revision = int(query["after"])
        seconds = min(int(query["wait_ms"]) / 1000.0, MAX_WATCH_SECONDS)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + seconds
        while True:
            if not self.history_start <= after_revision <= self.revision:
                return http.Response(status=410)
            rows = [
                _encode_row(name, key, value, revision, removed=removed)
                for name, key, value, revision, removed in self.changes
                if name == table and revision > after_revision
            ]
            remaining_seconds = deadline - loop.time()
            if rows or remaining_seconds <= 0:
                return self.make_response(rows=rows)
            try:
                async with asyncio.timeout(remaining_seconds):
                    await self.change_event.wait()
            except TimeoutError:
                continue

    def transact(self, call: dict[str, list[dict[str, object]]]) -> object:
        """Apply a transaction if all expected revisions match."""
        for entry in call["expected_revision"]:
            row_key = (entry["table"], entry["key"])
            current_revision = self.rows.get(row_key, (b"", 0))[1]
            if current_revision != entry["ver"]:
                return http.Response(status=412, body=b'{"rows":[]}')
        for entry in call["put"]:
            value = base64.b64decode(entry["value"])
            self.put(entry["table"], entry["key"], value)
        for entry in call["remove"]:
            self.remove(entry["table"], entry["key"])
        return self.make_response()

    def make_response(self, **fields: object) -> http.Response:
        """Return a response with the current revision."""
        body = msgspec.json.encode(
            {"ver": self.revision, "now_ms": 0, **fields}
        )
        return http.Response(status=200, body=body)


def _encode_row(
    table: str, key: str, value: bytes, revision: int, *, removed=False
) -> dict[str, object]:
    row = {
        "table": table,
        "part": "",
        "key": key,
        "value": base64.b64encode(value).decode(),
        "ver": revision,
    }
    if removed:
        row["tombstone"] = True
    return row
