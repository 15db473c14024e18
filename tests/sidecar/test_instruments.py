"""Tests of the metrics and their text format."""

import subprocess
import sys
import unittest

from prometheus_client import parser

from apricotpost.sidecar import instruments
from apricotpost.sidecar import metrics

__all__ = ["InstrumentTest"]


def parse(families):
    """Return the samples as parsed by the Prometheus client library."""
    text = instruments.format_text(families).decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


class InstrumentTest(unittest.TestCase):
    def test_counter_counts_by_label_values(self):
        """Guards against a scrape that Prometheus cannot parse."""
        counter = instruments.Counter("calls", "Calls.", ("reason",))
        for reason in ("full", "full", 'a "b"\\\n'):
            counter.add(reason)
        samples = parse([counter])
        self.assertEqual(2, samples["calls_total", (("reason", "full"),)])
        self.assertEqual(1, samples["calls_total", (("reason", 'a "b"\\\n'),)])

    def test_buckets_are_cumulative(self):
        """Guards against quantiles that are too low."""
        histogram = instruments.Histogram("seconds", "Time.", (0.1, 0.5))
        for value in (0.1, 0.2, 0.4, 9.0):
            histogram.observe(value)
        samples = parse([histogram])
        bounds = ("0.1", "0.5", "+Inf")
        counts = [samples["seconds_bucket", (("le", b),)] for b in bounds]
        self.assertEqual([1, 3, 4], counts)
        self.assertEqual(4, samples["seconds_count", ()])
        self.assertAlmostEqual(9.7, samples["seconds_sum", ()])

    def test_peak_memory_is_that_of_the_process(self):
        """Guards against the memory of the parent process in a metric.

        A node that a large process had started reported 351 MB, as
        `resource.getrusage` includes the parent at the start.
        """
        ballast = bytearray(200 * 1024 * 1024)
        code = (
            "from apricotpost.sidecar import metrics\n"
            "print(metrics.read_peak_memory())"
        )
        output = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, check=True
        ).stdout
        self.assertLess(int(output), len(ballast) / 2)

    def test_scrape_has_all_metrics_of_a_node(self):
        """Guards against a metric that is missing in the scrape."""
        node_metrics = metrics.Metrics()
        node_metrics.requests.add("refused", "gate-full")
        node_metrics.peers.set(3)
        names = {name for name, _ in parse(vars(node_metrics).values())}
        self.assertIn("apricotpost_requests_total", names)
        self.assertIn("apricotpost_request_seconds_bucket", names)
        self.assertIn("apricotpost_peers_connected", names)
