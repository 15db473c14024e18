"""Orders of the operators, as far as this node holds them."""

from collections.abc import Iterable

from apricotpost import wire

__all__ = [
    "OrderStore",
    "changed_after",
    "merge",
    "replace_all",
]


class OrderStore:
    """Newest known row of every key.

    ``revision`` is the store's revision up to which no change is missing.
    """

    def __init__(self) -> None:
        self.rows: dict[str, wire.OrderRow] = {}
        self.revision = 0


def merge(
    order_store: OrderStore,
    rows: Iterable[wire.OrderRow],
    *,
    after: int,
    revision: int,
) -> list[wire.OrderRow]:
    """Take rows that changed after one revision up to another.

    Returns
    -------
    list of wire.OrderRow
        The rows that are news. A row never returns to an older revision.
    """
    news = []
    for row in rows:
        known = order_store.rows.get(row.key)
        if known is not None and known.revision >= row.revision:
            continue
        order_store.rows[row.key] = row
        news.append(row)
    if after <= order_store.revision < revision:
        order_store.revision = revision
    return news


def replace_all(
    order_store: OrderStore, rows: Iterable[wire.OrderRow], *, revision: int
) -> list[wire.OrderRow]:
    """Take all rows of the table as of a revision.

    Rows that the table lacks were removed, unless they are newer. An answer
    of a store that lags behind changes nothing.
    """
    if revision < order_store.revision:
        return []
    found = {row.key: row for row in rows}
    gone = [
        wire.OrderRow(key=key, value=b"", revision=revision, removed=True)
        for key, known in order_store.rows.items()
        if key not in found and not known.removed and known.revision < revision
    ]
    return merge(
        order_store,
        [*found.values(), *gone],
        after=order_store.revision,
        revision=revision,
    )


def changed_after(
    order_store: OrderStore, revision: int
) -> tuple[wire.OrderRow, ...]:
    """Return the rows that changed after a revision, oldest first."""
    rows = [r for r in order_store.rows.values() if r.revision > revision]
    return tuple(sorted(rows, key=lambda row: row.revision))
