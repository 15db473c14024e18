"""Tests of the report of a soak run."""

from collections import Counter
import pathlib
import tempfile
import unittest
from xml.etree import ElementTree

from soak import checks
from soak import report
from soak import schedule

__all__ = ["ReportTest"]


def make_result(sent_at, *, status=200, idempotent=True, ms=50.0):
    return checks.CallResult(
        request=f"q{sent_at}",
        node="n0#1",
        sent=100.0 + sent_at,
        ended=100.0 + sent_at + ms / 1000.0,
        idempotent=idempotent,
        status=status,
    )


def make_run_result(**changes):
    values = {
        "seed": 7,
        "violations": (),
        "results": (
            make_result(0.1),
            make_result(0.2, status=503),
            make_result(1.5, status=0, idempotent=False),
            make_result(1.6, idempotent=False, ms=250.0),
        ),
        "faults": (
            schedule.Fault(
                starts_at=1.0,
                duration_seconds=0.5,
                kind=schedule.Kind.KILL,
                node=3,
            ),
        ),
        "started_at": 100.0,
        "reasons": Counter({"refused: <cold>": 2}),
    }
    return report.RunResult(**{**values, **changes})


class ReportTest(unittest.TestCase):
    def test_counts_by_second(self):
        """Guards against counting a request without a response as refused."""
        first, second = report.count_by_second(make_run_result())
        self.assertEqual(
            (0, 1, 1, 0),
            (first.second_index, first.served, first.refused, first.failed),
        )
        self.assertEqual(
            (1, 1, 0, 1),
            (
                second.second_index,
                second.served,
                second.refused,
                second.failed,
            ),
        )

    def test_text_names_kinds_faults_and_violations(self):
        """Guards against a report that omits a broken promise."""
        violation = checks.Violation(promise="drain", detail="2 runs at b1")
        text = report.format_text(make_run_result(violations=(violation,)))
        self.assertIn("seed 7: BROKEN", text)
        self.assertIn("drain: 2 runs at b1", text)
        self.assertIn("kill at n3 for 0.5 s", text)
        self.assertIn("p99 250 ms", text)

    def test_percentile_is_by_nearest_rank(self):
        """Guards against a percentile that drops the slowest response."""
        values = range(1, 101)
        self.assertEqual(50, report.percentile(values, 50))
        self.assertEqual(99, report.percentile(values, 99))
        self.assertEqual(0.0, report.percentile((), 99))

    def test_reasons_come_from_the_logs(self):
        """Guards against a failure on an incomplete line of a log."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "n0.log")
            path.write_text(
                '{"event":601,"outcome":"refused","reason":"cold"}\n'
                '{"event":600,"outcome":"answered","reason":""}\n'
                '{"event":601,"outc',
                encoding="utf-8",
            )
            found = report.count_reasons([path])
        self.assertEqual(Counter({"refused: cold": 1}), found)

    def test_page_holds_plots_and_text(self):
        """Guards against a page with an invalid SVG or unescaped text."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, "report.html")
            report.write_page(make_run_result(), path)
            page = path.read_text(encoding="utf-8")
            report.write_page(make_run_result(results=(), faults=()), path)
        self.assertIn("refused: &lt;cold&gt;: 2", page)
        svg = page[page.index("<svg") : page.index("</svg>") + len("</svg>")]
        self.assertTrue(ElementTree.fromstring(svg).tag.endswith("svg"))
