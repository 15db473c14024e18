"""Calls with ``Idempotency-Key`` on the ingress threads."""

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

__all__ = ["Dispatch", "KeyedCalls", "carry", "close", "get_store"]

Dispatch = Callable[[], wire.CallResult]

# Jobs on their way to the task that tries them again.
INBOX_JOBS = 64
JOIN_SECONDS = 5.0


@dataclasses.dataclass(kw_only=True)
class KeyedCalls:
    """What the ingress threads share for keyed calls.

    Parameters
    ----------
    open_store : callable
        Opens a store for the calling thread.
    table_slots : threading.Semaphore
        Calls that may wait for the table at once. The other threads stay
        free for calls without a key while the table is slow.
    clock : callable
        Returns Unix time in seconds.
    """

    open_store: Callable[[], storage.Store]
    table_slots: threading.Semaphore
    clock: Callable[[], float] = time.time
    local: threading.local = dataclasses.field(default_factory=threading.local)
    stores: list[storage.Store] = dataclasses.field(default_factory=list)
    inbox: queue.Queue[typing.Any] = dataclasses.field(
        default_factory=lambda: queue.Queue(INBOX_JOBS)
    )
    lock: threading.Lock = dataclasses.field(default_factory=threading.Lock)
    worker: threading.Thread | None = None


def carry(
    keyed: KeyedCalls,
    *,
    key: str | None,
    route: model.Route,
    request: wire.CallRequest,
    dispatch: Dispatch,
) -> wire.CallResult:
    """Carry a call, at most once if it has a key.

    Keys are not used on idempotent routes: a repeat does no harm there, and
    the table's writes are few.

    Parameters
    ----------
    keyed : KeyedCalls
        Shared state.
    key : str, optional
        Value of the header ``Idempotency-Key``.
    route : apricotpost.model.Route
        Route of the call.
    request : apricotpost.wire.CallRequest
        The call.
    dispatch : callable
        Runs the call.
    """
    if key is None or route.idempotent:
        return dispatch()
    # Loaded with the first key; most nodes never see one.
    from apricotpost.node import at_most_once

    return at_most_once.carry(
        keyed, key=key, request=request, dispatch=dispatch
    )


def get_store(keyed: KeyedCalls) -> storage.Store:
    """Return the calling thread's store."""
    if getattr(keyed.local, "store", None) is None:
        keyed.local.store = keyed.open_store()
        keyed.stores.append(keyed.local.store)
    return typing.cast(storage.Store, keyed.local.store)


def close(keyed: KeyedCalls) -> None:
    """End the task and close the connections; the threads have ended."""
    if keyed.worker is not None:
        with contextlib.suppress(queue.Full):
            keyed.inbox.put(wire.StopTask(), timeout=JOIN_SECONDS)
        keyed.worker.join(JOIN_SECONDS)
    for store in keyed.stores:
        store.channel.pool.clear()
