"""HTTP client of event-loop nodes for tests."""

import asyncio

from apricotpost import http

__all__ = ["Caller"]


class Caller:
    """HTTP client of the nodes."""

    def __init__(self) -> None:
        self.sent_count = 0
        self.clients: dict[str, http.Client] = {}

    async def call(
        self,
        address: str,
        path: str = "/records/1",
        *,
        method: bytes = b"GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: http.Headers = (),
    ) -> http.Result:
        """Send a request with a new identifier and return its result."""
        self.sent_count += 1
        return await self.send(
            address,
            http.Request(
                method=method,
                target=path.encode(),
                headers=(
                    (b"Host", b"mesh.example"),
                    (b"X-Request-Id", b"q%d" % self.sent_count),
                    (b"X-Deadline-Ms", b"%d" % deadline_ms),
                    *headers,
                ),
                body=body,
            ),
            timeout=deadline_ms / 1000 + 1.0,
        )

    async def send(
        self, address: str, request: http.Request, *, timeout: float = 3.0
    ) -> http.Result:
        """Send a request as given and return its result."""
        client = self.clients.get(address)
        if client is None:
            host, _, port = address.rpartition(":")
            client = http.Client(host=host, port=int(port))
            self.clients[address] = client
        completed = asyncio.get_running_loop().create_future()
        handle = client.send(
            request, completed.set_result, timeout_seconds=timeout
        )
        try:
            return await completed
        except asyncio.CancelledError:
            handle.cancel()
            raise

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()
