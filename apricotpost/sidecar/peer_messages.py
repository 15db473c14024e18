"""Passes the messages of other nodes on to the tasks of this one."""

import asyncio
from collections.abc import Callable
import functools
import logging

from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.sidecar import backend_requests
from apricotpost.sidecar import body_sender
from apricotpost.sidecar import connections
from apricotpost.sidecar import dispatcher
from apricotpost.sidecar import gate
from apricotpost.sidecar import gossip
from apricotpost.sidecar import links
from apricotpost.sidecar import orders
from apricotpost.sidecar import receipts
from apricotpost.sidecar import rollouts
from apricotpost.sidecar import transfers
from apricotpost.sidecar import usage_reports
from apricotpost import wire

__all__ = ["PeerMessages"]

_LOG = logging.getLogger(__name__)

ANSWERS = (wire.Delivered, wire.Refused, wire.Failed)


class PeerMessages:
    """Messages between the tasks of this node and those of others.

    Parameters
    ----------
    instance : str
        Name of this node.
    members : fleet.Fleet
        States of all nodes.
    peer_links : links.Links
        Sockets to the other nodes.
    connection_manager : connections.ConnectionManager
        Chooses the nodes to which connections are kept.
    own_gate : gate.Gate
        Gate of the backend server beside this node.
    own_dispatcher : dispatcher.Dispatcher
        Requests that this node has received from callers.
    body_transfers : transfers.Transfers
        Bodies that travel in parts.
    sent_receipts : receipts.Receipts
        Responses that other nodes have not confirmed.
    gossip_task : gossip.Gossip
        States of this node and of others.
    order_task : orders.Orders
        Orders in force.
    rollout_task : rollouts.Rollouts
        Trials of new versions.
    usage_task : usage_reports.UsageReports
        Counts and reports of the requests of each tenant.
    is_stopping : callable
        Tells whether the node is about to exit.
    """

    def __init__(
        self,
        *,
        instance: str,
        members: fleet.Fleet,
        peer_links: links.Links,
        connection_manager: connections.ConnectionManager,
        own_gate: gate.Gate,
        own_dispatcher: dispatcher.Dispatcher,
        body_transfers: transfers.Transfers,
        sent_receipts: receipts.Receipts,
        gossip_task: gossip.Gossip,
        order_task: orders.Orders,
        rollout_task: rollouts.Rollouts,
        usage_task: usage_reports.UsageReports,
        is_stopping: Callable[[], bool],
    ) -> None:
        self.instance = instance
        self.members = members
        self.links = peer_links
        self.connections = connection_manager
        self.gate = own_gate
        self.dispatcher = own_dispatcher
        self.transfers = body_transfers
        self.receipts = sent_receipts
        self.gossip = gossip_task
        self.orders = order_task
        self.rollouts = rollout_task
        self.usage = usage_task
        self.is_stopping = is_stopping
        self.loop = asyncio.get_running_loop()

    # Messages to other nodes.

    def send_offer(self, name: str, offer: wire.Offer) -> bool:
        """Send an offer to a node; return False if nothing was sent."""
        if name != self.instance:
            return self.transfers.sender.send_offer(
                name, offer, functools.partial(self.links.send, name)
            )
        self.gate.handle_offer(offer, self.dispatcher.handle_answer)
        self.gate.start_queued()
        return True

    def send_cancel(
        self, name: str, cancel: wire.Cancel | wire.CancelQueued
    ) -> None:
        """Cancel an offer at a node."""
        queued_only = isinstance(cancel, wire.CancelQueued)
        if name != self.instance:
            if not queued_only:
                self.transfers.drop(cancel.call)
            self.links.send(name, cancel)
        elif queued_only:
            self.gate.cancel_queued(cancel.call)
        else:
            self.gate.cancel(cancel.call)

    def make_reply(
        self, identity: bytes, offer: wire.Offer
    ) -> backend_requests.Reply:
        """Return the function that sends the answer to an offer.

        If the connection of the offer is lost, the answer is sent on the
        connection that this node opens to the sender.
        """
        sender = sender_of(offer.call)
        expires_at = self.loop.time() + offer.remaining_ms / 1000.0

        def send(message: wire.Message) -> None:
            if not self.links.reply(identity, message):
                self.connections.open(sender, self.loop.time())
                self.links.send_or_queue(sender, message)

        def reply(
            message: wire.Delivered | wire.Refused | wire.Failed,
        ) -> None:
            if isinstance(message, wire.Delivered) and not body_sender.fits(
                message
            ):
                message = body_sender.fail(message)
            is_large = (
                isinstance(message, wire.Delivered)
                and len(message.body) > body_sender.MAX_INLINE_BYTES
                and offer.receives_parts
            )
            if is_large or self.is_stopping():
                # The process may be told to stop before a large response has
                # arrived.
                message = self.receipts.request(
                    message, expires_at, now=self.loop.time()
                )
            if is_large and isinstance(message, wire.Delivered):
                self.transfers.sender.send_answer(
                    message, node=sender, expires_at=expires_at, send=send
                )
            else:
                send(message)

        return reply

    # Messages of other nodes.

    def handle_inbox(self, identity: bytes, message: wire.Message) -> None:
        """Dispatch a message on a connection that another node has opened."""
        if isinstance(message, wire.NodeState):
            self.gossip.handle_direct_state(message)
        elif isinstance(message, wire.StateBatch):
            self.gossip.handle_batch(message)
        elif isinstance(message, wire.OrdersPush):
            self.orders.handle_push(message)
        elif isinstance(message, wire.OrdersPull):
            self.orders.handle_pull(message)
        elif isinstance(message, wire.TrialNotice):
            self.rollouts.handle_notice(message)
        elif isinstance(message, wire.UsageCounts):
            self.usage.handle_counts(message)
        else:
            send = functools.partial(self.links.reply, identity)
            if isinstance(message, wire.Offer):
                self.transfers.receive_offer(
                    message,
                    node=sender_of(message.call),
                    send=send,
                    reply=self.make_reply(identity, message),
                )
            elif isinstance(message, wire.Cancel):
                self.cancel(message.call)
            elif isinstance(message, wire.CancelQueued):
                self.gate.cancel_queued(message.call)
            elif not self.handle_call_message(message, send):
                events.emit(
                    _LOG, events.LINK_MALFORMED, error=type(message).__name__
                )

    def handle_answer(self, name: str, message: wire.Message) -> None:
        """Process a message on a connection that this node has opened."""
        fleet.record_contact(self.members, name, self.loop.time())
        if isinstance(message, wire.Cancel):
            # Of a response that was sent on this connection.
            self.cancel(message.call)
        else:
            send = functools.partial(self.links.send, name)
            self.handle_call_message(message, send)

    def handle_call_message(
        self, message: wire.Message, send: body_sender.Send
    ) -> bool:
        """Process a message of a call that may come on either connection.

        Returns
        -------
        bool
            Whether the message is of such a type.
        """
        if isinstance(message, wire.BodyPart):
            self.transfers.receiver.handle_part(message)
        elif isinstance(message, wire.BodyGrant):
            self.transfers.sender.handle_grant(message, send)
        elif isinstance(message, wire.Receipt):
            self.receipts.record(message.call)
        elif isinstance(message, ANSWERS):
            self.transfers.receive_answer(
                message,
                node=self.dispatcher.find_node(message.call),
                send=send,
            )
        else:
            return False
        return True

    def cancel(self, call: str) -> None:
        """Cancel an offer of another node, or the response to it."""
        self.transfers.drop(call)
        self.receipts.record(call)
        self.gate.cancel(call)
        if not self.gate.is_running(call):
            self.transfers.release(call)

    def handle_link_change(self, name: str, connected: bool) -> None:
        """Send state and trials to a connected node, or handle its loss."""
        if connected:
            self.gossip.send_state_to(name)
            self.rollouts.send_all_notices(name)
            self.usage.handle_connected(name)
        else:
            self.transfers.handle_node_lost(name)
            self.dispatcher.handle_node_lost(name)


def sender_of(call: str) -> str:
    """Return the node that has made a call, from the call's identifier."""
    return call.split("/", 1)[0]
