"""Steps of the demo; each performs one action and returns its outcome."""

from collections.abc import Callable
import json
import time
import typing

from demo import environment as environments
from demo import outcomes
from standins import fleet
from standins import load
from standins import operations

__all__ = ["STEPS"]

Environment = environments.Environment
Step = Callable[[Environment], outcomes.Outcome]

ROLLOUT_SECONDS = 42.0
# Calls that a bad version may receive until its withdrawal is in force.
MAX_BAD_CALLS = 60


def report_start(environment: Environment) -> outcomes.Outcome:
    """Report how long the fleet took until every node answered calls."""
    return _outcome(
        "start 8 nodes and backend servers",
        "every node answers reads and posts within 30 s",
        f"all 8 after {environment.startup_seconds:.1f} s",
        True,
        environment.startup_seconds,
    )


def reject_missing_token(environment: Environment) -> outcomes.Outcome:
    """Send requests without a token to the administration API."""
    started_at = time.monotonic()
    admin_address = environment.fleet.members[0].admin
    statuses = [
        environment.fleet.pool.request(
            "GET", f"http://{admin_address}/v1/config"
        ).status,
        environment.fleet.pool.request(
            "POST",
            f"http://{admin_address}/v1/data-centres/riga-a",
            body=json.dumps({"state": "out"}),
        ).status,
    ]
    return _outcome(
        "call the administration API without a token",
        "401 for a read and for a change",
        " and ".join(map(str, statuses)),
        statuses == [401, 401],
        time.monotonic() - started_at,
    )


def reject_faulty_sheet(environment: Environment) -> outcomes.Outcome:
    """Submit a sheet with two faulty rows; no row may be accepted."""
    started_at = time.monotonic()
    sheet = environments.write_sheet(
        environment,
        "faulty.csv",
        [
            f"portal,v2,,,{environments.format_sheet_time(3600)}",
            "unknown,v2,,,tomorrow",
            ",,riga-z,outside,",
        ],
    )
    version_before = _read_version(environment)
    result = environments.run_ctl(environment, "submit", str(sheet))
    unchanged = _read_version(environment) == version_before
    return _outcome(
        "submit a sheet with one good and two faulty rows",
        "exit code 2, each fault listed, nothing accepted",
        f"exit code {result.returncode}, "
        f"{result.stderr.count('row')} faults listed, "
        f"{'nothing accepted' if unchanged else 'version changed'}",
        result.returncode == 2 and unchanged,
        time.monotonic() - started_at,
    )


def roll_out_version(environment: Environment) -> outcomes.Outcome:
    """Roll out v2 of portal within the time that a sheet gives."""
    started_at = time.monotonic()
    sheet = environments.write_sheet(
        environment,
        "move.csv",
        [f"portal,v2,,,{environments.format_sheet_time(ROLLOUT_SECONDS)}"],
    )
    submitted = environments.run_ctl(
        environment, "submit", str(sheet), "--watch"
    )
    seconds = time.monotonic() - started_at
    recent = _records_since(environment, time.monotonic() + 0.5, settle=1.5)
    versions = {r.version for r in recent if r.path.startswith("records")}
    return _outcome(
        "roll out portal v2 in place of v1 by a sheet",
        f"done within {ROLLOUT_SECONDS:.0f} s, v2 answers",
        f"{_last_line(submitted.stdout) or submitted.stderr}; "
        f"answers from {sorted(versions)}",
        submitted.returncode == 0 and versions == {"v2"},
        seconds,
    )


def take_data_centre_out(environment: Environment) -> outcomes.Outcome:
    """Take a data centre out under load."""
    started_at = time.monotonic()
    result = environments.run_ctl(environment, "data-centre", "out", "riga-b")
    time.sleep(environments.TAKE_OUT_SECONDS / 2)
    counted_from = time.monotonic()
    time.sleep(2.0)
    late_calls = _count_calls_in(environment, "riga-b", counted_from)
    return _outcome(
        "take data centre riga-b out",
        "no new call there after a few seconds",
        f"exit code {result.returncode}, {late_calls} calls there in 2 s, "
        f"{environments.TAKE_OUT_SECONDS / 2:.0f} s later",
        result.returncode == 0 and late_calls == 0,
        time.monotonic() - started_at,
    )


def return_data_centre(environment: Environment) -> outcomes.Outcome:
    """Return the data centre to service under load."""
    started_at = time.monotonic()
    result = environments.run_ctl(environment, "data-centre", "in", "riga-b")
    return_seconds = fleet.wait_for(
        lambda: _count_calls_in(environment, "riga-b", time.monotonic() - 1.0),
        seconds=10,
    )
    return _outcome(
        "return data centre riga-b",
        "it serves calls again within 10 s",
        f"exit code {result.returncode}, "
        + (
            "no call within 10 s"
            if return_seconds is None
            else f"calls after {return_seconds:.1f} s"
        ),
        result.returncode == 0 and return_seconds is not None,
        time.monotonic() - started_at,
    )


def withdraw_bad_version(environment: Environment) -> outcomes.Outcome:
    """Roll out a version that fails a third of the calls of one route."""
    started_at = time.monotonic()
    sheet = environments.write_sheet(
        environment,
        "bad.csv",
        [f"portal,v3,,,{environments.format_sheet_time(120)}"],
    )
    submitted = environments.run_ctl(
        environment, "submit", str(sheet), "--watch"
    )
    seconds = time.monotonic() - started_at
    time.sleep(1.0)
    counted_from = time.monotonic()
    time.sleep(1.5)
    records = [r for r in environment.load.records if r.at >= started_at]
    bad_calls = sum(record.version == "v3" for record in records)
    bad_calls_afterwards = sum(
        r.version == "v3" for r in records if r.at >= counted_from
    )
    return _outcome(
        "roll out the bad version v3",
        f"withdrawn, at most {MAX_BAD_CALLS} calls, none afterwards",
        f"{_last_line(submitted.stdout)}; {bad_calls} calls, "
        f"{bad_calls_afterwards} afterwards",
        submitted.returncode == 5
        and bad_calls <= MAX_BAD_CALLS
        and bad_calls_afterwards == 0,
        seconds,
    )


def stop_node(environment: Environment) -> outcomes.Outcome:
    """Stop one node gracefully under load."""
    started_at = time.monotonic()
    member = environment.fleet.members[2]
    environment.nodes.remove(member.ingress)
    exit_code = fleet.stop(member.node)
    seconds = time.monotonic() - started_at
    records = _records_since(environment, started_at, settle=1.0)
    failed = [record for record in records if record.status != 200]
    return _outcome(
        "stop the node portal-a2 with SIGTERM under load",
        "exit code 0, no call fails",
        f"exit code {exit_code}, {len(failed)} of {len(records)} calls failed "
        f"{sorted({r.outcome for r in failed})}",
        exit_code == 0 and not failed,
        seconds,
    )


def check_calls(environment: Environment) -> outcomes.Outcome:
    """Check the outcomes and executions of all calls of the demo."""
    records = list(environment.load.records)
    summary = load.summarize(records)
    wrong_answers = sum(
        r.status == 200 and r.echoed_request_id != r.request for r in records
    )
    executions = _count_executions(environment)
    posts = [r for r in records if r.path.startswith("reports")]
    duplicated = sum(executions.get(r.request, 0) > 1 for r in posts)
    wrongly_not_run = sum(
        executions.get(r.request, 0) > 0
        for r in posts
        if r.outcome.startswith("not-run")
    )
    not_executed_once = sum(
        r.status == 200 and executions.get(r.request, 0) != 1 for r in posts
    )
    # Failures of v3 are answers of its backend servers and are expected.
    failed = [r for r in records if r.status != 200 and r.version != "v3"]
    return _outcome(
        "all calls of the demo",
        "no failure except by v3, no answer to another request, no post "
        "executed twice, every answered post executed once, no executed post "
        "reported as not run",
        f"{len(records)} calls, {len(failed)} failed "
        f"{sorted({r.outcome for r in failed})}, "
        f"{wrong_answers} answers to another request, "
        f"{duplicated} executed twice, "
        f"{not_executed_once} answered but not executed once, "
        f"{wrongly_not_run} executed but reported as not run; "
        f"p50 {summary['p50_ms']:.1f} ms, p99 {summary['p99_ms']:.1f} ms",
        not (
            failed
            or wrong_answers
            or duplicated
            or wrongly_not_run
            or not_executed_once
        ),
        0.0,
    )


STEPS: tuple[Step, ...] = (
    report_start,
    reject_missing_token,
    reject_faulty_sheet,
    roll_out_version,
    take_data_centre_out,
    return_data_centre,
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


def _read_version(environment: Environment) -> typing.Any:
    result = environments.run_ctl(environment, "status", "--json")
    return json.loads(result.stdout or "{}").get("version")


def _last_line(text: str) -> str:
    lines = [line for line in text.splitlines() if line.strip()]
    return lines[-1].strip() if lines else ""


def _records_since(
    environment: Environment, since: float, *, settle: float
) -> list[load.Record]:
    time.sleep(settle)
    return [
        record for record in environment.load.records if record.at >= since
    ]


def _count_calls_in(
    environment: Environment, data_centre: str, since: float
) -> int:
    """Count calls sent after ``since`` that a data centre executed."""
    recent = {
        record.request
        for record in list(environment.load.records)
        if record.at >= since
    }
    count = 0
    for member in environment.fleet.members:
        if member.data_centre == data_centre:
            state = operations.read_backend_state(environment.fleet, member)
            count += len(recent.intersection(state["executions"]))
    return count


def _count_executions(environment: Environment) -> dict[str, int]:
    executions: dict[str, int] = {}
    for member in environment.fleet.members:
        state = operations.read_backend_state(environment.fleet, member)
        for request, count in state["executions"].items():
            executions[request] = executions.get(request, 0) + count
    return executions
