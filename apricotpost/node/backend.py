"""Worker tasks that send calls to the backend server beside the node."""

import contextlib
import dataclasses
import http.client
import time

import urllib3
import urllib3.connection
import zmq

from apricotpost import connections
from apricotpost.node import addresses
from apricotpost.routing import contexts
from apricotpost import wire

__all__ = ["Connection", "run", "send"]

# A connection idle for longer may be closed by the backend server just as
# a call is sent, which would leave the outcome unknown.
MAX_IDLE_SECONDS = 2.0
CONNECT_TIMEOUT_SECONDS = 1.0
RECEIVE_TIMEOUT_MS = 1000
INVALID_RESPONSE = (http.client.IncompleteRead, connections.MalformedResponse)
CHUNK_BYTES = 64 * 1024
# Below the size limit of messages between nodes, so that a response fits into
# one message.
MAX_BODY_BYTES = 12 * 1024 * 1024


@dataclasses.dataclass(kw_only=True)
class Connection:
    """Connection of one worker to the backend server."""

    address: str = ""
    channel: urllib3.connection.HTTPConnection | None = None
    used_at: float = 0.0


def run(*, context: wire.sockets.Context) -> None:
    """Send calls one at a time until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    """
    with contextlib.ExitStack() as stack:
        socket = stack.enter_context(
            wire.sockets.connect_dealer(context, addresses.BACKEND)
        )
        socket.rcvtimeo = RECEIVE_TIMEOUT_MS
        connection = Connection()
        stack.callback(_close, connection)
        wire.sockets.send(socket, wire.WorkerReady())
        while True:
            try:
                message = wire.sockets.receive(socket, wait=True)
            except zmq.Again:
                _close_idle(connection)
                continue
            if isinstance(message, wire.StopTask):
                return
            if isinstance(message, wire.BackendJob):
                result = send(connection, message)
                wire.sockets.send(socket, result)


def send(connection: Connection, job: wire.BackendJob) -> wire.BackendResult:
    """Send one call and read the whole response.

    Parameters
    ----------
    connection : Connection
        Connection of the calling thread.
    job : apricotpost.wire.BackendJob
        Call to send and address of the backend server.

    Returns
    -------
    apricotpost.wire.BackendResult
        Response or failure. The outcome is NOT_RUN only if no byte was sent.
    """
    call = job.call
    started_at = time.monotonic()
    remaining = call.deadline - time.time()
    if remaining <= 0:
        return _make_not_run_result(call, wire.NotRunReason.DEADLINE_PASSED)
    _close_idle(connection)
    try:
        channel = _connect(connection, job.address, remaining)
    except (urllib3.exceptions.HTTPError, OSError):
        _close(connection)
        return _make_not_run_result(call, wire.NotRunReason.NOT_SENT)
    if time.time() >= call.deadline:
        return _make_not_run_result(call, wire.NotRunReason.DEADLINE_PASSED)
    try:
        result = _send_request(channel, call, started_at)
    except Exception as error:
        _close(connection)
        return _make_unknown_result(
            call, _find_unknown_reason(error), started_at
        )
    connection.used_at = time.monotonic()
    return result


def _connect(
    connection: Connection, address: str, remaining: float
) -> urllib3.connection.HTTPConnection:
    """Return an open connection without sending anything on it."""
    channel = connection.channel
    if channel is not None and connection.address == address:
        if channel.is_connected:
            return channel
    _close(connection)
    host, _, port = address.rpartition(":")
    channel = connections.Connection(
        host.strip("[]"),
        int(port),
        timeout=min(CONNECT_TIMEOUT_SECONDS, remaining),
    )
    channel.connect()
    connection.channel = channel
    connection.address = address
    return channel


def _send_request(
    channel: urllib3.connection.HTTPConnection,
    call: wire.Call,
    started_at: float,
) -> wire.BackendResult:
    _set_read_timeout(channel, call)
    channel.request(
        call.method,
        call.target,
        body=call.body or None,
        headers=_make_headers(call),
        preload_content=False,
        decode_content=False,
    )
    response = channel.getresponse()
    body = _read_body(channel, response, call)
    return wire.BackendResult(
        call=call.call,
        outcome=wire.Outcome.ANSWERED,
        status=response.status,
        headers=tuple(response.headers.items()),
        body=body,
        duration_ms=(time.monotonic() - started_at) * 1000,
    )


def _read_body(
    channel: urllib3.connection.HTTPConnection,
    response: urllib3.HTTPResponse,
    call: wire.Call,
) -> bytes:
    """Read until the end of the body or the deadline."""
    # One buffer: an object for each chunk of a few bytes would take many
    # times the memory of the body.
    body = bytearray()
    while response.length_remaining != 0:
        _set_read_timeout(channel, call)
        chunk = response.read1(CHUNK_BYTES)
        if not chunk:
            break
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            raise urllib3.exceptions.IncompleteRead(len(body), 0)
    if not response.closed:
        response.read()
    return bytes(body)


def _set_read_timeout(
    channel: urllib3.connection.HTTPConnection, call: wire.Call
) -> None:
    """Set the socket's time-out to the time left until the deadline."""
    remaining = call.deadline - time.time()
    if remaining <= 0:
        raise TimeoutError
    # urllib3 overwrites the socket's time-out with this attribute.
    channel.timeout = remaining
    if channel.sock is not None:
        channel.sock.settimeout(remaining)


def _find_unknown_reason(error: Exception) -> wire.UnknownReason:
    """Classify a failure; urllib3 wraps some causes in ProtocolError."""
    causes = (error, *error.args, error.__cause__, error.__context__)
    if any(
        isinstance(cause, (TimeoutError, urllib3.exceptions.TimeoutError))
        for cause in causes
    ):
        return wire.UnknownReason.TIMEOUT
    if any(isinstance(cause, INVALID_RESPONSE) for cause in causes):
        return wire.UnknownReason.BODY_INCOMPLETE
    return wire.UnknownReason.CONNECTION_LOST


def _close_idle(connection: Connection) -> None:
    if time.monotonic() - connection.used_at > MAX_IDLE_SECONDS:
        _close(connection)


def _close(connection: Connection) -> None:
    if connection.channel is not None:
        connection.channel.close()
        connection.channel = None


def _make_headers(call: wire.Call) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in call.headers:
        previous = headers.get(name)
        headers[name] = f"{previous}, {value}" if previous else value
    context = contexts.CallContext(
        deadline=call.deadline, depth=call.depth, retried=call.retried
    )
    headers.update(contexts.context_headers(context))
    return headers


def _make_not_run_result(
    call: wire.Call, reason: wire.NotRunReason
) -> wire.BackendResult:
    return wire.BackendResult(
        call=call.call, outcome=wire.Outcome.NOT_RUN, reason=reason.value
    )


def _make_unknown_result(
    call: wire.Call, reason: wire.UnknownReason, started_at: float
) -> wire.BackendResult:
    return wire.BackendResult(
        call=call.call,
        outcome=wire.Outcome.UNKNOWN,
        reason=reason.value,
        duration_ms=(time.monotonic() - started_at) * 1000,
    )
