"""Tests of the stand-in's conditional writes, on which proofs depend."""

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
        """Guards against a condition that holds when it must not."""
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
        for expression, found, expected in cases:
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
                held = platform_conditions.holds(found, fields)
                self.assertEqual(expected, held)


class TablesTest(unittest.TestCase):
    def setUp(self):
        self.tables = platform_tables.Tables()

    def test_one_of_many_writers_wins(self):
        """Guards against two holders of one key in the proofs."""
        won = []
        start = threading.Barrier(8)

        def write(number):
            start.wait()
            try:
                put = make_put(n=str(number), **ABSENT)
                platform_tables.put_item(self.tables, put)
                won.append(number)
            except platform_tables.Refused:
                pass

        threads = [
            threading.Thread(target=write, args=(number,))
            for number in range(8)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual((1, 1, 7), self.counts(won))

    def counts(self, won):
        return len(won), self.tables.writes, self.tables.rejected

    def test_transaction_is_written_whole_or_not(self):
        """Guards against a stand-in that writes half a transaction."""
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
        """Guards against a repeat that is written again or swallowed."""
        self.transact([{"Put": make_put()}], "t1")
        self.transact([{"Put": make_put()}], "t1")
        self.assertEqual(1, self.tables.writes)
        with self.assertRaises(platform_tables.Refused):
            self.transact([{"Put": make_put(n="2")}], "t1")

    def transact(self, entries, token):
        body = {"TransactItems": entries, "ClientRequestToken": token}
        platform_tables.transact(self.tables, body)

    def test_removal_on_condition(self):
        """Guards against a removal of another owner's record."""
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

    def test_lost_answer_was_carried_out(self):
        """Guards against lost answers in the proofs that wrote nothing."""
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
