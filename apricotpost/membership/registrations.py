"""Decides which registrations of nodes in the store are removed.

Nodes register themselves in the store and are found there by others. A node
that is gone for good cannot remove its registration, so another node of its
data centre does. A node that is cut off from the others but not gone registers
again at intervals, which changes the revision of its row: such a row is not
removed.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

__all__ = ["Absence", "Registration", "find_gone", "update_absences"]

# Time without a sign of life, in seconds, after which a registration is
# removed. Regions lose each other for an hour now and then, but the nodes of a
# data centre do not lose each other for as long.
GONE_SECONDS = 900.0
# A node without contact to others registers again at this interval, in
# seconds, which is short enough to happen twice before it would be removed.
RENEW_SECONDS = 400.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Registration:
    """Row of a node in the store; `revision` is that of its last change."""

    node: str
    data_centre: str
    revision: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Absence:
    """Time since which a registered node is absent, in monotonic seconds.

    ``revision`` is that of its registration.
    """

    revision: int
    since: float


def update_absences(
    absences: Mapping[str, Absence],
    registrations: Iterable[Registration],
    *,
    live: Collection[str],
    data_centre: str,
    now: float,
) -> dict[str, Absence]:
    """Return the absent nodes of a data centre after reading the store.

    Parameters
    ----------
    absences : mapping
        Absent nodes after the previous reading.
    registrations : iterable of Registration
        All registrations.
    live : collection of str
        Nodes that were heard from recently.
    data_centre : str
        Data centre of this node; others remove their own rows.
    now : float
        Monotonic time, in seconds.
    """
    updated = {}
    for registration in registrations:
        name = registration.node
        if registration.data_centre != data_centre or name in live:
            continue
        known = absences.get(name)
        if known is None or known.revision != registration.revision:
            known = Absence(revision=registration.revision, since=now)
        updated[name] = known
    return updated


def find_gone(
    absences: Mapping[str, Absence], now: float
) -> tuple[tuple[str, int], ...]:
    """Return the nodes to remove, each with the revision of its row.

    Parameters
    ----------
    absences : mapping
        Absent nodes.
    now : float
        Monotonic time, in seconds.
    """
    return tuple(
        (name, absence.revision)
        for name, absence in absences.items()
        if now - absence.since >= GONE_SECONDS
    )
