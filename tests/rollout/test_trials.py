"""Tests of short rollouts with simulated versions."""

import dataclasses
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


class SimulatedRollout:
    """Simulation of a service during a rollout.

    Parameters
    ----------
    seed : int
        Seed of the random numbers.
    new, old : callable
        Failure rate and latency factor of a version, from the time in
        seconds and the load of its server (1 is the full load).
    """

    def __init__(self, *, seed, new, old=None):
        self.rng = random.Random(seed)
        self.versions = {
            "v1": old or (lambda now, load: (0.001, 1.0)),
            "v2": new,
        }
        self.counts = {}
        self.trial_evidence = trials.TrialEvidence()
        self.trial = trials.Trial(
            service="portal",
            old="v1",
            new="v2",
            order_revision=1,
            started_at=0.0,
            duration_seconds=SECONDS,
        )
        self.exposed = 0
        self.bad_answers = 0
        self.fiftieth_at = None

    def run(self):
        now = 0.0
        while now < SECONDS and self.trial.phase not in trials.FINAL_PHASES:
            now += 0.05
            self.serve(now)
            # Nodes report at different times, and more often in the phases
            # of LOADED_PHASES.
            period = 5 if self.trial.phase in trials.LOADED_PHASES else 10
            for offset, version in enumerate(self.versions):
                if (round(now / 0.05) + 3 * offset) % period == 0:
                    self.observe(version)
            level = trials.evaluate_slice(self.trial_evidence, self.trial, now)
            self.trial = trials.advance(
                self.trial,
                level=level,
                new_calls=trials.count_calls(self.trial_evidence, "v2"),
                old_calls=trials.count_calls(self.trial_evidence, "v1"),
                now=now,
            )
        return now

    def serve(self, now):
        share = trials.new_version_share(self.trial, SERVERS)
        # Load of a server of the new version, as a fraction of its load after
        # the rollout.
        load = share
        if self.trial.phase is trials.Phase.MOVING:
            load = share * SERVERS
        for _ in range(int(RATE * 0.05)):
            version = "v2" if self.rng.random() < share else "v1"
            failure_rate, latency_factor = self.versions[version](now, load)
            failed = self.rng.random() < failure_rate
            self.exposed += version == "v2"
            if version == "v2" and (failed or latency_factor > 3):
                self.bad_answers += 1
                if self.bad_answers == 50:
                    self.fiftieth_at = now
            counts = self.counts.get(version, evidence.Counts())
            latencies = counts.latencies
            if not failed:
                latency_ms = (
                    160 * latency_factor * self.rng.lognormvariate(-0.125, 0.5)
                )
                latencies = evidence.increment(
                    latencies, evidence.bucket_of(latency_ms)
                )
            self.counts[version] = evidence.Counts(
                calls=counts.calls + 1,
                failures=counts.failures + failed,
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
        trials.observe(self.trial_evidence, state, self.trial)


class TrialTest(unittest.TestCase):
    def check_bad(self, new):
        for seed in range(10):
            rollout = SimulatedRollout(seed=seed, new=new)
            now = rollout.run()
            self.assertIs(trials.Phase.ROLLED_BACK, rollout.trial.phase)
            allowed = 0.1 * RATE * SECONDS + 50
            self.assertLessEqual(rollout.exposed, allowed)
            if rollout.fiftieth_at is not None:
                self.assertLessEqual(now - rollout.fiftieth_at, 5.0)

    def test_good_version_is_completed_in_time(self):
        """Guards against good versions that are not completed in time."""
        for seed in range(20):
            rollout = SimulatedRollout(
                seed=seed, new=lambda now, load: (0.001, 1.0)
            )
            now = rollout.run()
            self.assertIs(trials.Phase.COMPLETED, rollout.trial.phase)
            self.assertLess(now, SECONDS - 2.0)

    def test_version_on_slow_servers_is_good(self):
        """Guards against the rollback of a good version on slower servers."""
        for seed in range(10):
            rollout = SimulatedRollout(
                seed=seed, new=lambda now, load: (0.001, 1.6)
            )
            rollout.run()
            self.assertIs(trials.Phase.COMPLETED, rollout.trial.phase)

    def test_failing_version_is_rolled_back(self):
        """Guards against a version that fails half of its requests."""
        self.check_bad(lambda now, load: (0.5, 1.0))

    def test_slow_version_is_rolled_back(self):
        """Guards against a version that is periodically eight times slower."""
        self.check_bad(
            lambda now, load: (0.0, 8.0 if now * 20 % 2 < 1 else 1.0)
        )

    def test_failures_that_begin_later_are_found(self):
        """Guards against a version that fails only after its first seconds."""
        self.check_bad(lambda now, load: (0.45 if now > 3 else 0.0, 1.0))

    def test_failures_under_load_are_found_before_the_end(self):
        """Guards against a version that fails only under full load."""
        self.check_bad(lambda now, load: (0.5 if load > 0.9 else 0.0, 1.0))

    def test_fault_of_both_versions_is_no_evidence(self):
        """Guards against a rollback for a fault of a shared dependency."""

        def both(now, load):
            return (0.4 if 3 < now < 6 else 0.001, 1.0)

        for seed in range(10):
            rollout = SimulatedRollout(seed=seed, new=both, old=both)
            rollout.run()
            self.assertIs(trials.Phase.COMPLETED, rollout.trial.phase)

    def test_unjudged_version_is_not_completed(self):
        """Guards against missing evidence that counts as a good version.

        Without responses of the old version, the level stays 0 whatever the
        new one does. A bad version then got all requests and completed.
        """
        rollout = SimulatedRollout(seed=1, new=lambda now, load: (0.5, 1.0))
        rollout.counts["v2"] = evidence.Counts(calls=40, failures=20)
        rollout.observe("v2")
        for old, phase in (
            ("", trials.Phase.RUNNING),
            ("v1", trials.Phase.ROLLED_BACK),
        ):
            with self.subTest(old=old):
                trial = dataclasses.replace(rollout.trial, old=old)
                for now in (SECONDS * 0.6, SECONDS * 0.7, SECONDS * 0.9):
                    level = trials.evaluate_slice(
                        rollout.trial_evidence, trial, now
                    )
                    trial = trials.advance(
                        trial, level=level, new_calls=40, old_calls=0, now=now
                    )
                self.assertIs(phase, trial.phase)

    def test_final_phases_stay(self):
        """Guards against a rolled-back version that gets requests again."""
        phases = trials.Phase
        self.assertFalse(
            trials.may_follow(phases.ROLLED_BACK, phases.COMPLETED)
        )
        self.assertFalse(
            trials.may_follow(phases.COMPLETED, phases.ROLLED_BACK)
        )
        self.assertTrue(trials.may_follow(phases.RUNNING, phases.MOVING))
        self.assertFalse(trials.may_follow(phases.MOVING, phases.RUNNING))
