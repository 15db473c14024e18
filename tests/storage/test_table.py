"""Tests of the table client against the platform stand-in."""

import json
import unittest

from apricotpost import errors
from apricotpost.storage import table
from standins import direct
from standins import platform

__all__ = ["TableTest"]

KEY = table.Key(pk="p", sk="s")


def make_item(sk="s", **attributes):
    return table.Item(
        key=table.Key(pk="p", sk=sk), attributes=attributes or {"n": 1}
    )


class TableTest(unittest.TestCase):
    def setUp(self):
        self.state = platform.State()
        self.responses = []
        self.table = direct.open_store(self.state, self.respond).table

    def respond(self, exchange):
        if self.responses:
            return self.responses.pop(0)
        return exchange.execute()

    def queue_error(self, kind, **fields):
        body = {"__type": f"com.amazonaws.dynamodb.v20120810#{kind}"}
        self.responses.append((400, json.dumps(body | fields).encode()))

    def test_query_follows_pages(self):
        """Guards against records missed after the first page."""
        self.state.tables.page_bytes = 200
        for number in range(20):
            table.put(self.table, table.Put(item=make_item(f"{number:03}")))
        found = table.query(self.table, pk="p", after="001", limit=15)
        self.assertEqual(
            [f"{number:03}" for number in range(2, 17)],
            [item.key.sk for item in found],
        )

    def test_query_follows_an_empty_page(self):
        """Guards against an empty page mistaken for the last one."""
        table.put(self.table, table.Put(item=make_item("b")))
        last = {"pk": {"S": "p"}, "sk": {"S": "a"}}
        body = {"Items": [], "LastEvaluatedKey": last}
        self.responses.append((200, json.dumps(body).encode()))
        found = table.query(self.table, pk="p")
        self.assertEqual(["b"], [item.key.sk for item in found])

    def test_query_ends_when_pages_do_not_advance(self):
        """Guards against an endless query of a faulty table."""
        last = {"pk": {"S": "p"}, "sk": {"S": "a"}}
        body = {"Items": [], "LastEvaluatedKey": last}
        self.responses += [(200, json.dumps(body).encode())] * 2
        with self.assertRaises(errors.PlatformDataDamaged):
            table.query(self.table, pk="p")

    def test_throttled_write_is_not_written(self):
        """Guards against throttling reported as conflict or as unknown."""
        for kind in (
            "ProvisionedThroughputExceededException",
            "ThrottlingException",
            "RequestLimitExceeded",
        ):
            self.queue_error(kind)
            with self.assertRaises(errors.PlatformThrottled):
                table.put(self.table, table.Put(item=make_item()))
        self.assertIsNone(table.get(self.table, KEY))

    def test_cancelled_transaction_is_classified_by_its_reasons(self):
        """Guards against a busy item reported as a lost lease."""
        cases = {
            "ConditionalCheckFailed": errors.TransactionRejected,
            "TransactionConflict": errors.PlatformThrottled,
            "ThrottlingError": errors.PlatformThrottled,
            "ValidationError": errors.PlatformUnavailable,
        }
        for code, expected in cases.items():
            reasons = [{"Code": "None"}, {"Code": code}]
            self.queue_error(
                "TransactionCanceledException", CancellationReasons=reasons
            )
            with self.assertRaises(errors.PlatformError) as caught:
                self.transact([table.Put(item=make_item())])
            self.assertIs(expected, type(caught.exception))

    def test_request_in_progress_is_unknown(self):
        """Guards against reporting a request as failed while it executes."""
        self.queue_error("TransactionInProgressException")
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            self.transact([table.Put(item=make_item())])

    def test_malformed_responses(self):
        """Guards against an untyped error, or a write reported as done."""
        for body in (b"", b"[]", b"<html>"):
            self.responses = [(200, body)] * 2
            with self.assertRaises(errors.PlatformOutcomeUnknown):
                table.put(self.table, table.Put(item=make_item()))
            with self.assertRaises(errors.PlatformDataDamaged):
                table.get(self.table, KEY)
        for item in ({"pk": {"S": "p"}}, {"n": {"N": "x"}}, {"n": 1}):
            body = json.dumps({"Item": item}).encode()
            self.responses = [(200, body)]
            with self.assertRaises(errors.PlatformDataDamaged):
                table.get(self.table, KEY)

    def test_lost_response_of_a_read_is_unavailable(self):
        """Guards against an "outcome unknown" error for a mere read."""
        self.responses = [(500, b"")]
        with self.assertRaises(errors.PlatformUnavailable):
            table.get(self.table, KEY)

    def test_limits_are_checked_before_sending(self):
        """Guards against a transaction that only the real table refuses."""
        cases = {
            "an item twice": [table.Put(item=make_item())] * 2,
            "101 items": [
                table.Put(item=make_item(str(number))) for number in range(101)
            ],
            "a large item": [table.Put(item=make_item(b=bytes(410_000)))],
            "5 MB": [
                table.Put(item=make_item(str(number), b=bytes(400_000)))
                for number in range(12)
            ],
        }
        for name, writes in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.RequestInvalid):
                    self.transact(writes)
        self.assertEqual(0, self.state.requests["TransactWriteItems"])

    def test_put_or_get_returns_the_existing_item(self):
        """Guards against an additional read for each repeated key."""
        write = table.Put(item=make_item(n=7), condition=table.absent())
        self.assertIsNone(table.put_or_get(self.table, write))
        found = table.put_or_get(self.table, write)
        self.assertEqual({"n": 7}, found.attributes)
        self.assertEqual(0, self.state.tables.reads)
        self.queue_error("ConditionalCheckFailedException")
        found = table.put_or_get(self.table, write)
        self.assertEqual({"n": 7}, found.attributes)

    def transact(self, writes):
        table.transact(self.table, writes, token="t")
