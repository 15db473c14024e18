"""Stop of a node: refuses new requests and finishes the open ones."""

import asyncio
from collections.abc import Callable
import logging

from apricotpost.admission import draining
from apricotpost import errors
from apricotpost import events
from apricotpost import http
from apricotpost.sidecar import dispatcher
from apricotpost.sidecar import gate
from apricotpost.sidecar import gossip
from apricotpost.sidecar import options
from apricotpost.sidecar import registrations

__all__ = ["drain"]

_LOG = logging.getLogger(__name__)

STOP_CHECK_SECONDS = 0.05
# Longest wait for the store at the end of a stop.
UNREGISTER_SECONDS = 0.2
# Time in which the other nodes receive the state that marks this one leaving.
LEAVE_NOTICE_SECONDS = 0.3


async def drain(
    *,
    settings: options.Options,
    gossip_task: gossip.Gossip,
    callers: http.Listener,
    own_gate: gate.Gate,
    own_dispatcher: dispatcher.Dispatcher,
    registry: registrations.Registry,
    has_open_transfers: Callable[[], bool],
    on_drained: Callable[[], None],
) -> None:
    """Leave the fleet, refuse new requests and finish the open ones.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    gossip_task : gossip.Gossip
        Publishes that this node leaves.
    callers : http.Listener
        Connections of callers.
    own_gate : gate.Gate
        Gate of the backend server beside this node.
    own_dispatcher : dispatcher.Dispatcher
        Requests that this node has received from callers.
    registry : registrations.Registry
        This node's row in the store.
    has_open_transfers : callable
        Tells whether another node waits for a response of this one, or this
        one for the body of an offer.
    on_drained : callable
        Called when all requests have ended.
    """
    loop = asyncio.get_running_loop()
    events.emit(_LOG, events.SIDECAR_STOPPING, instance=settings.instance)
    schedule = draining.make_schedule(
        started_at=loop.time(),
        grace_seconds=settings.bounds.grace_seconds,
    )
    gossip_task.leaving = True
    gossip_task.publish_change()
    callers.start_closing()
    loop.call_later(LEAVE_NOTICE_SECONDS, own_gate.stop_accepting)
    own_dispatcher.start_stopping(schedule)
    loop.call_at(schedule.accepts_until, callers.stop_listening)
    while loop.time() < schedule.answers_until:
        await asyncio.sleep(STOP_CHECK_SECONDS)
        if loop.time() < schedule.accepts_until:
            continue
        if not (
            callers.count_open_exchanges()
            or callers.count_unsent_bytes()
            or has_open_transfers()
            or not own_gate.is_idle()
        ):
            break
    on_drained()
    own_dispatcher.fail_open_requests()
    if own_gate.server.presence.current is None:
        # The instance is then taken away. A node beside a running backend
        # server starts again and keeps its registration.
        await unregister(registry)
    events.emit(
        _LOG,
        events.SIDECAR_STOPPED,
        instance=settings.instance,
        open=callers.count_open_exchanges(),
        unsent_bytes=callers.count_unsent_bytes(),
    )


async def unregister(registry: registrations.Registry) -> None:
    """Remove this node's registration from the store."""
    try:
        async with asyncio.timeout(UNREGISTER_SECONDS):
            await registry.unregister()
    except (errors.PlatformError, TimeoutError) as error:
        # The reader of the data centre removes the row later.
        events.emit(_LOG, events.REGISTRATION_NOT_REMOVED, error=repr(error))
