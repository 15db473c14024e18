"""Stand-in for the platform: a table service and an object store.

It implements the parts of the DynamoDB JSON and S3 REST protocols that a
node uses. ``POST /-/faults`` injects outages, delays and lost responses.
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import json
import signal
import threading
import time
import typing

from cheroot import wsgi

from standins import platform_signatures
from standins import platform_tables

__all__ = ["Faults", "State", "handle", "main", "make_app", "serve"]

Environ = dict[str, typing.Any]

_OPERATIONS = {
    "DeleteItem": platform_tables.delete_item,
    "GetItem": platform_tables.get_item,
    "PutItem": platform_tables.put_item,
    "Query": platform_tables.query,
    "TransactWriteItems": platform_tables.transact,
}
_WRITES = frozenset(("DeleteItem", "PutItem", "TransactWriteItems"))
StartResponse = Callable[..., typing.Any]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Faults:
    """Injected faults.

    Parameters
    ----------
    table_down, objects_down : bool
        Whether requests are refused with status 503 and not executed.
    delay_seconds : float
        Delay before each request is executed.
    lose_answers : int
        Number of next writes that are executed and answered with status
        500.
    throttle : int
        Number of next table writes that are refused as over the provisioned
        rate.
    """

    table_down: bool = False
    objects_down: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0
    throttle: int = 0


@dataclasses.dataclass(kw_only=True)
class State:
    """Stored data, faults and counters of the stand-in."""

    tables: platform_tables.Tables = dataclasses.field(
        default_factory=platform_tables.Tables
    )
    objects: dict[str, bytes] = dataclasses.field(default_factory=dict)
    faults: Faults = Faults()
    requests: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    keys: dict[str, str] = dataclasses.field(default_factory=dict)
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def make_app(state: State) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def app(
        environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, response_body = _handle(state, environ, body)
        start_response(status, [("Content-Length", str(len(response_body)))])
        return [response_body]

    return app


def _handle(state: State, environ: Environ, body: bytes) -> tuple[str, bytes]:
    path = environ["PATH_INFO"]
    if path == "/-/faults":
        state.faults = Faults(**json.loads(body))
        return "200 OK", b"{}"
    if path == "/-/counters":
        return "200 OK", json.dumps(_read_counters(state)).encode()
    if state.keys:
        signature_error = platform_signatures.find_error(
            environ, body, state.keys
        )
        if signature_error:
            return "403 Forbidden", _encode_error(signature_error, "")
    return handle(
        state,
        method=environ["REQUEST_METHOD"],
        path=path,
        target=environ.get("HTTP_X_AMZ_TARGET", ""),
        body=body,
    )


def handle(
    state: State, *, method: str, path: str, target: str, body: bytes
) -> tuple[str, bytes]:
    """Execute one request; return the status and body of the response."""
    if state.faults.delay_seconds:
        time.sleep(state.faults.delay_seconds)
    if target:
        return _handle_table(state, target.rpartition(".")[2], body)
    return _handle_object(state, method, path, body)


def _read_counters(state: State) -> dict[str, int]:
    return {
        "items_read": state.tables.reads,
        "items_written": state.tables.writes,
        "items_rejected": state.tables.rejected,
        **state.requests,
    }


def _handle_table(
    state: State, operation: str, body: bytes
) -> tuple[str, bytes]:
    state.requests[operation] += 1
    if state.faults.table_down:
        return "503 Service Unavailable", _encode_error(
            "ServiceUnavailable", ""
        )
    if operation not in _OPERATIONS:
        return "400 Bad Request", _encode_error(
            "UnknownOperationException", ""
        )
    if operation in _WRITES and _consume_fault(state, "throttle"):
        return "400 Bad Request", _encode_error(
            "ProvisionedThroughputExceededException", "over the rate"
        )
    try:
        response = _OPERATIONS[operation](state.tables, json.loads(body))
    except platform_tables.Refused as error:
        return "400 Bad Request", _encode_error(
            error.error_type, str(error), **error.fields
        )
    if operation in _WRITES and _consume_fault(state, "lose_answers"):
        return "500 Internal Server Error", _encode_error(
            "InternalServerError", ""
        )
    return "200 OK", json.dumps(response).encode()


def _consume_fault(state: State, fault_name: str) -> bool:
    """Decrement the count of a fault; return whether the fault applies."""
    with state.lock:
        remaining = getattr(state.faults, fault_name)
        if remaining:
            state.faults = dataclasses.replace(
                state.faults, **{fault_name: remaining - 1}
            )
        return bool(remaining)


def _handle_object(
    state: State, method: str, path: str, body: bytes
) -> tuple[str, bytes]:
    state.requests["object " + method] += 1
    if state.faults.objects_down:
        return "503 Service Unavailable", b""
    if method == "PUT":
        state.objects[path] = body
        return "200 OK", b""
    if method == "GET" and path in state.objects:
        return "200 OK", state.objects[path]
    return "404 Not Found", b""


def _encode_error(
    error_type: str, message: str, **fields: typing.Any
) -> bytes:
    return json.dumps(
        {"__type": f"com.amazonaws.dynamodb.v20120810#{error_type}"}
        | {"message": message}
        | fields
    ).encode()


@contextlib.contextmanager
def serve(
    app: Callable[..., Iterable[bytes]],
    *,
    host: str,
    port: int,
    threads: int,
) -> typing.Iterator[int]:
    """Serve an application from a thread; yield the port."""
    server = wsgi.Server(
        (host, port), app, numthreads=threads, request_queue_size=1024
    )
    server.prepare()
    thread = threading.Thread(target=server.serve, daemon=True)
    thread.start()
    try:
        yield int(server.bind_addr[1])
    finally:
        server.stop()
        thread.join(5)


def main() -> int:
    """Run the stand-in until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument(
        "--key",
        action="append",
        default=[],
        help="ACCESS:SECRET; requests must be signed with one of these",
    )
    options = parser.parse_args()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    keys = dict(key_pair.split(":", 1) for key_pair in options.key)
    app = make_app(State(keys=keys))
    with serve(app, host=options.host, port=options.port, threads=32):
        stopped.wait()
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
