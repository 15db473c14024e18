"""Ports of loopback addresses, reserved until the processes have used them."""

from collections.abc import Iterator
import contextlib
import itertools
import os
import socket

__all__ = ["reserve"]

# The ports lie below the system's range for outgoing connections, which could
# use one between its choice and the start of the node.
FIRST_PORT = 10_000
PORT_COUNT = 20_000


def reserve(stack: contextlib.ExitStack, host: str, count: int) -> list[int]:
    """Return ports that no other run chooses until the stack is closed.

    A process that is still starting does not listen yet, so that a check for
    listeners would give its ports to two processes. The reservation is a UDP
    socket on the same number: the kernel gives it to one owner only, also
    among concurrent runs, and it does not hinder TCP.

    Parameters
    ----------
    stack : contextlib.ExitStack
        Owns the reservations.
    host : str
        IP address of the ports.
    count : int
        Number of ports.

    Raises
    ------
    RuntimeError
        Fewer ports are free.
    """
    ports: list[int] = []
    for port in _candidates():
        if len(ports) == count:
            return ports
        if _reserve_one(stack, host, port):
            ports.append(port)
    raise RuntimeError(f"fewer than {count} ports of {host} are free")


def _candidates() -> Iterator[int]:
    """Return all ports; each process begins at another one."""
    start = next(_STARTS)
    return (
        FIRST_PORT + (start + index) % PORT_COUNT
        for index in range(PORT_COUNT)
    )


_STARTS = itertools.count(os.getpid() * 101, 7)


def _reserve_one(stack: contextlib.ExitStack, host: str, port: int) -> bool:
    with contextlib.ExitStack() as attempt:
        reservation = attempt.enter_context(
            socket.socket(type=socket.SOCK_DGRAM)
        )
        listener = attempt.enter_context(socket.socket())
        try:
            reservation.bind((host, port))
            listener.bind((host, port))
        except OSError:
            return False
        listener.close()
        stack.push(attempt.pop_all())
    return True
