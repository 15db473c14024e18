"""Memory that a node holds for its callers, its peers and its server."""

from apricotpost.memory.budget import Budget
from apricotpost.memory.budget import Holder
from apricotpost.memory.budget import Reservation
from apricotpost.memory.budget import SMALL_BYTES
from apricotpost.memory.buffers import find_reservation
from apricotpost.memory.buffers import HeldBytes
from apricotpost.memory.room import Room
from apricotpost.memory.room import Wait

__all__ = [
    "Budget",
    "HeldBytes",
    "Holder",
    "Reservation",
    "Room",
    "SMALL_BYTES",
    "Wait",
    "find_reservation",
]
