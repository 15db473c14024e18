"""Endpoints of the tasks inside a node, and the form of TCP endpoints."""

__all__ = [
    "BACKEND",
    "CONTROL",
    "DISPATCH",
    "GATE",
    "ROLLOUT",
    "LEVELS",
    "MEASUREMENTS",
    "MOVES",
    "PLATFORM",
    "tcp",
]

BACKEND = "inproc://backend"
CONTROL = "inproc://control"
DISPATCH = "inproc://dispatch"
GATE = "inproc://gate"
LEVELS = "inproc://levels"
MEASUREMENTS = "inproc://measurements"
MOVES = "inproc://moves"
PLATFORM = "inproc://platform"
ROLLOUT = "inproc://rollout"


def tcp(address: str) -> str:
    """Return the ZeroMQ endpoint of an IP:PORT address."""
    return f"tcp://{address}"
