"""Tests of the conditional writes of the platform stand-in.

Other tests rely on them for at-most-once execution and leases.
"""

import json
import threading
import unittest

from standins import platform
from standins import platform_conditions
from standins import platform_tables

__all__ = ["ConditionsTest", "TablesTest"]


def make_put(sk="s", n="1", **fields):
    item = {"pk": {"S": "p"}, "sk": {"S": sk}, "n": {"N": n}}
    return {"TableName": "t", "Item": item, **fields}


ABSENT = {"ConditionExpression": "attribute_not_exists(pk)"}


class ConditionsTest(unittest.TestCase):
    def test_expressions(self):
        """Guards against a condition that is evaluated wrongly."""
        item = {"pk": {"S": "p"}, "n": {"N": "10"}, "s": {"S": "x"}}
        cases = (
            ("attribute_not_exists(pk)", item, False),
            ("attribute_not_exists(pk)", None, True),
            ("attribute_exists(#n)", item, True),
            ("#n = :ten", item, True),
            ("#n = :ten", None, False),
            ("#n < :nine", item, False),
            ("#n <= :ten", item, True),
            ("s = :ten", item, False),
            ("attribute_not_exists(pk) OR #n <= :nine", item, False),
            ("attribute_not_exists(pk) OR #n <= :ten", item, True),
            ("#n = :ten AND s = :x", item, True),
            ("#n = :ten AND s = :ten OR #n = :nine", item, False),
        )
        for expression, stored_item, expected in cases:
            fields = {
                "ConditionExpression": expression,
                "ExpressionAttributeNames": {"#n": "n"},
                "ExpressionAttributeValues": {
                    ":nine": {"N": "9"},
                    ":ten": {"N": "10"},
                    ":x": {"S": "x"},
                },
            }
            with self.subTest(expression):
                is_met = platform_conditions.is_met(stored_item, fields)
                self.assertEqual(expected, is_met)


class TablesTest(unittest.TestCase):
    def setUp(self):
        self.tables = platform_tables.Tables()

    def test_one_of_concurrent_writers_succeeds(self):
        """Guards against concurrent conditional writes that all succeed."""
        winners = []
        start = threading.Barrier(8)

        def write_item(number):
            start.wait()
            try:
                put = make_put(n=str(number), **ABSENT)
                platform_tables.put_item(self.tables, put)
                winners.append(number)
            except platform_tables.Refused:
                pass

        threads = [
            threading.Thread(target=write_item, args=(number,))
            for number in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((1, 1, 7), self.read_counts(winners))

    def read_counts(self, winners):
        return len(winners), self.tables.writes, self.tables.rejected

    def test_transaction_is_atomic(self):
        """Guards against a transaction that is written partially."""
        platform_tables.put_item(self.tables, make_put("b"))
        entries = [{"Put": make_put("a")}, {"Put": make_put("b", **ABSENT)}]
        with self.assertRaises(platform_tables.Refused) as caught:
            self.transact(entries, "t1")
        self.assertEqual(
            [{"Code": "None"}, {"Code": "ConditionalCheckFailed"}],
            caught.exception.fields["CancellationReasons"],
        )
        self.assertEqual(1, self.tables.writes)

    def test_token_is_used_once(self):
        """Guards against a token whose repetition writes or hides a change."""
        self.transact([{"Put": make_put()}], "t1")
        self.transact([{"Put": make_put()}], "t1")
        self.assertEqual(1, self.tables.writes)
        with self.assertRaises(platform_tables.Refused):
            self.transact([{"Put": make_put(n="2")}], "t1")

    def transact(self, entries, token):
        body = {"TransactItems": entries, "ClientRequestToken": token}
        platform_tables.transact(self.tables, body)

    def test_conditional_delete(self):
        """Guards against the deletion of an item that another owner wrote."""
        platform_tables.put_item(self.tables, make_put(n="2"))
        body = {
            "TableName": "t",
            "Key": {"pk": {"S": "p"}, "sk": {"S": "s"}},
            "ConditionExpression": "n = :n",
            "ExpressionAttributeValues": {":n": {"N": "1"}},
            "ReturnValuesOnConditionCheckFailure": "ALL_OLD",
        }
        with self.assertRaises(platform_tables.Refused) as caught:
            platform_tables.delete_item(self.tables, body)
        self.assertEqual({"N": "2"}, caught.exception.fields["Item"]["n"])

    def test_write_with_lost_response_is_executed(self):
        """Guards against a lost response whose write was not executed."""
        state = platform.State(faults=platform.Faults(lose_answers=1))
        statuses = [
            platform.handle(
                state,
                method="POST",
                path="/",
                target="DynamoDB_20120810.PutItem",
                body=json.dumps(make_put(**ABSENT)).encode(),
            )[0]
            for _ in range(2)
        ]
        self.assertEqual(
            ["500 Internal Server Error", "400 Bad Request"], statuses
        )
