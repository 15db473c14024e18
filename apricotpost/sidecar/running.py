"""Runs the tasks of a node until SIGTERM."""

import asyncio
from collections.abc import Coroutine
import contextlib
import logging
import pathlib
import signal
import typing

from apricotpost import events
from apricotpost.sidecar import logs
from apricotpost.sidecar import node
from apricotpost.sidecar import options

__all__ = ["run"]

_LOG = logging.getLogger(__name__)


async def run(
    *,
    settings: options.Options,
    path: pathlib.Path,
    output: logs.OutputHandler,
) -> int:
    """Run a node until SIGTERM and return its exit code."""
    async with contextlib.AsyncExitStack() as stack:
        stack.callback(output.write_lines)
        own_node = node.Node(settings=settings, path=path, output=output)
        stack.callback(own_node.links.close)
        stack.callback(own_node.gate.close)
        stack.callback(own_node.store_client.close)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, own_node.stopping.set)
        loop.add_signal_handler(signal.SIGINT, own_node.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, own_node.reload, "SIGHUP")
        await own_node.listen(stack)
        events.emit(
            _LOG,
            events.SIDECAR_STARTED,
            instance=settings.instance,
            data_centre=settings.data_centre,
        )
        tasks: dict[str, Coroutine[typing.Any, typing.Any, None]] = {
            "gossip": own_node.gossip.run(),
            "orders": own_node.orders.run(),
            "rollouts": own_node.rollouts.run(),
            "usage": own_node.usage.run(),
            "logs": own_node.flush_logs(),
            "traffic": own_node.report_traffic(),
            "settings": own_node.watch_settings(),
        }
        running = [
            loop.create_task(_run_task(name, task, own_node.stopping))
            for name, task in tasks.items()
        ]
        await own_node.stopping.wait()
        await own_node.drain()
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
    return 0


async def _run_task(
    name: str,
    task: Coroutine[typing.Any, typing.Any, None],
    stopping: asyncio.Event,
) -> None:
    """Run a task; stop the node if the task fails.

    The supervisor of the process starts it again.
    """
    try:
        await task
    except asyncio.CancelledError:
        raise
    except Exception as error:
        events.emit(_LOG, events.TASK_ENDED, task=name, error=repr(error))
        _LOG.exception("task %s failed; the node stops", name)
        stopping.set()
