"""Tests of the sample of backend servers, also under simulated load."""

import dataclasses
import random
import unittest

from apricotpost.routing import placement
from apricotpost.routing import sampling
from apricotpost.sidecar import active_requests
from standins import placement_load

__all__ = ["SampleTest", "SimulatedLoadTest"]

# A service of the large deployment: 100 servers of different speeds, called by
# 195 nodes that see a few requests each.
LARGE = placement_load.Load(
    callers=195,
    servers=100,
    data_centres=6,
    slots=10,
    rate=1000.0,
    work_ms=380.0,
    objective_ms=1004.0,
    speeds=(0.5, 1.0, 1.0, 1.5),
    seconds=12.0,
)
# A service of a deployment of middle size near its capacity.
MIDDLE = placement_load.Load(
    callers=65,
    servers=38,
    data_centres=3,
    slots=5,
    rate=450.0,
    work_ms=220.0,
    objective_ms=600.0,
    speeds=(0.7, 0.7, 1.6),
    seconds=12.0,
)


# The same service with fewer slots, in its busiest hours: requests hold their
# slots while their own calls run, and reports through relays are older.
BUSY = placement_load.Load(
    callers=195,
    servers=100,
    data_centres=6,
    slots=5,
    rate=620.0,
    work_ms=520.0,
    objective_ms=1004.0,
    speeds=(0.5, 1.0, 1.0, 1.5),
    seconds=14.0,
)


def choose_from_sample(model, candidates, load, now, rng):
    chosen, _ = sampling.sample_candidates(candidates, rng, retrying=False)
    return placement_load.rank_all(model, chosen, load, now, rng)


def make_candidates(local, remote):
    return [
        placement.Candidate(
            node=f"n{index}",
            backend=f"b{index}",
            same_data_centre=index < local,
        )
        for index in range(local + remote)
    ]


class SampleTest(unittest.TestCase):
    def test_sample_has_servers_of_both_kinds(self):
        """Guards against a sample without a server of the data centre.

        Without servers of its own, for example while it is evacuated, a data
        centre chooses among as many of the others.
        """
        rng = random.Random(1)
        for local, remote in ((17, 6), (2, 5), (0, 6), (5, 0)):
            candidates = make_candidates(local, remote)
            for retrying in (False, True):
                chosen, others = sampling.sample_candidates(
                    candidates, rng, retrying=retrying
                )
                counts = [
                    sum(c.same_data_centre is same for c in chosen)
                    for same in (True, False)
                ]
                limits = (
                    (sampling.RETRY_SAMPLE,) * 2
                    if retrying
                    else (sampling.LOCAL_SAMPLE, sampling.REMOTE_SAMPLE)
                )
                missing = max(limits[0] - local, 0)
                self.assertEqual(
                    [
                        min(local, limits[0]),
                        min(remote, limits[1] + missing),
                    ],
                    counts,
                )
                self.assertCountEqual(candidates, chosen + others)

    def test_every_server_is_sampled(self):
        """Guards against new servers that get no requests."""
        rng = random.Random(1)
        candidates = make_candidates(17, 6)
        seen = set()
        for _ in range(200):
            chosen, _ = sampling.sample_candidates(
                candidates, rng, retrying=False
            )
            seen.update(c.node for c in chosen)
        self.assertEqual(23, len(seen))


class SimulatedLoadTest(unittest.TestCase):
    """What callers get while reports are up to half a second old."""

    def test_nodes_do_not_herd(self):
        """Guards against nodes that all choose the same few servers.

        With the best of all servers by the same old reports, each caller's
        choice is good, but that of all callers together is late: the sample
        has to halve the late requests and the longest queue at least.
        """
        for load in (LARGE, MIDDLE):
            for seed in (1, 2):
                sampled, best_of_all = (
                    placement_load.simulate(load, policy, seed=seed)
                    for policy in (choose_from_sample, placement_load.rank_all)
                )
                with self.subTest(load=load, seed=seed):
                    self.assertLess(
                        1.0 - sampled.within_objective,
                        (1.0 - best_of_all.within_objective) / 2,
                    )
                    self.assertLess(
                        sampled.longest_queue, best_of_all.longest_queue / 2
                    )

    def test_requests_do_not_queue_beside_free_servers(self):
        """Guards against a wait at one server while others have free slots.

        Load reports cannot tell where the free slots are: they are as old as
        a request takes. Servers accepted what would wait up to nine tenths of
        the objective; 3,371 requests of a busy day waited more than half.
        """
        strict = active_requests.MAX_WAIT_FRACTION * BUSY.objective_ms
        for seed in (1, 2):
            limited, waiting = (
                placement_load.simulate(
                    dataclasses.replace(BUSY, max_wait_ms=max_wait_ms),
                    choose_from_sample,
                    seed=seed,
                )
                for max_wait_ms in (strict, 0.9 * BUSY.objective_ms)
            )
            with self.subTest(seed=seed, limited=limited, waiting=waiting):
                self.assertLess(
                    1.0 - limited.within_objective,
                    (1.0 - waiting.within_objective) * 0.75,
                )
                self.assertLess(limited.median_ms, waiting.median_ms)
