"""Simulated table, clock and rollout holders for tests."""

import dataclasses
import random

from apricotpost import config
from apricotpost import model
from apricotpost.node import holders
from apricotpost import rollout as rollouts
from apricotpost.rollout import judgements
from apricotpost.rollout import monitor
from apricotpost.rollout import steps
from apricotpost import storage
from standins import platform as standin
from tests.storage import local

__all__ = ["FINISH_BY", "SERVERS", "World"]

STARTED_AT = 1000.0
# High enough that the smallest first share gets enough calls to be judged.
BUSY_PER_SECOND = 10_000.0
FINISH_BY = STARTED_AT + 120.0
SERVERS = steps.ServerCounts(
    old_servers=4, new_servers=4, old_slots=48, new_slots=48
)


class World:
    """Table, clock and holders that read the table through views."""

    def __init__(self, names=("a", "b")):
        self.state = standin.State()
        self.now = STARTED_AT
        self.pools = {}
        self.holders = {}
        self.requested = []
        for name in names:
            pool = local.LocalPool(state=self.state)
            self.pools[name] = pool
            self.holders[name] = holders.Holder(
                name=name,
                store=local.make_store(pool),
                times=steps.Times(bake_seconds=20.0),
                clock=lambda: self.now,
                notify_committed=lambda version, _: self.requested.append(
                    version
                ),
                rng=random.Random(1),
            )
        self.reader = local.make_store(local.LocalPool(state=self.state))
        self.snapshot = self._commit_first()

    def _commit_first(self):
        service = model.Service(
            name="portal",
            team="t",
            versions=(model.VersionShare(version="v1", share=1000),),
        )
        first = config.with_checksum(
            model.Snapshot(version=1, services=(service,))
        )
        planned = rollouts.plan_rollout(
            first, "portal", "v2", FINISH_BY, STARTED_AT
        )
        second = config.with_checksum(dataclasses.replace(planned, version=2))
        for before, after in (
            (model.EMPTY_SNAPSHOT, first),
            (first, second),
        ):
            self.commit(before, after)
        return second

    def commit(self, before, after):
        storage.commit(
            self.reader,
            storage.Change(
                before=before,
                after=after,
                author="operator",
                reason="sheet",
                request=f"operator-{after.version}",
                at=self.now,
            ),
        )

    def read(self):
        head = storage.read_head(self.reader)
        return storage.read_snapshot(self.reader, head)

    def rollout(self):
        return self.read().rollouts[0]

    def make_good_judgement(self):
        return judgements.Judgement(
            calls_per_second=BUSY_PER_SECOND, calls=50, heard_at=self.now
        )

    def act(self, name, judgement=None, snapshot=None, server_counts=SERVERS):
        snapshot = snapshot or self.read()
        rollout = rollouts.find_open(snapshot, "portal")
        observation = None
        if rollout is not None:
            observation = monitor.Observation(
                snapshot=snapshot,
                rollout=rollout,
                judgement=judgement or self.make_good_judgement(),
                server_counts=server_counts,
                is_holder_candidate=True,
            )
        holders.advance_rollout(self.holders[name], observation)

    def outcomes(self):
        return storage.table.query(self.reader.table, pk="outcome")
