"""Short seeded soaks with real processes."""

import asyncio
import pathlib
import tempfile
import unittest

from soak import __main__ as soak

__all__ = ["SoakTest"]

# Seeds that are run in CI. A seed that has failed once is added with a line
# on its cause.
SEEDS = (1,)
SECONDS = 14.0
NODES = 6


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_drawn_faults(self):
        """Guards against promises that hold only without faults."""
        for seed in SEEDS:
            with (
                self.subTest(seed=seed),
                tempfile.TemporaryDirectory() as folder,
            ):
                outcome = asyncio.run(
                    soak.run_seed(
                        seed=seed,
                        seconds=SECONDS,
                        nodes=NODES,
                        folder=pathlib.Path(folder),
                    )
                )
                self.assertEqual((), outcome.violations)
                self.assertGreater(outcome.statuses()[200], 500)
