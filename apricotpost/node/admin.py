"""Connects the administration API to the tasks of the node."""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import threading
import typing

from apricotpost import admin
from apricotpost import events
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import levels
from apricotpost.node import moves
from apricotpost.node import status
from apricotpost.node import stores
from apricotpost.node import views
from apricotpost import settings
from apricotpost import wire

__all__ = ["THREADS", "make_app", "start_tasks"]

LOG = logging.getLogger(__name__)
THREADS = 2

App = Callable[..., Iterable[bytes]]


def make_app(
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    options: settings.NodeSettings,
) -> App:
    """Make the WSGI application that serves the admin address."""
    local = threading.local()

    def notify_control(delta: model.Delta, author: str) -> None:
        events.emit(
            LOG,
            events.CONFIG_COMMITTED,
            version=delta.version,
            author=author,
        )
        if getattr(local, "control", None) is None:
            local.control = wire.sockets.connect_dealer(
                context, addresses.CONTROL
            )
        wire.sockets.send(
            local.control,
            wire.ConfigCommitted(version=delta.version, delta=delta),
        )

    def read_levels() -> typing.Any:
        reply = levels.request_levels(context)
        return {
            "instance": options.instance,
            "since": reply.since,
            "at": reply.at,
            "levels": reply.levels,
        }

    shared = admin.AdminState(
        options=options,
        open_store=lambda: stores.open_store(options.platform),
        read_view=lambda: current.view,
        read_current_instances=lambda: status.read_current_instances(
            context, current
        ),
        notify_committed=notify_control,
        read_levels=read_levels,
    )
    return admin.make_app(shared)


def start_tasks(
    start: Callable[[str, Callable[[], None]], None],
    *,
    context: wire.sockets.Context,
    current: views.CurrentView,
    options: settings.NodeSettings,
) -> None:
    """Start the tasks that serve operators: service levels and moves.

    Parameters
    ----------
    start : callable
        Starts a task; its arguments are the endpoint at which the task
        receives commands and the task's function.
    context : zmq.Context
        ZeroMQ context of this process.
    current : CurrentView
        Reference to the view in force, shared by the node's tasks.
    options : NodeSettings
        Settings of the node.
    """
    start(
        addresses.LEVELS,
        lambda: levels.run(
            context=context, current=current, options=options.levels
        ),
    )
    start(
        addresses.MOVES,
        lambda: moves.run(
            context=context,
            current=current,
            instance=options.instance,
            store=stores.open_store(options.platform),
        ),
    )
