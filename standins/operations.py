"""What demo, benchmarks and tests do to a running fleet."""

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
    "backend_state",
    "change",
    "move_data_centre",
    "open_store",
    "wait_serving",
]


@contextlib.contextmanager
def open_store(opened: fleet.Fleet) -> typing.Iterator[storage.Store]:
    """Open a connection to the platform stand-in."""
    store = storage.open_store(
        table_url=opened.platform_url,
        object_url=opened.platform_url,
        table_name="apricotpost",
        bucket="apricotpost",
        timeout_seconds=5.0,
    )
    try:
        yield store
    finally:
        store.channel.pool.clear()


def change(
    opened: fleet.Fleet,
    edit: Callable[[model.Snapshot], model.Snapshot],
    *,
    reason: str,
) -> int:
    """Commit a change straight to the table; returns the version."""
    with open_store(opened) as store:
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
    opened: fleet.Fleet, name: str, state: model.DataCentreState
) -> int:
    """Take a data centre out or return it; returns the version."""

    def edit(snapshot: model.Snapshot) -> model.Snapshot:
        centres = tuple(
            (
                dataclasses.replace(centre, state=state)
                if centre.name == name
                else centre
            )
            for centre in snapshot.data_centres
        )
        return dataclasses.replace(snapshot, data_centres=centres)

    return change(opened, edit, reason=f"data centre {name} {state.value}")


def wait_serving(
    opened: fleet.Fleet,
    requests: Sequence[tuple[str, str]],
    *,
    seconds: float = 30.0,
) -> float | None:
    """Wait until every node answers every request.

    Returns
    -------
    float or None
        Seconds that it took, or None when it did not come to hold.
    """
    return fleet.wait_for(
        lambda: all(
            _answers(opened, member.ingress, method, path)
            for member in opened.members
            for method, path in requests
        ),
        seconds=seconds,
    )


def backend_state(
    opened: fleet.Fleet, member: fleet.Member
) -> dict[str, typing.Any]:
    """Return the counters of a member's backend server."""
    base = f"http://{member.backend}"
    return dict(fleet.call_json(opened, base, "/-/state") or {})


def _answers(
    opened: fleet.Fleet, address: str, method: str, path: str
) -> bool:
    try:
        response = opened.pool.request(
            method, f"http://{address}{path}", timeout=5.0
        )
    except urllib3.exceptions.HTTPError:
        return False
    return bool(response.status == 200)
