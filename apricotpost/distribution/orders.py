"""Copy of the operators' orders that a node holds.

The store may return from an older copy, in a new era
(`apricotpost.revisions`). Operators then write again what it has lost. Until
they have, what a node holds may be newer than what the store has.
"""

from collections.abc import Callable
from collections.abc import Iterable

from apricotpost import revisions
from apricotpost import wire

__all__ = [
    "IsOutdated",
    "OrderStore",
    "changed_after",
    "find_updates",
    "follows_new_era",
    "has_new_content",
    "merge",
    "replace_all",
]

# Tells by the content of two rows whether the second is older than the first.
# It decides only between rows of different eras; within one, revisions do.
IsOutdated = Callable[[wire.OrderRow, wire.OrderRow], bool]


class OrderStore:
    """Newest known row of each key.

    No change up to the orders' revision ``revision`` is missing.
    """

    def __init__(self) -> None:
        self.rows: dict[str, wire.OrderRow] = {}
        self.revision = 0


def merge(
    order_store: OrderStore,
    rows: Iterable[wire.OrderRow],
    *,
    after_revision: int,
    revision: int,
    is_outdated: IsOutdated = lambda held_row, row: False,
) -> list[wire.OrderRow]:
    """Merge the rows that changed after one revision and up to another.

    Returns
    -------
    list of wire.OrderRow
        Rows that are newer than the known ones. Older rows are ignored.
    """
    changed = []
    for row in rows:
        held_row = order_store.rows.get(row.key)
        if held_row is not None and (
            held_row.revision >= row.revision
            or (not _in_same_era(held_row, row) and is_outdated(held_row, row))
        ):
            continue
        order_store.rows[row.key] = row
        changed.append(row)
    if after_revision <= order_store.revision < revision:
        order_store.revision = revision
    return changed


def replace_all(
    order_store: OrderStore,
    rows: Iterable[wire.OrderRow],
    *,
    revision: int,
    is_outdated: IsOutdated = lambda held_row, row: False,
) -> list[wire.OrderRow]:
    """Merge all rows of the table as of a revision; return the changed ones.

    Known rows that the table lacks are marked as removed, unless they are
    newer than the revision. A read of an outdated replica changes nothing.
    """
    if revision < order_store.revision:
        return []
    read_rows = {row.key: row for row in rows}
    removed_rows = [
        wire.OrderRow(key=key, value=b"", revision=revision, removed=True)
        for key, held_row in order_store.rows.items()
        if key not in read_rows
        and not held_row.removed
        and held_row.revision < revision
    ]
    return merge(
        order_store,
        [*read_rows.values(), *removed_rows],
        after_revision=order_store.revision,
        revision=revision,
        is_outdated=is_outdated,
    )


def follows_new_era(order_store: OrderStore, revision: int) -> bool:
    """Return whether a revision is of a later era than the held orders."""
    return 0 < order_store.revision and revisions.era_of(
        order_store.revision
    ) < revisions.era_of(revision)


def find_updates(
    order_store: OrderStore,
    rows: Iterable[wire.OrderRow],
    *,
    is_outdated: IsOutdated,
) -> list[wire.OrderRow]:
    """Return the rows of a new era whose held content is outdated."""
    return [
        row
        for row in rows
        if row.key in order_store.rows
        and is_outdated(row, order_store.rows[row.key])
    ]


def has_new_content(
    row: wire.OrderRow, held_row: wire.OrderRow | None
) -> bool:
    """Return whether a row is another order than the held one.

    A row of a new era with the same content is the same order, which the
    store has kept or an operator has written again. Within an era, it is a
    new order with the same content.
    """
    return (
        held_row is None
        or _in_same_era(held_row, row)
        or (held_row.value, held_row.removed) != (row.value, row.removed)
    )


def changed_after(
    order_store: OrderStore, revision: int
) -> tuple[wire.OrderRow, ...]:
    """Return the rows that changed after a revision, oldest first."""
    rows = [r for r in order_store.rows.values() if r.revision > revision]
    return tuple(sorted(rows, key=lambda row: row.revision))


def _in_same_era(first: wire.OrderRow, second: wire.OrderRow) -> bool:
    return revisions.era_of(first.revision) == revisions.era_of(
        second.revision
    )
