"""Copy of the operators' orders that a node holds."""

from collections.abc import Iterable

from apricotpost import wire

__all__ = [
    "OrderStore",
    "changed_after",
    "merge",
    "replace_all",
]


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
        if held_row is not None and held_row.revision >= row.revision:
            continue
        order_store.rows[row.key] = row
        changed.append(row)
    if after_revision <= order_store.revision < revision:
        order_store.revision = revision
    return changed


def replace_all(
    order_store: OrderStore, rows: Iterable[wire.OrderRow], *, revision: int
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
    )


def changed_after(
    order_store: OrderStore, revision: int
) -> tuple[wire.OrderRow, ...]:
    """Return the rows that changed after a revision, oldest first."""
    rows = [r for r in order_store.rows.values() if r.revision > revision]
    return tuple(sorted(rows, key=lambda row: row.revision))
