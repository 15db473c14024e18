"""Service while a data centre is taken out and returned under load."""

import time
import typing

from apricotpost import model
from standins import fleet
from standins import load
from standins import operations
from standins import users

__all__ = ["run"]

# For each user: the data centre that moves and the requests.
USERS = {
    "baltkalns": (
        "riga-b",
        (("GET", "/records/7"), ("POST", "/reports/7")),
    ),
    "citatnik": (
        "split",
        (("GET", "/previews/7"), ("POST", "/bibliographies/7")),
    ),
}
PER_SECOND = 80.0
# A data centre that is out gets no new work after this time.
OUT_SECONDS = 8.0


def run(full: bool) -> dict[str, typing.Any]:
    """Move a data centre of each user out and in.

    Returns
    -------
    dict
        The value is the share of requests that were not answered well.
    """
    hold = 20.0 if full else 10.0
    raw = {name: _measure(name, hold) for name in USERS}
    requests = sum(part["requests"] for part in raw.values())
    value = 1.0 - sum(part["good"] for part in raw.values()) / requests
    late = sum(part["late_calls"] for part in raw.values())
    return {
        "name": "data_centre_move",
        "value": value,
        "unit": "share",
        "target": 0.0,
        "holds": value == 0.0 and not late,
        "raw": raw,
    }


def _measure(user: str, hold: float) -> dict[str, typing.Any]:
    data_centre, requests = USERS[user]
    with fleet.open_fleet() as opened:
        users.start_user(opened, user)
        operations.wait_serving(opened, requests)
        nodes = [member.ingress for member in opened.members]
        with load.run_load(
            nodes, per_second=PER_SECOND, requests=requests
        ) as running:
            time.sleep(3)
            marks = [time.monotonic()]
            for state in (model.DataCentreState.OUT, model.DataCentreState.IN):
                operations.move_data_centre(opened, data_centre, state)
                time.sleep(hold)
                marks.append(time.monotonic())
        records = running.records
        late = _late_calls(opened, data_centre, records, marks)
    return {
        "requests": len(records),
        "good": load.summarize(records)["good"],
        "late_calls": late,
        "before": load.summarize([r for r in records if r.at < marks[0]]),
        "out": load.summarize(
            [r for r in records if marks[0] <= r.at < marks[1]]
        ),
        "returned": load.summarize([r for r in records if marks[1] <= r.at]),
    }


def _late_calls(
    opened: fleet.Fleet,
    data_centre: str,
    records: list[load.Record],
    marks: list[float],
) -> int:
    """Count calls that a backend server of the data centre took too late."""
    late = {
        record.request
        for record in records
        if marks[0] + OUT_SECONDS <= record.at < marks[1]
    }
    count = 0
    for member in opened.members:
        if member.data_centre != data_centre:
            continue
        state = operations.backend_state(opened, member)
        count += len(late.intersection(state["executions"]))
    return count
