"""Service while a data centre is taken out and returned under load."""

import time
import typing

from apricotpost import model
from standins import fleet
from standins import load
from standins import operations
from standins import users

__all__ = ["run"]

REQUESTS = (("GET", "/records/7"), ("POST", "/reports/7"))
PER_SECOND = 80.0
# A data centre that is out gets no new work after this time.
OUT_SECONDS = 8.0


def run(full: bool) -> dict[str, typing.Any]:
    """Move a data centre of Baltkalns out and in.

    Returns
    -------
    dict
        The value is the share of requests that were not answered well.
    """
    hold = 15.0 if full else 6.0
    with fleet.open_fleet() as opened:
        users.start_user(opened, "baltkalns")
        operations.wait_serving(opened, REQUESTS)
        nodes = [member.ingress for member in opened.members]
        with load.run_load(
            nodes, per_second=PER_SECOND, requests=REQUESTS
        ) as running:
            time.sleep(3)
            marks = [time.monotonic()]
            for state in (model.DataCentreState.OUT, model.DataCentreState.IN):
                operations.move_data_centre(opened, "riga-b", state)
                time.sleep(hold)
                marks.append(time.monotonic())
        records = running.records
        late = _late_calls(opened, records, marks)
    parts = {
        "before": [r for r in records if r.at < marks[0]],
        "out": [r for r in records if marks[0] <= r.at < marks[1]],
        "returned": [r for r in records if marks[1] <= r.at],
    }
    raw = {name: load.summarize(part) for name, part in parts.items()}
    value = 1.0 - load.summarize(records)["success"]
    return {
        "name": "data_centre_move",
        "value": value,
        "unit": "share",
        "target": 0.0,
        "holds": value == 0.0 and not late,
        "calls_in_data_centre_after_limit": late,
        "raw": raw,
    }


def _late_calls(
    opened: fleet.Fleet,
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
        if member.data_centre != "riga-b":
            continue
        state = operations.backend_state(opened, member)
        count += len(late.intersection(state["executions"]))
    return count
