"""Start and stop fleets of real processes on the loopback address."""

import contextlib
import dataclasses
import hashlib
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import typing

import urllib3

from apricotpost import config
from apricotpost import model
from apricotpost import storage
from standins import ports

__all__ = [
    "Fleet",
    "Member",
    "TOKEN",
    "call_json",
    "commit_first_snapshot",
    "free_ports",
    "open_fleet",
    "start_backend_server",
    "start_member",
    "start_node",
    "stop",
    "wait_for",
]

HOST = "127.0.0.1"
TOKEN = "operator-token-of-the-stand-ins"
STOP_SECONDS = 40.0
_RESERVATIONS = contextlib.ExitStack()


@dataclasses.dataclass(kw_only=True)
class Member:
    """A node, the backend server beside it, and their addresses."""

    instance: str
    data_centre: str
    region: str
    ingress: str
    local: str
    admin: str
    call: str
    control: str
    backend: str
    service: str
    version: str
    settings_path: pathlib.Path
    node: subprocess.Popen[bytes] | None = None
    backend_server: subprocess.Popen[bytes] | None = None


@dataclasses.dataclass(kw_only=True)
class Fleet:
    """A platform stand-in and the members that use it."""

    stack: contextlib.ExitStack
    folder: pathlib.Path
    platform_url: str
    platform_process: subprocess.Popen[bytes]
    pool: urllib3.PoolManager
    members: list[Member] = dataclasses.field(default_factory=list)
    overrides: dict[str, typing.Any] = dataclasses.field(default_factory=dict)


def free_ports(count: int) -> list[int]:
    """Return ports of the loopback address that nobody else uses.

    They stay reserved until this process ends.
    """
    return ports.reserve(_RESERVATIONS, HOST, count)


@contextlib.contextmanager
def open_fleet(
    overrides: dict[str, typing.Any] | None = None,
) -> typing.Iterator[Fleet]:
    """Start the platform stand-in; stop all processes at the block's end."""
    with contextlib.ExitStack() as stack:
        folder = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        (port,) = free_ports(1)
        process = start_process(
            folder, "platform", ["-m", "standins.platform", "--port", port]
        )
        fleet = Fleet(
            stack=stack,
            folder=folder,
            platform_url=f"http://{HOST}:{port}",
            platform_process=process,
            pool=urllib3.PoolManager(maxsize=64, retries=False),
            overrides=overrides or {},
        )
        stack.callback(stop, process)
        stack.callback(_stop_members, fleet)
        wait_for(
            lambda: call_json(fleet, fleet.platform_url, "/-/counters"),
            seconds=10,
        )
        yield fleet


def start_member(
    fleet: Fleet,
    *,
    instance: str,
    data_centre: str,
    service: str,
    version: str,
    region: str = "lv-riga",
    behaviour: dict[str, typing.Any] | None = None,
    with_backend_server: bool = True,
) -> Member:
    """Start a node and, unless disabled, the backend server beside it."""
    addresses = [f"{HOST}:{port}" for port in free_ports(6)]
    member = Member(
        instance=instance,
        data_centre=data_centre,
        region=region,
        ingress=addresses[0],
        local=addresses[1],
        admin=addresses[2],
        call=addresses[3],
        control=addresses[4],
        backend=addresses[5],
        service=service,
        version=version,
        settings_path=fleet.folder / f"{instance}.jsonc",
    )
    write_settings(fleet, member)
    fleet.members.append(member)
    start_node(fleet, member)
    if with_backend_server:
        start_backend_server(fleet, member, behaviour=behaviour)
    return member


def write_settings(fleet: Fleet, member: Member) -> None:
    """Write the settings file of a member's node."""
    seeds = [other.control for other in fleet.members[:3]]
    text = {
        "instance": member.instance,
        "data_centre": member.data_centre,
        "region": member.region,
        "addresses": {
            "ingress": member.ingress,
            "local": member.local,
            "admin": member.admin,
            "call": member.call,
            "control": member.control,
        },
        "seeds": seeds,
        "platform": {
            "table_url": fleet.platform_url,
            "object_url": fleet.platform_url,
        },
        "tokens": [
            {
                "sha256": hashlib.sha256(TOKEN.encode()).hexdigest(),
                "author": "operator",
                "team": "platform",
                "rights": ["read", "change", "data-centres"],
            }
        ],
        **fleet.overrides,
    }
    member.settings_path.write_text(json.dumps(text, indent=2))


def start_node(fleet: Fleet, member: Member) -> None:
    """Start or restart the node of a member."""
    member.node = start_process(
        fleet.folder,
        f"{member.instance}-node",
        ["-m", "apricotpost.node.main", member.settings_path],
    )


def start_backend_server(
    fleet: Fleet,
    member: Member,
    *,
    version: str | None = None,
    behaviour: dict[str, typing.Any] | None = None,
) -> None:
    """Start or restart the backend server of a member."""
    member.version = version or member.version
    host, _, port = member.backend.rpartition(":")
    member.backend_server = start_process(
        fleet.folder,
        f"{member.instance}-backend",
        [
            "-m",
            "standins.backend_server",
            "--host",
            host,
            "--port",
            port,
            "--node",
            member.local,
            "--service",
            member.service,
            "--version",
            member.version,
            "--behaviour",
            json.dumps(behaviour or {}),
        ],
    )


def start_process(
    folder: pathlib.Path, name: str, arguments: typing.Iterable[typing.Any]
) -> subprocess.Popen[bytes]:
    """Start a Python program and append its output to a log file."""
    with open(folder / f"{name}.log", "ab") as output:
        return subprocess.Popen(
            [sys.executable, *map(str, arguments)],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=subprocess.STDOUT,
        )


def stop(process: subprocess.Popen[bytes] | None) -> int | None:
    """Stop a process with SIGTERM, or SIGKILL if it does not exit in time."""
    if process is None:
        return None
    if process.poll() is None:
        process.send_signal(signal.SIGTERM)
        try:
            process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
    return process.wait()


def call_json(
    fleet: Fleet,
    base: str,
    path: str,
    body: typing.Any = None,
    headers: dict[str, str] | None = None,
) -> typing.Any:
    """Call a JSON API; return None if there was no response."""
    try:
        response = fleet.pool.request(
            "GET" if body is None else "POST",
            base + path,
            body=None if body is None else json.dumps(body),
            headers=headers,
            timeout=5.0,
        )
    except urllib3.exceptions.HTTPError:
        return None
    return json.loads(response.data or b"null")


def wait_for(
    condition: typing.Callable[[], typing.Any], *, seconds: float
) -> float | None:
    """Wait until a condition holds.

    Returns
    -------
    float or None
        Seconds that it took, or None if the condition did not hold in time.
    """
    started_at = time.monotonic()
    while time.monotonic() - started_at < seconds:
        if condition():
            return time.monotonic() - started_at
        time.sleep(0.05)
    return None


def commit_first_snapshot(
    fleet: Fleet, snapshot: model.Snapshot
) -> model.Snapshot:
    """Commit the first configuration directly to the table."""
    first_snapshot = config.with_checksum(
        dataclasses.replace(snapshot, version=1)
    )
    store = storage.open_store(
        table_url=fleet.platform_url,
        object_url=fleet.platform_url,
        table_name="apricotpost",
        bucket="apricotpost",
        timeout_seconds=5.0,
    )
    storage.commit(
        store,
        storage.Change(
            before=model.EMPTY_SNAPSHOT,
            after=first_snapshot,
            author="stand-ins",
            reason="first configuration",
            request="first-configuration",
            at=time.time(),
        ),
    )
    store.channel.pool.clear()
    return first_snapshot


def _stop_members(fleet: Fleet) -> None:
    processes = [
        process
        for member in fleet.members
        for process in (member.backend_server, member.node)
        if process is not None
    ]
    for process in processes:
        if process.poll() is None:
            process.kill()
    for process in processes:
        process.wait()
