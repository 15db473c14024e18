"""State of the backend server beside the node."""

import asyncio
from collections.abc import Callable
import logging

from apricotpost.admission import cold_rate
from apricotpost.admission import ranked
from apricotpost import events
from apricotpost import http
from apricotpost import model
from apricotpost import platform
from apricotpost.rollout import trials
from apricotpost.sidecar import heartbeats
from apricotpost.sidecar import options
from apricotpost.sidecar import outcome_counters
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["BackendServer"]

_LOG = logging.getLogger(__name__)

# Heartbeat periods without a heartbeat after which the backend server gets no
# more requests.
MAX_SILENT_PERIODS = 4.0
# Initial limit, as a fraction of the slots, of a backend server that may still
# run requests from an earlier process of this node.
UNKNOWN_START_FRACTION = 0.5
# Heartbeats that a new backend server may have sent before its node listened.
# A higher sequence number means that it was already running.
MAX_STARTUP_HEARTBEATS = 3
# A health check of an idle server takes a few milliseconds. A server without
# free slots may not answer it at all.
HEALTH_TIMEOUT_SECONDS = 0.5
# Fraction of the heartbeat period that has to pass before a second heartbeat
# confirms the server. Delayed heartbeats of a server that has left arrive
# closer together.
CONFIRM_PERIOD_FRACTION = 0.5
# Heartbeat periods for which a server counts as sound after a heartbeat. Its
# heartbeats come about one period apart.
SOUND_PERIODS = 1.2


class BackendServer:
    """Heartbeats, health and readiness of the backend server.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    read_view : callable
        Returns the orders in force.
    on_change : callable
        Called when the backend server appears, drains or leaves.
    queue : ranked.RankedQueue
        Queued and running requests of the backend server.
    client : http.Client
        Connections to the backend server.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        read_view: Callable[[], views.TrafficView],
        on_change: Callable[[], None],
        queue: ranked.RankedQueue,
        client: http.Client,
    ) -> None:
        self.settings = settings
        self.read_view = read_view
        self.on_change = on_change
        self.queue = queue
        self.client = client
        self.loop = asyncio.get_running_loop()
        self.presence = heartbeats.Presence()
        self.outcomes = outcome_counters.OutcomeCounters(read_view=read_view)
        self.leaving = False
        self.checking_health = False

    def handle_heartbeat(
        self, heartbeat: model.Heartbeat
    ) -> heartbeats.HeartbeatEffect:
        """Record a heartbeat and return what it changed."""
        now = self.loop.time()
        before = self.presence.current
        period_seconds = self.settings.heartbeat_ms / 1000.0
        effect = heartbeats.record_heartbeat(
            self.presence,
            heartbeat,
            now,
            periods=heartbeats.Periods(
                confirm=CONFIRM_PERIOD_FRACTION * period_seconds,
                sound=SOUND_PERIODS * period_seconds,
            ),
            plausible=self.is_plausible(heartbeat),
            current_plausible=before is not None and self.is_plausible(before),
        )
        if effect is heartbeats.HeartbeatEffect.NONE:
            return effect
        if effect is heartbeats.HeartbeatEffect.OTHER:
            self.start_incarnation(heartbeat, now)
        self.update_cold()
        if before is None or before.state is not heartbeat.state:
            events.emit(
                _LOG,
                events.BACKEND_STATE,
                backend=heartbeat.backend,
                service=heartbeat.service,
                version=heartbeat.version,
                state=str(heartbeat.state),
                sequence=heartbeat.sequence,
            )
        if effect is not heartbeats.HeartbeatEffect.SAME:
            self.on_change()
        self.check_health()
        return effect

    def is_plausible(self, heartbeat: model.Heartbeat) -> bool:
        """Tell whether a heartbeat may be of the server beside this node.

        Other writers send heartbeats of services that no configuration has.
        """
        services = self.read_view().services
        return heartbeat.address == self.settings.backend_address and (
            not services or heartbeat.service in services
        )

    def check_health(self) -> None:
        """Send a health check to a backend server that is not confirmed."""
        current = self.presence.current
        if current is None or self.presence.confirmed or self.checking_health:
            return
        rule = self.read_view().services.get(current.service)
        if rule is None:
            return
        self.checking_health = True

        def handle_result(result: http.Result) -> None:
            self.checking_health = False
            self.handle_health(current, result)

        self.client.send(
            platform.make_health_request(rule.health_path, current.address),
            handle_result,
            timeout_seconds=HEALTH_TIMEOUT_SECONDS,
        )

    def handle_health(
        self, checked: model.Heartbeat, result: http.Result
    ) -> None:
        """Confirm the backend server if its health check succeeded.

        If the server that it has replaced answers, that one is current again.
        """
        response = result.response
        status = response.status if response else str(result.failure)
        answering = (
            platform.read_backend_instance(response.headers)
            if response is not None
            else ""
        )
        healthy = (
            response is not None
            and platform.is_healthy(response)
            and answering == checked.backend
        )
        events.emit(
            _LOG,
            events.BACKEND_HEALTH,
            backend=checked.backend,
            well=healthy,
            status=status,
            sequence=checked.sequence,
        )
        if healthy and heartbeats.confirm(self.presence, checked.backend):
            self.on_change()
        elif heartbeats.restore(self.presence, answering, self.loop.time()):
            self.restore_incarnation()

    def restore_incarnation(self) -> None:
        """Apply the restored state of a server that had been replaced."""
        current = self.presence.current
        if current is None:
            return
        events.emit(
            _LOG,
            events.BACKEND_RESTORED,
            backend=current.backend,
            service=current.service,
        )
        self.start_incarnation(current, self.loop.time())
        self.update_cold()
        self.on_change()

    def start_incarnation(
        self, heartbeat: model.Heartbeat, now: float
    ) -> None:
        """Reset limits, evidence and connections for a new incarnation."""
        limit = float(heartbeat.slots)
        if (
            heartbeat.sequence > MAX_STARTUP_HEARTBEATS
            and not self.queue.slots
        ):
            limit = max(heartbeat.slots * UNKNOWN_START_FRACTION, 1.0)
        ranked.set_backend(
            self.queue, slots=heartbeat.slots, limit=limit, now=now
        )
        self.outcomes.reset()
        self.client.close_idle()

    def update_cold(self) -> None:
        """Limit the request rate while the backend server is cold.

        Called after heartbeats and after new orders: the rate is part of the
        configuration, which may arrive after the first heartbeat.
        """
        heartbeat = self.presence.current
        if heartbeat is None:
            return
        rule = self.read_view().services.get(heartbeat.service)
        bounds = self.settings.bounds
        cold_rate.set_cold_rate(
            self.queue.cold,
            rate=rule.cold_per_second if rule else 0.0,
            ratio=bounds.cold_ratio,
            slack=bounds.cold_slack,
        )
        cold_rate.record_cold_time(
            self.queue.cold,
            remaining_ms=heartbeat.cold_ms,
            now=self.presence.heard_at,
        )
        self.queue.cold.until = max(
            self.queue.cold.until, self.presence.assumed_cold_until
        )
        self.check_health()

    def assume_cold(self) -> None:
        """Treat the backend server as cold for two heartbeat periods."""
        self.presence.assumed_cold_until = (
            self.loop.time() + 2 * self.settings.heartbeat_ms / 1000.0
        )
        self.update_cold()

    def handle_deregistration(
        self, deregistration: platform.Deregistration
    ) -> bool:
        """Record a deregistration.

        Returns
        -------
        bool
            Whether the current incarnation has deregistered.
        """
        if not heartbeats.deregister(
            self.presence, deregistration.backend, deregistration.started_at_ms
        ):
            return False
        events.emit(_LOG, events.BACKEND_LEFT, backend=deregistration.backend)
        self.on_change()
        return True

    def describe(self) -> wire.ServerState | None:
        """Return the state of the backend server for other nodes."""
        current = self.presence.current
        if current is None:
            return None
        now = self.loop.time()
        return wire.ServerState(
            backend=current.backend,
            service=current.service,
            version=current.version,
            ready=self.find_refusal(current.service) is None,
            cold=now < self.queue.cold.until,
            load=ranked.describe_load(self.queue, now),
        )

    def find_refusal(self, service: str) -> wire.NotRunReason | None:
        """Return why requests of a service are refused now, or None."""
        current = self.presence.current
        if current is None or current.service != service:
            return wire.NotRunReason.NO_BACKEND_SERVER
        if self.leaving or current.state is model.BackendState.DRAINING:
            return wire.NotRunReason.DRAINING
        silent_seconds = self.loop.time() - self.presence.heard_at
        if (
            self.presence.unreachable
            or not self.presence.confirmed
            or silent_seconds
            > MAX_SILENT_PERIODS * self.settings.heartbeat_ms / 1000.0
        ):
            return wire.NotRunReason.NOT_READY
        view = self.read_view()
        if service not in view.services:
            return wire.NotRunReason.NOT_READY
        if self.settings.data_centre in view.evacuated:
            return wire.NotRunReason.DATA_CENTRE_OUT
        trial = view.service_trials.get(service)
        if (
            trial is not None
            and trial.phase is trials.Phase.ROLLED_BACK
            and trial.new == current.version
        ):
            return wire.NotRunReason.VERSION_WITHDRAWN
        return None

    def suspend(self) -> None:
        """Send the backend server no requests until its next heartbeat."""
        self.presence.unreachable = True
        self.on_change()

    def mark_unreachable(self, backend: str) -> bool:
        """Record a failed connection.

        Returns
        -------
        bool
            Whether it is the first one since the last heartbeat.
        """
        if self.presence.unreachable:
            return False
        events.emit(_LOG, events.BACKEND_UNREACHABLE, backend=backend)
        self.suspend()
        return True
