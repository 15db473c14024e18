"""Injection of the drawn faults into a fleet."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import json
import signal
import time
import typing

from soak import checks
from soak import proxy
from soak import schedule
from soak import world
from standins import rows

__all__ = ["ACTIONS", "inject"]

Action = Callable[
    [world.World, schedule.Fault], Coroutine[typing.Any, typing.Any, None]
]
# After SIGTERM a process has its grace period and ends.
GRACE_SECONDS = 7.0
# Beyond the promised time: an arrival, and the turn of this process.
SLACK_SECONDS = 0.5
BOUNDS = checks.Bounds()


async def inject(
    fleet: world.World, fault: schedule.Fault, *, started: float
) -> None:
    """Wait for the time of a fault and carry it out.

    Parameters
    ----------
    fleet : world.World
        The fleet.
    fault : schedule.Fault
        What happens.
    started : float
        Monotonic time of the start of the load, in seconds.
    """
    await asyncio.sleep(max(started + fault.at - time.monotonic(), 0.0))
    await ACTIONS[fault.kind](fleet, fault)


async def _restart(place: world.Place) -> None:
    """Start a node again once its process has ended."""
    loop = asyncio.get_running_loop()
    process = place.node.process
    await loop.run_in_executor(None, process.wait, GRACE_SECONDS)
    if place.node.process is process:
        place.starts += 1
        place.node.start()


async def _kill(fleet: world.World, fault: schedule.Fault) -> None:
    place = fleet.places[fault.node]
    process = place.node.process
    process.kill()
    await asyncio.sleep(fault.seconds / 4)
    if place.node.process is process:
        await _restart(place)


async def _terminate(fleet: world.World, fault: schedule.Fault) -> None:
    place = fleet.places[fault.node]
    place.node.signal(signal.SIGTERM)
    await _restart(place)


async def _pause(fleet: world.World, fault: schedule.Fault) -> None:
    process = fleet.places[fault.node].node.process
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(fault.seconds)
    process.send_signal(signal.SIGCONT)


async def _reload(fleet: world.World, fault: schedule.Fault) -> None:
    fleet.places[fault.node].node.process.send_signal(signal.SIGHUP)


def _proxy_action(which: str, mode: proxy.Mode) -> Action:
    async def act(fleet: world.World, fault: schedule.Fault) -> None:
        chosen: proxy.Proxy = getattr(fleet.places[fault.node], which)
        chosen.set_mode(mode)
        await asyncio.sleep(fault.seconds)
        chosen.set_mode(proxy.Mode.PASS)

    return act


def _store_action(conditions: rows.Conditions) -> Action:
    async def act(fleet: world.World, fault: schedule.Fault) -> None:
        fleet.mesh.store.conditions = conditions
        await asyncio.sleep(fault.seconds)
        fleet.mesh.store.conditions = rows.Conditions()

    return act


def _server_action(mode: str) -> Action:
    async def act(fleet: world.World, fault: schedule.Fault) -> None:
        backend = fleet.places[fault.node].backend
        backend.mode = mode
        await asyncio.sleep(fault.seconds)
        backend.mode = "answer"

    return act


async def _forget(fleet: world.World, fault: schedule.Fault) -> None:
    fleet.mesh.store.drop_history()


async def _slow(fleet: world.World, fault: schedule.Fault) -> None:
    backend = fleet.places[fault.node].backend
    backend.work_seconds = world.WORK_SECONDS * 20
    await asyncio.sleep(fault.seconds)
    backend.work_seconds = world.WORK_SECONDS


async def _replace(fleet: world.World, fault: schedule.Fault) -> None:
    """Drain a backend server and start another one at its address."""
    place = fleet.places[fault.node]
    old = place.backend
    if old.state != "ready":
        return
    old.state = "draining"
    acknowledged = await fleet.mesh.beat(place.node)
    if acknowledged.response and acknowledged.response.status == 200:
        now = time.monotonic()
        fleet.departures.append(
            checks.Departure(
                backend=old.identifier,
                since=now + BOUNDS.drain + SLACK_SECONDS,
                until=float("inf"),
                cause="drain",
            )
        )
    await asyncio.sleep(world.LEAVE_SECONDS)
    await fleet.mesh.announce(place.node, "Deregister", old.identifier, b"")
    old.close()
    name, _, incarnation = old.identifier.rpartition("-")
    new = fleet.make_backend(
        f"{name}-{int(incarnation) + 1}", fault.node, old.host
    )
    await new.listen(int(old.address.rpartition(":")[2]))
    place.cold_until = time.monotonic() + world.COLD_SECONDS
    place.backend = place.node.backend = new


async def _configure(fleet: world.World, fault: schedule.Fault) -> None:
    fleet.version += 1
    fleet.put_configuration()


async def _evacuate(fleet: world.World, fault: schedule.Fault) -> None:
    """Take a data centre out and back; a second order at once is left out."""
    key = ("op", "evacuate/dc-a")
    if key in fleet.mesh.store.rows:
        return
    fleet.mesh.store.put(*key, b"{}")
    since = time.monotonic() + BOUNDS.evacuation + SLACK_SECONDS
    await asyncio.sleep(fault.seconds + BOUNDS.evacuation)
    until = time.monotonic()
    fleet.mesh.store.remove(*key)
    fleet.departures.extend(
        checks.Departure(
            backend=place.backend.identifier,
            since=since,
            until=until,
            cause="evacuation",
        )
        for place in fleet.places
        if place.data_centre == "dc-a"
    )


async def _roll_out(fleet: world.World, fault: schedule.Fault) -> None:
    """Order a version of which every answer is a failure."""
    service = world.SERVICES[0]
    others = frozenset(
        backend.identifier
        for backend in fleet.backends
        if backend.service == service
    )
    place = await fleet.add(len(fleet.places), service=service, version="v2")
    place.backend.mode = "fail"
    order = {"service": service, "to": "v2", "duration_s": fault.seconds}
    fleet.mesh.store.put(
        "op", f"rollout/{service}", json.dumps(order).encode()
    )
    since = time.monotonic()
    fleet.rollouts.append(
        checks.Rollout(
            backend=place.backend.identifier,
            others=others,
            since=since,
            until=since + fault.seconds,
        )
    )


_KINDS = schedule.Kind
ACTIONS: dict[schedule.Kind, Action] = {
    _KINDS.KILL: _kill,
    _KINDS.TERMINATE: _terminate,
    _KINDS.PAUSE: _pause,
    _KINDS.RELOAD: _reload,
    _KINDS.LINK_DELAY: _proxy_action("to_node", proxy.Mode.DELAY),
    _KINDS.LINK_RESET: _proxy_action("to_node", proxy.Mode.RESET),
    _KINDS.LINK_SILENT: _proxy_action("to_node", proxy.Mode.SILENT),
    _KINDS.LINK_ONE_WAY: _proxy_action("to_node", proxy.Mode.ONE_WAY),
    _KINDS.BACKEND_RESET: _proxy_action("to_backend", proxy.Mode.RESET),
    _KINDS.BACKEND_SILENT: _proxy_action("to_backend", proxy.Mode.SILENT),
    _KINDS.STORE_PATH_SILENT: _proxy_action("to_store", proxy.Mode.SILENT),
    _KINDS.STORE_DOWN: _store_action(rows.Conditions(status=503)),
    _KINDS.STORE_SLOW: _store_action(rows.Conditions(delay_seconds=0.4)),
    _KINDS.STORE_LOSES_ANSWERS: _store_action(
        rows.Conditions(lose_answers=True)
    ),
    _KINDS.STORE_FORGETS: _forget,
    _KINDS.ANSWERS_LOST: _server_action("reset"),
    _KINDS.ANSWERS_WRONG: _server_action("wrong"),
    _KINDS.ANSWERS_CUT: _server_action("cut"),
    _KINDS.SERVER_SLOW: _slow,
    _KINDS.SERVER_SHEDS: _server_action("shed"),
    _KINDS.SERVER_REPLACED: _replace,
    _KINDS.CONFIGURATION: _configure,
    _KINDS.EVACUATION: _evacuate,
    _KINDS.ROLLOUT_BAD: _roll_out,
}
