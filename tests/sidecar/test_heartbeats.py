"""Tests of the incarnations of a backend server."""

import unittest

from apricotpost import model
from apricotpost.sidecar import heartbeats
from tests.sidecar.builders import make_heartbeat

__all__ = ["HeartbeatTest"]


class HeartbeatTest(unittest.TestCase):
    def setUp(self):
        self.presence = heartbeats.Presence()

    def record(self, **changes):
        return heartbeats.record_heartbeat(
            self.presence, make_heartbeat(**changes), 0.0
        )

    def test_late_heartbeat_does_not_end_a_drain(self):
        """Guards against a leaving server that becomes ready again."""
        self.record(sequence=5)
        self.record(sequence=7, state=model.BackendState.DRAINING)
        self.assertIs(heartbeats.HeartbeatEffect.NONE, self.record(sequence=6))
        self.assertIs(model.BackendState.DRAINING, self.presence.current.state)

    def test_heartbeat_of_a_replaced_server_is_ignored(self):
        """Guards against a replaced server that becomes current again."""
        self.record(backend="old", started_at_ms=1000, sequence=90)
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER,
            self.record(backend="new", started_at_ms=2000),
        )
        late = self.record(backend="old", started_at_ms=1000, sequence=91)
        self.assertIs(heartbeats.HeartbeatEffect.NONE, late)
        self.assertEqual("new", self.presence.current.backend)

    def test_same_identifier_may_start_again(self):
        """Guards against ignoring a restarted server's sequence numbers."""
        self.record(started_at_ms=1000, sequence=50)
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER,
            self.record(started_at_ms=3000, sequence=1),
        )

    def test_late_heartbeat_does_not_restore_a_deregistered_server(self):
        """Guards against requests to a server that has deregistered."""
        self.record(sequence=5)
        self.assertTrue(heartbeats.deregister(self.presence, "b", 0))
        self.assertIs(heartbeats.HeartbeatEffect.NONE, self.record(sequence=6))
        self.assertIsNone(self.presence.current)
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER,
            self.record(started_at_ms=2000, sequence=1),
        )

    def test_late_deregistration_of_an_earlier_incarnation_is_ignored(self):
        """Guards against a restarted server that is taken as deregistered."""
        self.record(started_at_ms=1000)
        self.record(started_at_ms=2000)
        self.assertFalse(heartbeats.deregister(self.presence, "b", 1000))
        self.assertIsNotNone(self.presence.current)

    def test_heartbeat_makes_an_unreachable_server_usable(self):
        """Guards against a server that stays unreachable for ever."""
        self.record(sequence=1)
        self.presence.unreachable = True
        self.assertIs(
            heartbeats.HeartbeatEffect.CHANGED, self.record(sequence=2)
        )
        self.assertFalse(self.presence.unreachable)


class ConfirmationTest(unittest.TestCase):
    """Heartbeats after a node has started beside a running server."""

    def setUp(self):
        self.presence = heartbeats.Presence()

    def record(self, now, **changes):
        return heartbeats.record_heartbeat(
            self.presence,
            make_heartbeat(**changes),
            now,
            periods=heartbeats.Periods(confirm=0.7),
        )

    def test_running_server_is_not_used_at_once(self):
        """Guards against a late heartbeat of a server that has left.

        An earlier node process had acknowledged the deregistration.
        """
        self.assertIs(
            heartbeats.HeartbeatEffect.OTHER, self.record(0.0, sequence=7)
        )
        self.assertFalse(self.presence.confirmed)

    def test_server_that_has_just_started_is_used(self):
        """Guards against a delay when a fleet starts."""
        self.record(0.0, sequence=1)
        self.assertTrue(self.presence.confirmed)

    def test_health_check_confirms_it(self):
        """Guards against a healthy server that stays unused for a period."""
        self.record(0.0, sequence=7)
        self.assertFalse(heartbeats.confirm(self.presence, "another"))
        self.assertTrue(heartbeats.confirm(self.presence, "b"))
        self.assertFalse(heartbeats.confirm(self.presence, "b"))
        self.assertTrue(self.presence.confirmed)

    def test_second_heartbeat_confirms_it(self):
        """Guards against an unused server whose health check is wrong."""
        self.record(0.0, sequence=7)
        self.assertIs(
            heartbeats.HeartbeatEffect.CHANGED, self.record(1.5, sequence=8)
        )
        self.assertTrue(self.presence.confirmed)

    def test_two_late_heartbeats_confirm_nothing(self):
        """Guards against delayed heartbeats that arrive together."""
        self.record(0.0, sequence=7)
        self.assertIs(
            heartbeats.HeartbeatEffect.SAME, self.record(0.1, sequence=8)
        )
        self.assertFalse(self.presence.confirmed)

    def test_successor_is_used_at_once(self):
        """Guards against a delay when a server is replaced."""
        self.record(0.0, backend="old", sequence=1)
        heartbeats.deregister(self.presence, "old", 0)
        self.record(1.0, backend="new", started_at_ms=2000, sequence=9)
        self.assertTrue(self.presence.confirmed)
