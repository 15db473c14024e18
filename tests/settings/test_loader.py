"""Tests of the settings loader and of the settings page."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from apricotpost import errors
from apricotpost.node import main
from apricotpost import settings
from apricotpost.settings import pages

__all__ = ["LoaderTest"]

PAGE = pathlib.Path(__file__).parent.parent.parent / "docs" / "settings.md"
FAULTY = """{
  // Every entry below has a fault.
  "instance": "A 1",
  "data_centre": 7,
  "addresses": {"ingress": "nowhere", "local": "127.0.0.1:1",
                "admin": "127.0.0.1:1", "call": "127.0.0.1:1"},
  "platform": {"table_url": "http://127.0.0.1:1",
               "timeout_seconds": -2},
  "tokens": [{"sha256": "abc", "author": "ilze", "team": "t",
              "rights": ["all"]}],
  "times": {"drain_seconds": "long", "drain_second": 3},
  "levels": {"latency_ms": 0}
}"""


class LoaderTest(unittest.TestCase):
    def test_all_faults_are_listed_with_path_and_unit(self):
        """Guards against a report of only the first fault."""
        with self.assertRaises(errors.SettingsInvalid) as caught:
            settings.parse(FAULTY)
        text = "\n".join(caught.exception.faults)
        for path in (
            "$.instance: ",
            "$.data_centre: ",
            "$.region: missing",
            "$.addresses.ingress: ",
            "$.addresses.control: missing",
            "$.platform.object_url: missing",
            "$.tokens[0].sha256: ",
            "$.tokens[0].rights[0]: ",
            "$.times.drain_second: unknown setting",
        ):
            self.assertIn(path, text)
        for path, unit in (
            ("$.platform.timeout_seconds", "seconds"),
            ("$.times.drain_seconds", "seconds"),
            ("$.levels.latency_ms", "milliseconds"),
        ):
            self.assertRegex(text, rf"\{path}: .*\(in {unit}\)")
        self.assertEqual(12, len(caught.exception.faults), text)

    def test_faulty_settings_end_the_node_with_2(self):
        """Guards against a node that starts with faulty settings."""
        error = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "node.jsonc"
            path.write_text(FAULTY)
            with contextlib.redirect_stderr(error):
                code = main.main([str(path)])
        self.assertEqual(2, code)
        self.assertIn("$.levels.latency_ms", error.getvalue())

    def test_page_is_made_from_the_schema(self):
        """Guards against a settings page that differs from the schema."""
        text = PAGE.read_text(encoding="utf-8")
        self.assertEqual(pages.format_page(), text)
        self.assertNotIn("|  |", text)

    def test_text_that_is_not_an_object_is_a_fault(self):
        """Guards against an untyped error for an empty or malformed file."""
        for text in ("", "[]", "{", json.dumps("x")):
            with self.assertRaises(errors.SettingsInvalid):
                settings.parse(text)
