"""Stand-in for a backend server.

It announces itself to the node beside it, starts cold, sheds load above its
slots, falls over when a cold start is overloaded, drains on SIGTERM and can
be given the faults of a bad version.
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import json
import random
import signal
import threading
import time
import typing

import urllib3

from standins import platform

__all__ = ["Behaviour", "State", "main", "make_app"]

Environ = dict[str, typing.Any]
StartResponse = Callable[..., typing.Any]

# Calls at once above which a cold backend server falls over.
COLD_CAPACITY = 4
FALL_OVER_SECONDS = 2.0
ANNOUNCE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Behaviour:
    """How the backend server acts.

    Parameters
    ----------
    slots : int
        Calls handled at once; more are shed.
    service_ms : float
        Duration of a call in milliseconds.
    warm_after : int
        Calls after which it is no longer cold.
    failure_rate : float
        Share of calls answered with status 500.
    slow_factor : float
        Factor on the duration.
    fault_prefix : str
        Path prefix to which the fault is limited.
    fault_after_seconds : float
        Time after the start when the fault begins.
    fault_in_flight : int
        Calls in flight at which the fault begins.
    """

    slots: int = 12
    service_ms: float = 2.0
    warm_after: int = 20
    failure_rate: float = 0.0
    slow_factor: float = 1.0
    fault_prefix: str = "/"
    fault_after_seconds: float = 0.0
    fault_in_flight: int = 0


@dataclasses.dataclass(kw_only=True)
class State:
    """Counters of a running backend server."""

    behaviour: Behaviour
    version: str
    rng: random.Random
    started_at: float
    in_flight: int = 0
    served: int = 0
    shed: int = 0
    falls: int = 0
    max_in_flight: int = 0
    down_until: float = 0.0
    cold: bool = True
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def make_app(state: State) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def app(environ: Environ, start: StartResponse) -> Iterable[bytes]:
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length) if length else b""
        status, answer = _handle(state, environ, body)
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(answer))),
            ("X-Backend-Version", state.version),
        ]
        if state.cold:
            headers.append(("X-Backend-Cold", "1"))
        start(status, headers)
        return [answer]

    return app


def _handle(state: State, environ: Environ, body: bytes) -> tuple[str, bytes]:
    path = environ["PATH_INFO"]
    if path == "/-/state":
        return "200 OK", _describe(state)
    if path == "/-/behaviour":
        changes = json.loads(body)
        if changes.pop("cold", False):
            state.cold, state.served = True, 0
        state.behaviour = dataclasses.replace(state.behaviour, **changes)
        return "200 OK", b"{}"
    if not _enter(state):
        return "503 Service Unavailable", b'{"shed": true}'
    try:
        return _serve(state, environ, path, body)
    finally:
        with state.lock:
            state.in_flight -= 1


def _enter(state: State) -> bool:
    now = time.monotonic()
    with state.lock:
        if now < state.down_until:
            return False
        if state.cold and state.in_flight >= COLD_CAPACITY:
            state.falls += 1
            state.down_until = now + FALL_OVER_SECONDS
            return False
        if state.in_flight >= state.behaviour.slots:
            state.shed += 1
            return False
        state.in_flight += 1
        state.max_in_flight = max(state.max_in_flight, state.in_flight)
    return True


def _serve(
    state: State, environ: Environ, path: str, body: bytes
) -> tuple[str, bytes]:
    behaviour = state.behaviour
    faulty = _is_faulty(state, path)
    factor = behaviour.slow_factor if faulty else 1.0
    if state.cold:
        factor *= 2.0
    time.sleep(behaviour.service_ms * factor / 1000)
    with state.lock:
        state.served += 1
        state.cold = state.cold and state.served < behaviour.warm_after
        draw = state.rng.random()
        request = environ.get("HTTP_X_REQUEST_ID", "")
        if request:
            state.executions[request] += 1
    if faulty and draw < behaviour.failure_rate:
        return "500 Internal Server Error", b'{"failed": true}'
    answer = {
        "version": state.version,
        "path": path,
        "request": request,
        "body": body.decode("utf-8", "replace"),
    }
    return "200 OK", json.dumps(answer).encode()


def _is_faulty(state: State, path: str) -> bool:
    behaviour = state.behaviour
    age = time.monotonic() - state.started_at
    return (
        path.startswith(behaviour.fault_prefix)
        and age >= behaviour.fault_after_seconds
        and state.in_flight >= behaviour.fault_in_flight
    )


def _describe(state: State) -> bytes:
    with state.lock:
        return json.dumps(
            {
                "version": state.version,
                "in_flight": state.in_flight,
                "max_in_flight": state.max_in_flight,
                "served": state.served,
                "shed": state.shed,
                "falls": state.falls,
                "cold": state.cold,
                "executions": dict(state.executions),
            }
        ).encode()


def _announce(
    options: argparse.Namespace, state: State, stopped: threading.Event
) -> None:
    pool = urllib3.PoolManager(maxsize=1, retries=False)
    while True:
        body = {
            "service": options.service,
            "version": options.version,
            "address": f"{options.host}:{options.port}",
            "slots": state.behaviour.slots,
            "connections": options.connections,
            "cold": state.cold,
            "leaving": stopped.is_set(),
        }
        try:
            pool.request(
                "POST",
                f"http://{options.node}/-/backend-server",
                body=json.dumps(body),
                timeout=2.0,
            )
        except urllib3.exceptions.HTTPError:
            pass  # The node may not be there yet; the next round tells it.
        if stopped.is_set() or stopped.wait(ANNOUNCE_SECONDS):
            break


def _wait_idle(state: State, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while state.in_flight and time.monotonic() < deadline:
        time.sleep(0.05)


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--node", required=True, help="IP:PORT of the node")
    parser.add_argument("--service", required=True)
    parser.add_argument("--version", required=True)
    parser.add_argument("--connections", type=int, default=110)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--behaviour", default="{}", help="JSON object of Behaviour fields"
    )
    return parser.parse_args()


def main() -> int:
    """Run the stand-in until SIGTERM, then drain."""
    options = _parse()
    stopped = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    state = State(
        behaviour=Behaviour(**json.loads(options.behaviour)),
        version=options.version,
        rng=random.Random(options.seed),
        started_at=time.monotonic(),
    )
    with platform.serve(
        make_app(state),
        host=options.host,
        port=options.port,
        threads=state.behaviour.slots + 8,
    ):
        _announce(options, state, stopped)
        _wait_idle(state, 10.0)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
