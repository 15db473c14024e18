"""Start nodes without backend servers for the benchmarks."""

from collections.abc import Iterator
import contextlib
import time
import typing

from apricotpost import model
from standins import fleet as fleets
from standins import observations

__all__ = ["DATA_CENTRE_COUNT", "open_nodes"]

DATA_CENTRE_COUNT = 4
SETTLE_SECONDS = 3.0
OVERRIDES: dict[str, typing.Any] = {
    "logs": {"level": "DEBUG"},
    "ingress_threads": 1,
    "local_threads": 1,
}


@contextlib.contextmanager
def open_nodes(
    size: int, *, data_centres: int = DATA_CENTRE_COUNT
) -> Iterator[tuple[fleets.Fleet, model.Snapshot]]:
    """Start a fleet and wait until every node is ready.

    Parameters
    ----------
    size : int
        Number of nodes.
    data_centres : int
        Number of data centres; nodes are assigned to them in turn.
    """
    with fleets.open_fleet(OVERRIDES) as fleet:
        snapshot = fleets.commit_first_snapshot(
            fleet, observations.make_configuration()
        )
        for number in range(size):
            fleets.start_member(
                fleet,
                instance=f"n{number}",
                data_centre=f"dc{number % data_centres + 1}",
                service="portal",
                version="v1",
                with_backend_server=False,
            )
        if not observations.wait_for_version(
            fleet, fleet.members, 1, seconds=60 + size
        ):
            raise TimeoutError(f"not all of {size} nodes became ready")
        time.sleep(SETTLE_SECONDS)
        yield fleet, snapshot
