"""Access of the ingress threads to the sockets of their callers."""

import socket
import typing

from cheroot import server
from cheroot import wsgi

__all__ = ["SOCKET_KEY", "has_disconnected", "make_gateway"]

# Key of the caller's socket in the WSGI environment.
SOCKET_KEY = "apricotpost.caller"


def make_gateway(request: server.HTTPRequest) -> wsgi.Gateway:
    """Make a gateway that adds the caller's socket to the WSGI environment."""
    gateway: typing.Any = wsgi.Gateway_10(request)
    gateway.env[SOCKET_KEY] = request.conn.socket
    return typing.cast(wsgi.Gateway, gateway)


def has_disconnected(caller: socket.socket) -> bool:
    """Return whether the caller has closed its connection.

    Data in the socket is a further request and does not count as closed.
    """
    try:
        return not caller.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        return True
