"""Requests for orders that this node lacks and other nodes have."""

import asyncio
import random

from apricotpost.distribution import orders
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost.sidecar import gossip
from apricotpost.sidecar import links
from apricotpost import wire

__all__ = ["OrderRequests"]


class OrderRequests:
    """Sends requests to nodes that are ahead of this one.

    Parameters
    ----------
    members : fleet.Fleet
        States of all nodes.
    peers : gossip.Gossip
        Connects to other nodes.
    order_store : orders.OrderStore
        Orders of this node.
    rng : random.Random
        Source of the choice among nodes.
    """

    def __init__(
        self,
        *,
        members: fleet.Fleet,
        peers: gossip.Gossip,
        order_store: orders.OrderStore,
        rng: random.Random,
    ) -> None:
        self.members = members
        self.peers = peers
        self.order_store = order_store
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.links: links.Links | None = None

    def send_to_local_peer(self, now: float) -> bool:
        """Request missing orders from a node of this data centre.

        Returns
        -------
        bool
            Whether a request was sent.
        """
        if self.links is None:
            return False
        for state in fleet.live_nodes(self.members, now):
            if (
                state.orders_revision > self.order_store.revision
                and state.data_centre == self.members.data_centre
            ):
                return self.send(state.node)
        return False

    def send_to_any_peer(self) -> None:
        """Request missing orders from any node while the store is lost.

        Nodes of this data centre are preferred.
        """
        now = self.loop.time()
        ahead = [
            state
            for state in fleet.live_nodes(
                self.members, now, within=relays.REMOTE_SILENT_SECONDS
            )
            if state.orders_revision > self.order_store.revision
        ]
        local = [s for s in ahead if s.data_centre == self.members.data_centre]
        if not ahead:
            return
        chosen = self.rng.choice(local or ahead).node
        if not self.send(chosen):
            # The next attempt uses the connection.
            self.peers.connect(chosen)

    def send(self, node: str) -> bool:
        """Request the orders that this node lacks from another one.

        Returns
        -------
        bool
            Whether the request was sent.
        """
        if self.links is None:
            return False
        message = wire.OrdersPull(
            node=self.members.node,
            after_revision=self.order_store.revision,
        )
        return self.links.send(node, message)
