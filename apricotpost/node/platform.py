"""Task that reads the configuration from the platform."""

import contextlib
import logging

import zmq

from apricotpost import errors
from apricotpost import events
from apricotpost.node import addresses
from apricotpost import storage
from apricotpost import wire

__all__ = ["run"]

LOG = logging.getLogger(__name__)
POLL_TIMEOUT_MS = 1000


def run(*, context: wire.sockets.Context, store: storage.Store) -> None:
    """Serve the control task's read requests until asked to stop.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    store : apricotpost.storage.Store
        Connection to the store; this task owns and closes it.
    """
    with contextlib.ExitStack() as stack:
        stack.callback(store.channel.pool.clear)
        socket = stack.enter_context(
            wire.sockets.bind_router(context, addresses.PLATFORM)
        )
        available = True
        while True:
            if not socket.poll(POLL_TIMEOUT_MS, zmq.POLLIN):
                continue
            identity, message = wire.sockets.receive_routed(socket)
            if isinstance(message, wire.StopTask):
                return
            if isinstance(message, wire.ReadConfig):
                config_read = _read_config(store, message.have, available)
                available = config_read.available
                wire.sockets.send_routed(socket, identity, config_read)


def _read_config(
    store: storage.Store, have: int, was_available: bool
) -> wire.ConfigRead:
    try:
        head, deltas, snapshot = storage.read_updates(store, have)
    except errors.ApricotpostError as error:
        if was_available:
            events.emit(LOG, events.CONFIG_READ_FAILED, error=error)
        return wire.ConfigRead(available=False)
    if not was_available:
        events.emit(LOG, events.CONFIG_READ_RECOVERED)
    return wire.ConfigRead(
        available=True, head=head, deltas=deltas, snapshot=snapshot
    )
