"""Tests of the application of deltas and snapshots."""

import dataclasses
import unittest

from apricotpost import config
from apricotpost import errors
from apricotpost import model

__all__ = ["DeltaTest", "make_snapshot"]


def make_snapshot(version: int = 1) -> model.Snapshot:
    """Return a small valid configuration."""
    return config.with_checksum(
        model.Snapshot(
            version=version,
            services=(
                model.Service(
                    name="portal",
                    team="baltkalns",
                    versions=(model.VersionShare(version="v1", share=1000),),
                ),
            ),
            routes=(
                model.Route(
                    name="records",
                    service="portal",
                    prefix="/records",
                    methods=("GET",),
                    idempotent=True,
                ),
            ),
        )
    )


class DeltaTest(unittest.TestCase):
    def setUp(self):
        self.first = make_snapshot()
        route = dataclasses.replace(self.first.routes[0], timeout_ms=100)
        self.second = config.with_checksum(
            dataclasses.replace(self.first, version=2, routes=(route,))
        )
        self.delta = config.compute_delta(self.first, self.second)

    def test_delta_leads_to_the_same_snapshot(self):
        """Guards against a delta that loses a change."""
        self.assertEqual(
            self.second, config.apply_delta(self.first, self.delta)
        )

    def test_older_version_is_refused(self):
        """Guards against a return to an older version."""
        with self.assertRaises(errors.ConfigurationOutdated):
            config.apply_delta(self.second, self.delta)
        with self.assertRaises(errors.ConfigurationOutdated):
            config.apply_snapshot(self.second, self.first)

    def test_delta_without_its_base_is_refused(self):
        """Guards against a wrong result when a delta is missing."""
        delta = dataclasses.replace(self.delta, base=5, version=6)
        with self.assertRaises(errors.DeltaBaseMissing):
            config.apply_delta(self.second, delta)

    def test_dangling_route_is_refused_whole(self):
        """Guards against a route to a service that was removed."""
        broken = config.with_checksum(
            dataclasses.replace(self.first, version=2, services=())
        )
        delta = config.compute_delta(self.first, broken)
        with self.assertRaises(errors.ConfigurationInvalid):
            config.apply_delta(self.first, delta)

    def test_wrong_checksum_is_refused(self):
        """Guards against the application of a damaged delta."""
        delta = dataclasses.replace(self.delta, checksum="0" * 32)
        with self.assertRaises(errors.ConfigurationInvalid):
            config.apply_delta(self.first, delta)
