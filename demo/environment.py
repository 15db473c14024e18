"""Fleet of the demo: two data centres, two services, four versions."""

import contextlib
import dataclasses
import pathlib
import subprocess
import sys
import time
import typing

from apricotpost import model
from standins import fleet
from standins import load
from standins import operations

__all__ = [
    "Environment",
    "REQUESTS",
    "TAKE_OUT_SECONDS",
    "format_sheet_time",
    "open_environment",
    "run_ctl",
]

REQUESTS = (
    ("GET", "/records/7"),
    ("POST", "/reports/7"),
    ("GET", "/records/8"),
)
REQUESTS_PER_SECOND = 130.0
# Longest time from taking a data centre out until its last new call.
TAKE_OUT_SECONDS = 8.0
# Rollouts run faster than in production, so that the demo ends in a minute.
ROLLOUT_TIMES = {
    "step_seconds": 1.5,
    "bake_seconds": 2.0,
    "drain_seconds": 15.0,
}
THREAD_COUNTS = {"ingress_threads": 10, "local_threads": 4}
# A version that fails a third of the calls whose path begins with /records.
FAILING_BEHAVIOUR = {"failure_rate": 0.33, "fault_prefix": "/records"}

_MEMBERS = (
    ("portal-a1", "riga-a", "portal", "v1", {}),
    ("portal-b1", "riga-b", "portal", "v1", {}),
    ("portal-a2", "riga-a", "portal", "v2", {}),
    ("portal-b2", "riga-b", "portal", "v2", {}),
    ("portal-a3", "riga-a", "portal", "v3", FAILING_BEHAVIOUR),
    ("portal-b3", "riga-b", "portal", "v3", FAILING_BEHAVIOUR),
    ("fieldbook-a1", "riga-a", "fieldbook", "v1", {}),
    ("fieldbook-b1", "riga-b", "fieldbook", "v1", {}),
)

_FULL_SHARE = (model.VersionShare(version="v1", share=model.TOTAL_SHARE),)
FIRST_SNAPSHOT = model.Snapshot(
    version=1,
    services=(
        model.Service(name="fieldbook", team="platform", versions=_FULL_SHARE),
        model.Service(name="portal", team="platform", versions=_FULL_SHARE),
    ),
    routes=(
        model.Route(
            name="records",
            service="portal",
            prefix="/records",
            methods=("GET",),
            idempotent=True,
        ),
        model.Route(
            name="reports",
            service="fieldbook",
            prefix="/reports",
            methods=("POST",),
            idempotent=False,
        ),
    ),
    data_centres=(
        model.DataCentre(name="riga-a", region="lv-riga"),
        model.DataCentre(name="riga-b", region="lv-riga"),
    ),
)


@dataclasses.dataclass(kw_only=True)
class Environment:
    """Running fleet under load.

    Parameters
    ----------
    fleet : standins.fleet.Fleet
        Nodes, backend servers and the platform.
    load : standins.load.LoadRun
        Calls sent so far.
    nodes : list of str
        Addresses of the nodes that calls are sent to.
    startup_seconds : float
        Time from the start of the processes until all nodes served calls.
    """

    fleet: fleet.Fleet
    load: load.LoadRun
    nodes: list[str]
    startup_seconds: float


@contextlib.contextmanager
def open_environment() -> typing.Iterator[Environment]:
    """Start a fleet, wait until all nodes serve, and put it under load."""
    with fleet.open_fleet(
        {"times": ROLLOUT_TIMES, **THREAD_COUNTS}
    ) as running_fleet:
        started_at = time.monotonic()
        fleet.commit_first_snapshot(running_fleet, FIRST_SNAPSHOT)
        for instance, data_centre, service, version, behaviour in _MEMBERS:
            fleet.start_member(
                running_fleet,
                instance=instance,
                data_centre=data_centre,
                service=service,
                version=version,
                behaviour={"slots": 12, **behaviour},
            )
        serving_seconds = operations.wait_until_serving(
            running_fleet, REQUESTS
        )
        if serving_seconds is None:
            raise SystemExit(
                "not every node answered every request within 30 s"
            )
        nodes = [member.ingress for member in running_fleet.members]
        with load.run_load(
            lambda: nodes, per_second=REQUESTS_PER_SECOND, requests=REQUESTS
        ) as running_load:
            yield Environment(
                fleet=running_fleet,
                load=running_load,
                nodes=nodes,
                startup_seconds=time.monotonic() - started_at,
            )


def run_ctl(
    environment: Environment, *arguments: str
) -> subprocess.CompletedProcess[str]:
    """Run ``apricotpost-ctl`` against the first two nodes."""
    token = environment.fleet.folder / "token"
    token.write_text(fleet.TOKEN)
    nodes = [
        text
        for member in environment.fleet.members[:2]
        for text in ("--node", member.admin)
    ]
    return subprocess.run(
        [
            sys.executable,
            "-m",
            "apricotpost.ctl.main",
            *arguments,
            *nodes,
            "--token-file",
            str(token),
        ],
        capture_output=True,
        text=True,
        timeout=60,
    )


def format_sheet_time(seconds: float) -> str:
    """Return the time this many seconds from now as a sheet has it."""
    time_tuple = time.gmtime(time.time() + seconds)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", time_tuple)


def write_sheet(
    environment: Environment, name: str, rows: list[str]
) -> pathlib.Path:
    """Write a sheet of rollouts and states of data centres."""
    path = environment.fleet.folder / name
    header = "service,version,data_centre,state,finish_by"
    path.write_text("\n".join([header, *rows]) + "\n")
    return path
