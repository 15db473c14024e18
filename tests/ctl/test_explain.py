"""Tests of the summary of a request, also with logs of real nodes."""

import asyncio
import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from apricotpost.ctl import explain
from apricotpost.ctl import main
from standins import mesh

__all__ = ["ExplainTest", "RealNodeFailureTest"]


def make_line(time, event, message, **fields):
    record = {"time": time, "event": event, "message": message, **fields}
    return json.dumps(record)


class ExplainTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, *lines):
        path = self.folder / f"{name}.log"
        path.write_text("\n".join(lines) + "\n", encoding="utf-8")
        return path

    def summarize(self, request, *paths):
        return explain.summarize_request(
            explain.read_logs(paths), request, seconds=5.0
        )

    def test_lines_of_the_nodes_that_took_part_are_joined(self):
        """Guards against a summary without the cause of a failure.

        The cause may be in the log of another node than the caller's.
        """
        dispatcher = self.write(
            "n0",
            make_line(
                103.0,
                601,
                "failed",
                request="q",
                node="n1",
                reason="node-lost",
            ),
            make_line(102.0, 720, "connection to node n1 is lost"),
            make_line(90.0, 720, "long before"),
            make_line(102.5, 601, "another", request="p"),
        )
        gate = self.write("n1", make_line(101.0, 700, "started"), "Traceback")
        other = self.write("n2", make_line(101.5, 720, "not involved"))
        summary = self.summarize("q", dispatcher, gate, other)
        self.assertEqual(3, len(summary))
        for text, line in zip(
            ("started", "is lost", "reason=node-lost"), summary, strict=True
        ):
            self.assertIn(text, line)

    def test_unknown_request_and_unreadable_file(self):
        """Guards against an empty summary with exit code 0."""
        path = self.write("n0", make_line(1.0, 601, "failed", request="q"))
        for arguments in (
            ["explain", "other", str(path)],
            ["explain", "q", str(self.folder / "missing.log")],
        ):
            text = io.StringIO()
            with contextlib.redirect_stderr(text):
                self.assertEqual(2, main.main(arguments))
            self.assertTrue(text.getvalue())


class RealNodeFailureTest(unittest.IsolatedAsyncioTestCase):
    async def test_lost_answer_is_explained_from_its_id(self):
        """Guards against a failure whose cause is not in the logs.

        The backend server resets the connection of an unsafe request.
        """
        with tempfile.TemporaryDirectory() as folder:
            test_mesh = mesh.Mesh(folder=pathlib.Path(folder))
            self.addAsyncCleanup(test_mesh.close)
            routes = [
                {
                    "prefix": "/reports/",
                    "service": "fieldbook",
                    "type": "unsafe",
                }
            ]
            await test_mesh.start(
                ("dc-a", "dc-a"),
                services=("portal", "fieldbook"),
                routes=routes,
            )
            test_mesh.nodes[1].backend.fault_mode = "reset"
            result = await test_mesh.caller.call(
                test_mesh.nodes[0].ports.callers, "/reports/1", method=b"POST"
            )
            self.assertEqual(502, result.response.status)
            await asyncio.sleep(0.5)
            request = f"q{test_mesh.caller.sent_count}"
            text = io.StringIO()
            with contextlib.redirect_stdout(text):
                code = main.main(
                    [
                        "explain",
                        request,
                        *(str(n.log_path) for n in test_mesh.nodes),
                    ]
                )
        self.assertEqual(0, code)
        summary = text.getvalue()
        self.assertIn("n0", summary)
        self.assertIn("connection-lost", summary)
        self.assertIn("n1", summary)
