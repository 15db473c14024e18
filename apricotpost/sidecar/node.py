"""Connects the tasks of a node."""

import asyncio
import contextlib
import logging
import os
import pathlib
import random
import time

from apricotpost import errors
from apricotpost import events
from apricotpost import http
from apricotpost.membership import fleet
from apricotpost import memory
from apricotpost import platform
from apricotpost.rollout import trials
from apricotpost.sidecar import capacity
from apricotpost.sidecar import connections
from apricotpost.sidecar import dispatcher
from apricotpost.sidecar import explanations
from apricotpost.sidecar import gate
from apricotpost.sidecar import gossip
from apricotpost.sidecar import links
from apricotpost.sidecar import listeners
from apricotpost.sidecar import logs
from apricotpost.sidecar import metrics
from apricotpost.sidecar import options
from apricotpost.sidecar import orders
from apricotpost.sidecar import peer_messages
from apricotpost.sidecar import receipts
from apricotpost.sidecar import rollouts
from apricotpost.sidecar import server_index
from apricotpost.sidecar import stopping
from apricotpost.sidecar import transfers
from apricotpost.sidecar import usage_reports
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Node"]

_LOG = logging.getLogger(__name__)

FLUSH_SECONDS = 0.2
SETTINGS_CHECK_SECONDS = 1.0
TRAFFIC_REPORT_SECONDS = 15.0


class Node:
    """The tasks of a node and the messages between them.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    path : pathlib.Path
        Settings file, for reloads.
    output : logs.OutputHandler
        Writes the log lines.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        path: pathlib.Path,
        output: logs.OutputHandler,
    ) -> None:
        self.settings = settings
        self.path = path
        self.output = output
        self.loop = asyncio.get_running_loop()
        self.stopping = asyncio.Event()
        self.ready = False
        boot = time.time_ns() // 1_000_000
        rng = random.Random(f"{settings.instance}-{boot}")
        self.metrics = metrics.Metrics()
        self.receipts = receipts.Receipts()
        # Memory for callers, shared by all that holds bytes for them.
        self.budget = memory.Budget(
            limit_bytes=capacity.budget_bytes(settings.memory_mb)
        )
        self.room = memory.Room(account=self.budget)
        self.members = fleet.Fleet(
            node=settings.instance, data_centre=settings.data_centre
        )
        self.links = links.Links(
            address=settings.addresses.links,
            on_inbox=lambda identity, message: (
                self.peer_messages.handle_inbox(identity, message)
            ),
            on_answer=lambda name, message: (
                self.peer_messages.handle_answer(name, message)
            ),
            # A batch may have cancelled offers that came before.
            on_batch=lambda: self.gate.start_queued(),
            on_change=self.handle_link_change,
        )
        self.servers = server_index.ServerIndex(
            members=self.members,
            regions=settings.data_centres,
            is_connected=self.links.is_connected,
        )
        self.gossip = gossip.Gossip(
            settings=settings,
            boot=boot,
            members=self.members,
            servers=self.servers,
            on_state=self.handle_state,
        )
        self.gate = gate.Gate(
            settings=settings,
            read_view=self.read_view,
            on_change=self.gossip.schedule_publish,
            instruments=self.metrics,
            record_start=lambda tenant: self.usage.record_start(tenant),
            room=self.room,
        )
        self.gossip.gate = self.gate
        self.gossip.links = self.links
        store_host, store_port = options.split_address(settings.store.address)
        self.store_client = http.Client(host=store_host, port=store_port)
        self.store = platform.Store(
            client=self.store_client, host=settings.store.address
        )
        self.usage = usage_reports.UsageReports(
            settings=settings,
            boot=boot,
            members=self.members,
            store=self.store,
            send=self.links.send,
            connect=self.gossip.connect,
            on_lease=self.gossip.schedule_publish,
        )
        self.gossip.read_lease = self.usage.describe_lease
        self.orders = orders.Orders(
            settings=settings,
            store=self.store,
            members=self.members,
            peers=self.gossip,
            on_view=self.handle_view_change,
            rng=rng,
        )
        self.orders.links = self.links
        self.orders.requests.links = self.links
        self.rollouts = rollouts.Rollouts(
            settings=settings,
            store=self.store,
            members=self.members,
            servers=self.servers,
            order_task=self.orders,
        )
        self.rollouts.links = self.links
        self.orders.read_trials = self.rollouts.records.read
        self.store.on_new_era = self.rollouts.records.forget
        self.dispatcher = dispatcher.Dispatcher(
            settings=settings,
            boot=format(boot, "x"),
            read_view=self.read_view,
            servers=self.servers,
            send_offer=lambda name, offer: (
                self.peer_messages.send_offer(name, offer)
            ),
            send_cancel=lambda name, cancel: (
                self.peer_messages.send_cancel(name, cancel)
            ),
            on_new_service=self.gossip.update_connections,
            instruments=self.metrics,
            rng=rng,
            contact_age_seconds=self.orders.contact_age_seconds,
        )
        self.servers.on_change = self.dispatcher.held.schedule_resume
        self.connections = connections.ConnectionManager(
            members=self.members,
            peer_links=self.links,
            called_services=self.dispatcher.balancer.called_services,
            fully_connected_versions=self.versions_on_trial,
            evacuated=lambda: self.orders.view.evacuated,
            has_open_attempts=self.dispatcher.has_open_attempts,
        )
        self.gossip.connections = self.connections
        self.transfers = transfers.Transfers(
            budget=self.budget,
            handle_offer=self.gate.handle_offer,
            handle_answer=self.dispatcher.handle_answer,
            find_refusal=self.gate.server.find_refusal,
            find_deadline=self.dispatcher.find_deadline,
            receives_parts=self.receives_parts,
            instruments=self.metrics,
        )
        self.peer_messages = peer_messages.PeerMessages(
            instance=settings.instance,
            members=self.members,
            peer_links=self.links,
            connection_manager=self.connections,
            own_gate=self.gate,
            own_dispatcher=self.dispatcher,
            body_transfers=self.transfers,
            sent_receipts=self.receipts,
            gossip_task=self.gossip,
            order_task=self.orders,
            rollout_task=self.rollouts,
            usage_task=self.usage,
            is_stopping=self.stopping.is_set,
        )
        self.handlers = {
            settings.addresses.callers: self.dispatcher.handle_request,
            settings.addresses.readiness: self.answer_readiness,
            settings.addresses.announcements: self.gate.answer_announcement,
            settings.addresses.metrics: self.answer_operator,
        }
        self.listeners: dict[str, http.Listener] = {}

    # Messages between the tasks.

    def read_view(self) -> views.TrafficView:
        """Return the orders in force."""
        return self.orders.view

    def receives_parts(self, name: str) -> bool:
        """Tell whether a node receives large bodies in parts."""
        node = self.members.nodes.get(name)
        return node is not None and node.state.receives_parts

    def versions_on_trial(self) -> list[tuple[str, str]]:
        """Return the services on trial with their new versions."""
        return [
            (trial.service, trial.new)
            for trial in self.orders.view.service_trials.values()
            if trial.phase not in trials.FINAL_PHASES
        ]

    def handle_link_change(self, name: str, connected: bool) -> None:
        """Send state and trials to a connected node, or handle its loss."""
        state = "open" if connected else "lost"
        events.emit(_LOG, events.LINK_CHANGED, node=name, state=state)
        self.servers.invalidate()
        self.peer_messages.handle_link_change(name, connected)

    def handle_state(self, state: wire.NodeState, new_process: bool) -> None:
        """Pass a node's state to load balancing and rollouts."""
        server = state.server
        if server is not None:
            self.dispatcher.balancer.record_load(server.backend, server.load)
        self.rollouts.handle_state(state)
        self.usage.handle_state(state)
        if new_process:
            self.rollouts.send_all_notices(state.node)

    def handle_view_change(
        self, before: views.TrafficView, after: views.TrafficView
    ) -> None:
        """Apply a changed view to the tasks that depend on it."""
        own_data_centre = self.settings.data_centre
        if (
            own_data_centre in before.evacuated
            and own_data_centre not in after.evacuated
        ):
            # Without requests, the backend server may have become cold.
            self.gate.server.assume_cold()
        for service in after.rollouts:
            if after.rollouts[service] != before.rollouts.get(service):
                self.rollouts.start_trial(service)
        if before.evacuated != after.evacuated:
            self.gossip.update_connections()
        self.dispatcher.handle_view_change(before, after)
        self.gate.server.update_cold()
        self.gate.refuse_queue()
        self.metrics.configuration.set(after.version)
        limits = after.limits
        listener = self.listeners.get(self.settings.addresses.callers)
        if limits is not None and listener is not None:
            listener.limits = http.Limits(
                header_bytes=limits.header_bytes,
                body_bytes=limits.body_bytes,
                header_seconds=limits.header_ms / 1000.0,
                idle_seconds=limits.idle_ms / 1000.0,
            )

    # Handlers of the addresses.

    def answer_readiness(self, exchange: http.Exchange) -> None:
        """Answer a readiness check of the platform."""
        ready = bool(self.orders.view.version) and not self.stopping.is_set()
        if ready != self.ready:
            self.ready = ready
            events.emit(_LOG, events.READINESS_CHANGED, ready=ready)
        exchange.respond(http.Response(status=200 if ready else 503))

    def answer_operator(self, exchange: http.Exchange) -> None:
        """Answer a question about a route, or a scrape of the metrics."""
        question = explanations.parse_question(exchange.request.target)
        if question is None:
            self.answer_scrape(exchange)
            return
        explanation = explanations.explain(
            question,
            view=self.orders.view,
            servers=self.servers,
            balancer=self.dispatcher.balancer,
            now=self.loop.time(),
        )
        exchange.respond(explanations.encode_response(explanation))

    def answer_scrape(self, exchange: http.Exchange) -> None:
        """Answer a scrape of the metrics."""
        self.metrics.log_events.values = {
            (f"AP-{number}",): count
            for number, count in self.output.event_counts.items()
        }
        for holder, size in self.budget.describe().items():
            self.metrics.held_bytes.set(size, holder)
        metrics.update(
            self.metrics,
            memory_refused=self.budget.refused_count,
            running=len(self.gate.queue.running),
            queued=len(self.gate.queue.queue),
            store_calls=self.store.call_count,
            orders=self.orders.order_store.revision,
            servers=sum(map(len, self.servers.list_services().values())),
            peers=sum(link.connected for link in self.links.links.values()),
            buffered_request_bytes=self.listeners[
                self.settings.addresses.callers
            ].buffered_body_bytes,
            buffered_response_bytes=self.gate.client.buffered_bytes,
            transfers_open=len(self.transfers.sender.outgoing)
            + len(self.transfers.receiver.incoming),
            peak_resident_bytes=metrics.read_peak_memory(),
        )
        metrics.respond_to_scrape(self.metrics, exchange)

    # Start, background tasks and stop.

    async def listen(self, stack: contextlib.AsyncExitStack) -> None:
        """Listen on all addresses."""
        await listeners.listen(
            self.listeners,
            self.handlers,
            settings=self.settings,
            room=self.room,
            instruments=self.metrics,
            stack=stack,
        )

    async def flush_logs(self) -> None:
        """Write log lines at intervals."""
        while True:
            await asyncio.sleep(FLUSH_SECONDS)
            self.output.write_lines()

    async def report_traffic(self) -> None:
        """Log the traffic between nodes at intervals."""
        while True:
            await asyncio.sleep(TRAFFIC_REPORT_SECONDS)
            events.emit(
                _LOG, events.LINK_TRAFFIC, sent=dict(self.links.sent_counts)
            )

    async def watch_settings(self) -> None:
        """Reload the settings when their file changes without a SIGHUP."""
        last_stamp = _read_file_stamp(self.path)
        while True:
            await asyncio.sleep(SETTINGS_CHECK_SECONDS)
            stamp = _read_file_stamp(self.path)
            if stamp != last_stamp:
                last_stamp = stamp
                self.reload("settings file changed")

    def reload(self, cause: str) -> None:
        """Check and apply the settings; invalid ones change nothing."""
        try:
            settings = options.load_options(self.path)
        except errors.SettingsInvalid as error:
            events.emit(
                _LOG,
                events.SETTINGS_REFUSED,
                error=error.message,
                faults=error.faults[:5],
            )
            return
        self.settings = settings
        self.dispatcher.apply_settings(settings)
        self.gate.server.settings = settings
        self.gate.queue.learning = settings.learnt_concurrency
        self.gossip.settings = settings
        self.orders.settings = settings
        self.orders.registry.settings = settings
        self.rollouts.settings = settings
        self.servers.regions = settings.data_centres
        events.emit(_LOG, events.SETTINGS_RELOADED, cause=cause)

    async def drain(self) -> None:
        """Leave the fleet, refuse new requests and finish the open ones."""
        await stopping.drain(
            settings=self.settings,
            gossip_task=self.gossip,
            callers=self.listeners[self.settings.addresses.callers],
            own_gate=self.gate,
            own_dispatcher=self.dispatcher,
            registry=self.orders.registry,
            has_open_transfers=self.has_open_transfers,
            on_drained=self.usage.stop,
        )

    def has_open_transfers(self) -> bool:
        """Tell whether a node waits for a response, or this one for a body."""
        return (
            self.receipts.has_pending(self.loop.time())
            or self.transfers.has_open_offers()
        )


def _read_file_stamp(path: pathlib.Path) -> tuple[int, int]:
    try:
        status = os.stat(path)
    except OSError:
        return (0, 0)
    return (status.st_mtime_ns, status.st_size)
