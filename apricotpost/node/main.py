"""Program ``apricotpost-node``: the process beside a backend server."""

import argparse
from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import dataclasses
import functools
import logging
import pathlib
import queue
import random
import signal
import sys
import threading
import time

from cheroot import wsgi

from apricotpost import errors
from apricotpost import events
from apricotpost.node import addresses
from apricotpost.node import admin
from apricotpost.node import announcements
from apricotpost.node import callers
from apricotpost.node import control
from apricotpost.node import dispatch
from apricotpost.node import gate
from apricotpost.node import ingress
from apricotpost.node import keyed_calls
from apricotpost.node import metrics
from apricotpost.node import platform as platform_task
from apricotpost.node import rollouts
from apricotpost.node import shutdown
from apricotpost.node import stores
from apricotpost.node import views
from apricotpost import settings
from apricotpost import wire

__all__ = ["main", "run"]

LOG = logging.getLogger(__name__)
DESCRIPTION = (
    "Run the node that carries one backend server's calls and configuration."
)
EXAMPLES = """examples:
  apricotpost-node /etc/apricotpost/node.jsonc
  apricotpost-node --check /etc/apricotpost/node.jsonc
"""
JOIN_TIMEOUT_SECONDS = 5.0
CLOSE_LINGER_MS = 1000

App = Callable[..., Iterable[bytes]]


@dataclasses.dataclass(kw_only=True)
class _Node:
    """State of the main thread."""

    options: settings.NodeSettings
    context: wire.sockets.Context
    current: views.CurrentView
    stack: contextlib.ExitStack
    signals: queue.SimpleQueue[int]
    servers: list[wsgi.Server] = dataclasses.field(default_factory=list)
    failures: list[BaseException] = dataclasses.field(default_factory=list)


def main(arguments: list[str] | None = None) -> int:
    """Run the command line and return its exit status.

    Returns
    -------
    int
        0 after a drain, 2 for invalid settings, 3 for an occupied address.
    """
    parser = argparse.ArgumentParser(
        prog="apricotpost-node",
        description=DESCRIPTION,
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", type=pathlib.Path)
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parsed = parser.parse_args(arguments)
    try:
        options = settings.load(parsed.settings)
        if parsed.check:
            return 0
        events.configure(style=options.logs.style, level=options.logs.level)
        run(options)
    except errors.ApricotpostError as error:
        print(errors.format_error(error), file=sys.stderr)
        return error.exit_code
    return 0


def run(options: settings.NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT, then drain it.

    Parameters
    ----------
    options : NodeSettings
        Validated settings.

    Raises
    ------
    apricotpost.errors.AddressInUse
        A listening address is in use.
    """
    signals: queue.SimpleQueue[int] = queue.SimpleQueue()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda received, _: signals.put(received))
    with contextlib.ExitStack() as stack:
        context = wire.sockets.make_context()
        stack.callback(_close_context, context)
        node = _Node(
            options=options,
            context=context,
            current=views.CurrentView(),
            stack=stack,
            signals=signals,
        )
        _start_tasks(node)
        external_ingress = _start_servers(node)
        events.emit(
            LOG,
            events.NODE_STARTED,
            instance=options.instance,
            data_centre=options.data_centre,
        )
        signals.get()
        external_ingress.draining = True
        shutdown.drain(
            context=context,
            servers=node.servers,
            signals=signals,
            times=options.times,
        )
    if node.failures:
        raise node.failures[0]
    events.emit(LOG, events.NODE_STOPPED)


def _close_context(context: wire.sockets.Context) -> None:
    """Close the context unless another thread still runs.

    libzmq aborts the process if a socket is closed here while its thread uses
    it. In that case the sockets are closed by the end of the process.
    """
    if threading.active_count() == 1:
        context.destroy(linger=CLOSE_LINGER_MS)


def _start_tasks(node: _Node) -> None:
    options = node.options
    start = functools.partial(_start_task, node)
    store = stores.open_store(options.platform)
    seed = f"{options.instance}-{time.time_ns()}"
    start(
        addresses.PLATFORM,
        lambda: platform_task.run(context=node.context, store=store),
    )
    start(
        addresses.CONTROL,
        lambda: control.run(
            context=node.context,
            current=node.current,
            options=options,
            rng=random.Random(seed + "-control"),
        ),
    )
    start(
        addresses.GATE,
        lambda: gate.run(
            context=node.context,
            current=node.current,
            data_centre=options.data_centre,
            call_address=addresses.tcp(options.addresses.call),
            instance=options.instance,
            recorder=metrics.make_recorder(options.metrics),
        ),
    )
    start(
        addresses.DISPATCH,
        lambda: dispatch.run(
            context=node.context,
            current=node.current,
            data_centre=options.data_centre,
            rng=random.Random(seed + "-dispatch"),
            recorder=metrics.make_recorder(options.metrics),
        ),
    )
    start(
        addresses.ROLLOUT,
        lambda: rollouts.run(
            context=node.context,
            current=node.current,
            options=options,
            store=stores.open_store(options.platform),
            rng=random.Random(seed + "-rollout"),
        ),
    )
    admin.start_tasks(
        start,
        context=node.context,
        current=node.current,
        options=options,
    )


def _start_task(node: _Node, address: str, target: Callable[[], None]) -> None:
    """Start a task in a thread; it receives commands at an endpoint."""

    def run_guarded() -> None:
        try:
            target()
        except Exception as error:
            events.emit(LOG, events.TASK_FAILED, task=address, error=error)
            node.failures.append(error)
            node.signals.put(signal.SIGTERM)

    thread = threading.Thread(target=run_guarded, name=address, daemon=True)

    def stop() -> None:
        socket = wire.sockets.connect_dealer(node.context, address)
        wire.sockets.send(socket, wire.StopTask())
        thread.join(JOIN_TIMEOUT_SECONDS)
        socket.close()

    thread.start()
    node.stack.callback(stop)


def _start_servers(node: _Node) -> ingress.Ingress:
    options = node.options
    threads = min(options.ingress_threads, options.local_threads)
    keyed = keyed_calls.KeyedCalls(
        open_store=lambda: stores.open_store(options.platform),
        table_slots=threading.BoundedSemaphore(max(threads // 2, 1)),
    )
    node.stack.callback(keyed_calls.close, keyed)
    external_ingress = ingress.Ingress(
        context=node.context,
        current=node.current,
        instance=options.instance + "-o",
        trusted=False,
        keyed=keyed,
    )
    local_ingress = ingress.Ingress(
        context=node.context,
        current=node.current,
        instance=options.instance + "-l",
        trusted=True,
        keyed=keyed,
    )
    _start_server(
        node,
        options.addresses.ingress,
        ingress.make_app(external_ingress),
        options.ingress_threads,
    )
    _start_server(
        node,
        options.addresses.local,
        announcements.make_app(node.context, ingress.make_app(local_ingress)),
        options.local_threads,
    )
    _start_server(
        node,
        options.addresses.admin,
        admin.make_app(
            context=node.context, current=node.current, options=options
        ),
        admin.THREADS,
    )
    return external_ingress


def _start_server(node: _Node, address: str, app: App, threads: int) -> None:
    host, _, port = address.rpartition(":")
    server = wsgi.Server(
        (host.strip("[]"), int(port)),
        app,
        numthreads=threads,
        request_queue_size=1024,
        max=threads,
    )
    server.max_request_body_size = 0
    server.gateway = callers.make_gateway
    try:
        server.prepare()
    except OSError as error:
        raise errors.AddressInUse(
            f"cannot listen on {address}: {error}"
        ) from error
    thread = threading.Thread(target=server.serve, name=address, daemon=True)
    thread.start()
    node.servers.append(server)

    def stop() -> None:
        server.stop()
        thread.join(JOIN_TIMEOUT_SECONDS)

    node.stack.callback(stop)


if __name__ == "__main__":
    raise SystemExit(main())
