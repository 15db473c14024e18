"""Tests of a node's copy of the operators' orders."""

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from apricotpost.distribution import orders
from apricotpost import revisions
from apricotpost import wire

__all__ = ["EraTest", "OrderStoreTest"]


def make_row(key, revision, *, value=b"", removed=False):
    return wire.OrderRow(
        key=key, value=value, revision=revision, removed=removed
    )


def is_lower(held_row, row):
    """Compare values as configurations are compared by their versions."""
    return row.key == "c" and row.value < held_row.value


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


class EraTest(unittest.TestCase):
    """Orders of a store that has returned from an older copy."""

    def setUp(self):
        self.order_store = orders.OrderStore()
        orders.replace_all(
            self.order_store,
            [make_row("c", 98, value=b"4"), make_row("e", 60, value=b"x")],
            revision=100,
        )

    def replace(self, *rows, version):
        """Apply the rows of a full read in the new era."""
        return orders.replace_all(
            self.order_store,
            [
                make_row(key, self.in_new_era(row_version), value=value)
                for key, row_version, value in rows
            ],
            revision=self.in_new_era(version),
            is_outdated=is_lower,
        )

    def in_new_era(self, version):
        return revisions.compose(era=1, version=version)

    def test_newer_content_with_a_lower_version_is_taken(self):
        """Guards against orders that are ignored for their reused version."""
        changed = self.replace(
            ("c", 95, b"5"), ("e", 60, b"x"), ("f", 94, b"y"), version=95
        )
        self.assertEqual({"c", "e", "f"}, {row.key for row in changed})
        self.assertEqual(b"5", self.order_store.rows["c"].value)
        self.assertEqual(self.in_new_era(95), self.order_store.revision)

    def test_older_content_is_not_taken(self):
        """Guards against an acknowledged configuration that is undone."""
        self.replace(("c", 80, b"3"), ("e", 60, b"x"), version=90)
        self.assertEqual(b"4", self.order_store.rows["c"].value)
        self.replace(("e", 60, b"x"), version=90)
        self.assertFalse(self.order_store.rows["c"].removed)

    def test_rows_that_the_store_lacks_are_removed(self):
        """Guards against an evacuation that nobody can end."""
        self.replace(("c", 98, b"4"), version=98)
        self.assertTrue(self.order_store.rows["e"].removed)

    def test_the_same_content_of_a_new_era_is_no_new_order(self):
        """Guards against a rollout that starts again with the store's return.

        Within an era, the same content is ordered again.
        """
        held_row = make_row("e", 60, value=b"x")
        for revision, value, is_new in (
            (self.in_new_era(60), b"x", False),
            (self.in_new_era(60), b"y", True),
            (61, b"x", True),
        ):
            row = make_row("e", revision, value=value)
            self.assertIs(is_new, orders.has_new_content(row, held_row))

    def test_a_node_that_missed_both_eras_gets_all_rows(self):
        """Guards against rows that a node lacks after it was cut off."""
        self.replace(("c", 95, b"5"), ("f", 94, b"y"), version=96)
        lacking = orders.changed_after(self.order_store, 99)
        self.assertEqual({"c", "e", "f"}, {row.key for row in lacking})

    def test_late_push_of_the_former_era_changes_nothing(self):
        """Guards against a node that is behind and undoes the new era."""
        self.replace(("c", 95, b"5"), ("e", 60, b"x"), version=95)
        changed = orders.merge(
            self.order_store,
            [make_row("e", 104, removed=True)],
            after_revision=100,
            revision=104,
        )
        self.assertEqual([], changed)
        self.assertEqual(self.in_new_era(95), self.order_store.revision)
