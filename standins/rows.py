"""Stand-in of the platform's store: rows, watches, transactions, objects.

It speaks the published calls over HTTP and can be made to fail: silent,
busy, slow, with answers lost or late, and with its history dropped.
"""

import asyncio
import base64
import dataclasses
from urllib import parse

import msgspec

from apricotpost import http

__all__ = ["Conditions", "RowStore"]

MAX_WATCH_SECONDS = 30.0
MAX_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Conditions:
    """How the store behaves.

    Parameters
    ----------
    status : int
        Answer to every call; 0 for normal service.
    silent : bool
        Whether calls get no answer.
    delay_seconds : float
        Added to every answer.
    lose_answers : bool
        Whether writes are done and not answered.
    """

    status: int = 0
    silent: bool = False
    delay_seconds: float = 0.0
    lose_answers: bool = False


class RowStore:
    """State of the store and its listening address."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.changes: list[tuple[str, str, bytes, int, bool]] = []
        self.history_from = 0
        self.revision = 0
        self.objects: dict[str, bytes] = {}
        self.conditions = Conditions()
        self.calls: list[str] = []
        self.changed = asyncio.Event()
        self.listener = http.Listener(
            handler=self.handle, limits=http.Limits()
        )
        self.address = ""
        self.waiting: set[asyncio.Task[None]] = set()

    async def listen(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        await self.listener.listen(host, 0)
        port = self.listener.server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self) -> None:
        """Stop to listen."""
        for task in self.waiting:
            task.cancel()
        self.listener.close()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as an operator does."""
        self.revision += 1
        self.rows[(table, key)] = (value, self.revision)
        self.note(table, key, value, removed=False)
        return self.revision

    def remove(self, table: str, key: str) -> int:
        """Remove a row as an operator does."""
        self.revision += 1
        self.rows.pop((table, key), None)
        self.note(table, key, b"", removed=True)
        return self.revision

    def drop_history(self) -> None:
        """Forget all changes; watches get 410 from now."""
        self.changes.clear()
        self.history_from = self.revision
        self.wake()

    def note(
        self, table: str, key: str, value: bytes, *, removed: bool
    ) -> None:
        """Keep a change and wake the watches."""
        self.changes.append((table, key, value, self.revision, removed))
        self.wake()

    def wake(self) -> None:
        """Let the watches look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    def handle(self, exchange: http.Exchange) -> None:
        """Answer a call in a task of its own."""
        task = asyncio.get_running_loop().create_task(self.answer(exchange))
        self.waiting.add(task)
        task.add_done_callback(self.waiting.discard)

    async def answer(self, exchange: http.Exchange) -> None:
        """Answer a call under the conditions."""
        request = exchange.request
        path, _, text = request.target.decode().partition("?")
        self.calls.append(path)
        conditions = self.conditions
        if conditions.silent:
            return
        if conditions.delay_seconds:
            await asyncio.sleep(conditions.delay_seconds)
        if conditions.status:
            exchange.respond(http.Response(status=conditions.status))
            return
        query = dict(parse.parse_qsl(text))
        response = await self.serve(path, query, request.body)
        if path == "/v1/rows-tx" and conditions.lose_answers:
            exchange.connection.close()
            return
        exchange.respond(response)

    async def serve(
        self, path: str, query: dict[str, str], body: bytes
    ) -> http.Response:
        """Carry a call out."""
        if path == "/v1/rows-get":
            return self.get(query)
        if path == "/v1/rows-feed":
            return await self.feed(query)
        if path == "/v1/rows-tx":
            return self.transact(msgspec.json.decode(body))
        name = path.rpartition("/")[2]
        if path.startswith("/v1/blob-put/"):
            self.objects[name] = body
            return http.Response(status=200)
        if path.startswith("/v1/blob-get/") and name in self.objects:
            return http.Response(status=200, body=self.objects[name])
        return http.Response(status=404)

    def get(self, query: dict[str, str]) -> http.Response:
        """Read rows of a table in the order of their keys."""
        table = query["table"]
        found = sorted(
            (key, value, revision)
            for (name, key), (value, revision) in self.rows.items()
            if name == table and key >= query.get("from", "")
        )
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        rows = [_row(table, k, v, r) for k, v, r in found[:limit]]
        return self.make_answer(rows=rows, has_more=len(found) > limit)

    async def feed(self, query: dict[str, str]) -> http.Response:
        """Wait for changes of a table after a revision."""
        table = query["table"]
        after = int(query["after"])
        seconds = min(int(query["wait_ms"]) / 1000.0, MAX_WATCH_SECONDS)
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            if after < self.history_from:
                return http.Response(status=410)
            rows = [
                _row(t, k, v, r, removed=removed)
                for t, k, v, r, removed in self.changes
                if t == table and r > after
            ]
            left = end - loop.time()
            if rows or left <= 0:
                return self.make_answer(rows=rows)
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def transact(self, call: dict[str, list[dict[str, object]]]) -> object:
        """Apply all entries of a transaction, or none."""
        for entry in call["expected_revision"]:
            place = (entry["table"], entry["key"])
            found = self.rows.get(place, (b"", 0))[1]
            if found != entry["ver"]:
                return http.Response(status=412, body=b'{"rows":[]}')
        for entry in call["put"]:
            value = base64.b64decode(entry["value"])
            self.put(entry["table"], entry["key"], value)
        for entry in call["remove"]:
            self.remove(entry["table"], entry["key"])
        return self.make_answer()

    def make_answer(self, **members: object) -> http.Response:
        """Return an answer with the newest revision."""
        body = msgspec.json.encode(
            {"ver": self.revision, "now_ms": 0, **members}
        )
        return http.Response(status=200, body=body)


def _row(
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
