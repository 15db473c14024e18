"""Tests of the store client against a stand-in that can fail."""

import unittest

from apricotpost import errors
from apricotpost import http
from apricotpost import platform
from apricotpost import revisions
from standins import rows

__all__ = ["EraTest", "StoreTest"]


class StoreCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = rows.RowStore()
        await self.standin.listen()
        self.addCleanup(self.standin.close)
        host, _, port = self.standin.address.rpartition(":")
        client = http.Client(host=host, port=int(port))
        self.addCleanup(client.close)
        self.store = platform.Store(client=client, host=host)


class StoreTest(StoreCase):
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


class EraTest(StoreCase):
    """Store that returns from an older copy and reuses its versions."""

    def put(self, *keys):
        for key in keys:
            self.standin.put("t", key, b"v")

    async def return_older(self, *lost_keys):
        """Lose the writes of some keys; return the last page before."""
        copy = self.standin.copy()
        self.put(*lost_keys)
        page = await self.store.read("t")
        self.standin.restore(copy)
        return page

    async def test_revisions_of_a_later_era_are_higher(self):
        """Guards against changes that are ignored for their reused version.

        Versions go back, so that the version alone calls them outdated.
        """
        self.put("a", "b")
        before = await self.return_older("c", "d", "e")
        self.put("c")
        after = await self.store.read("t")
        self.assertGreater(after.revision, before.revision)
        newest = max(row.revision for row in before.rows)
        self.assertTrue(all(row.revision > newest for row in after.rows))
        self.assertEqual(3, revisions.version_of(after.revision))

    async def test_watch_across_eras_needs_a_full_read(self):
        """Guards against changes that a watch from a reused version skips."""
        self.put("a")
        before = await self.return_older("b", "c")
        self.put("d", "e", "f")
        with self.assertRaises(errors.HistoryExpired):
            await self.store.watch("t", before.revision, 0.1)
        # From now on the era is known, and no call is needed.
        count = len(self.standin.calls)
        with self.assertRaises(errors.HistoryExpired):
            await self.store.watch("t", before.revision, 0.1)
        self.assertEqual(count, len(self.standin.calls))

    async def test_condition_of_a_former_era_does_not_hold(self):
        """Guards against a write over a row that has a reused version."""
        self.put("a")
        before = await self.return_older("b")
        self.put("b")
        await self.store.read("t")
        (row,) = (row for row in before.rows if row.key == "b")
        change = platform.Transaction(
            expected=(("t", "b", row.revision),), put=(("t", "b", b"w"),)
        )
        with self.assertRaises(errors.TransactionRejected):
            await self.store.write(change)
        self.assertEqual(b"v", self.standin.rows[("t", "b")][0])

    async def test_write_that_meets_a_new_era_has_an_unknown_outcome(self):
        """Guards against a lease that is held by a reused version."""
        self.put("a")
        before = await self.return_older("b")
        self.put("b")
        (row,) = (row for row in before.rows if row.key == "b")
        change = platform.Transaction(
            expected=(("t", "b", row.revision),), put=(("t", "b", b"w"),)
        )
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            await self.store.write(change)

    async def test_each_new_era_is_reported_once(self):
        """Guards against a return of the store that its users miss."""
        calls = []
        self.store.on_new_era = lambda: calls.append(self.store.era)
        await self.store.read("t")
        self.assertEqual([], calls)
        for era in (2, 3):
            self.standin.restore(self.standin.copy())
            self.standin.faults = rows.Faults(status=503)
            with self.assertRaises(errors.PlatformUnavailable):
                await self.store.read("t")
            self.standin.faults = rows.Faults()
            await self.store.read("t")
            self.assertEqual(era, calls[-1])
        self.assertEqual(2, len(calls))

    async def test_invalid_era_is_no_change(self):
        """Guards against orders that are discarded for an invalid header."""
        self.put("a")
        page = await self.store.read("t")
        for era in (b"x", b"-1", b"1e3", b"99999999999", b"0"):
            with self.subTest(era=era):
                self.standin.faults = rows.Faults(era=era)
                with self.assertLogs("apricotpost.platform.store"):
                    answer = await self.store.read("t")
                self.assertLessEqual(answer.revision, page.revision)
                self.assertEqual(1, self.store.era)

    async def test_answer_without_an_era_belongs_to_the_known_one(self):
        """Guards against orders that are discarded for a missing header."""
        self.put("a")
        page = await self.store.read("t")
        self.standin.faults = rows.Faults(era=b"")
        answer = await self.store.read("t")
        self.assertEqual(page.revision, answer.revision)
