"""Tests of commits and reads of the configuration with platform faults."""

import dataclasses
import unittest

import msgspec
import urllib3

from apricotpost import config
from apricotpost import errors
from apricotpost import model
from apricotpost import storage
from apricotpost.storage import store as stores
from standins import direct
from standins import platform as standin

__all__ = ["CommitTest", "SnapshotTest"]

CONNECTION_LOST = urllib3.exceptions.ProtocolError("connection cut")


def make_service(number):
    return model.Service(
        name="portal",
        team="baltkalns",
        versions=(model.VersionShare(version=f"v{number}", share=1000),),
    )


def make_change(before, *, author="ilze", request=None, number=None):
    version = before.version + 1
    after = config.with_checksum(
        model.Snapshot(
            version=version, services=(make_service(number or version),)
        )
    )
    return storage.Change(
        before=before,
        after=after,
        author=author,
        reason="test",
        request=request or f"{author}-{version}",
        at=1.0,
    )


class _Case(unittest.TestCase):
    def setUp(self):
        self.state = standin.State()
        self.script = {}
        self.late = []
        self.store = direct.open_store(self.state, self.respond)
        self.pauses = []

    def respond(self, exchange):
        steps = self.script.get(exchange.operation, [])
        step = steps.pop(0) if steps else "deliver"
        if step == "deliver":
            return exchange.execute()
        if step == "lost":
            exchange.execute()
        if step == "late":
            self.late.append(exchange)
        if step == "down":
            return 503, b""
        raise CONNECTION_LOST

    def commit(self, change):
        return storage.commit(self.store, change, pause=self.pauses.append)

    def commit_until(self, version):
        snapshot = model.EMPTY_SNAPSHOT
        while snapshot.version < version:
            change = make_change(snapshot)
            self.commit(change)
            snapshot = change.after
        return snapshot


class CommitTest(_Case):
    def test_change_with_lost_response_is_accepted(self):
        """Guards against a change reported as failed that is in force."""
        self.script = {"TransactWriteItems": ["lost"]}
        self.assertEqual(1, self.commit(make_change(model.EMPTY_SNAPSHOT)))
        self.assertEqual(1, storage.read_head(self.store))
        self.assertEqual(1, self.state.requests["TransactWriteItems"])

    def test_lost_request_is_refused_for_good(self):
        """Guards against a change that takes effect after it was refused.

        The transaction arrives at the table after its client has given up.
        """
        change = make_change(model.EMPTY_SNAPSHOT)
        self.script = {"TransactWriteItems": ["late"]}
        with self.assertRaises(errors.PlatformUnavailable) as caught:
            self.commit(change)
        self.assertIn("nothing was written", str(caught.exception))
        status, _ = self.late[0].execute()
        self.assertEqual(400, status)
        self.assertEqual(0, storage.read_head(self.store))
        with self.assertRaises(errors.ChangeConflict) as caught:
            self.commit(change)
        self.assertIn("new request identifier", str(caught.exception))
        retried = dataclasses.replace(change, request="ilze-1b")
        self.assertEqual(1, self.commit(retried))

    def test_request_that_arrives_before_the_placeholder(self):
        """Guards against a change that is reported as refused but in force.

        The transaction arrives between the read of the request's record and
        the write of the placeholder.
        """
        self.script = {"TransactWriteItems": ["late"], "GetItem": ["first"]}

        def respond(exchange):
            if self.script["GetItem"] and exchange.operation == "GetItem":
                response = exchange.execute()
                self.script["GetItem"].pop()
                self.late[0].execute()
                return response
            return self.respond(exchange)

        self.store = direct.open_store(self.state, respond)
        self.assertEqual(1, self.commit(make_change(model.EMPTY_SNAPSHOT)))

    def test_table_down_after_the_lost_response(self):
        """Guards against reporting an unknown outcome as success or refusal.

        The message contains the request identifier for a later look-up.
        """
        self.script = {
            "TransactWriteItems": ["lost"],
            "GetItem": ["down"],
        }
        with self.assertRaises(errors.PlatformOutcomeUnknown) as caught:
            self.commit(make_change(model.EMPTY_SNAPSHOT))
        self.assertIn("request ilze-1", str(caught.exception))
        self.assertEqual(1, storage.read_head(self.store))

    def test_table_down_at_the_write_of_the_placeholder(self):
        """Guards against a refusal while the transaction may still arrive."""
        self.script = {"TransactWriteItems": ["late"], "PutItem": ["down"]}
        with self.assertRaises(errors.PlatformOutcomeUnknown):
            self.commit(make_change(model.EMPTY_SNAPSHOT))

    def test_conflict_names_the_winner(self):
        """Guards against a lost update, and a conflict without the winner."""
        self.commit(make_change(model.EMPTY_SNAPSHOT, author="ilze"))
        with self.assertRaises(errors.ChangeConflict) as caught:
            self.commit(make_change(model.EMPTY_SNAPSHOT, author="janis"))
        self.assertIn("from ilze", str(caught.exception))

    def test_conflict_while_the_table_is_down(self):
        """Guards against an unknown outcome reported for a rejected change."""
        self.commit(make_change(model.EMPTY_SNAPSHOT, author="ilze"))
        self.script = {"GetItem": ["deliver", "down"]}
        with self.assertRaises(errors.ChangeConflict) as caught:
            self.commit(make_change(model.EMPTY_SNAPSHOT, author="janis"))
        self.assertIn("was not written", str(caught.exception))

    def test_request_identifier_of_another_change(self):
        """Guards against a change mistaken for another, accepted change."""
        self.commit(make_change(model.EMPTY_SNAPSHOT, request="r"))
        other = make_change(model.EMPTY_SNAPSHOT, request="r", number=9)
        with self.assertRaises(errors.ChangeConflict):
            self.commit(other)

    def test_identifiers_with_the_same_prefix(self):
        """Guards against a change that is lost as a supposed retry.

        The table would do so if the token were a truncated identifier.
        """
        first = make_change(model.EMPTY_SNAPSHOT, request="x" * 40 + "1")
        self.commit(first)
        self.commit(make_change(first.after, request="x" * 40 + "2"))
        self.assertEqual(2, storage.read_head(self.store))

    def test_throttled_commit_is_sent_again(self):
        """Guards against a change that fails because of brief throttling."""
        self.state.faults = standin.Faults(throttle=2)
        self.assertEqual(1, self.commit(make_change(model.EMPTY_SNAPSHOT)))
        self.assertEqual([0.1, 0.3], self.pauses)

    def test_lasting_throttling_is_not_written(self):
        """Guards against endless retries and a false "outcome unknown"."""
        self.state.faults = standin.Faults(throttle=9)
        with self.assertRaises(errors.PlatformThrottled) as caught:
            self.commit(make_change(model.EMPTY_SNAPSHOT))
        self.assertIn("nothing was written", str(caught.exception))
        self.assertEqual(0, self.state.tables.writes)

    def test_lost_lease(self):
        """Guards against a change by a paused node that lost its lease."""
        fence = storage.Fence(
            key=storage.table.Key(pk="lease", sk="portal"),
            holder="n1",
            number=1,
        )
        change = make_change(model.EMPTY_SNAPSHOT)
        with self.assertRaises(errors.LeaseLost):
            self.commit(dataclasses.replace(change, fence=fence))
        self.assertEqual(0, storage.read_head(self.store))


class SnapshotTest(_Case):
    def test_object_store_down_at_the_sixteenth_version(self):
        """Guards against commits that fail when the object store is down."""
        self.state.faults = standin.Faults(objects_down=True)
        last = self.commit_until(17)
        self.assertEqual(17, storage.read_head(self.store))
        self.assertEqual(last, storage.read_snapshot(self.store, 17))
        self.state.faults = standin.Faults()
        self.commit(make_change(last))
        item = storage.table.get(self.store.table, stores.SNAPSHOT)
        self.assertEqual(18, item.attributes["version"])

    def test_rebuilt_from_object_and_deltas(self):
        """Guards against a restart that reads all deltas from the first."""
        last = self.commit_until(18)
        before = self.state.requests["Query"]
        self.assertEqual(last, storage.read_snapshot(self.store, 18))
        self.assertEqual(before + 1, self.state.requests["Query"])
        self.assertEqual(1, self.state.requests["object GET"])

    def test_every_sixteenth_version_has_a_snapshot(self):
        """Guards against a snapshot for every change, or none at all."""
        self.commit_until(33)
        self.assertEqual(2, self.state.requests["object PUT"])

    def test_damaged_or_missing_object(self):
        """Guards against a node that cannot start with a damaged object."""
        last = self.commit_until(17)
        (name,) = self.state.objects
        cases = (
            self.state.objects[name][:-1],
            msgspec.msgpack.encode(model.EMPTY_SNAPSHOT),
            None,
        )
        for body in cases:
            self.state.objects[name] = body
            if body is None:
                del self.state.objects[name]
            with self.assertLogs(stores.LOG, "ERROR"):
                found = storage.read_snapshot(self.store, 17)
            self.assertEqual(last, found)

    def test_unreachable_object_store(self):
        """Guards against an overload of the table in an object store outage.

        Nodes without a snapshot would all read all deltas.
        """
        self.commit_until(17)
        self.state.faults = standin.Faults(objects_down=True)
        with self.assertRaises(errors.PlatformUnavailable):
            storage.read_snapshot(self.store, 17)
        head, deltas, _ = storage.read_updates(self.store, 10)
        self.assertEqual((17, 7), (head, len(deltas)))

    def test_damaged_records_raise_a_typed_error(self):
        """Guards against a reading task that ends at a damaged record.

        The task handles only errors of the package.
        """
        self.commit_until(3)
        rows = self.state.tables.items["apricotpost"]["version"]
        second = rows["000000000002"]
        damaged_rows = (
            dict(second, delta=rows["000000000001"]["delta"]),
            dict(second, delta={"B": "AAAA"}),
            dict(second, delta={"S": "x"}),
            None,
        )
        for damaged in damaged_rows:
            rows["000000000002"] = damaged
            if damaged is None:
                del rows["000000000002"]
            with self.assertRaises(errors.PlatformDataDamaged):
                storage.read_updates(self.store, 0)
        config_rows = self.state.tables.items["apricotpost"]["config"]
        del config_rows["head"]["version"]
        with self.assertRaises(errors.PlatformDataDamaged):
            storage.read_head(self.store)
