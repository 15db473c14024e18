"""Tests of the store client against a stand-in that can fail."""

import unittest

from apricotpost import errors
from apricotpost import http
from apricotpost import platform
from standins import rows

__all__ = ["StoreTest"]


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = rows.RowStore()
        await self.standin.listen()
        self.addCleanup(self.standin.close)
        host, _, port = self.standin.address.rpartition(":")
        client = http.Client(host=host, port=int(port))
        self.addCleanup(client.close)
        self.store = platform.Store(client=client, host=host)

    async def test_read_returns_every_page(self):
        """Guards against losing the rows after the first page."""
        for index in range(rows.MAX_ROWS + 20):
            self.standin.put("t", f"k{index:04}", b"v")
        page = await self.store.read("t")
        self.assertEqual(rows.MAX_ROWS + 20, len(page.rows))

    async def test_write_checks_expected_revision(self):
        """Guards against two writers that both create the same row."""
        change = platform.Transaction(
            expected=(("t", "k", 0),), put=(("t", "k", b"v"),)
        )
        await self.store.write(change)
        with self.assertRaises(errors.TransactionRejected):
            await self.store.write(change)

    async def test_watch_returns_changes_and_removals(self):
        """Guards against missing the removal of a row."""
        self.standin.put("t", "k", b"v")
        self.standin.remove("t", "k")
        page = await self.store.watch("t", 0, 0.1)
        self.assertEqual([False, True], [row.removed for row in page.rows])
        page = await self.store.watch("t", page.revision, 0.1)
        self.assertEqual((), page.rows)

    async def test_each_failure_raises_its_error(self):
        """Guards against reading a failure as an empty answer."""
        for status, error in (
            (503, errors.PlatformUnavailable),
            (429, errors.PlatformThrottled),
        ):
            self.standin.faults = rows.Faults(status=status)
            with self.assertRaises(error):
                await self.store.read("t")
        self.standin.faults = rows.Faults(lose_answers=True)
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            await self.store.write(
                platform.Transaction(put=(("t", "k", b"v"),))
            )
        self.standin.faults = rows.Faults()
        self.standin.drop_history()
        with self.assertRaises(errors.HistoryExpired):
            await self.store.watch("t", 0, 0.1)

    async def test_silent_watch_times_out(self):
        """Guards against waiting forever for a watch on a dead connection."""
        self.standin.faults = rows.Faults(silent=True)
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            await self.store.watch("t", 0, 0.1)
