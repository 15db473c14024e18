"""Tests of the operators' orders as a node holds them."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from apricotpost.spread import orders
from apricotpost import wire

__all__ = ["OrderBookTest"]


def make_row(key, revision, *, removed=False):
    return wire.OrderRow(
        key=key, value=b"", revision=revision, removed=removed
    )


class OrderBookTest(unittest.TestCase):
    def test_a_gap_does_not_count_as_seen(self):
        """Guards against orders that are lost between two messages."""
        book = orders.OrderBook()
        orders.merge(book, [make_row("a", 3)], after=0, revision=3)
        orders.merge(book, [make_row("c", 9)], after=7, revision=9)
        self.assertEqual(3, book.revision)
        self.assertIn("c", book.rows)

    def test_missing_rows_of_a_full_read_are_removed(self):
        """Guards against an evacuation that never ends."""
        book = orders.OrderBook()
        orders.merge(book, [make_row("e", 3)], after=0, revision=3)
        news = orders.replace_all(book, [make_row("c", 2)], revision=8)
        gone = [row for row in news if row.removed]
        self.assertEqual(["e"], [row.key for row in gone])

    def test_an_older_full_read_changes_nothing(self):
        """Guards against a store that answers with an old state."""
        book = orders.OrderBook()
        orders.merge(book, [make_row("e", 9)], after=0, revision=9)
        self.assertEqual([], orders.replace_all(book, [], revision=5))

    @settings(derandomize=True, max_examples=200)
    @given(strategies.data())
    def test_any_order_of_pushes_ends_with_the_newest_rows(self, data):
        """Guards against pushes that overtake each other."""
        changes = [(f"k{i % 3}", i + 1) for i in range(8)]
        cuts = sorted(
            data.draw(strategies.sets(strategies.integers(1, 7), max_size=4))
        )
        edges = [0, *cuts, 8]
        pushes = [
            (low, high, [make_row(k, r) for k, r in changes[low:high]])
            for low, high in zip(edges, edges[1:], strict=False)
        ]
        book = orders.OrderBook()
        newest = {}
        for low, high, rows in data.draw(strategies.permutations(pushes)):
            orders.merge(book, rows, after=low, revision=high)
            for key, row in book.rows.items():
                self.assertGreaterEqual(row.revision, newest.get(key, 0))
                newest[key] = row.revision
        self.assertEqual({"k0": 7, "k1": 8, "k2": 6}, newest)
        # What a node lacks is what it asks for.
        lacking = orders.changed_after(book, book.revision)
        self.assertTrue(book.revision == 8 or lacking or not cuts)
