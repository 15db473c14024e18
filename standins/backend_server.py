"""Stand-in for a backend server.

It announces itself to the node beside it, starts cold, sheds load above its
slots, refuses all calls for a time when it is overloaded while cold, drains
on SIGTERM, and can be given the faults of a bad version.
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

# A cold backend server that gets more concurrent calls than this refuses all
# calls for `OUTAGE_SECONDS`.
MAX_COLD_CALLS = 4
OUTAGE_SECONDS = 2.0
ANNOUNCEMENT_INTERVAL_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, kw_only=True)
class Behaviour:
    """Behaviour of the backend server; its JSON form has the same keys.

    Parameters
    ----------
    slots : int
        Largest number of concurrent calls; calls above it are shed.
    service_ms : float
        Duration of a call, in milliseconds.
    warm_after : int
        Number of calls after which the backend server is no longer cold.
    failure_rate : float
        Fraction of the faulty calls that get status 500.
    slow_factor : float
        Factor on the duration of the faulty calls.
    fault_prefix : str
        Only calls with this path prefix are faulty.
    fault_after_seconds : float
        Calls are faulty from this time after the start on, in seconds.
    fault_in_flight : int
        Calls are faulty while at least this many calls are in flight.
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
    """State and counters of a running backend server."""

    behaviour: Behaviour
    version: str
    rng: random.Random
    started_at: float
    in_flight: int = 0
    served: int = 0
    shed: int = 0
    outages: int = 0
    max_in_flight: int = 0
    down_until: float = 0.0
    cold: bool = True
    executions: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)


def make_app(state: State) -> Callable[..., Iterable[bytes]]:
    """Make the WSGI application."""

    def app(
        environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
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
        start_response(status, headers)
        return [answer]

    return app


def _handle(state: State, environ: Environ, body: bytes) -> tuple[str, bytes]:
    path = environ["PATH_INFO"]
    if path == "/-/state":
        return "200 OK", _encode_state(state)
    if path == "/-/behaviour":
        changes = json.loads(body)
        if changes.pop("cold", False):
            state.cold, state.served = True, 0
        state.behaviour = dataclasses.replace(state.behaviour, **changes)
        return "200 OK", b"{}"
    if not _admit(state):
        return "503 Service Unavailable", b'{"shed": true}'
    try:
        return _serve(state, environ, path, body)
    finally:
        with state.lock:
            state.in_flight -= 1


def _admit(state: State) -> bool:
    now = time.monotonic()
    with state.lock:
        if now < state.down_until:
            return False
        if state.cold and state.in_flight >= MAX_COLD_CALLS:
            state.outages += 1
            state.down_until = now + OUTAGE_SECONDS
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
    slowdown = behaviour.slow_factor if faulty else 1.0
    if state.cold:
        slowdown *= 2.0
    time.sleep(behaviour.service_ms * slowdown / 1000)
    with state.lock:
        state.served += 1
        state.cold = state.cold and state.served < behaviour.warm_after
        random_value = state.rng.random()
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        if request_id:
            state.executions[request_id] += 1
    if faulty and random_value < behaviour.failure_rate:
        return "500 Internal Server Error", b'{"failed": true}'
    answer = {
        "version": state.version,
        "path": path,
        "request": request_id,
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


def _encode_state(state: State) -> bytes:
    with state.lock:
        return json.dumps(
            {
                "version": state.version,
                "in_flight": state.in_flight,
                "max_in_flight": state.max_in_flight,
                "served": state.served,
                "shed": state.shed,
                "falls": state.outages,
                "cold": state.cold,
                "executions": dict(state.executions),
            }
        ).encode()


def _send_announcements(
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
            pass  # The node may not run yet; the next announcement repeats it.
        if stopped.is_set() or stopped.wait(ANNOUNCEMENT_INTERVAL_SECONDS):
            break


def _wait_idle(state: State, seconds: float) -> None:
    deadline = time.monotonic() + seconds
    while state.in_flight and time.monotonic() < deadline:
        time.sleep(0.05)


def _parse_arguments() -> argparse.Namespace:
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
    """Run the stand-in until SIGTERM, then drain it."""
    options = _parse_arguments()
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
        _send_announcements(options, state, stopped)
        _wait_idle(state, 10.0)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
