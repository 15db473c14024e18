"""Tests of the holder's commits to the stand-in platform's table."""

import dataclasses
import logging
import unittest

import hypothesis
from hypothesis import strategies

from apricotpost import config
from apricotpost import model
from apricotpost.node import holders
from apricotpost.rollout import judgements
from apricotpost import storage
from tests.node import worlds
from tests.storage import local

__all__ = ["HolderTest", "PropertyTest"]


def setUpModule():
    logging.disable(logging.CRITICAL)


def tearDownModule():
    logging.disable(logging.NOTSET)


class HolderTest(unittest.TestCase):
    def setUp(self):
        self.world = worlds.World()

    def act_for_seconds(self, name, seconds, judgement=None):
        for _ in range(seconds):
            self.world.now += 1.0
            self.world.act(name, judgement)

    def test_good_version_is_done_on_time(self):
        """Guards against a good version whose rollout misses finish_by."""
        changes = []
        for _ in range(150):
            self.world.now += 1.0
            self.world.act("a")
            rollout = self.world.rollout()
            if not changes or changes[-1][0] != rollout.share:
                changes.append((rollout.share, self.world.now))
        self.assertEqual(
            [10, 50, 250, 500, 980, 1000], [share for share, _ in changes]
        )
        self.assertLessEqual(changes[4][1], worlds.FINISH_BY - 10.0)
        (outcome,) = self.world.outcomes()
        self.assertEqual("done", outcome.attributes["result"])
        (service,) = self.world.read().services
        self.assertEqual(("v2",), tuple(v.version for v in service.versions))

    def test_paused_holder_changes_nothing(self):
        """Guards against a step by a holder that has lost its lease.

        The holder pauses during a write for longer than its lease; the write
        arrives after another node has acquired the lease.
        """
        world = self.world
        self.act_for_seconds("a", 2)
        stale = world.read()
        before = world.rollout().share
        # The write of the paused holder arrives after the other node has
        # acquired the lease.
        world.pools["a"].fault = "paused"
        world.now += 20.0
        world.holders["a"].lease = dataclasses.replace(
            world.holders["a"].lease, expires_at=world.now + 10.0
        )
        world.holders["a"].renewed_at = world.now
        with self.assertRaises(local.ProcessPaused):
            world.act("a", snapshot=stale)
        (write,) = world.pools["a"].late
        self.assertIn(b"version", write[1])
        world.act(
            "b",
            server_counts=dataclasses.replace(worlds.SERVERS, new_servers=0),
        )
        self.assertEqual(2, world.holders["b"].lease.fence)
        world.pools["a"].carry_out_late()
        self.assertEqual(before, world.rollout().share)

    def test_lost_answer_does_not_step_twice(self):
        """Guards against a second step after a commit that took effect.

        The response to the commit is lost, so the holder sees a failure.
        """
        self.world.act("a")
        self.world.pools["a"].fault = "lost"
        self.act_for_seconds("a", 25)
        versions = self.world.read().version
        changes = storage.table.query(self.world.reader.table, pk="audit")
        self.assertEqual(versions, len(changes))
        self.assertEqual(50, self.world.rollout().share)

    def test_operators_change_wins_and_the_step_follows(self):
        """Guards against a step that undoes an operator's change."""
        world = self.world
        stale = world.read()
        route = model.Route(
            name="r",
            service="portal",
            prefix="/",
            methods=("GET",),
            idempotent=True,
        )
        after = dataclasses.replace(stale, version=3, routes=(route,))
        world.commit(stale, config.with_checksum(after))
        world.act("a", snapshot=stale)
        self.assertEqual(0, world.rollout().share)
        self.assertEqual([3], world.requested)
        world.act("a")
        self.assertEqual(10, world.rollout().share)
        self.assertEqual((route,), world.read().routes)

    def test_withdrawal_becomes_durable_when_the_table_is_back(self):
        """Guards against a withdrawal that is lost in a table outage."""
        world = self.world
        self.act_for_seconds("a", 10)
        bad = judgements.Judgement(withdraw_reason="fails", summary="figures")
        world.pools["a"].fault = "down"
        before = world.pools["a"].requests
        self.act_for_seconds("a", 30, bad)
        self.assertEqual((), world.outcomes())
        # With back-off there are far fewer requests than seconds.
        self.assertLess(world.pools["a"].requests - before, 15)
        world.pools["a"].fault = ""
        self.act_for_seconds("a", 10, bad)
        (outcome,) = world.outcomes()
        self.assertEqual(("withdrawn", "fails"), _read_result(outcome))
        self.assertEqual("figures", outcome.attributes["evidence"])

    def test_finish_by_passes_while_the_table_is_down(self):
        """Guards against a step after finish_by once the table is back."""
        world = self.world
        self.act_for_seconds("a", 10)
        world.pools["a"].fault = "down"
        world.now = worlds.FINISH_BY + 1.0
        world.act("a")
        world.pools["a"].fault = ""
        self.act_for_seconds("a", 20)
        (outcome,) = world.outcomes()
        self.assertEqual("withdrawn", outcome.attributes["result"])
        self.assertIn("finish_by", outcome.attributes["reason"])

    def test_no_open_rollout_means_no_table_traffic(self):
        """Guards against table traffic of nodes without an open rollout."""
        for _ in range(10):
            holders.advance_rollout(self.world.holders["a"], None)
        self.assertEqual(0, self.world.pools["a"].requests)


def _read_result(outcome):
    return outcome.attributes["result"], outcome.attributes["reason"]


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("a", "b")),
        strategies.sampled_from(("", "", "", "down", "lost", "unsent")),
        strategies.sampled_from(
            ("good", "good", "good", "stale", "few", "bad")
        ),
        strategies.sampled_from((0.3, 1.0, 4.0, 12.0)),
        strategies.booleans(),
    ),
    min_size=10,
    max_size=60,
)


class PropertyTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, deadline=None, max_examples=100, database=None
    )
    @hypothesis.given(EVENTS)
    def test_rules_hold_under_failures(self, events):
        """Guards against violations of the rules in sections 8 and 12.

        The rules concern steps, their evidence and spacing, finish_by and
        withdrawals. Two nodes both act as the holder, with outdated views,
        lost responses, outages, pauses and evidence of every kind.
        """
        world = worlds.World()
        old = world.read()
        for name, fault, kind, seconds, lagging in events:
            world.now += seconds
            world.pools[name].fault = fault
            judgement = _make_judgement(kind, world)
            before = world.read()
            world.act(name, judgement, snapshot=old if lagging else None)
            after = world.read()
            _check(self, world, before, after, kind)
            if not lagging:
                old = after


def _make_judgement(kind, world):
    return {
        "good": world.make_good_judgement(),
        "stale": judgements.Judgement(
            calls=50,
            calls_per_second=worlds.BUSY_PER_SECOND,
            heard_at=world.now - 6.0,
        ),
        "few": judgements.Judgement(
            calls=3,
            calls_per_second=worlds.BUSY_PER_SECOND,
            hold_reason="3 calls of v2",
            heard_at=world.now,
        ),
        "bad": judgements.Judgement(
            withdraw_reason="fails",
            calls_per_second=worlds.BUSY_PER_SECOND,
            heard_at=world.now,
        ),
    }[kind]


def _check(test, world, before, after, kind):
    old, new = before.rollouts[0], after.rollouts[0]
    test.assertLessEqual(after.version, before.version + 1)
    if old.state in (model.RolloutState.DONE, model.RolloutState.WITHDRAWN):
        test.assertEqual(before, after)
        test.assertEqual(1, len(world.outcomes()))
        return
    if new.share > old.share:
        test.assertTrue(kind == "good" or old.share == 0, "no evidence")
        test.assertIn((old.share, new.share), _STEPS)
        if old.share:
            gap = new.changed_at - old.changed_at
            test.assertGreaterEqual(gap, 5.0)
    if new.state is model.RolloutState.BAKING and new != old:
        test.assertLessEqual(world.now, worlds.FINISH_BY - 10.0)
    if new.state is model.RolloutState.WITHDRAWN:
        test.assertEqual(0, new.share)
        test.assertEqual(
            (model.VersionShare(version="v1", share=1000),),
            after.services[0].versions,
        )


_STEPS = (
    (0, 10),
    (10, 50),
    (50, 250),
    (250, 500),
    (500, 980),
    (980, 1000),
)
