"""WSGI application that takes callers' requests."""

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
# Dispatch answers by the deadline; after this extra time it has failed.
GRACE_SECONDS = 1.0
_PHRASES = {entry.value: entry.phrase for entry in http.HTTPStatus}
_WITHOUT_BODY = (204, 304)


@dataclasses.dataclass(kw_only=True)
class Ingress:
    """What the threads of one listening address share.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    current : Current
        Reference to the view in force.
    instance : str
        Name of the instance, part of request identifiers.
    trusted : bool
        Whether callers are the backend server beside the node.
    keyed : KeyedCalls
        State of the calls with ``Idempotency-Key``.
    """

    context: wire.sockets.Context
    current: views.Current
    instance: str
    trusted: bool
    keyed: keyed_calls.KeyedCalls
    started_ns: int = dataclasses.field(default_factory=time.time_ns)
    numbers: typing.Iterator[int] = dataclasses.field(
        default_factory=itertools.count
    )
    local: threading.local = dataclasses.field(default_factory=threading.local)
    draining: bool = False


def make_app(ingress: Ingress) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def app(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        result = _serve(ingress, environ)
        return _write(ingress, environ, result, start)

    return app


def _serve(ingress: Ingress, environ: Environ) -> wire.CallResult:
    body = _read_body(environ)
    if isinstance(body, wire.CallResult):
        return body
    table = ingress.current.derived.table
    if not table.ready:
        return _not_run(503, wire.NotRunReason.NOT_READY)
    route = routing.match_route(
        table,
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"] or "/",
    )
    if route is None or (route.internal and not ingress.trusted):
        return _not_run(404, wire.NotRunReason.NO_ROUTE)
    request = _make_request(ingress, environ, route, body)
    return levels.measured(
        ingress.context,
        ingress.local,
        route.name,
        lambda: keyed_calls.carry(
            ingress.keyed,
            key=environ.get("HTTP_IDEMPOTENCY_KEY"),
            route=route,
            request=request,
            dispatch=lambda: _dispatch(
                ingress, request, environ.get(callers.KEY)
            ),
        ),
    )


def _read_body(environ: Environ) -> bytes | wire.CallResult:
    stream = environ["wsgi.input"]
    text = environ.get("CONTENT_LENGTH")
    if not text:
        if "HTTP_TRANSFER_ENCODING" not in environ:
            return b""
        body = stream.read(MAX_BODY_BYTES + 1)
        if len(body) > MAX_BODY_BYTES:
            return _bad_request(413, "body-too-large")
        return bytes(body)
    if not text.isdecimal():
        return _bad_request(400, "length-invalid")
    length = int(text)
    if length > MAX_BODY_BYTES:
        return _bad_request(413, "body-too-large")
    body = stream.read(length)
    if len(body) != length:
        return _bad_request(400, "body-incomplete")
    return bytes(body)


def _make_request(
    ingress: Ingress, environ: Environ, route: model.Route, body: bytes
) -> wire.CallRequest:
    headers = _headers(environ)
    context = contexts.read_context(
        {name.lower(): value for name, value in headers},
        wall=time.time(),
        timeout_ms=route.timeout_ms,
        trusted=ingress.trusted,
    )
    number = next(ingress.numbers)
    return wire.CallRequest(
        request=f"{ingress.instance}-{ingress.started_ns:x}-{number:x}",
        route=route.name,
        method=environ["REQUEST_METHOD"],
        target=_target(environ),
        headers=contexts.strip_headers(headers),
        body=body,
        deadline=context.deadline,
        depth=context.depth,
        retried=context.retried,
    )


def _headers(environ: Environ) -> tuple[tuple[str, str], ...]:
    headers = [
        (name[5:].replace("_", "-").title(), value)
        for name, value in environ.items()
        if name.startswith("HTTP_")
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("Content-Type", environ["CONTENT_TYPE"]))
    return tuple(headers)


def _target(environ: Environ) -> str:
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
    """Hand a request to dispatch and wait for its result.

    When the caller hangs up, dispatch is told once; the result of the call
    is still awaited, as it may have run.
    """
    dealer = _socket(ingress)
    wire.sockets.send(dealer, request)
    gives_up_at = request.deadline + GRACE_SECONDS
    while True:
        remaining = gives_up_at - time.time()
        if remaining <= 0:
            return _timed_out(request)
        watched = None if caller is None else caller.fileno()
        arrived, active = wire.sockets.wait(dealer, watched, seconds=remaining)
        if active and caller is not None:
            if callers.has_hung_up(caller):
                left = wire.CallerLeft(request=request.request)
                wire.sockets.send(dealer, left)
            caller = None
        if not arrived:
            continue
        result = wire.sockets.receive(dealer)
        if (
            isinstance(result, wire.CallResult)
            and result.request == request.request
        ):
            return result


def _timed_out(request: wire.CallRequest) -> wire.CallResult:
    return wire.CallResult(
        request=request.request,
        outcome=wire.Outcome.UNKNOWN,
        status=504,
        reason=wire.UnknownReason.TIMEOUT.value,
    )


def _socket(ingress: Ingress) -> wire.sockets.Socket:
    """Return the calling thread's socket to dispatch."""
    local = ingress.local
    if getattr(local, "socket", None) is None:
        local.socket = wire.sockets.connect_dealer(
            ingress.context, addresses.DISPATCH
        )
    return typing.cast(wire.sockets.Socket, local.socket)


def _write(
    ingress: Ingress,
    environ: Environ,
    result: wire.CallResult,
    start: StartResponse,
) -> Iterable[bytes]:
    headers = list(contexts.strip_headers(result.headers))
    body = result.body
    if result.outcome is not wire.Outcome.ANSWERED:
        body = _error_body(result)
        headers = [("Content-Type", "application/json")]
        headers.append((contexts.REASON_HEADER, result.reason))
    headers.append((contexts.OUTCOME_HEADER, result.outcome.value))
    if result.retried:
        headers.append((contexts.RETRIED_HEADER, "1"))
    if environ["REQUEST_METHOD"] == "HEAD":
        headers.extend(_length_of(result))
    elif result.status not in _WITHOUT_BODY:
        headers.append(("Content-Length", str(len(body))))
    if ingress.draining:
        headers.append(("Connection", "close"))
    phrase = _PHRASES.get(result.status, "Unknown")
    start(f"{result.status} {phrase}", headers)
    return [body]


def _length_of(result: wire.CallResult) -> list[tuple[str, str]]:
    """Return the length that the answer to a GET request would have."""
    found = [
        (name, value)
        for name, value in result.headers
        if name.lower() == "content-length"
    ]
    return found or [("Content-Length", "0")]


def _error_body(result: wire.CallResult) -> bytes:
    return (
        f'{{"outcome": "{result.outcome.value}", '
        f'"reason": "{result.reason}", "attempts": {result.attempts}}}'
    ).encode()


def _not_run(status: int, reason: wire.NotRunReason) -> wire.CallResult:
    return wire.CallResult(
        request="",
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason.value,
    )


def _bad_request(status: int, reason: str) -> wire.CallResult:
    return wire.CallResult(
        request="",
        outcome=wire.Outcome.NOT_RUN,
        status=status,
        reason=reason,
    )
