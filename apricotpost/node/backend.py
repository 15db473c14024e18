"""Tasks that send calls to the backend server beside the node."""

import contextlib
import dataclasses
import http.client
import time

import urllib3
import urllib3.connection
import zmq

from apricotpost.node import addresses
from apricotpost.routing import contexts
from apricotpost import wire

__all__ = ["Connection", "run", "send"]

# A connection idle for longer may be closed by the backend server just as
# a call is sent, which would leave the outcome unknown.
MAX_IDLE_SECONDS = 2.0
CONNECT_SECONDS = 1.0
WAIT_MS = 1000
CHUNK_BYTES = 64 * 1024
# Below the largest message, so that the answer still fits into one.
MAX_BODY_BYTES = 12 * 1024 * 1024


@dataclasses.dataclass(kw_only=True)
class Connection:
    """A worker's one connection to the backend server."""

    address: str = ""
    channel: urllib3.connection.HTTPConnection | None = None
    used_at: float = 0.0


def run(*, context: wire.sockets.Context) -> None:
    """Send calls one after the other until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        Of this process.
    """
    with contextlib.ExitStack() as stack:
        socket = stack.enter_context(
            wire.sockets.connect_dealer(context, addresses.BACKEND)
        )
        socket.rcvtimeo = WAIT_MS
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
    """Send one call and read the whole answer.

    Parameters
    ----------
    connection : Connection
        Owned by the calling thread.
    job : apricotpost.wire.BackendJob
        What to send where.

    Returns
    -------
    apricotpost.wire.BackendResult
        Its outcome is "not run" only where no byte was sent.
    """
    call = job.call
    started = time.monotonic()
    remaining = call.deadline - time.time()
    if remaining <= 0:
        return _not_run(call, wire.NotRunReason.DEADLINE_PASSED)
    _close_idle(connection)
    try:
        channel = _connect(connection, job.address, remaining)
    except (urllib3.exceptions.HTTPError, OSError):
        _close(connection)
        return _not_run(call, wire.NotRunReason.NOT_SENT)
    if time.time() >= call.deadline:
        return _not_run(call, wire.NotRunReason.DEADLINE_PASSED)
    try:
        result = _exchange(channel, call, started)
    except Exception as error:
        _close(connection)
        return _unknown(call, _reason(error), started)
    connection.used_at = time.monotonic()
    return result


def _connect(
    connection: Connection, address: str, remaining: float
) -> urllib3.connection.HTTPConnection:
    """Return an open connection; nothing is sent on it yet."""
    channel = connection.channel
    if channel is not None and connection.address == address:
        if channel.is_connected:
            return channel
    _close(connection)
    host, _, port = address.rpartition(":")
    channel = urllib3.connection.HTTPConnection(
        host.strip("[]"),
        int(port),
        timeout=min(CONNECT_SECONDS, remaining),
    )
    channel.connect()
    connection.channel = channel
    connection.address = address
    return channel


def _exchange(
    channel: urllib3.connection.HTTPConnection, call: wire.Call, started: float
) -> wire.BackendResult:
    _limit_wait(channel, call)
    channel.request(
        call.method,
        call.target,
        body=call.body or None,
        headers=_headers(call),
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
        duration_ms=(time.monotonic() - started) * 1000,
    )


def _read_body(
    channel: urllib3.connection.HTTPConnection,
    response: urllib3.HTTPResponse,
    call: wire.Call,
) -> bytes:
    """Read to the end of the body or to the deadline."""
    parts: list[bytes] = []
    size = 0
    while response.length_remaining != 0:
        _limit_wait(channel, call)
        part = response.read1(CHUNK_BYTES)
        if not part:
            break
        parts.append(part)
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise urllib3.exceptions.IncompleteRead(size, 0)
    if not response.closed:
        response.read()
    return b"".join(parts)


def _limit_wait(
    channel: urllib3.connection.HTTPConnection, call: wire.Call
) -> None:
    """Let the next read end at the deadline."""
    remaining = call.deadline - time.time()
    if remaining <= 0:
        raise TimeoutError
    # urllib3 sets the socket's time-out again from this attribute.
    channel.timeout = remaining
    if channel.sock is not None:
        channel.sock.settimeout(remaining)


def _reason(error: Exception) -> wire.UnknownReason:
    """Name the failure; urllib3 wraps some causes in ProtocolError."""
    causes = (error, *error.args, error.__cause__, error.__context__)
    if any(
        isinstance(cause, (TimeoutError, urllib3.exceptions.TimeoutError))
        for cause in causes
    ):
        return wire.UnknownReason.TIMEOUT
    if any(isinstance(cause, http.client.IncompleteRead) for cause in causes):
        return wire.UnknownReason.BODY_INCOMPLETE
    return wire.UnknownReason.CONNECTION_LOST


def _close_idle(connection: Connection) -> None:
    if time.monotonic() - connection.used_at > MAX_IDLE_SECONDS:
        _close(connection)


def _close(connection: Connection) -> None:
    if connection.channel is not None:
        connection.channel.close()
        connection.channel = None


def _headers(call: wire.Call) -> dict[str, str]:
    headers: dict[str, str] = {}
    for name, value in call.headers:
        previous = headers.get(name)
        headers[name] = f"{previous}, {value}" if previous else value
    context = contexts.CallContext(
        deadline=call.deadline, depth=call.depth, retried=call.retried
    )
    headers.update(contexts.context_headers(context))
    return headers


def _not_run(call: wire.Call, reason: wire.NotRunReason) -> wire.BackendResult:
    return wire.BackendResult(
        call=call.call, outcome=wire.Outcome.NOT_RUN, reason=reason.value
    )


def _unknown(
    call: wire.Call, reason: wire.UnknownReason, started: float
) -> wire.BackendResult:
    return wire.BackendResult(
        call=call.call,
        outcome=wire.Outcome.UNKNOWN,
        reason=reason.value,
        duration_ms=(time.monotonic() - started) * 1000,
    )
