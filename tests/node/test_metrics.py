"""Tests of the metrics that are sent to a statsd server."""

import socket
import unittest
import unittest.mock

from apricotpost import model
from apricotpost.node import metrics
from apricotpost import settings

__all__ = ["MetricsTest"]


class MetricsTest(unittest.TestCase):
    def test_metrics_are_sent_in_the_statsd_protocol(self):
        """Guards against metrics that a statsd server cannot parse."""
        server = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.addCleanup(server.close)
        server.bind(("127.0.0.1", 0))
        server.settimeout(5.0)
        address = f"127.0.0.1:{server.getsockname()[1]}"
        with unittest.mock.patch("time.monotonic", return_value=10.0) as now:
            recorder = metrics.make_recorder(
                settings.MetricSettings(statsd=address, prefix="mesh")
            )
            for _ in range(2):
                recorder.record_call("records.v1", "answered", 12.5)
            recorder.record_load(model.Load(in_flight=3, limit=8, queued=1))
            recorder.flush()
            now.return_value = 11.0
            recorder.flush()
        self.assertEqual(
            {
                "mesh.calls.records_v1.answered:2|c",
                "mesh.calls.records_v1.latency:12.500000|ms",
                "mesh.gate.in_flight:3|g",
                "mesh.gate.limit:8|g",
                "mesh.gate.queued:1|g",
            },
            set(server.recv(4096).decode().split("\n")),
        )
