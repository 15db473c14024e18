"""Load generator and faulty backend server for tests of real processes."""

import contextlib
import dataclasses
import http.client
import itertools
import json
import socketserver
import threading
import time

from apricotpost import model
from standins import fleet as fleets

__all__ = [
    "CUT_HEAD",
    "Result",
    "announce",
    "count_executions",
    "make_snapshot",
    "run_load",
    "send",
]

# Response that ends early for the path "/cut-head".
CUT_HEAD = b"HTTP/1.1 200 OK\r\nX-Kind: a\r\nContent-Length: 14\r\n\r\n"
_REQUEST_NUMBERS = itertools.count()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Result:
    """Result of a request; status 0 means that the connection broke."""

    request: str
    status: int
    outcome: str = ""
    reason: str = ""
    body: bytes = b""
    closes: bool = False


def make_snapshot(*services):
    """Make a configuration with one route for each service."""
    return model.Snapshot(
        version=1,
        services=tuple(
            model.Service(
                name=name,
                team="inspection",
                versions=(model.VersionShare(version="v1", share=1000),),
            )
            for name in sorted(services)
        ),
        routes=tuple(
            model.Route(
                name=name,
                service=name,
                prefix="/" + name,
                methods=("GET", "POST"),
                idempotent=False,
            )
            for name in sorted(services)
        ),
        data_centres=(model.DataCentre(name="riga-1", region="lv-riga"),),
    )


def send(connection, path, *, timeout_ms=4000):
    """Send one POST request with a unique identifier."""
    request = f"q{next(_REQUEST_NUMBERS)}"
    headers = {
        "X-Request-Id": request,
        "X-Request-Timeout-Ms": str(timeout_ms),
    }
    try:
        connection.request("POST", path, body=request, headers=headers)
        answer = connection.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException):
        connection.close()
        return Result(request=request, status=0)
    return Result(
        request=request,
        status=answer.status,
        outcome=answer.headers.get("X-Apricotpost-Outcome", ""),
        reason=answer.headers.get("X-Apricotpost-Reason", ""),
        body=body,
        closes=answer.headers.get("Connection", "") == "close",
    )


@contextlib.contextmanager
def run_load(addresses, path, *, threads=6, timeout_ms=4000):
    """Send requests until the block ends; yields the list of results.

    A caller whose response says ``Connection: close`` connects to the next
    address.
    """
    stopped = threading.Event()
    results = []

    def send_until_stopped(index):
        next_addresses = itertools.cycle(addresses[index:] + addresses[:index])
        connection = http.client.HTTPConnection(
            next(next_addresses), timeout=10
        )
        while not stopped.wait(0.02):
            result = send(connection, path, timeout_ms=timeout_ms)
            results.append(result)
            if result.closes:
                connection.close()
                connection = http.client.HTTPConnection(
                    next(next_addresses), timeout=10
                )
        connection.close()

    workers = [
        threading.Thread(
            target=send_until_stopped, args=(number % len(addresses),)
        )
        for number in range(threads)
    ]
    for worker in workers:
        worker.start()
    try:
        yield results
    finally:
        stopped.set()
        for worker in workers:
            worker.join()


def count_executions(fleet, *members):
    """Count how often the members' backend servers ran each request."""
    counts = {}
    for member in members:
        state = fleets.call_json(fleet, f"http://{member.backend}", "/-/state")
        for request, count in state["executions"].items():
            counts[request] = counts.get(request, 0) + count
    return counts


def announce(fleet, member, address):
    """Announce a backend server of the member's service at an address."""
    body = {
        "service": member.service,
        "version": member.version,
        "address": address,
        "slots": 16,
        "cold": False,
    }
    base = f"http://{member.local}"
    return fleets.call_json(fleet, base, "/-/backend-server", body)


class _FakeBackendHandler(socketserver.StreamRequestHandler):
    def handle(self):
        while True:
            line = self.rfile.readline()
            if not line:
                return
            path = line.split()[1].decode()
            length = 0
            while (header := self.rfile.readline()) not in (b"\r\n", b""):
                name, _, value = header.partition(b":")
                if name.lower() == b"content-length":
                    length = int(value)
            body = self.rfile.read(length)
            if not self.answer(path, body):
                return

    def answer(self, path, body):
        if path.endswith("/half"):
            self.wfile.write(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
            self.wfile.write(b"half")
            return False
        if path.endswith("/half-chunk"):
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            self.wfile.write(head + b"20\r\nhalf")
            return False
        if path.endswith("/hang-up"):
            return False
        if path.endswith("/cut-head"):
            # The body of the request tells after how many bytes.
            self.wfile.write(CUT_HEAD[: int(body)])
            return False
        if path.endswith("/raw"):
            # The body of the request is the response.
            self.wfile.write(body)
            return False
        if path.endswith("/endless"):
            self.repeat(*body.split(b"|"))
            return False
        if path.endswith("/slow"):
            time.sleep(1.2)
        if path.endswith("/crossed"):
            # Odd-numbered requests are answered 0.3 s late, so that later
            # responses overtake them.
            time.sleep(0.3 if int(body[1:]) % 2 else 0.0)
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        self.wfile.write(head.encode() + body)
        return True

    def repeat(self, start, piece, pause):
        """Send the start of a response, then a piece until the client ends.

        ``pause`` is the time after each piece, in seconds.
        """
        with contextlib.suppress(OSError):
            self.wfile.write(start)
            while True:
                self.wfile.write(piece)
                time.sleep(float(pause))


class FakeBackendServer(socketserver.ThreadingTCPServer):
    """Fake backend server whose responses depend on the path."""

    daemon_threads = True
    allow_reuse_address = True


@contextlib.contextmanager
def serve_fake_backend():
    """Run the fake backend server; yields its address."""
    with FakeBackendServer((fleets.HOST, 0), _FakeBackendHandler) as server:
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        yield f"{fleets.HOST}:{server.server_address[1]}"
        server.shutdown()


def describe_results(results):
    """Format the first results for the message of a failed test."""
    return json.dumps(
        [dataclasses.asdict(result) for result in results[:5]], default=str
    )
