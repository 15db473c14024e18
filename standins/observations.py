"""Observe a fleet of real processes by its logs, and change it."""

import ast
import dataclasses
import datetime
import re
import time
import typing

from apricotpost import config
from apricotpost import model
from apricotpost import storage
from standins import fleet as fleets

__all__ = [
    "commit_route_change",
    "list_applied_versions",
    "list_ready_versions",
    "list_states",
    "make_configuration",
    "read_counters",
    "set_faults",
    "sort_by_table_reads",
    "wait_for_version",
]

_APPLIED_LINE = re.compile(r"^(\S+ \S+) .*AP-200 configuration (\d+) in force")
_READY_LINE = re.compile(r"^(\S+ \S+) .*AP-101 ready with version (\d+)")
_STATE_TEXT = re.compile(r"AP-310 instance (\S+) is (\w+)")
_COUNTERS_TEXT = re.compile(r"AP-320 control counters (\{.*\})")


def make_configuration(timeout_ms: int = 1000) -> model.Snapshot:
    """Return a small configuration with one service and one route."""
    return model.Snapshot(
        version=0,
        services=(
            model.Service(
                name="portal",
                team="baltkalns",
                versions=(model.VersionShare(version="v1", share=1000),),
            ),
        ),
        routes=(
            model.Route(
                name="records",
                service="portal",
                prefix="/records",
                methods=("GET",),
                idempotent=True,
                timeout_ms=timeout_ms,
            ),
        ),
        data_centres=tuple(
            model.DataCentre(name=f"dc{number}", region="lv-riga")
            for number in range(1, 5)
        ),
    )


def commit_route_change(
    fleet: fleets.Fleet, before: model.Snapshot
) -> model.Snapshot:
    """Commit a change of one route directly to the table."""
    version = before.version + 1
    route = dataclasses.replace(before.routes[0], timeout_ms=1000 + version)
    after = config.with_checksum(
        dataclasses.replace(before, version=version, routes=(route,))
    )
    store = storage.open_store(
        table_url=fleet.platform_url,
        object_url=fleet.platform_url,
        table_name="apricotpost",
        bucket="apricotpost",
        timeout_seconds=5.0,
    )
    change = storage.Change(
        before=before,
        after=after,
        author="stand-ins",
        reason="change of a route",
        request=f"change-{version}",
        at=time.time(),
    )
    storage.commit(store, change)
    store.channel.pool.clear()
    return after


def list_applied_versions(
    fleet: fleets.Fleet, member: fleets.Member
) -> list[tuple[int, float]]:
    """Return the versions that a node applied, with their Unix times."""
    return _scan_log(fleet, member, _APPLIED_LINE)


def list_ready_versions(
    fleet: fleets.Fleet, member: fleets.Member
) -> list[tuple[int, float]]:
    """Return the versions with which a node became ready, with Unix times."""
    return _scan_log(fleet, member, _READY_LINE)


def list_states(fleet: fleets.Fleet, member: fleets.Member) -> dict[str, str]:
    """Return the last state that a node logged for each other instance."""
    return dict(_STATE_TEXT.findall(_read_log(fleet, member)))


def wait_for_version(
    fleet: fleets.Fleet,
    members: typing.Iterable[fleets.Member],
    version: int,
    *,
    seconds: float,
) -> bool:
    """Wait until all nodes have applied a version or a newer one."""
    pending = list(members)

    def all_applied() -> bool:
        pending[:] = [
            member
            for member in pending
            if not any(
                applied_version >= version
                for applied_version, _ in list_applied_versions(fleet, member)
            )
        ]
        return not pending

    return fleets.wait_for(all_applied, seconds=seconds) is not None


def read_counters(
    fleet: fleets.Fleet, member: fleets.Member
) -> dict[str, int]:
    """Return the control counters that a node logged last."""
    logged_counters = _COUNTERS_TEXT.findall(_read_log(fleet, member))
    return (
        dict(ast.literal_eval(logged_counters[-1])) if logged_counters else {}
    )


def sort_by_table_reads(
    fleet: fleets.Fleet, members: typing.Iterable[fleets.Member]
) -> list[fleets.Member]:
    """Return the members by table reads of their node, most first."""
    return sorted(
        members,
        key=lambda member: read_counters(fleet, member).get("table_reads", 0),
        reverse=True,
    )


def set_faults(fleet: fleets.Fleet, **faults: typing.Any) -> None:
    """Set the faults of the platform stand-in; others are cleared."""
    fleets.call_json(fleet, fleet.platform_url, "/-/faults", faults)


def _scan_log(
    fleet: fleets.Fleet, member: fleets.Member, pattern: re.Pattern[str]
) -> list[tuple[int, float]]:
    entries = []
    for line in _read_log(fleet, member).splitlines():
        match = pattern.match(line)
        if match:
            at = datetime.datetime.strptime(
                match.group(1), "%Y-%m-%d %H:%M:%S,%f"
            )
            entries.append((int(match.group(2)), at.timestamp()))
    return entries


def _read_log(fleet: fleets.Fleet, member: fleets.Member) -> str:
    path = fleet.folder / f"{member.instance}-node.log"
    return path.read_text() if path.exists() else ""
