"""Tests of the summary of a request, also with the logs of real nodes."""

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

__all__ = ["ExplainTest", "PlayedFailureTest"]


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
        """Guards against a cause that stands in the log of another node."""
        entry = self.write(
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
        summary = self.summarize("q", entry, gate, other)
        self.assertEqual(3, len(summary))
        for text, line in zip(
            ("started", "is lost", "reason=node-lost"), summary, strict=True
        ):
            self.assertIn(text, line)

    def test_unknown_request_and_unreadable_file(self):
        """Guards against an empty summary that looks like an answer."""
        path = self.write("n0", make_line(1.0, 601, "failed", request="q"))
        for arguments in (
            ["explain", "other", str(path)],
            ["explain", "q", str(self.folder / "missing.log")],
        ):
            text = io.StringIO()
            with contextlib.redirect_stderr(text):
                self.assertEqual(2, main.main(arguments))
            self.assertTrue(text.getvalue())


class PlayedFailureTest(unittest.IsolatedAsyncioTestCase):
    async def test_lost_answer_is_explained_from_its_id(self):
        """Guards against a failure whose logs do not tell its cause."""
        with tempfile.TemporaryDirectory() as folder:
            world = mesh.Mesh(folder=pathlib.Path(folder))
            self.addAsyncCleanup(world.close)
            routes = [
                {
                    "prefix": "/reports/",
                    "service": "fieldbook",
                    "type": "unsafe",
                }
            ]
            await world.start(
                ("dc-a", "dc-a"),
                services=("portal", "fieldbook"),
                routes=routes,
            )
            world.nodes[1].backend.mode = "reset"
            result = await world.caller.call(
                world.nodes[0].ports.callers, "/reports/1", method=b"POST"
            )
            self.assertEqual(502, result.response.status)
            await asyncio.sleep(0.5)
            request = f"q{world.caller.sent}"
            text = io.StringIO()
            with contextlib.redirect_stdout(text):
                code = main.main(
                    ["explain", request, *(str(n.log) for n in world.nodes)]
                )
        self.assertEqual(0, code)
        summary = text.getvalue()
        self.assertIn("n0", summary)
        self.assertIn("connection-lost", summary)
        self.assertIn("n1", summary)
