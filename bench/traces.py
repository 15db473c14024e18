"""Record traces of the call path from real runs into ``traces/``.

``python -m bench.traces`` runs each scenario; the last line of a trace
holds the outcomes that the callers received.
"""

import collections
from collections.abc import Callable
import contextlib
import json
import pathlib
import signal
import time
import typing

from standins import fleet as fleets
from tests.node import loads

__all__ = ["main", "record"]

FOLDER = pathlib.Path(__file__).parent.parent / "traces"
SERVICES = ("certdesk", "portal", "portal")

Scenario = Callable[[fleets.Fleet, list[fleets.Member]], list[loads.Result]]


def record(name: str, scenario: Scenario, *, recorded_index: int) -> None:
    """Run a scenario and record one of its nodes."""
    with fleets.open_fleet() as fleet:
        fleets.commit_first_snapshot(
            fleet, loads.make_snapshot(*set(SERVICES))
        )
        for number, service in enumerate(SERVICES):
            fleets.start_member(
                fleet,
                instance=f"node-{number}",
                data_centre="riga-1",
                service=service,
                version="v1",
                behaviour={"slots": 8, "warm_after": 10, "service_ms": 20.0},
            )
        member = fleet.members[recorded_index]
        fleets.stop(member.node)
        output_path = fleet.folder / "trace.jsonl"
        member.node = fleets.start_process(
            fleet.folder,
            "recorder",
            ["-m", "bench.recorder", output_path, member.settings_path],
        )
        results = scenario(fleet, fleet.members)
        fleets.stop(member.node)
        FOLDER.mkdir(exist_ok=True)
        executions = loads.count_executions(fleet, member)
        outcome = {
            "outcome": _summarize_outcome(results, sum(executions.values()))
        }
        text = output_path.read_text() + json.dumps(outcome) + "\n"
        (FOLDER / f"calls-{name}.jsonl").write_text(text)


def _summarize_outcome(
    results: list[loads.Result], executions: int
) -> dict[str, typing.Any]:
    """Count the callers' outcomes and the backend server's executions."""
    counts = collections.Counter(result.outcome for result in results)
    return {
        "callers": dict(sorted(counts.items())),
        "executions": executions,
    }


def _send_load(
    address: str,
    *,
    seconds: float,
    inject_fault: Callable[[], None],
    threads: int = 3,
) -> list[loads.Result]:
    with loads.run_load(
        [address], "/portal/x", threads=threads, timeout_ms=800
    ) as results:
        time.sleep(seconds / 2)
        inject_fault()
        time.sleep(seconds / 2)
    return results


def _wait_for_discovery(fleet: fleets.Fleet, member: fleets.Member) -> None:
    """Give the recorded node and the others time to discover each other."""
    time.sleep(4.0)


def _kill_serving_node(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    _wait_for_discovery(fleet, members[0])
    node = members[1].node
    assert node is not None
    return _send_load(members[0].ingress, seconds=1.2, inject_fault=node.kill)


def _freeze_gate(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    """Freeze the recorded gate until its callers' deadlines have passed."""
    _wait_for_discovery(fleet, members[1])
    node = members[1].node
    assert node is not None
    results = _send_load(
        members[0].ingress,
        seconds=1.2,
        inject_fault=lambda: node.send_signal(signal.SIGSTOP),
        threads=8,
    )
    time.sleep(1.0)
    node.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    return results


def _make_backend_cold(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    """Make the warm backend server of the recorded gate cold."""
    _wait_for_discovery(fleet, members[1])

    def set_cold() -> None:
        fleets.call_json(
            fleet,
            f"http://{members[1].backend}",
            "/-/behaviour",
            {"cold": True, "warm_after": 15},
        )

    return _send_load(members[0].ingress, seconds=1.6, inject_fault=set_cold)


def _drain_gate(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    """Stop the node of the recorded gate while calls arrive."""
    _wait_for_discovery(fleet, members[1])
    node = members[1].node
    assert node is not None

    def terminate_twice() -> None:
        node.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        node.send_signal(signal.SIGTERM)

    return _send_load(
        members[0].ingress, seconds=1.2, inject_fault=terminate_twice
    )


SCENARIOS: dict[str, tuple[Scenario, int]] = {
    "killed": (_kill_serving_node, 0),
    "frozen": (_freeze_gate, 1),
    "cold": (_make_backend_cold, 1),
    "draining": (_drain_gate, 1),
}


def main() -> None:
    """Record all scenarios."""
    with contextlib.suppress(KeyboardInterrupt):
        for name, (scenario, recorded_index) in SCENARIOS.items():
            record(name, scenario, recorded_index=recorded_index)


if __name__ == "__main__":
    main()
