"""Connections of callers, as seen by the threads that serve them."""

import socket
import typing

from cheroot import server
from cheroot import wsgi

__all__ = ["KEY", "has_hung_up", "make_gateway"]

# Key of the caller's socket in the WSGI environment.
KEY = "apricotpost.caller"


def make_gateway(request: server.HTTPRequest) -> wsgi.Gateway:
    """Make a gateway that shows the caller's socket to the application."""
    gateway: typing.Any = wsgi.Gateway_10(request)
    gateway.env[KEY] = request.conn.socket
    return typing.cast(wsgi.Gateway, gateway)


def has_hung_up(caller: socket.socket) -> bool:
    """Tell an end of the connection from a further request in it."""
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
