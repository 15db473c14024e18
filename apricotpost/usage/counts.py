"""Requests that this node's backend server started, by window and tenant."""

from collections.abc import Mapping
import dataclasses

__all__ = ["NodeCounts", "OwnCounts", "add", "advance", "take_back"]

# More tenants are not counted by name; their windows are marked as partial.
# Deployments have about 83.
MAX_TENANTS = 1000
# Finished windows that are kept to send them again to a new holder. Reports
# are due two windows after the end of their window.
MAX_FINISHED = 4


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class NodeCounts:
    """Counts of one process in one window.

    Parameters
    ----------
    node : str
        Name of the node.
    boot : int
        Number of the process; higher is newer.
    window : int
        Number of the window.
    partial : bool
        Whether starts of this node in the window may be missing: the process
        started in it, did not know the time, or counted too many tenants.
    counts : mapping
        Number of started requests of each tenant.
    """

    node: str
    boot: int
    window: int
    partial: bool
    counts: Mapping[str, int]


class OwnCounts:
    """Counts of this process.

    Parameters
    ----------
    node : str
        Name of the node.
    boot : int
        Number of the process.
    window : int
        Window in which the process started.
    """

    def __init__(self, *, node: str, boot: int, window: int) -> None:
        self.node = node
        self.boot = boot
        self.window = window
        self.partial = True
        self.counts: dict[str, int] = {}
        # Oldest first.
        self.finished: tuple[NodeCounts, ...] = ()


def add(own: OwnCounts, tenant: str, window: int) -> None:
    """Count a request that starts in a window.

    A finished window may have been sent already, so a start that would be in
    one after a correction of the time counts in the open one.
    """
    if window > own.window:
        advance(own, window)
    if tenant not in own.counts and len(own.counts) >= MAX_TENANTS:
        own.partial = True
        return
    own.counts[tenant] = own.counts.get(tenant, 0) + 1


def take_back(own: OwnCounts, tenant: str, window: int) -> None:
    """Remove a request that the backend server has not run.

    A finished window stays as it is, as it may have been sent already. A
    server rejects a request within milliseconds, so that few are missed.
    """
    if window == own.window and own.counts.get(tenant, 0) > 0:
        own.counts[tenant] -= 1


def advance(own: OwnCounts, window: int) -> None:
    """Finish the windows before a window.

    Parameters
    ----------
    own : OwnCounts
        Counts of this process.
    window : int
        Window that is open from now on; an earlier one changes nothing.
    """
    first_kept = max(own.window, window - MAX_FINISHED)
    for number in range(first_kept, window):
        is_open = number == own.window
        finished = NodeCounts(
            node=own.node,
            boot=own.boot,
            window=number,
            partial=own.partial and is_open,
            counts=dict(own.counts) if is_open else {},
        )
        own.finished = (*own.finished, finished)[-MAX_FINISHED:]
    if window > own.window:
        own.window = window
        own.partial = False
        own.counts = {}
