"""Tests of the decision which registrations are removed."""

import unittest

from apricotpost.membership import registrations

__all__ = ["RegistrationsTest"]


def register(node, revision, data_centre="a"):
    return registrations.Registration(
        node=node, data_centre=data_centre, revision=revision
    )


class RegistrationsTest(unittest.TestCase):
    def sweep(self, absences, rows, now, *, live=()):
        return registrations.update_absences(
            absences, rows, live=live, data_centre="a", now=now
        )

    def test_row_of_a_node_that_is_gone_is_removed(self):
        """Guards against a list that grows with each replaced instance."""
        rows = [register("a1", 5), register("a2", 6)]
        absences = self.sweep({}, rows, 0.0, live=("a2",))
        self.assertEqual((), registrations.find_gone(absences, 10.0))
        later = registrations.GONE_SECONDS
        absences = self.sweep(absences, rows, later, live=("a2",))
        self.assertEqual(
            (("a1", 5),), registrations.find_gone(absences, later)
        )

    def test_row_of_a_live_node_is_never_removed(self):
        """Guards against a node that others cannot find any more.

        A node that is cut off from its data centre renews its row, and one
        that was heard again in between starts anew.
        """
        later = registrations.GONE_SECONDS
        absences = self.sweep({}, [register("a1", 5)], 0.0)
        renewed = self.sweep(absences, [register("a1", 9)], later)
        self.assertEqual((), registrations.find_gone(renewed, later))
        heard = self.sweep(absences, [register("a1", 5)], 100.0, live=("a1",))
        silent = self.sweep(heard, [register("a1", 5)], later)
        self.assertEqual((), registrations.find_gone(silent, later))
        self.assertLess(
            2 * registrations.RENEW_SECONDS, registrations.GONE_SECONDS
        )

    def test_rows_of_other_data_centres_are_left_alone(self):
        """Guards against removing a region that is cut off for an hour."""
        absences = self.sweep({}, [register("b1", 5, "b")], 0.0)
        self.assertEqual({}, absences)
