"""Tasks that send calls to the backend server beside the node."""

import contextlib
import time

import urllib3
import zmq

from apricotpost.node import addresses
from apricotpost.routing import contexts
from apricotpost import wire

__all__ = ["run", "send"]

# A connection idle for longer may be closed by the backend server just as
# a call is sent, which would leave the outcome unknown.
MAX_IDLE_SECONDS = 2.0
CONNECT_SECONDS = 1.0
WAIT_MS = 1000


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
        pools: dict[str, urllib3.HTTPConnectionPool] = {}
        used_at = 0.0
        wire.sockets.send(socket, wire.WorkerReady())
        while True:
            if not socket.poll(WAIT_MS, zmq.POLLIN):
                continue
            message = wire.sockets.receive(socket)
            if isinstance(message, wire.StopTask):
                break
            if not isinstance(message, wire.BackendJob):
                continue
            pool = _pool(pools, message.address)
            if time.monotonic() - used_at > MAX_IDLE_SECONDS:
                pool.close()
                pools.clear()
                pool = _pool(pools, message.address)
            wire.sockets.send(socket, send(pool, message.call))
            used_at = time.monotonic()
        for pool in pools.values():
            pool.close()


def send(
    pool: urllib3.HTTPConnectionPool, call: wire.Call
) -> wire.BackendResult:
    """Send one call and read the whole answer.

    Parameters
    ----------
    pool : urllib3.HTTPConnectionPool
        Of one connection, owned by the calling thread.
    call : apricotpost.wire.Call
        What to send.

    Returns
    -------
    apricotpost.wire.BackendResult
        Its outcome is "not run" only where no byte was sent.
    """
    started = time.monotonic()
    remaining = call.deadline - time.time()
    if remaining <= 0:
        return _not_run(call, wire.NotRunReason.DEADLINE_PASSED)
    try:
        response = pool.urlopen(
            call.method,
            call.target,
            body=call.body or None,
            headers=_headers(call),
            timeout=urllib3.Timeout(
                connect=min(CONNECT_SECONDS, remaining), read=remaining
            ),
            retries=False,
            redirect=False,
            assert_same_host=False,
            decode_content=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ):
        return _not_run(call, wire.NotRunReason.NOT_SENT)
    except urllib3.exceptions.TimeoutError:
        return _unknown(call, wire.UnknownReason.TIMEOUT)
    except urllib3.exceptions.IncompleteRead:
        return _unknown(call, wire.UnknownReason.BODY_INCOMPLETE)
    except urllib3.exceptions.HTTPError:
        return _unknown(call, wire.UnknownReason.CONNECTION_LOST)
    return wire.BackendResult(
        call=call.call,
        outcome=wire.Outcome.ANSWERED,
        status=response.status,
        headers=tuple(response.headers.items()),
        body=response.data,
        duration_ms=(time.monotonic() - started) * 1000,
    )


def _pool(
    pools: dict[str, urllib3.HTTPConnectionPool], address: str
) -> urllib3.HTTPConnectionPool:
    pool = pools.get(address)
    if pool is None:
        for old in pools.values():
            old.close()
        pools.clear()
        host, _, port = address.rpartition(":")
        pool = urllib3.HTTPConnectionPool(
            host.strip("[]"), int(port), maxsize=1, retries=False
        )
        pools[address] = pool
    return pool


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
    call: wire.Call, reason: wire.UnknownReason
) -> wire.BackendResult:
    return wire.BackendResult(
        call=call.call, outcome=wire.Outcome.UNKNOWN, reason=reason.value
    )
