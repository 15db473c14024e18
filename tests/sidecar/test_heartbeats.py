"""Tests of the incarnations of a backend server."""

import unittest

from apricotpost import model
from apricotpost.sidecar import heartbeats
from tests.sidecar.builders import make_heartbeat

__all__ = ["HeartbeatTest"]


class HeartbeatTest(unittest.TestCase):
    def setUp(self):
        self.presence = heartbeats.Presence()

    def take(self, **changes):
        return heartbeats.record_heartbeat(
            self.presence, make_heartbeat(**changes), 0.0
        )

    def test_late_heartbeat_does_not_end_a_drain(self):
        """Guards against a leaving server that becomes ready again."""
        self.take(sequence=5)
        self.take(sequence=7, state=model.BackendState.DRAINING)
        self.assertIs(heartbeats.HeartbeatEffect.NONE, self.take(sequence=6))
        self.assertIs(model.BackendState.DRAINING, self.presence.current.state)

    def test_heartbeat_of_the_former_server_is_ignored(self):
        """Guards against the sender's successor being replaced."""
        self.take(backend="old", started_at_ms=1000, sequence=90)
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER,
            self.take(backend="new", started_at_ms=2000),
        )
        late = self.take(backend="old", started_at_ms=1000, sequence=91)
        self.assertIs(heartbeats.HeartbeatEffect.NONE, late)
        self.assertEqual("new", self.presence.current.backend)

    def test_same_identifier_may_start_again(self):
        """Guards against a reborn server whose count starts anew."""
        self.take(started_at_ms=1000, sequence=50)
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER,
            self.take(started_at_ms=3000, sequence=1),
        )

    def test_left_server_does_not_return_by_a_late_heartbeat(self):
        """Guards against requests to a server that has deregistered."""
        self.take(sequence=5)
        self.assertTrue(heartbeats.deregister(self.presence, "b", 0))
        self.assertIs(heartbeats.HeartbeatEffect.NONE, self.take(sequence=6))
        self.assertIsNone(self.presence.current)
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER,
            self.take(started_at_ms=2000, sequence=1),
        )

    def test_late_deregistration_of_the_former_incarnation(self):
        """Guards against a reborn server that is taken for gone."""
        self.take(started_at_ms=1000)
        self.take(started_at_ms=2000)
        self.assertFalse(heartbeats.deregister(self.presence, "b", 1000))
        self.assertIsNotNone(self.presence.current)

    def test_heartbeat_makes_an_unreachable_server_usable(self):
        """Guards against a server that is never tried again."""
        self.take(sequence=1)
        self.presence.unreachable = True
        self.assertIs(
            heartbeats.HeartbeatEffect.CHANGED, self.take(sequence=2)
        )
        self.assertFalse(self.presence.unreachable)


class ConfirmationTest(unittest.TestCase):
    """A process that starts beside a running backend server."""

    def setUp(self):
        self.presence = heartbeats.Presence()

    def take(self, now, **changes):
        return heartbeats.record_heartbeat(
            self.presence, make_heartbeat(**changes), now, confirm_seconds=0.7
        )

    def test_server_in_mid_life_is_not_used_at_once(self):
        """Guards against a late heartbeat of a server that has left.

        The deregistration had been acknowledged by an earlier process.
        """
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER, self.take(0.0, sequence=7)
        )
        self.assertFalse(self.presence.confirmed)

    def test_server_that_has_just_started_is_used(self):
        """Guards against a pause at the start of a fleet."""
        self.take(0.0, sequence=1)
        self.assertTrue(self.presence.confirmed)

    def test_its_own_answer_confirms_it(self):
        """Guards against a server that waits for its next heartbeat."""
        self.take(0.0, sequence=7)
        self.assertFalse(heartbeats.confirm(self.presence, "another"))
        self.assertTrue(heartbeats.confirm(self.presence, "b"))
        self.assertFalse(heartbeats.confirm(self.presence, "b"))
        self.assertTrue(self.presence.confirmed)

    def test_second_heartbeat_confirms_it(self):
        """Guards against a server whose health answer is false."""
        self.take(0.0, sequence=7)
        self.assertIs(
            heartbeats.HeartbeatEffect.CHANGED, self.take(1.5, sequence=8)
        )
        self.assertTrue(self.presence.confirmed)

    def test_two_late_heartbeats_confirm_nothing(self):
        """Guards against heartbeats that were held up together."""
        self.take(0.0, sequence=7)
        self.assertIs(
            heartbeats.HeartbeatEffect.SAME, self.take(0.1, sequence=8)
        )
        self.assertFalse(self.presence.confirmed)

    def test_successor_is_used_at_once(self):
        """Guards against a pause when a server is replaced."""
        self.take(0.0, backend="old", sequence=1)
        heartbeats.deregister(self.presence, "old", 0)
        self.take(1.0, backend="new", started_at_ms=2000, sequence=9)
        self.assertTrue(self.presence.confirmed)
