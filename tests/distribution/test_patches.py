"""Tests of the compression of orders that are sent between nodes."""

import unittest

from apricotpost.distribution import orders
from apricotpost.distribution import patches
from apricotpost import errors
from apricotpost import wire

__all__ = ["PatchTest"]


def make_value(routes, changed=None):
    lines = [
        b'{"name": "route-%d", "service": "s%d"}' % (i, i * 7919 % 101)
        for i in range(routes)
    ]
    if changed is not None:
        lines[changed] = b'{"name": "moved", "service": "another"}'
    return b"[" + b",".join(lines) + b"]"


def make_row(value, revision):
    return wire.OrderRow(
        key="config", value=value, revision=revision, removed=False
    )


class PatchTest(unittest.TestCase):
    def setUp(self):
        self.order_store = orders.OrderStore()
        self.old = make_row(make_value(3000), 4)
        self.new = make_row(make_value(3000, changed=1500), 9)

    def store_row(self, row):
        orders.merge(
            self.order_store, [row], after_revision=0, revision=row.revision
        )

    def test_small_change_takes_few_bytes(self):
        """Guards against seconds of transfer for a change on a slow link.

        A reader on a link of 10 Mbit/s sends each change of a large
        configuration to 25 nodes.
        """
        self.store_row(self.old)
        packed = patches.pack(self.new, self.old)
        self.assertLess(len(packed.value), len(self.new.value) / 100)
        self.assertEqual(self.new, patches.unpack(packed, self.order_store))

    def test_patch_on_another_base_is_not_applied(self):
        """Guards against a corrupt configuration from a wrong base."""
        packed = patches.pack(self.new, self.old)
        self.assertIsNone(patches.unpack(packed, self.order_store))
        self.store_row(make_row(make_value(3000, changed=7), 6))
        self.assertIsNone(patches.unpack(packed, self.order_store))

    def test_whole_row_needs_no_base(self):
        """Guards against a node that cannot join as it holds no base."""
        packed = patches.pack(self.new, None)
        self.assertLess(len(packed.value), len(self.new.value) / 3)
        self.assertEqual(self.new, patches.unpack(packed, self.order_store))

    def test_damaged_value_is_refused(self):
        """Guards against an unexpected exception from undecodable bytes."""
        packed = wire.PackedRow(
            key="config",
            value=b"no frame",
            revision=3,
            removed=False,
            form=wire.PackedForm.COMPRESSED,
        )
        with self.assertRaises(errors.MalformedMessage):
            patches.unpack(packed, self.order_store)

    def test_short_and_removed_rows_are_sent_as_they_are(self):
        """Guards against a removal that is lost in the compression."""
        row = wire.OrderRow(
            key="evacuate/a", value=b"", revision=5, removed=True
        )
        packed = patches.pack(row, make_row(b"{}", 2))
        self.assertIs(wire.PackedForm.PLAIN, packed.form)
        self.assertEqual(row, patches.unpack(packed, self.order_store))
        self.assertFalse(patches.is_current(packed, self.order_store))
        self.store_row(row)
        self.assertTrue(patches.is_current(packed, self.order_store))
