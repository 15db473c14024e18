"""Tests of short rollouts against played versions."""

import random
import unittest

from apricotpost.rollout import evidence
from apricotpost.rollout import trials
from apricotpost import wire
from tests.sidecar import builders

__all__ = ["TrialTest"]

RATE = 150.0
SERVERS = 4
SECONDS = 15.0


class Played:
    """Plays a service whose new version behaves as a function says."""

    def __init__(self, *, seed, new, old=None):
        self.rng = random.Random(seed)
        self.versions = {
            "v1": old or (lambda now, load: (0.001, 1.0)),
            "v2": new,
        }
        self.counts = {}
        self.judge = trials.Judge()
        self.trial = trials.Trial(
            service="portal",
            old="v1",
            new="v2",
            order=1,
            started=0.0,
            seconds=SECONDS,
        )
        self.exposed = 0
        self.bad_answers = 0
        self.fiftieth = None

    def play(self):
        now = 0.0
        while now < SECONDS and self.trial.phase not in trials.FINAL:
            now += 0.05
            self.serve(now)
            # Nodes report at different moments, and more often under load.
            period = 5 if self.trial.phase in trials.LOADED else 10
            for offset, version in enumerate(self.versions):
                if (round(now / 0.05) + 3 * offset) % period == 0:
                    self.observe(version)
            level = trials.judge_slice(self.judge, self.trial, now)
            self.trial = trials.advance(
                self.trial,
                level=level,
                new_calls=trials.count_new_calls(self.judge, self.trial),
                now=now,
            )
        return now

    def serve(self, now):
        share = trials.new_version_share(self.trial, SERVERS)
        # Load of a server, as a part of what it has after the rollout.
        load = share
        if self.trial.phase is trials.Phase.MOVING:
            load = share * SERVERS
        for _ in range(int(RATE * 0.05)):
            version = "v2" if self.rng.random() < share else "v1"
            failing, slower = self.versions[version](now, load)
            failed = self.rng.random() < failing
            self.exposed += version == "v2"
            if version == "v2" and (failed or slower > 3):
                self.bad_answers += 1
                if self.bad_answers == 50:
                    self.fiftieth = now
            known = self.counts.get(version, evidence.Counts())
            latencies = known.latencies
            if not failed:
                ran = 160 * slower * self.rng.lognormvariate(-0.125, 0.5)
                latencies = evidence.increment(
                    latencies, evidence.bucket_of(ran)
                )
            self.counts[version] = evidence.Counts(
                calls=known.calls + 1,
                failures=known.failures + failed,
                latencies=latencies,
            )

    def observe(self, version):
        counts = self.counts.get(version, evidence.Counts())
        state = builders.make_state(
            node=f"n-{version}",
            server=builders.make_server(version=version),
            counts=(
                wire.VersionCounts(
                    route="r",
                    calls=counts.calls,
                    failures=counts.failures,
                    latencies=counts.latencies,
                ),
            ),
        )
        trials.observe(self.judge, state, self.trial)


class TrialTest(unittest.TestCase):
    def check_bad(self, new):
        for seed in range(10):
            played = Played(seed=seed, new=new)
            now = played.play()
            self.assertIs(trials.Phase.ROLLED_BACK, played.trial.phase)
            allowed = 0.1 * RATE * SECONDS + 50
            self.assertLessEqual(played.exposed, allowed)
            if played.fiftieth is not None:
                self.assertLessEqual(now - played.fiftieth, 5.0)

    def test_good_version_is_completed_in_time(self):
        """Guards against good versions that are not finished."""
        for seed in range(20):
            played = Played(seed=seed, new=lambda now, load: (0.001, 1.0))
            now = played.play()
            self.assertIs(trials.Phase.COMPLETED, played.trial.phase)
            self.assertLess(now, SECONDS - 2.0)

    def test_version_on_slow_copies_is_good(self):
        """Guards against a good version that only has slower servers."""
        for seed in range(10):
            played = Played(seed=seed, new=lambda now, load: (0.001, 1.6))
            played.play()
            self.assertIs(trials.Phase.COMPLETED, played.trial.phase)

    def test_failing_version_is_rolled_back(self):
        """Guards against a version that fails half of its requests."""
        self.check_bad(lambda now, load: (0.5, 1.0))

    def test_slow_version_is_rolled_back(self):
        """Guards against a version that answers eight times slower."""
        self.check_bad(
            lambda now, load: (0.0, 8.0 if now * 20 % 2 < 1 else 1.0)
        )

    def test_late_failures_are_found(self):
        """Guards against a version that is good for its first seconds."""
        self.check_bad(lambda now, load: (0.45 if now > 3 else 0.0, 1.0))

    def test_failures_under_load_are_found_before_the_end(self):
        """Guards against a version that fails under the whole load only."""
        self.check_bad(lambda now, load: (0.5 if load > 0.9 else 0.0, 1.0))

    def test_fault_of_both_versions_is_no_evidence(self):
        """Guards against a rollback for a failing dependency."""

        def both(now, load):
            return (0.4 if 3 < now < 6 else 0.001, 1.0)

        for seed in range(10):
            played = Played(seed=seed, new=both, old=both)
            played.play()
            self.assertIs(trials.Phase.COMPLETED, played.trial.phase)

    def test_final_phases_stay(self):
        """Guards against a withdrawn version that comes back."""
        phases = trials.Phase
        self.assertFalse(
            trials.may_follow(phases.ROLLED_BACK, phases.COMPLETED)
        )
        self.assertFalse(
            trials.may_follow(phases.COMPLETED, phases.ROLLED_BACK)
        )
        self.assertTrue(trials.may_follow(phases.RUNNING, phases.MOVING))
        self.assertFalse(trials.may_follow(phases.MOVING, phases.RUNNING))
