"""Stand-in of the platform's store: rows, watches and transactions."""

import asyncio
import base64
import json
import time
from urllib import parse

from review.common_2 import wire

__all__ = ["Store"]


class Store:
    """Rows of one part, and the history of their changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str], tuple[bytes, int]] = {}
        self.history: list[dict[str, object]] = []
        self.ver = 0
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Listen for the calls of the nodes."""
        self.server = await asyncio.start_server(self.serve, host, port)

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, as the operator does."""
        self.apply([(table, key, value)], [])

    def remove(self, table: str, key: str) -> None:
        """Remove a row, as the operator does."""
        self.apply([], [(table, key)])

    def read(self, table: str, key: str) -> bytes:
        """Return the value of a row, empty if there is none."""
        return self.rows.get((table, key), (b"", 0))[0]

    def apply(
        self,
        put: list[tuple[str, str, bytes]],
        remove: list[tuple[str, str]],
    ) -> None:
        """Apply one transaction."""
        self.ver += 1
        for table, key, value in put:
            self.rows[(table, key)] = (value, self.ver)
            self.history.append(_encode_row(table, key, value, self.ver))
        for table, key in remove:
            if self.rows.pop((table, key), None) is not None:
                row = _encode_row(table, key, b"", self.ver)
                self.history.append({**row, "tombstone": True})
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer the calls on one connection."""
        try:
            while True:
                request = await wire.read_message(reader)
                status, answer = await self.handle(request)
                body = json.dumps(answer).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(wire.encode_response(status, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def handle(
        self, request: wire.Message
    ) -> tuple[int, dict[str, object]]:
        """Carry out one call."""
        path, _, text = request.first_line[1].partition("?")
        query = dict(parse.parse_qsl(text))
        if path == "/v1/rows-get":
            rows = [
                _encode_row(table, key, value, ver)
                for (table, key), (value, ver) in sorted(self.rows.items())
                if table == query["table"] and key >= query.get("from", "")
            ]
            return 200, self.describe(rows=rows, has_more=False)
        if path == "/v1/rows-feed":
            rows = await self.wait(query)
            return 200, self.describe(rows=rows)
        if path == "/v1/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def describe(self, **fields: object) -> dict[str, object]:
        """Return an answer with the newest version."""
        now_ms = int(time.monotonic() * 1000)
        return {"ver": self.ver, "now_ms": now_ms, **fields}

    async def wait(self, query: dict[str, str]) -> list[dict[str, object]]:
        """Return the changes of a table once there is one."""
        ends_at = time.monotonic() + int(query["wait_ms"]) / 1000.0
        while True:
            rows = [
                row
                for row in self.history
                if row["table"] == query["table"]
                and int(str(row["ver"])) > int(query["after"])
            ]
            remaining = ends_at - time.monotonic()
            if rows or remaining <= 0:
                return rows
            try:
                async with asyncio.timeout(remaining):
                    await self.changed.wait()
            except TimeoutError:
                continue

    def transact(
        self, call: dict[str, list[dict[str, object]]]
    ) -> tuple[int, dict[str, object]]:
        """Apply a transaction if its conditions hold."""
        for entry in call["expected_revision"]:
            key = (str(entry["table"]), str(entry["key"]))
            if self.rows.get(key, (b"", 0))[1] != entry["ver"]:
                value, ver = self.rows.get(key, (b"", 0))
                rows = [_encode_row(*key, value, ver)] if ver else []
                return 412, self.describe(rows=rows)
        self.apply(
            [
                (
                    str(entry["table"]),
                    str(entry["key"]),
                    base64.b64decode(str(entry["value"])),
                )
                for entry in call["put"]
            ],
            [
                (str(entry["table"]), str(entry["key"]))
                for entry in call["remove"]
            ],
        )
        return 200, self.describe()


def _encode_row(
    table: str, key: str, value: bytes, ver: int
) -> dict[str, object]:
    return {
        "table": table,
        "part": "",
        "key": key,
        "value": base64.b64encode(value).decode(),
        "ver": ver,
    }
