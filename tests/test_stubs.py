"""Tests that lazily imported packages export what their stubs list."""

import ast
import importlib
import pathlib
import unittest

import apricotpost

__all__ = ["StubTest"]

PACKAGE = pathlib.Path(apricotpost.__file__).parent


def stub_names(stub):
    return [
        alias.asname or alias.name
        for node in ast.walk(ast.parse(stub.read_text(encoding="utf-8")))
        if isinstance(node, ast.ImportFrom)
        for alias in node.names
    ]


class StubTest(unittest.TestCase):
    def test_every_name_of_a_stub_can_be_imported(self):
        """Guards against a name that only the type checker knows."""
        stubs = sorted(PACKAGE.glob("*/__init__.pyi"))
        self.assertTrue(stubs)
        for stub in stubs:
            package = importlib.import_module(
                f"apricotpost.{stub.parent.name}"
            )
            for name in stub_names(stub):
                self.assertTrue(hasattr(package, name), (package, name))
