"""Asks control for all that it knows of the instances."""

import dataclasses

import zmq

from apricotpost import errors
from apricotpost import model
from apricotpost.node import addresses
from apricotpost.node import views
from apricotpost import wire

__all__ = ["read_fleet"]

ASK_SECONDS = 2.0


def read_fleet(
    context: wire.sockets.Context, current: views.Current
) -> model.View:
    """Return the view with the versions that instances hold by now.

    The view in force is replaced only when something changes that the call
    path reads, so the versions in it may be old.

    Raises
    ------
    apricotpost.errors.NodeUnreachable
        Control did not answer.
    """
    with wire.sockets.connect_dealer(context, addresses.CONTROL) as socket:
        wire.sockets.send(socket, wire.StatusRequest())
        if not socket.poll(int(ASK_SECONDS * 1000), zmq.POLLIN):
            raise errors.NodeUnreachable("the control task does not answer")
        reply = wire.sockets.receive(socket)
    return dataclasses.replace(current.view, instances=reply.instances)
