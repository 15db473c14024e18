"""Tests that the events page matches the catalogue of events."""

import logging
import pathlib
import re
import unittest

from apricotpost import events

__all__ = ["EventsPageTest"]

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "events.md"
ROW = re.compile(r"\| AP-(\d+) \| (\w+) \| (.+?) \| (.+) \|")


class EventsPageTest(unittest.TestCase):
    def test_page_lists_exactly_the_catalogue(self):
        """Guards against an event that operators do not find on the page."""
        rows = [
            (int(number), level, text)
            for number, level, text, _ in ROW.findall(
                PAGE.read_text(encoding="utf-8")
            )
        ]
        expected = [
            (event.number, logging.getLevelName(event.level), event.text)
            for _, event in sorted(events.CATALOGUE.items())
        ]
        self.assertEqual(expected, rows)
