"""The backend server beside the node: what it is and whether it serves."""

import asyncio
from collections.abc import Callable
import logging

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

# A backend server whose heartbeats stop for so many periods is not used.
SILENT_BEATS = 4.0
# Part of the slots that is used at first for a backend server that may
# still run requests of an earlier process of this node.
UNKNOWN_START_PART = 0.5
# A new server may have sent so many heartbeats before its node listened.
FIRST_BEATS = 3
# A health check of an idle server takes some milliseconds; a full one may
# never answer it.
HEALTH_SECONDS = 0.5
# Part of the heartbeat period after which a second heartbeat shows that the
# first one was not late: two held up together arrive together.
CONFIRM_PART = 0.5


class BackendServer:
    """Presence, state and health of the backend server.

    Parameters
    ----------
    settings : options.Options
        Of the node.
    read_view : callable
        Returns the orders in force.
    on_change : callable
        Called when the backend server appears, drains or goes.
    queue : ranked.RankedQueue
        Requests before and at the backend server.
    client : http.Client
        Connections to it.
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
        self.checking = False

    def handle_heartbeat(
        self, heartbeat: model.Heartbeat
    ) -> heartbeats.HeartbeatEffect:
        """Take a heartbeat and tell what it changed."""
        now = self.loop.time()
        before = self.presence.current
        effect = heartbeats.record_heartbeat(
            self.presence,
            heartbeat,
            now,
            confirm_seconds=CONFIRM_PART * self.settings.heartbeat_ms / 1000.0,
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

    def check_health(self) -> None:
        """Ask a backend server that was met in mid-life whether it serves."""
        current = self.presence.current
        if current is None or self.presence.confirmed or self.checking:
            return
        rule = self.read_view().services.get(current.service)
        if rule is None:
            return
        self.checking = True

        def handle(result: http.Result) -> None:
            self.checking = False
            self.handle_health(current, result)

        self.client.send(
            platform.health_request(rule.health_path, current.address),
            handle,
            timeout=HEALTH_SECONDS,
        )

    def handle_health(
        self, asked: model.Heartbeat, result: http.Result
    ) -> None:
        """Use the backend server if it says that it serves."""
        response = result.response
        status = response.status if response else str(result.failure)
        well = (
            response is not None
            and platform.is_healthy(response)
            and platform.backend_instance(response.headers) == asked.backend
        )
        events.emit(
            _LOG,
            events.BACKEND_HEALTH,
            backend=asked.backend,
            well=well,
            status=status,
            sequence=asked.sequence,
        )
        if well and heartbeats.confirm(self.presence, asked.backend):
            self.on_change()

    def start_incarnation(
        self, heartbeat: model.Heartbeat, now: float
    ) -> None:
        """Forget what was known of the backend server before."""
        limit = float(heartbeat.slots)
        if heartbeat.sequence > FIRST_BEATS and not self.queue.slots:
            limit = max(heartbeat.slots * UNKNOWN_START_PART, 1.0)
        ranked.set_backend(
            self.queue, slots=heartbeat.slots, limit=limit, now=now
        )
        self.outcomes.reset()
        self.client.close_idle()

    def update_cold(self) -> None:
        """Bound the rate while the backend server is cold.

        Called after heartbeats and after new orders: the bearable rate
        stands in the configuration, which may come later than the first
        heartbeat.
        """
        heartbeat = self.presence.current
        if heartbeat is None:
            return
        rule = self.read_view().services.get(heartbeat.service)
        self.queue.cold_rate = rule.cold_per_second if rule else 0.0
        self.queue.cold_until = max(
            self.presence.heard_at + heartbeat.cold_ms / 1000.0,
            self.presence.assumed_cold_until,
        )
        self.check_health()

    def assume_cold(self) -> None:
        """Bound the rate until two heartbeats tell that it is not cold."""
        self.presence.assumed_cold_until = (
            self.loop.time() + 2 * self.settings.heartbeat_ms / 1000.0
        )
        self.update_cold()

    def handle_deregistration(
        self, deregistration: platform.Deregistration
    ) -> bool:
        """Take a deregistration and tell whether it is of this server."""
        if not heartbeats.deregister(
            self.presence, deregistration.backend, deregistration.started_at_ms
        ):
            return False
        events.emit(_LOG, events.BACKEND_LEFT, backend=deregistration.backend)
        self.on_change()
        return True

    def describe(self) -> wire.ServerState | None:
        """Return what other nodes are told of the backend server."""
        current = self.presence.current
        if current is None:
            return None
        now = self.loop.time()
        return wire.ServerState(
            backend=current.backend,
            service=current.service,
            version=current.version,
            ready=self.find_refusal(current.service) is None,
            cold=now < self.queue.cold_until,
            load=ranked.describe_load(self.queue, now),
        )

    def find_refusal(self, service: str) -> wire.NotRunReason | None:
        """Return why no request of a service may run now."""
        current = self.presence.current
        if current is None or current.service != service:
            return wire.NotRunReason.NO_BACKEND_SERVER
        if self.leaving or current.state is model.BackendState.DRAINING:
            return wire.NotRunReason.DRAINING
        silent = self.loop.time() - self.presence.heard_at
        if (
            self.presence.unreachable
            or not self.presence.confirmed
            or silent > SILENT_BEATS * self.settings.heartbeat_ms / 1000.0
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

    def set_aside(self) -> None:
        """Use the backend server no more until its next heartbeat."""
        self.presence.unreachable = True
        self.on_change()

    def mark_unreachable(self, backend: str) -> bool:
        """Note a failed connection and tell whether it is the first one."""
        if self.presence.unreachable:
            return False
        events.emit(_LOG, events.BACKEND_UNREACHABLE, backend=backend)
        self.set_aside()
        return True
