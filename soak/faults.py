"""Injection of the scheduled faults into a fleet."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
import signal
import time
import typing

from soak import checks
from soak import fleets
from soak import proxy
from soak import schedule
from standins import backends
from standins import rows

__all__ = ["INJECTORS", "inject"]

Injector = Callable[
    [fleets.Fleet, schedule.Fault], Coroutine[typing.Any, typing.Any, None]
]
# Longest wait for the exit of a process, which has a grace period of 6 s
# after SIGTERM.
EXIT_TIMEOUT_SECONDS = 7.0
# Added to the promised times, for the delivery of a request and for delays
# of this process.
SLACK_SECONDS = 0.5
# Time for which the store is away before it returns from an older copy, and
# after which the operator writes again what it has lost.
STORE_AWAY_SECONDS = 0.5
REWRITE_SECONDS = 0.7
# Interval of the writes of the store's other users.
OTHER_WRITE_SECONDS = 0.02
BOUNDS = checks.Bounds()


async def inject(
    fleet: fleets.Fleet, fault: schedule.Fault, *, load_started_at: float
) -> None:
    """Wait for the start of a fault and inject it.

    Parameters
    ----------
    fleet : fleets.Fleet
        Fleet that the fault affects.
    fault : schedule.Fault
        Fault to inject.
    load_started_at : float
        Monotonic time of the start of the load, in seconds.
    """
    await asyncio.sleep(
        max(load_started_at + fault.starts_at - time.monotonic(), 0.0)
    )
    await INJECTORS[fault.kind](fleet, fault)


async def _restart_after_exit(instance: fleets.Instance) -> None:
    """Start a node again once its process has exited."""
    loop = asyncio.get_running_loop()
    process = instance.node.process
    await loop.run_in_executor(None, process.wait, EXIT_TIMEOUT_SECONDS)
    if instance.node.process is process:
        instance.start_count += 1
        instance.node.start()


async def _kill_node(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    instance = fleet.instances[fault.node]
    process = instance.node.process
    process.kill()
    await asyncio.sleep(fault.duration_seconds / 4)
    if instance.node.process is process:
        await _restart_after_exit(instance)


async def _terminate_node(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    instance = fleet.instances[fault.node]
    instance.node.signal(signal.SIGTERM)
    await _restart_after_exit(instance)


async def _pause_node(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    process = fleet.instances[fault.node].node.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.duration_seconds)
    process.send_signal(signal.SIGCONT)


async def _reload_settings(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    fleet.instances[fault.node].node.process.send_signal(signal.SIGHUP)


def _make_proxy_injector(proxy_name: str, mode: proxy.Mode) -> Injector:
    async def inject_fault(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
        selected: proxy.Proxy = getattr(
            fleet.instances[fault.node], proxy_name
        )
        selected.set_mode(mode)
        await asyncio.sleep(fault.duration_seconds)
        selected.set_mode(proxy.Mode.PASS)

    return inject_fault


def _make_store_injector(faults: rows.Faults) -> Injector:
    async def inject_fault(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
        fleet.mesh.store.faults = faults
        await asyncio.sleep(fault.duration_seconds)
        fleet.mesh.store.faults = rows.Faults()

    return inject_fault


def _make_backend_injector(mode: str) -> Injector:
    async def inject_fault(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
        backend = fleet.instances[fault.node].backend
        backend.fault_mode = mode
        await asyncio.sleep(fault.duration_seconds)
        backend.fault_mode = "answer"

    return inject_fault


async def _drop_store_history(
    fleet: fleets.Fleet, fault: schedule.Fault
) -> None:
    fleet.mesh.store.drop_history()


async def _return_older_store(
    fleet: fleets.Fleet, fault: schedule.Fault
) -> None:
    """Replace the store by a copy that is as old as the fault is long.

    The operator writes the lost orders again after a moment, and then a new
    configuration.
    """
    store = fleet.mesh.store
    copy = store.copy()
    # Other users of the store write as well. Without them, the versions catch
    # up with those that the nodes hold before the next order.
    for _ in range(int(fault.duration_seconds / OTHER_WRITE_SECONDS)):
        store.put("other", "row", b"x")
        await asyncio.sleep(OTHER_WRITE_SECONDS)
    store.faults = rows.Faults(status=503)
    await asyncio.sleep(STORE_AWAY_SECONDS)
    store.faults = rows.Faults()
    orders = _read_orders(store)
    store.restore(copy)
    await asyncio.sleep(REWRITE_SECONDS)
    # Meanwhile, other faults may have written newer orders.
    written = {
        key
        for table, key, _, revision, _ in store.changes
        if table == "op" and revision > copy.revision
    }
    restored = _read_orders(store)
    for key in sorted((orders.keys() | restored.keys()) - written):
        if key not in orders:
            store.remove("op", key)
        elif orders[key] != restored.get(key):
            store.put("op", key, orders[key])
    # The next change gets a version that the store has given out before.
    fleet.config_version += 1
    fleet.publish_configuration()


def _read_orders(store: rows.RowStore) -> dict[str, bytes]:
    return {
        key: value
        for (table, key), (value, _) in store.rows.items()
        if table == "op"
    }


async def _slow_backend(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    backend = fleet.instances[fault.node].backend
    backend.service_seconds = fleets.SERVICE_SECONDS * 20
    await asyncio.sleep(fault.duration_seconds)
    backend.service_seconds = fleets.SERVICE_SECONDS


async def _replace_backend(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    """Drain a backend server and start its successor at the same address."""
    instance = fleet.instances[fault.node]
    old_backend = instance.backend
    if old_backend.state != "ready":
        return
    old_backend.state = "draining"
    heartbeat_result = await fleet.mesh.send_heartbeat(instance.node)
    if heartbeat_result.response and heartbeat_result.response.status == 200:
        acknowledged_at = time.monotonic()
        fleet.exclusions.append(
            checks.Exclusion(
                backend=old_backend.identifier,
                since=acknowledged_at + BOUNDS.drain_seconds + SLACK_SECONDS,
                until=float("inf"),
                cause="drain",
            )
        )
    await asyncio.sleep(fleets.DRAIN_SECONDS)
    await fleet.mesh.announce(
        instance.node, "Deregister", old_backend.identifier, b""
    )
    old_backend.close()
    name, _, incarnation = old_backend.identifier.rpartition("-")
    new_backend = fleet.make_backend(
        f"{name}-{int(incarnation) + 1}", fault.node, old_backend.host
    )
    await new_backend.listen(int(old_backend.address.rpartition(":")[2]))
    instance.cold_until = time.monotonic() + fleets.COLD_SECONDS
    instance.backend = instance.node.backend = new_backend


async def _forge_heartbeat(fleet: fleets.Fleet, fault: schedule.Fault) -> None:
    """Send a node a heartbeat of another writer.

    It names a service that no configuration has, and states a start after
    that of the backend server.
    """
    instance = fleet.instances[fault.node]
    forged = backends.Backend(
        identifier=f"other-{fault.node}", service="nobody"
    )
    forged.address = instance.backend.address
    await fleet.mesh.announce(
        instance.node,
        "Heartbeat",
        forged.identifier,
        forged.make_heartbeat(),
    )


async def _publish_configuration(
    fleet: fleets.Fleet, fault: schedule.Fault
) -> None:
    fleet.config_version += 1
    fleet.publish_configuration()


async def _evacuate_data_centre(
    fleet: fleets.Fleet, fault: schedule.Fault
) -> None:
    """Evacuate a data centre and return it to service.

    Nothing is done if the data centre is evacuated already.
    """
    row_key = ("op", "evacuate/dc-a")
    # The store may have lost the row of an evacuation that goes on.
    if fleet.evacuated:
        return
    fleet.evacuated = True
    fleet.mesh.store.put(*row_key, b"{}")
    since = time.monotonic() + BOUNDS.evacuation_seconds + SLACK_SECONDS
    await asyncio.sleep(fault.duration_seconds + BOUNDS.evacuation_seconds)
    until = time.monotonic()
    fleet.mesh.store.remove(*row_key)
    fleet.evacuated = False
    fleet.exclusions.extend(
        checks.Exclusion(
            backend=instance.backend.identifier,
            since=since,
            until=until,
            cause="evacuation",
        )
        for instance in fleet.instances
        if instance.data_centre == "dc-a"
    )


async def _order_bad_rollout(
    fleet: fleets.Fleet, fault: schedule.Fault
) -> None:
    """Order a rollout of a version that fails every request."""
    service = fleets.SERVICES[0]
    other_backends = frozenset(
        backend.identifier
        for backend in fleet.backends
        if backend.service == service
    )
    instance = await fleet.add_instance(
        len(fleet.instances), service=service, version="v2"
    )
    instance.backend.fault_mode = "fail"
    order = {
        "service": service,
        "to": "v2",
        "duration_s": fault.duration_seconds,
    }
    fleet.mesh.store.put(
        "op", f"rollout/{service}", json.dumps(order).encode()
    )
    since = time.monotonic()
    fleet.rollouts.append(
        checks.Rollout(
            backend=instance.backend.identifier,
            other_backends=other_backends,
            since=since,
            until=since + fault.duration_seconds,
        )
    )


_KINDS = schedule.Kind
INJECTORS: dict[schedule.Kind, Injector] = {
    _KINDS.KILL: _kill_node,
    _KINDS.TERMINATE: _terminate_node,
    _KINDS.PAUSE: _pause_node,
    _KINDS.RELOAD: _reload_settings,
    _KINDS.LINK_DELAY: _make_proxy_injector("to_node", proxy.Mode.DELAY),
    _KINDS.LINK_RESET: _make_proxy_injector("to_node", proxy.Mode.RESET),
    _KINDS.LINK_SILENT: _make_proxy_injector("to_node", proxy.Mode.SILENT),
    _KINDS.LINK_ONE_WAY: _make_proxy_injector("to_node", proxy.Mode.ONE_WAY),
    _KINDS.BACKEND_RESET: _make_proxy_injector("to_backend", proxy.Mode.RESET),
    _KINDS.BACKEND_SILENT: _make_proxy_injector(
        "to_backend", proxy.Mode.SILENT
    ),
    _KINDS.STORE_PATH_SILENT: _make_proxy_injector(
        "to_store", proxy.Mode.SILENT
    ),
    _KINDS.STORE_DOWN: _make_store_injector(rows.Faults(status=503)),
    _KINDS.STORE_SLOW: _make_store_injector(rows.Faults(delay_seconds=0.4)),
    _KINDS.STORE_LOSES_ANSWERS: _make_store_injector(
        rows.Faults(lose_answers=True)
    ),
    _KINDS.STORE_FORGETS: _drop_store_history,
    _KINDS.STORE_RETURNS_OLDER: _return_older_store,
    _KINDS.ANSWERS_LOST: _make_backend_injector("reset"),
    _KINDS.ANSWERS_WRONG: _make_backend_injector("wrong"),
    _KINDS.ANSWERS_CUT: _make_backend_injector("cut"),
    _KINDS.ANSWERS_CUT_IN_HEAD: _make_backend_injector("cut-head"),
    _KINDS.ANSWERS_WITHOUT_END: _make_backend_injector("tiny-chunks"),
    _KINDS.HEARTBEAT_FORGED: _forge_heartbeat,
    _KINDS.SERVER_SLOW: _slow_backend,
    _KINDS.SERVER_SHEDS: _make_backend_injector("shed"),
    _KINDS.SERVER_REPLACED: _replace_backend,
    _KINDS.CONFIGURATION: _publish_configuration,
    _KINDS.EVACUATION: _evacuate_data_centre,
    _KINDS.ROLLOUT_BAD: _order_bad_rollout,
}
