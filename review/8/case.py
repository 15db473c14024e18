"""A rollout ordered while all nodes are down completes a bad version."""

import asyncio
import json
import pathlib
import signal
import sys
import time

from review.common_2 import fleet as fleets

# `exposure_share`, `exposure_slack`, `rollback_ms` and `contact_ms` of the
# deployment; times in seconds.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
CONTACT_SECONDS = 3.0
BAD_ANSWERS = 50
DURATION_SECONDS = 14.0
RESTART_SECONDS = 1.0
# Of the new version's answers, this part are failures.
FAILURE_SHARE = 0.5
CALL_INTERVAL_SECONDS = 0.01


async def send_requests(fleet, nodes, calls, ended):
    """Send requests to the nodes in turn, one after the other."""
    number = 0

    async def send_one(node):
        calls.append((node, await fleet.call(node, "/records/1")))

    async with asyncio.TaskGroup() as group:
        while not ended.is_set():
            group.create_task(send_one(nodes[number % len(nodes)]))
            number += 1
            await asyncio.sleep(CALL_INTERVAL_SECONDS)


async def follow_status(fleet, old_machines, states):
    """Do what the platform does when the state of the rollout changes."""
    while True:
        value = fleet.store.read("status", "rollout/portal")
        state = json.loads(value)["state"] if value else ""
        if state and (not states or states[-1][1] != state):
            states.append((time.monotonic(), state))
            fleet.log(f"status/rollout/portal: {value.decode()}")
            if state == "completed":
                for node, backend in old_machines:
                    backend.stop()
                    node.signal(signal.SIGTERM)
        await asyncio.sleep(0.02)


def judge(fleet, ordered_at, in_touch_at, new_backends):
    """Return whether the rule held."""
    deadline = ordered_at + DURATION_SECONDS
    runs = [
        (started_at, identifier, backend)
        for backend in fleet.backends
        for started_at, identifier, _ in backend.runs
        if started_at >= in_touch_at
    ]
    all_runs = [run for run in runs if run[0] <= deadline]
    new_runs = [run for run in all_runs if run[2] in new_backends]
    allowed = EXPOSURE_SHARE * len(all_runs) + EXPOSURE_SLACK
    fleet.log(
        f"requests until the deadline: {len(all_runs)}, of the bad version:"
        f" {len(new_runs)}, allowed: {allowed:.0f}"
    )
    bad = sorted(
        failed_at
        for backend in new_backends
        for failed_at in backend.failed_at
        if failed_at >= in_touch_at
    )
    late = 0
    if len(bad) >= BAD_ANSWERS:
        bound = bad[BAD_ANSWERS - 1] + ROLLBACK_SECONDS
        late = sum(
            started_at > bound
            for started_at, _, backend in runs
            if backend in new_backends
        )
    fleet.log(
        f"bad answers: {len(bad)}; requests to the bad version later than"
        f" {ROLLBACK_SECONDS} s after the {BAD_ANSWERS}th: {late}"
    )
    print(
        f"{len(new_runs)} of {len(all_runs)}, allowed {allowed:.0f};"
        f" {late} later than allowed"
    )
    return len(new_runs) <= allowed and not late


async def main(folder: pathlib.Path, record: pathlib.Path, trouble: bool):
    """Run the case; return whether the rule held."""
    zones = {"riga-a": "lv-riga", "riga-b": "lv-riga"}
    fleet = fleets.Fleet(folder=folder, record_path=record, zones=zones)
    try:
        config = fleets.make_config(
            7,
            routes={"r1": {"prefix": "/records/", "service": "portal"}},
            services=("portal",),
        )
        await fleet.start_store(config)
        old_machines = [
            await fleet.add(zone, "portal")
            for zone in ("riga-a", "riga-b", "riga-a", "riga-b")
        ]
        for backend in fleet.backends:
            backend.work_seconds = 0.05
        await fleet.wait_ready()
        old_nodes = [node for node, _ in old_machines]
        callers = list(old_nodes)
        calls, states, ended = [], [], asyncio.Event()
        load = asyncio.create_task(send_requests(fleet, callers, calls, ended))
        status = asyncio.create_task(
            follow_status(fleet, old_machines, states)
        )
        await asyncio.sleep(3.0)
        order = {
            "service": "portal",
            "to": "v2",
            "duration_s": DURATION_SECONDS,
        }
        fleet.store.put("op", "rollout/portal", json.dumps(order).encode())
        ordered_at = time.monotonic()
        in_touch_at = ordered_at
        fleet.log(f"op/rollout/portal: {order}")
        if trouble:
            for node in old_nodes:
                node.signal(signal.SIGKILL)
            fleet.log("SIGKILL to all processes of the system")
            for node in old_nodes:
                node.process.wait()
        # The backends of the new version are started beside the old ones.
        new_machines = [
            await fleet.add(zone, "portal", "v2")
            for zone in ("riga-a", "riga-b", "riga-a", "riga-b")
        ]
        new_backends = [backend for _, backend in new_machines]
        for backend in new_backends:
            backend.work_seconds = 0.05
            backend.fail_every = round(1 / FAILURE_SHARE)
        if trouble:
            await asyncio.sleep(RESTART_SECONDS)
            for node in old_nodes:
                node.start()
            fleet.log("the processes start again")
            in_touch_at = time.monotonic() + CONTACT_SECONDS
        callers.extend(node for node, _ in new_machines)
        while time.monotonic() < ordered_at + DURATION_SECONDS + 6.0:
            if states and states[-1][1] == "completed":
                callers[:] = [node for node, _ in new_machines]
            await asyncio.sleep(0.1)
        ended.set()
        await load
        status.cancel()
        failed = sum(call.status == 500 for _, call in calls)
        fleet.log(f"clients got 500: {failed} of {len(calls)}")
        return judge(fleet, ordered_at, in_touch_at, new_backends)
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(fleets.run(main, pathlib.Path(__file__).parent))
