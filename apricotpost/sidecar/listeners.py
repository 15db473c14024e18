"""Listeners of a node, and what they may use of it."""

from collections.abc import Callable
from collections.abc import Mapping
import contextlib
import logging
import resource

from apricotpost import events
from apricotpost import http
from apricotpost import memory
from apricotpost.sidecar import capacity
from apricotpost.sidecar import metrics
from apricotpost.sidecar import options

__all__ = ["listen", "report_eviction"]

_LOG = logging.getLogger(__name__)

# Memory and connections of an address that only the platform and the backend
# server use. They are not shared with callers, so that heartbeats arrive when
# callers use all that they may.
PLATFORM_BYTES = 2 * 1024 * 1024
PLATFORM_CONNECTIONS = 16

Handler = Callable[[http.Exchange], None]


async def listen(
    listeners: dict[str, http.Listener],
    handlers: Mapping[str, Handler],
    *,
    settings: options.Options,
    room: memory.Room,
    instruments: metrics.Metrics,
    stack: contextlib.AsyncExitStack,
) -> None:
    """Listen on all addresses.

    Parameters
    ----------
    listeners : dict
        Gets the listener of each address.
    handlers : mapping
        Handler of each address.
    settings : options.Options
        Settings of the node.
    room : memory.Room
        Memory for callers.
    instruments : metrics.Metrics
        Metrics of the node.
    stack : contextlib.AsyncExitStack
        Closes the listeners.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)

    def report(reason: http.Eviction) -> None:
        report_eviction(instruments, reason)

    for address, handler in handlers.items():
        if address == settings.addresses.callers:
            listener = http.Listener(
                handler=handler,
                limits=http.Limits(),
                room=room,
                max_connections=capacity.count_connections(
                    settings.limits.descriptors, soft_limit
                ),
                on_evict=report,
            )
        else:
            account = memory.Budget(limit_bytes=PLATFORM_BYTES)
            listener = http.Listener(
                handler=handler,
                limits=http.Limits(),
                room=memory.Room(account=account),
                max_connections=PLATFORM_CONNECTIONS,
                on_evict=report,
            )
        stack.callback(listener.close)
        await listener.listen(*options.split_address(address))
        listeners[address] = listener


def report_eviction(
    instruments: metrics.Metrics, reason: http.Eviction
) -> None:
    """Log and count a connection or request that was given up."""
    instruments.evictions.add(reason)
    event = events.CONNECTION_EVICTED
    if reason is http.Eviction.NO_MEMORY:
        event = events.REQUEST_WITHOUT_MEMORY
    events.emit(_LOG, event, reason=str(reason))
