"""WSGI application that serves callers' requests."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import http
import itertools
import socket
import threading
import time
import typing

from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import callers
from apricotpost.node import keyed_calls
from apricotpost.node import levels
from apricotpost.node import views
from apricotpost import routing
from apricotpost.routing import contexts
from apricotpost import wire

__all__ = ["Ingress", "MAX_BODY_BYTES", "make_app"]

Environ = dict[str, typing.Any]
StartResponse = Callable[..., typing.Any]

MAX_BODY_BYTES = 8 * 1024 * 1024
# The dispatch task replies by the deadline. If it has not replied this long
# after the deadline, it has failed.
DISPATCH_GRACE_SECONDS = 1.0
_PHRASES = {entry.value: entry.phrase for entry in http.HTTPStatus}
_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(kw_only=True)
class Ingress:
    """State that the threads of one listening address share.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    instance : str
        Name of the instance; prefix of request identifiers.
    trusted : bool
        Whether the only caller is the backend server beside the node.
    keyed : KeyedCalls
        State of the calls with an ``Idempotency-Key`` header.
    """

    context: wire.sockets.Context
    current: views.CurrentView
    instance: str
    trusted: bool
    keyed: keyed_calls.KeyedCalls
    started_ns: int = dataclasses.field(default_factory=time.time_ns)
    request_numbers: typing.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )
    local: threading.local = dataclasses.field(default_factory=threading.local)
    draining: bool = False


def make_app(ingress: Ingress) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def app(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        result = _serve(ingress, environ)
        return _write_response(ingress, environ, result, start)

    return app


def _serve(ingress: Ingress, environ: Environ) -> wire.CallResult:
    body = _read_body(environ)
    if isinstance(body, wire.CallResult):
        return body
    table = ingress.current.derived.table
    if not table.ready:
        return _make_not_run_result(503, wire.NotRunReason.NOT_READY)
    route = routing.match_route(
        table,
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"] or "/",
    )
    if route is None or (route.internal and not ingress.trusted):
        return _make_not_run_result(404, wire.NotRunReason.NO_ROUTE)
    request = _make_request(ingress, environ, route, body)
    return levels.measure_call(
        ingress.context,
        ingress.local,
        route.name,
        lambda: keyed_calls.execute(
            ingress.keyed,
            key=environ.get("HTTP_IDEMPOTENCY_KEY"),
            route=route,
            request=request,
            dispatch=lambda: _dispatch(
                ingress, request, environ.get(callers.SOCKET_KEY)
            ),
        ),
    )


def _read_body(environ: Environ) -> bytes | wire.CallResult:
    stream = environ["wsgi.input"]
    length_header = environ.get("CONTENT_LENGTH")
    if not length_header:
        if "HTTP_TRANSFER_ENCODING" not in environ:
            return b""
        body = stream.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return _make_bad_request_result(413, "body-too-large")
        return bytes(body)
    if not length_header.isdecimal():
        return _make_bad_request_result(400, "length-invalid")
    length = int(length_header)
    if length > MAX_BODY_BYTES:
        return _make_bad_request_result(413, "body-too-large")
    body = stream.read(length)
    if len(body) != length:
        return _make_bad_request_result(400, "body-incomplete")
    return bytes(body)


def _make_request(
    ingress: Ingress, environ: Environ, route: model.Route, body: bytes
) -> wire.CallRequest:
    headers = _read_headers(environ)
    context = contexts.read_context(
        {name.lower(): value for name, value in headers},
        wall=time.time(),
        timeout_ms=route.timeout_ms,
        trusted=ingress.trusted,
    )
    number = next(ingress.request_numbers)
    return wire.CallRequest(
        request=f"{ingress.instance}-{ingress.started_ns:x}-{number:x}",
        route=route.name,
        method=environ["REQUEST_METHOD"],
        target=_read_target(environ),
        headers=contexts.strip_headers(headers),
        body=body,
        deadline=context.deadline,
        depth=context.depth,
        retried=context.retried,
    )


def _read_headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _read_target(environ: Environ) -> str:
    target = str(environ.get("REQUEST_URI") or environ["PATH_INFO"])
    if not target.startswith("/"):
        target = str(environ["PATH_INFO"])
        if environ.get("QUERY_STRING"):
            target += "?" + str(environ["QUERY_STRING"])
    return target


def _dispatch(
    ingress: Ingress,
    request: wire.CallRequest,
    caller: socket.socket | None = None,
) -> wire.CallResult:
    """Send a request to the dispatch task and wait for its result.

    If the caller disconnects, the dispatch task is notified once. The result
    is still awaited, because the call may have run.
    """
    dealer = _get_dispatch_socket(ingress)
    wire.sockets.send(dealer, request)
    timeout_at = request.deadline + DISPATCH_GRACE_SECONDS
    while True:
        remaining = timeout_at - time.time()
        if remaining <= 0:
            return _make_timed_out_result(request)
        caller_fd = None if caller is None else caller.fileno()
        has_result, caller_is_readable = wire.sockets.wait(
            dealer, caller_fd, seconds=remaining
        )
        if caller_is_readable and caller is not None:
            if callers.has_disconnected(caller):
                notice = wire.CallerLeft(request=request.request)
                wire.sockets.send(dealer, notice)
            caller = None
        if not has_result:
            continue
        result = wire.sockets.receive(dealer)
        if (
            isinstance(result, wire.CallResult)
            and result.request == request.request
        ):
            return result


def _make_timed_out_result(request: wire.CallRequest) -> wire.CallResult:
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=504,
        reason=wire.UnknownReason.TIMEOUT.value,
    )


def _get_dispatch_socket(ingress: Ingress) -> wire.sockets.Socket:
    """Return the calling thread's socket to the dispatch task."""
    local = ingress.local
    if getattr(local, "socket", None) is None:
        local.socket = wire.sockets.connect_dealer(
            ingress.context, addresses.DISPATCH
        )
    return typing.cast(wire.sockets.Socket, local.socket)


def _write_response(
    ingress: Ingress,
    environ: Environ,
    result: wire.CallResult,
    start: StartResponse,
) -> Iterable[bytes]:
    headers = list(contexts.strip_headers(result.headers))
    body = result.body
    if result.outcome is not wire.Outcome.ANSWERED:
        body = _make_error_body(result)
        headers = [("Content-Type", "application/json")]
        headers.append((contexts.REASON_HEADER, result.reason))
    headers.append((contexts.OUTCOME_HEADER, result.outcome.value))
    if result.retried:
        headers.append((contexts.RETRIED_HEADER, "1"))
    if environ["REQUEST_METHOD"] == "HEAD":
        headers.extend(_find_content_length(result))
    elif result.status not in _WITHOUT_BODY:
        headers.append(("Content-Length", str(len(body))))
    if ingress.draining:
        headers.append(("Connection", "close"))
    phrase = _PHRASES.get(result.status, "Unknown")
    start(f"{result.status} {phrase}", headers)
    return [body]


def _find_content_length(result: wire.CallResult) -> list[tuple[str, str]]:
    """Return the Content-Length header that a GET response would have."""
    lengths = [
        (name, value)
        for name, value in result.headers
        if name.lower() == "content-length"
    ]
    return lengths or [("Content-Length", "0")]


def _make_error_body(result: wire.CallResult) -> bytes:
    return (
        f'{{"outcome": "{result.outcome.value}", '
        f'"reason": "{result.reason}", "attempts": {result.attempts}}}'
    ).encode()


def _make_not_run_result(
    status: int, reason: wire.NotRunReason
) -> wire.CallResult:
    return wire.CallResult(
        request="",
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason.value,
    )


def _make_bad_request_result(status: int, reason: str) -> wire.CallResult:
    return wire.CallResult(
        request="",
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason,
    )
