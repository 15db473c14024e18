"""Operations on a running fleet, for the demo, benchmarks and tests."""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import time
import typing

import urllib3

from apricotpost import config
from apricotpost import model
from apricotpost import storage
from standins import fleet

__all__ = [
    "commit_change",
    "move_data_centre",
    "open_store",
    "read_backend_state",
    "wait_until_serving",
]


@contextlib.contextmanager
def open_store(running_fleet: fleet.Fleet) -> typing.Iterator[storage.Store]:
    """Open a connection to the platform stand-in."""
    store = storage.open_store(
        table_url=running_fleet.platform_url,
        object_url=running_fleet.platform_url,
        table_name="apricotpost",
        bucket="apricotpost",
        timeout_seconds=5.0,
    )
    try:
        yield store
    finally:
        store.channel.pool.clear()


def commit_change(
    running_fleet: fleet.Fleet,
    edit: Callable[[model.Snapshot], model.Snapshot],
    *,
    reason: str,
) -> int:
    """Commit a change directly to the table; return the new version."""
    with open_store(running_fleet) as store:
        before = storage.read_snapshot(store, storage.read_head(store))
        version = before.version + 1
        after = config.with_checksum(
            dataclasses.replace(edit(before), version=version)
        )
        return storage.commit(
            store,
            storage.Change(
                before=before,
                after=after,
                author="stand-ins",
                reason=reason,
                request=f"stand-ins-{version}",
                at=time.time(),
            ),
        )


def move_data_centre(
    running_fleet: fleet.Fleet, name: str, state: model.DataCentreState
) -> int:
    """Evacuate a data centre or return it; return the new version."""

    def edit(snapshot: model.Snapshot) -> model.Snapshot:
        data_centres = tuple(
            (
                dataclasses.replace(data_centre, state=state)
                if data_centre.name == name
                else data_centre
            )
            for data_centre in snapshot.data_centres
        )
        return dataclasses.replace(snapshot, data_centres=data_centres)

    return commit_change(
        running_fleet, edit, reason=f"data centre {name} {state.value}"
    )


def wait_until_serving(
    running_fleet: fleet.Fleet,
    requests: Sequence[tuple[str, str]],
    *,
    seconds: float = 30.0,
) -> float | None:
    """Wait until every node answers every request with status 200.

    Returns
    -------
    float or None
        Seconds that it took, or None if some node did not in time.
    """
    return fleet.wait_for(
        lambda: all(
            _is_served(running_fleet, member.ingress, method, path)
            for member in running_fleet.members
            for method, path in requests
        ),
        seconds=seconds,
    )


def read_backend_state(
    running_fleet: fleet.Fleet, member: fleet.Member
) -> dict[str, typing.Any]:
    """Return the counters of a member's backend server."""
    base = f"http://{member.backend}"
    return dict(fleet.call_json(running_fleet, base, "/-/state") or {})


def _is_served(
    running_fleet: fleet.Fleet, address: str, method: str, path: str
) -> bool:
    try:
        response = running_fleet.pool.request(
            method, f"http://{address}{path}", timeout=5.0
        )
    except urllib3.exceptions.HTTPError:
        return False
    return bool(response.status == 200)
