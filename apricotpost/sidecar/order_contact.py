"""Last contact of this node with the source of the orders."""

import logging

from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import relays

__all__ = ["OrderContact"]

_LOG = logging.getLogger(__name__)

# Contact is reported as lost after this time. The reader of a data centre
# hears from the store every 2 s.
LOST_SECONDS = 5.0


class OrderContact:
    """Contact with the store, or with a node that reads the store.

    Parameters
    ----------
    members : fleet.Fleet
        States of all nodes.
    """

    def __init__(self, *, members: fleet.Fleet) -> None:
        self.members = members
        # Monotonic time of the last contact with the node having all orders,
        # in seconds.
        self.last_at = float("-inf")
        self.lost = False

    def record_read(self, now: float) -> None:
        """Record that this node has read all orders from the store."""
        self.last_at = now

    def update(self, now: float, *, revision: int) -> None:
        """Take account of the states of other nodes.

        A reader that holds newer orders does not count. As that is so for a
        moment after each change, this is called often.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        revision : int
            Revision of the orders that this node holds.
        """
        heard_at = fleet.reader_heard_at(
            self.members,
            now,
            revision=revision,
            remote_silent=relays.REMOTE_SILENT_SECONDS,
        )
        self.last_at = max(self.last_at, heard_at)
        lost = now - self.last_at > LOST_SECONDS
        if lost != self.lost:
            self.lost = lost
            events.emit(_LOG, events.ORDER_CONTACT_CHANGED, lost=lost)
