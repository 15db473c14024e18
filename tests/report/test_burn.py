"""Tests of burn rates, error budgets and the formats of the report."""

import unittest
import xml.etree.ElementTree

from apricotpost import model
from apricotpost.report import burn
from apricotpost.report import levels
from apricotpost.report import pages
from apricotpost.report import texts

__all__ = ["BurnTest"]

START = 1_800_000_000


def make_node(*, good=0, bad=0, slow=0, availability=99.0, route="records"):
    """Return the answer of a node with the same counts in each window."""
    counts = model.LevelCounts(good=good, bad=bad, slow=slow)
    bucket = model.LevelBucket(start=START, counts=counts)
    level = model.RouteLevel(
        route=route,
        service="portal",
        objective=model.Objective(
            availability_percent=availability,
            latency_ms=100.0,
            latency_percent=95.0,
        ),
        windows=(counts,) * len(levels.WINDOWS_SECONDS),
        buckets=(bucket,),
        latencies=levels.encode_latencies(levels.make_route_counts(), START),
    )
    return burn.NodeLevels(
        instance="a1", since=START, at=START + 60, levels=(level,)
    )


class BurnTest(unittest.TestCase):
    def test_burn_is_failures_over_allowed_failures(self):
        """Guards against averaging the rates of nodes with unequal traffic."""
        (report,) = burn.merge_nodes(
            [make_node(good=890, bad=10), make_node(good=98, slow=2)]
        )
        for rate in report.availability_burn:
            self.assertAlmostEqual(1.0, rate)
        self.assertAlmostEqual(0.0, report.availability_left)
        for rate in report.latency_burn:
            self.assertAlmostEqual(2 / 990 / 0.05, rate)
        self.assertEqual(988, report.buckets[0].counts.good)

    def test_strictest_objective_counts(self):
        """Guards against old settings of a node that hide a high burn rate."""
        nodes = [make_node(bad=1), make_node(availability=99.9)]
        (report,) = burn.merge_nodes(nodes)
        self.assertEqual(99.9, report.objective.availability_percent)

    def test_no_calls_burn_nothing(self):
        """Guards against a division by zero on a route without calls."""
        (report,) = burn.merge_nodes([make_node()])
        self.assertEqual((0.0,) * 4, report.availability_burn)
        self.assertEqual(1.0, report.availability_left)

    def test_page_is_self_contained_and_escapes_names(self):
        """Guards against external resources and against markup in names."""
        reports = burn.merge_nodes([make_node(bad=1, slow=1, route="a<b")])
        page = pages.format_page(reports, ["note <1>"], now=START + 900)
        self.assertNotIn("a<b", page)
        self.assertNotIn("note <1>", page)
        self.assertNotRegex(page, "src=|href=|http")
        plot = page[page.index("<svg") : page.index("</svg>") + 6]
        bars = xml.etree.ElementTree.fromstring(plot).findall("rect")
        self.assertEqual(2, len(bars))

    def test_text_shows_both_objectives(self):
        """Guards against a report without the latency objective."""
        text = texts.format_text(burn.merge_nodes([make_node(good=9)]), [])
        self.assertIn("99 % answered", text)
        self.assertIn("95 % within 100 ms", text)
