"""Tests of the incarnations of a backend server."""

import unittest

from apricotpost import model
from apricotpost.sidecar import beats
from tests.sidecar.builders import make_beat

__all__ = ["BeatTest"]


class BeatTest(unittest.TestCase):
    def setUp(self):
        self.presence = beats.Presence()

    def take(self, **changes):
        return beats.take_beat(self.presence, make_beat(**changes), 0.0)

    def test_late_heartbeat_does_not_end_a_drain(self):
        """Guards against a leaving server that becomes ready again."""
        self.take(sequence=5)
        self.take(sequence=7, state=model.BackendState.DRAINING)
        self.assertIs(beats.News.NONE, self.take(sequence=6))
        self.assertIs(model.BackendState.DRAINING, self.presence.current.state)

    def test_heartbeat_of_the_former_server_is_ignored(self):
        """Guards against the sender's successor being replaced."""
        self.take(backend="old", born=1000, sequence=90)
        self.assertIs(beats.News.OTHER, self.take(backend="new", born=2000))
        late = self.take(backend="old", born=1000, sequence=91)
        self.assertIs(beats.News.NONE, late)
        self.assertEqual("new", self.presence.current.backend)

    def test_same_identifier_may_start_again(self):
        """Guards against a reborn server whose count starts anew."""
        self.take(born=1000, sequence=50)
        self.assertIs(beats.News.OTHER, self.take(born=3000, sequence=1))

    def test_left_server_does_not_return_by_a_late_heartbeat(self):
        """Guards against requests to a server that has deregistered."""
        self.take(sequence=5)
        self.assertTrue(beats.withdraw(self.presence, "b", 0))
        self.assertIs(beats.News.NONE, self.take(sequence=6))
        self.assertIsNone(self.presence.current)
        self.assertIs(beats.News.OTHER, self.take(born=2000, sequence=1))

    def test_late_deregistration_of_the_former_incarnation(self):
        """Guards against a reborn server that is taken for gone."""
        self.take(born=1000)
        self.take(born=2000)
        self.assertFalse(beats.withdraw(self.presence, "b", 1000))
        self.assertIsNotNone(self.presence.current)

    def test_heartbeat_makes_an_unreachable_server_usable(self):
        """Guards against a server that is never tried again."""
        self.take(sequence=1)
        self.presence.unreachable = True
        self.assertIs(beats.News.CHANGED, self.take(sequence=2))
        self.assertFalse(self.presence.unreachable)
