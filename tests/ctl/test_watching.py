"""Tests of following moves."""

import unittest

from apricotpost.ctl import watching
from apricotpost import errors

__all__ = ["FollowTest"]


def make_refusal(status):
    """Return the error for an answer with this status."""
    return errors.NodeErrorResponse(
        "refused", code="AP000", status=status, faults=()
    )


class FollowTest(unittest.TestCase):
    def follow(self, *answers):
        """Follow one move through prepared answers, one for each poll."""
        self.now = 0.0
        self.shown, self.warnings = [], []
        remaining = list(answers)

        def read(identifier):
            answer = remaining.pop(0) if len(remaining) > 1 else remaining[0]
            if isinstance(answer, Exception):
                raise answer
            return {"identifier": identifier, "state": answer}

        def sleep(seconds):
            self.now += seconds

        watch = watching.Watch(
            read=read,
            report=lambda move: self.shown.append(move["state"]),
            warn=self.warnings.append,
            clock=lambda: self.now,
            sleep=sleep,
        )
        return [move["state"] for move in watching.follow(watch, ["m1"])]

    def test_ends_with_the_last_state(self):
        """Guards against a watch that never ends or repeats a state."""
        ended = self.follow("running", "running", "baking", "withdrawn")
        self.assertEqual(["withdrawn"], ended)
        self.assertEqual(["running", "baking", "withdrawn"], self.shown)

    def test_outage_of_the_platform_is_waited_out(self):
        """Guards against a watch that ends at the first failed read.

        The platform is unavailable for 20 polls.
        """
        down = [make_refusal(503)] * 20
        self.assertEqual(["done"], self.follow("running", *down, "done"))
        self.assertEqual(20, len(self.warnings))

    def test_silence_and_refusals_end_the_watch(self):
        """Guards against polling on after a permanent error."""
        for answer, seconds in (
            (errors.NodeUnreachable("none"), watching.UNREACHABLE_SECONDS),
            (make_refusal(404), watching.UNKNOWN_MOVE_SECONDS),
            (make_refusal(403), 0.0),
        ):
            with self.assertRaises(type(answer)):
                self.follow(answer)
            self.assertLessEqual(seconds, self.now)
            self.assertLess(self.now, seconds + 5)
