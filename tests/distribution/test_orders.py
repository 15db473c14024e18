"""Tests of a node's copy of the operators' orders."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from apricotpost.distribution import orders
from apricotpost import wire

__all__ = ["OrderStoreTest"]


def make_row(key, revision, *, removed=False):
    return wire.OrderRow(
        key=key, value=b"", revision=revision, removed=removed
    )


class OrderStoreTest(unittest.TestCase):
    def test_revision_stays_below_a_gap(self):
        """Guards against orders that are not requested after a lost push."""
        order_store = orders.OrderStore()
        orders.merge(
            order_store, [make_row("a", 3)], after_revision=0, revision=3
        )
        orders.merge(
            order_store, [make_row("c", 9)], after_revision=7, revision=9
        )
        self.assertEqual(3, order_store.revision)
        self.assertIn("c", order_store.rows)

    def test_missing_rows_of_a_full_read_are_removed(self):
        """Guards against an evacuation that continues after its removal."""
        order_store = orders.OrderStore()
        orders.merge(
            order_store, [make_row("e", 3)], after_revision=0, revision=3
        )
        changed = orders.replace_all(
            order_store, [make_row("c", 2)], revision=8
        )
        removed_rows = [row for row in changed if row.removed]
        self.assertEqual(["e"], [row.key for row in removed_rows])

    def test_an_older_full_read_changes_nothing(self):
        """Guards against orders that an outdated replica's answer removes."""
        order_store = orders.OrderStore()
        orders.merge(
            order_store, [make_row("e", 9)], after_revision=0, revision=9
        )
        self.assertEqual([], orders.replace_all(order_store, [], revision=5))

    @settings(derandomize=True, max_examples=200)
    @given(strategies.data())
    def test_any_order_of_pushes_ends_with_the_newest_rows(self, data):
        """Guards against older rows from pushes that arrive out of order."""
        changes = [(f"k{i % 3}", i + 1) for i in range(8)]
        cuts = sorted(
            data.draw(strategies.sets(strategies.integers(1, 7), max_size=4))
        )
        edges = [0, *cuts, 8]
        pushes = [
            (low, high, [make_row(k, r) for k, r in changes[low:high]])
            for low, high in zip(edges, edges[1:], strict=False)
        ]
        order_store = orders.OrderStore()
        newest = {}
        for low, high, rows in data.draw(strategies.permutations(pushes)):
            orders.merge(order_store, rows, after_revision=low, revision=high)
            for key, row in order_store.rows.items():
                self.assertGreaterEqual(row.revision, newest.get(key, 0))
                newest[key] = row.revision
        self.assertEqual({"k0": 7, "k1": 8, "k2": 6}, newest)
        # The rows after the revision are those that a node requests again.
        lacking = orders.changed_after(order_store, order_store.revision)
        self.assertTrue(order_store.revision == 8 or lacking or not cuts)
