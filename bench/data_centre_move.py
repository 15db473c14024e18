"""Requests that fail while a data centre is taken out and returned."""

import time
import typing

from apricotpost import model
from standins import fleet
from standins import load
from standins import operations
from standins import users

__all__ = ["run"]

# For each user: the data centre that is taken out, and the requests sent.
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
REQUESTS_PER_SECOND = 80.0
# A data centre receives no new calls this long after it is taken out.
TAKE_OUT_SECONDS = 8.0


def run(full: bool) -> dict[str, typing.Any]:
    """Take a data centre of each user out and return it.

    Returns
    -------
    dict
        The value is the share of requests that failed.
    """
    phase_seconds = 20.0 if full else 10.0
    raw = {name: _measure(name, phase_seconds) for name in USERS}
    requests = sum(figures["requests"] for figures in raw.values())
    value = 1.0 - sum(figures["good"] for figures in raw.values()) / requests
    late_calls = sum(figures["late_calls"] for figures in raw.values())
    return {
        "name": "data_centre_move",
        "value": value,
        "unit": "share",
        "target": 0.0,
        "holds": value == 0.0 and not late_calls,
        "raw": raw,
    }


def _measure(user: str, phase_seconds: float) -> dict[str, typing.Any]:
    data_centre, requests = USERS[user]
    with fleet.open_fleet() as running_fleet:
        users.start_organisation(running_fleet, user)
        operations.wait_until_serving(running_fleet, requests)
        nodes = [member.ingress for member in running_fleet.members]
        with load.run_load(
            nodes, per_second=REQUESTS_PER_SECOND, requests=requests
        ) as running_load:
            time.sleep(3)
            phase_times = [time.monotonic()]
            for state in (model.DataCentreState.OUT, model.DataCentreState.IN):
                operations.move_data_centre(running_fleet, data_centre, state)
                time.sleep(phase_seconds)
                phase_times.append(time.monotonic())
        records = running_load.records
        late_calls = _count_late_calls(
            running_fleet, data_centre, records, phase_times
        )
    return {
        "requests": len(records),
        "good": load.summarize(records)["good"],
        "late_calls": late_calls,
        "before": load.summarize(
            [record for record in records if record.at < phase_times[0]]
        ),
        "out": load.summarize(
            [
                record
                for record in records
                if phase_times[0] <= record.at < phase_times[1]
            ]
        ),
        "returned": load.summarize(
            [record for record in records if phase_times[1] <= record.at]
        ),
    }


def _count_late_calls(
    running_fleet: fleet.Fleet,
    data_centre: str,
    records: list[load.Record],
    phase_times: list[float],
) -> int:
    """Count calls sent after the limit that the data centre executed."""
    late_requests = {
        record.request
        for record in records
        if phase_times[0] + TAKE_OUT_SECONDS <= record.at < phase_times[1]
    }
    count = 0
    for member in running_fleet.members:
        if member.data_centre != data_centre:
            continue
        state = operations.read_backend_state(running_fleet, member)
        count += len(late_requests.intersection(state["executions"]))
    return count
