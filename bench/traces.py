"""Record traces of the call path from real runs into ``traces/``.

``python -m bench.traces`` runs each scenario; the last line of a trace is
what the callers saw.
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


def record(name: str, scenario: Scenario, *, recorded: int) -> None:
    """Run a scenario and record one of its nodes."""
    with fleets.open_fleet() as fleet:
        fleets.commit_first(fleet, loads.snapshot(*set(SERVICES)))
        for number, service in enumerate(SERVICES):
            fleets.start_member(
                fleet,
                instance=f"node-{number}",
                data_centre="riga-1",
                service=service,
                version="v1",
                behaviour={"slots": 8, "warm_after": 10, "service_ms": 20.0},
            )
        member = fleet.members[recorded]
        fleets.stop(member.node)
        output = fleet.folder / "trace.jsonl"
        member.node = fleets.start_process(
            fleet.folder,
            "recorder",
            ["-m", "bench.recorder", output, member.settings_path],
        )
        results = scenario(fleet, fleet.members)
        fleets.stop(member.node)
        FOLDER.mkdir(exist_ok=True)
        runs = loads.executions(fleet, member)
        outcome = {"outcome": _summarise(results, sum(runs.values()))}
        text = output.read_text() + json.dumps(outcome) + "\n"
        (FOLDER / f"calls-{name}.jsonl").write_text(text)


def _summarise(
    results: list[loads.Result], executions: int
) -> dict[str, typing.Any]:
    """State what callers and the recorded node's backend server saw."""
    counts = collections.Counter(result.outcome for result in results)
    return {
        "callers": dict(sorted(counts.items())),
        "executions": executions,
    }


def _send_many(
    address: str,
    *,
    seconds: float,
    between: Callable[[], None],
    threads: int = 3,
) -> list[loads.Result]:
    with loads.load(
        [address], "/portal/x", threads=threads, timeout_ms=800
    ) as results:
        time.sleep(seconds / 2)
        between()
        time.sleep(seconds / 2)
    return results


def _wait(fleet: fleets.Fleet, member: fleets.Member) -> None:
    """Wait for the recorded node to be known and to know the others."""
    time.sleep(4.0)


def _killed(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    _wait(fleet, members[0])
    node = members[1].node
    assert node is not None
    return _send_many(members[0].ingress, seconds=1.2, between=node.kill)


def _frozen(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    """Freeze the recorded gate past its callers' deadlines."""
    _wait(fleet, members[1])
    node = members[1].node
    assert node is not None
    results = _send_many(
        members[0].ingress,
        seconds=1.2,
        between=lambda: node.send_signal(signal.SIGSTOP),
        threads=8,
    )
    time.sleep(1.0)
    node.send_signal(signal.SIGCONT)
    time.sleep(0.5)
    return results


def _cold(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    """Let the warm backend server of the recorded gate turn cold."""
    _wait(fleet, members[1])

    def turn_cold() -> None:
        fleets.call_json(
            fleet,
            f"http://{members[1].backend}",
            "/-/behaviour",
            {"cold": True, "warm_after": 15},
        )

    return _send_many(members[0].ingress, seconds=1.6, between=turn_cold)


def _draining(
    fleet: fleets.Fleet, members: list[fleets.Member]
) -> list[loads.Result]:
    """Stop the recorded gate while calls arrive."""
    _wait(fleet, members[1])
    node = members[1].node
    assert node is not None

    def leave() -> None:
        node.send_signal(signal.SIGTERM)
        time.sleep(0.3)
        node.send_signal(signal.SIGTERM)

    return _send_many(members[0].ingress, seconds=1.2, between=leave)


SCENARIOS: dict[str, tuple[Scenario, int]] = {
    "killed": (_killed, 0),
    "frozen": (_frozen, 1),
    "cold": (_cold, 1),
    "draining": (_draining, 1),
}


def main() -> None:
    """Record all scenarios."""
    with contextlib.suppress(KeyboardInterrupt):
        for name, (scenario, recorded) in SCENARIOS.items():
            record(name, scenario, recorded=recorded)


if __name__ == "__main__":
    main()
