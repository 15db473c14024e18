"""Steps of the demo; each does one thing and reports its outcome."""

from collections.abc import Callable
import json
import time
import typing

from demo import outcomes
from demo import world as worlds
from standins import fleet
from standins import load
from standins import operations

__all__ = ["STEPS"]

World = worlds.World
Step = Callable[[World], outcomes.Outcome]

MOVE_SECONDS = 42.0
# A bad version may get this many calls before its withdrawal is in force.
BAD_CALLS = 60


def serve(world: World) -> outcomes.Outcome:
    """Serve both kinds of calls from every node."""
    return _outcome(
        "start 8 nodes and backend servers",
        "every node answers reads and posts within 30 s",
        f"all 8 after {world.started_in:.1f} s",
        True,
        world.started_in,
    )


def refuse_without_token(world: World) -> outcomes.Outcome:
    """Show and change nothing without a token."""
    started = time.monotonic()
    node = world.fleet.members[0].admin
    answers = [
        world.fleet.pool.request("GET", f"http://{node}/v1/config").status,
        world.fleet.pool.request(
            "POST",
            f"http://{node}/v1/data-centres/riga-a",
            body=json.dumps({"state": "out"}),
        ).status,
    ]
    return _outcome(
        "ask the administration API without a token",
        "401 for a read and for a change",
        " and ".join(map(str, answers)),
        answers == [401, 401],
        time.monotonic() - started,
    )


def refuse_bad_sheet(world: World) -> outcomes.Outcome:
    """Refuse a sheet with faults as a whole."""
    started = time.monotonic()
    sheet = worlds.write_sheet(
        world,
        "faulty.csv",
        [
            f"portal,v2,,,{worlds.sheet_time(3600)}",
            "unknown,v2,,,tomorrow",
            ",,riga-z,outside,",
        ],
    )
    before = _version(world)
    result = worlds.ctl(world, "submit", str(sheet))
    unchanged = _version(world) == before
    return _outcome(
        "submit a sheet with one good and two faulty rows",
        "exit code 2, each fault listed, nothing accepted",
        f"exit code {result.returncode}, "
        f"{result.stderr.count('row')} faults listed, "
        f"{'nothing accepted' if unchanged else 'version changed'}",
        result.returncode == 2 and unchanged,
        time.monotonic() - started,
    )


def move_service(world: World) -> outcomes.Outcome:
    """Move portal from v1 to v2 by its time."""
    started = time.monotonic()
    sheet = worlds.write_sheet(
        world,
        "move.csv",
        [f"portal,v2,,,{worlds.sheet_time(MOVE_SECONDS)}"],
    )
    watched = worlds.ctl(world, "submit", str(sheet), "--watch")
    seconds = time.monotonic() - started
    tail = _records_since(world, time.monotonic() + 0.5, settle=1.5)
    versions = {r.version for r in tail if r.path.startswith("records")}
    return _outcome(
        "move portal from v1 to v2 by the morning sheet",
        f"done within {MOVE_SECONDS:.0f} s, v2 answers",
        f"{_last_line(watched.stdout) or watched.stderr}; "
        f"answers from {sorted(versions)}",
        watched.returncode == 0 and versions == {"v2"},
        seconds,
    )


def data_centre_out(world: World) -> outcomes.Outcome:
    """Take a data centre out under load."""
    started = time.monotonic()
    result = worlds.ctl(world, "data-centre", "out", "riga-b")
    time.sleep(worlds.OUT_SECONDS / 2)
    since = time.monotonic()
    time.sleep(2.0)
    late = _calls_in(world, "riga-b", since)
    return _outcome(
        "take data centre riga-b out",
        "no new call there after a few seconds",
        f"exit code {result.returncode}, {late} calls there in 2 s, "
        f"{worlds.OUT_SECONDS / 2:.0f} s later",
        result.returncode == 0 and late == 0,
        time.monotonic() - started,
    )


def data_centre_in(world: World) -> outcomes.Outcome:
    """Return the data centre under load."""
    started = time.monotonic()
    result = worlds.ctl(world, "data-centre", "in", "riga-b")
    took = fleet.wait_for(
        lambda: _calls_in(world, "riga-b", time.monotonic() - 1.0),
        seconds=10,
    )
    return _outcome(
        "return data centre riga-b",
        "it serves calls again within 10 s",
        f"exit code {result.returncode}, "
        + ("no call came" if took is None else f"calls after {took:.1f} s"),
        result.returncode == 0 and took is not None,
        time.monotonic() - started,
    )


def withdraw_bad_version(world: World) -> outcomes.Outcome:
    """Offer a version that fails a third of the calls of one route."""
    started = time.monotonic()
    sheet = worlds.write_sheet(
        world,
        "bad.csv",
        [f"portal,v3,,,{worlds.sheet_time(120)}"],
    )
    watched = worlds.ctl(world, "submit", str(sheet), "--watch")
    seconds = time.monotonic() - started
    time.sleep(1.0)
    since = time.monotonic()
    time.sleep(1.5)
    records = [r for r in world.load.records if r.at >= started]
    bad = sum(record.version == "v3" for record in records)
    after = sum(r.version == "v3" for r in records if r.at >= since)
    return _outcome(
        "offer the bad version v3",
        f"withdrawn, at most {BAD_CALLS} calls, none afterwards",
        f"{_last_line(watched.stdout)}; {bad} calls, {after} afterwards",
        watched.returncode == 5 and bad <= BAD_CALLS and after == 0,
        seconds,
    )


def stop_node(world: World) -> outcomes.Outcome:
    """Stop one node gracefully under load."""
    started = time.monotonic()
    member = world.fleet.members[2]
    world.nodes.remove(member.ingress)
    code = fleet.stop(member.node)
    seconds = time.monotonic() - started
    records = _records_since(world, started, settle=1.0)
    failed = [record for record in records if record.status != 200]
    return _outcome(
        "stop the node portal-a2 with SIGTERM under load",
        "exit code 0, no call fails",
        f"exit code {code}, {len(failed)} of {len(records)} calls failed "
        f"{sorted({r.outcome for r in failed})}",
        code == 0 and not failed,
        seconds,
    )


def check_calls(world: World) -> outcomes.Outcome:
    """Look back at all calls of the demo."""
    records = list(world.load.records)
    summary = load.summarize(records)
    crossed = sum(r.status == 200 and r.echoed != r.request for r in records)
    executions = _executions(world)
    posts = [r for r in records if r.path.startswith("reports")]
    doubled = sum(executions.get(r.request, 0) > 1 for r in posts)
    untrue = sum(
        executions.get(r.request, 0) > 0
        for r in posts
        if r.outcome.startswith("not-run")
    )
    lost = sum(
        r.status == 200 and executions.get(r.request, 0) != 1 for r in posts
    )
    # The calls that the bad version failed are its own answers.
    failed = [r for r in records if r.status != 200 and r.version != "v3"]
    return _outcome(
        "all calls of the demo",
        "none failed but by v3, none crossed, no post ran twice, "
        "every 'not run' true",
        f"{len(records)} calls, {len(failed)} failed "
        f"{sorted({r.outcome for r in failed})}, {crossed} crossed, "
        f"{doubled} doubled, {lost} lost, {untrue} untrue; "
        f"p50 {summary['p50_ms']:.1f} ms, p99 {summary['p99_ms']:.1f} ms",
        not (failed or crossed or doubled or untrue or lost),
        0.0,
    )


STEPS: tuple[Step, ...] = (
    serve,
    refuse_without_token,
    refuse_bad_sheet,
    move_service,
    data_centre_out,
    data_centre_in,
    withdraw_bad_version,
    stop_node,
    check_calls,
)


def _outcome(
    name: str, expected: str, seen: str, holds: bool, seconds: float
) -> outcomes.Outcome:
    return outcomes.Outcome(
        name=name, expected=expected, seen=seen, holds=holds, seconds=seconds
    )


def _version(world: World) -> typing.Any:
    result = worlds.ctl(world, "status", "--json")
    return json.loads(result.stdout or "{}").get("version")


def _last_line(text: str) -> str:
    lines = [line for line in text.splitlines() if line.strip()]
    return lines[-1].strip() if lines else ""


def _records_since(
    world: World, since: float, *, settle: float
) -> list[load.Record]:
    time.sleep(settle)
    return [record for record in world.load.records if record.at >= since]


def _calls_in(world: World, data_centre: str, since: float) -> int:
    """Count calls since a moment that a data centre's servers executed."""
    recent = {
        record.request
        for record in list(world.load.records)
        if record.at >= since
    }
    count = 0
    for member in world.fleet.members:
        if member.data_centre == data_centre:
            state = operations.backend_state(world.fleet, member)
            count += len(recent.intersection(state["executions"]))
    return count


def _executions(world: World) -> dict[str, int]:
    total: dict[str, int] = {}
    for member in world.fleet.members:
        state = operations.backend_state(world.fleet, member)
        for request, count in state["executions"].items():
            total[request] = total.get(request, 0) + count
    return total
