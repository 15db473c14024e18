"""Rows of the store: the lease and the committed reports."""

import dataclasses

__all__ = ["Change", "LeaseRow", "Report"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class LeaseRow:
    """Content of the lease's row.

    Parameters
    ----------
    holder : str
        Identifies the process that holds the lease.
    token : int
        Fencing token; one higher at each change of the holder.
    attempt : int
        Number of the holder's write.
    last_window : int
        Last window that was committed; only later ones may follow.
    """

    holder: str
    token: int
    attempt: int
    last_window: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Report:
    """Committed report of a window, exactly as it is sent."""

    window: int
    body: bytes


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Change:
    """Conditional write of the lease, with the report of a window or not.

    Parameters
    ----------
    expected_revision : int
        Revision that the lease's row must have; 0 if it must not exist.
    row : LeaseRow
        New content of the lease's row.
    commit : Report or None
        Report to store; there must be no row of its window.
    """

    expected_revision: int
    row: LeaseRow
    commit: Report | None = None
