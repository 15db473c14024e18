"""Latency of messages between the tasks of two nodes, without HTTP.

The same path, from a calling task through dispatch and gate to a worker and
back, is run by threads with blocking sockets and by tasks of an asyncio loop.
"""

import asyncio
import contextlib
import threading
import time
import typing

import zmq
import zmq.asyncio

from standins import fleet

__all__ = ["run"]

# 10 s at 83 calls per second.
ROUNDS = 83 * 10
PAUSE_SECONDS = 1 / 83
BODY = b"x" * 300
STOP = b"stop"


def run(full: bool) -> dict[str, typing.Any]:
    """Compare threads with asyncio at 83 calls a second.

    Returns
    -------
    dict
        The value is the 99th percentile with threads. Its target is half
        of the 2 ms that the nodes may add to a call.
    """
    rounds = ROUNDS * (4 if full else 1)
    threads = _percentiles(_run_threads(rounds))
    event_loop = _percentiles(asyncio.run(_run_asyncio(rounds)))
    value = threads["p99_ms"]
    return {
        "name": "handover",
        "value": value,
        "unit": "ms",
        "target": 1.0,
        "holds": value <= 1.0,
        "raw": {"threads": threads, "asyncio": event_loop},
    }


def _percentiles(durations: list[float]) -> dict[str, float]:
    ordered = sorted(durations)
    return {
        "p50_ms": ordered[len(ordered) // 2] * 1000,
        "p99_ms": ordered[int(len(ordered) * 0.99)] * 1000,
    }


def _run_threads(rounds: int) -> list[float]:
    (port,) = fleet.free_ports(1)
    with contextlib.ExitStack() as stack:
        context = stack.enter_context(zmq.Context())
        ready = threading.Barrier(4)
        for bind_address, connect_address in (
            ("inproc://dispatch", f"tcp://127.0.0.1:{port}"),
            (f"tcp://127.0.0.1:{port}", "inproc://worker"),
            ("inproc://worker", ""),
        ):
            threading.Thread(
                target=_run_proxy,
                args=(context, bind_address, connect_address, ready),
                daemon=True,
            ).start()
        ready.wait(10)
        socket = stack.enter_context(context.socket(zmq.DEALER))
        socket.linger = 0
        socket.connect("inproc://dispatch")
        durations = []
        for _ in range(rounds):
            time.sleep(PAUSE_SECONDS)
            started = time.perf_counter()
            socket.send(BODY)
            socket.recv()
            durations.append(time.perf_counter() - started)
        socket.send(STOP)
        socket.recv()
    return durations


def _run_proxy(
    context: zmq.Context[zmq.Socket[bytes]],
    bind_address: str,
    connect_address: str,
    ready: threading.Barrier,
) -> None:
    """Forward messages and return answers; the last proxy echoes."""
    with contextlib.ExitStack() as stack:
        router = stack.enter_context(context.socket(zmq.ROUTER))
        router.linger = 200
        router.bind(bind_address)
        poller = zmq.Poller()
        poller.register(router, zmq.POLLIN)
        dealer = None
        if connect_address:
            dealer = stack.enter_context(context.socket(zmq.DEALER))
            dealer.linger = 200
            dealer.connect(connect_address)
            poller.register(dealer, zmq.POLLIN)
        ready.wait(10)
        body = b""
        while body != STOP:
            for socket, _ in poller.poll(1000):
                frames = socket.recv_multipart()
                if socket is router and dealer is not None:
                    dealer.send_multipart(frames)
                    continue
                router.send_multipart(frames)
                body = frames[-1]


async def _run_asyncio(rounds: int) -> list[float]:
    (port,) = fleet.free_ports(1)
    with contextlib.ExitStack() as stack:
        context = stack.enter_context(zmq.asyncio.Context())
        tasks = []
        for bind_address, connect_address in (
            ("inproc://worker", ""),
            (f"tcp://127.0.0.1:{port}", "inproc://worker"),
            ("inproc://dispatch", f"tcp://127.0.0.1:{port}"),
        ):
            router = stack.enter_context(context.socket(zmq.ROUTER))
            router.linger = 0
            router.bind(bind_address)
            dealer = None
            if connect_address:
                dealer = stack.enter_context(context.socket(zmq.DEALER))
                dealer.linger = 0
                dealer.connect(connect_address)
                tasks.append(asyncio.create_task(_forward(dealer, router)))
            tasks.append(
                asyncio.create_task(_forward(router, dealer or router))
            )
        socket = stack.enter_context(context.socket(zmq.DEALER))
        socket.linger = 0
        socket.connect("inproc://dispatch")
        durations = []
        for _ in range(rounds):
            await asyncio.sleep(PAUSE_SECONDS)
            started = time.perf_counter()
            await socket.send(BODY)
            await socket.recv()
            durations.append(time.perf_counter() - started)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    return durations


async def _forward(
    source: zmq.asyncio.Socket, target: zmq.asyncio.Socket
) -> None:
    while True:
        await target.send_multipart(await source.recv_multipart())
