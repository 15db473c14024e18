"""Requests the instance records from the control task."""

import dataclasses

import zmq

from apricotpost import errors
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import views
from apricotpost import wire

__all__ = ["read_current_instances"]

REPLY_TIMEOUT_SECONDS = 2.0


def read_current_instances(
    context: wire.sockets.Context, current: views.CurrentView
) -> model.View:
    """Return the view with the latest records of all instances.

    The view in force is replaced only if a field changes that the call path
    reads, so the configuration versions in its records may be outdated.

    Raises
    ------
    apricotpost.errors.NodeUnreachable
        The control task did not reply in time.
    """
    with wire.sockets.connect_dealer(context, addresses.CONTROL) as socket:
        wire.sockets.send(socket, wire.StatusRequest())
        if not socket.poll(int(REPLY_TIMEOUT_SECONDS * 1000), zmq.POLLIN):
            raise errors.NodeUnreachable(
                "the control task did not reply in time"
            )
        reply = wire.sockets.receive(socket)
    return dataclasses.replace(current.view, instances=reply.instances)
