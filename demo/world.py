"""The fleet of the demo: two data centres, two services, four versions."""

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
    "OUT_SECONDS",
    "REQUESTS",
    "World",
    "ctl",
    "open_world",
    "sheet_time",
]

REQUESTS = (
    ("GET", "/records/7"),
    ("POST", "/reports/7"),
    ("GET", "/records/8"),
)
PER_SECOND = 130.0
# From the taking out of a data centre to its last new call.
OUT_SECONDS = 8.0
# Rollouts run faster than in production, so that the demo ends in a minute.
TIMES = {"step_seconds": 1.5, "bake_seconds": 2.0, "drain_seconds": 15.0}
THREADS = {"ingress_threads": 10, "local_threads": 4}
# A new version that fails one call in three on the route of the records.
BAD = {"failure_rate": 0.33, "fault_prefix": "/records"}

_MEMBERS = (
    ("portal-a1", "riga-a", "portal", "v1", {}),
    ("portal-b1", "riga-b", "portal", "v1", {}),
    ("portal-a2", "riga-a", "portal", "v2", {}),
    ("portal-b2", "riga-b", "portal", "v2", {}),
    ("portal-a3", "riga-a", "portal", "v3", BAD),
    ("portal-b3", "riga-b", "portal", "v3", BAD),
    ("fieldbook-a1", "riga-a", "fieldbook", "v1", {}),
    ("fieldbook-b1", "riga-b", "fieldbook", "v1", {}),
)

_SHARE = (model.VersionShare(version="v1", share=model.TOTAL_SHARE),)
FIRST = model.Snapshot(
    version=1,
    services=(
        model.Service(name="fieldbook", team="platform", versions=_SHARE),
        model.Service(name="portal", team="platform", versions=_SHARE),
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
class World:
    """A running fleet under load."""

    fleet: fleet.Fleet
    load: load.Load
    nodes: list[str]
    started_in: float


@contextlib.contextmanager
def open_world() -> typing.Iterator[World]:
    """Start everything, wait until it serves and put it under load."""
    with fleet.open_fleet({"times": TIMES, **THREADS}) as opened:
        started = time.monotonic()
        fleet.commit_first(opened, FIRST)
        for instance, centre, service, version, behaviour in _MEMBERS:
            fleet.start_member(
                opened,
                instance=instance,
                data_centre=centre,
                service=service,
                version=version,
                behaviour={"slots": 12, **behaviour},
            )
        serving = operations.wait_serving(opened, REQUESTS)
        if serving is None:
            raise SystemExit("the nodes did not come to serve within 30 s")
        nodes = [member.ingress for member in opened.members]
        with load.run_load(
            lambda: nodes, per_second=PER_SECOND, requests=REQUESTS
        ) as running:
            yield World(
                fleet=opened,
                load=running,
                nodes=nodes,
                started_in=time.monotonic() - started,
            )


def ctl(world: World, *arguments: str) -> subprocess.CompletedProcess[str]:
    """Run ``apricotpost-ctl`` against the first nodes."""
    token = world.fleet.folder / "token"
    token.write_text(fleet.TOKEN)
    nodes = [
        text
        for member in world.fleet.members[:2]
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


def sheet_time(seconds: float) -> str:
    """Return a time of day from now on in the form of the sheet."""
    moment = time.gmtime(time.time() + seconds)
    return time.strftime("%Y-%m-%dT%H:%M:%SZ", moment)


def write_sheet(world: World, name: str, rows: list[str]) -> pathlib.Path:
    """Write a morning sheet."""
    path = world.fleet.folder / name
    header = "service,version,data_centre,state,finish_by"
    path.write_text("\n".join([header, *rows]) + "\n")
    return path
