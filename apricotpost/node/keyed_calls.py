"""Calls with an ``Idempotency-Key`` header on the ingress threads."""

from collections.abc import Callable
import contextlib
import dataclasses
import queue
import threading
import time
import typing

from apricotpost import model
from apricotpost import storage
from apricotpost import wire

__all__ = ["Dispatch", "KeyedCalls", "execute", "close", "get_store"]

Dispatch = Callable[[], wire.CallResult]

# Jobs that may wait for the thread that retries table writes.
RETRY_QUEUE_CAPACITY = 64
JOIN_TIMEOUT_SECONDS = 5.0


@dataclasses.dataclass(kw_only=True)
class KeyedCalls:
    """State that the ingress threads share for keyed calls.

    Parameters
    ----------
    open_store : callable
        Opens a store for the calling thread.
    table_slots : threading.Semaphore
        Limits how many calls may wait for the table at once, so that a slow
        table leaves the other threads free for calls without a key.
    clock : callable
        Returns Unix time in seconds.
    """

    open_store: Callable[[], storage.Store]
    table_slots: threading.Semaphore
    clock: Callable[[], float] = time.time
    local: threading.local = dataclasses.field(default_factory=threading.local)
    stores: list[storage.Store] = dataclasses.field(default_factory=list)
    retry_queue: queue.Queue[typing.Any] = dataclasses.field(
        default_factory=lambda: queue.Queue(RETRY_QUEUE_CAPACITY)
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    retry_thread: threading.Thread | None = None


def execute(
    keyed: KeyedCalls,
    *,
    key: str | None,
    route: model.Route,
    request: wire.CallRequest,
    dispatch: Dispatch,
) -> wire.CallResult:
    """Execute a call, at most once if it has a key.

    Keys are ignored on idempotent routes: repeating such a call is safe, and
    the table's write capacity is small.

    Parameters
    ----------
    keyed : KeyedCalls
        Shared state.
    key : str, optional
        Value of the ``Idempotency-Key`` header.
    route : apricotpost.model.Route
        Route of the call.
    request : apricotpost.wire.CallRequest
        The call.
    dispatch : callable
        Sends the call to a backend server and returns its result.
    """
    if key is None or route.idempotent:
        return dispatch()
    # Imported with the first key: most nodes never receive one, and the
    # import costs memory and start time.
    from apricotpost.node import at_most_once

    return at_most_once.execute(
        keyed, key=key, request=request, dispatch=dispatch
    )


def get_store(keyed: KeyedCalls) -> storage.Store:
    """Return the calling thread's store."""
    if getattr(keyed.local, "store", None) is None:
        keyed.local.store = keyed.open_store()
        keyed.stores.append(keyed.local.store)
    return typing.cast(storage.Store, keyed.local.store)


def close(keyed: KeyedCalls) -> None:
    """Stop the retry thread and close the stores.

    The ingress threads must have ended before.
    """
    if keyed.retry_thread is not None:
        with contextlib.suppress(queue.Full):
            keyed.retry_queue.put(
                wire.StopTask(), timeout=JOIN_TIMEOUT_SECONDS
            )
        keyed.retry_thread.join(JOIN_TIMEOUT_SECONDS)
    for store in keyed.stores:
        store.channel.pool.clear()
