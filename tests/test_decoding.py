"""Tests that no decoder of outside data lets malformed data end a task."""

import importlib
import pathlib
import pkgutil
import random
import re
import unittest

import hypothesis
from hypothesis import strategies
import msgspec

import apricotpost
from apricotpost import decoding
from apricotpost import errors
from apricotpost import wire

__all__ = ["DecoderTest", "DecoderTableTest"]

NESTING = 100_000
ODD_JSON = (
    b"",
    b"null",
    b"{",
    b"\xff\xfe",
    b'"\\ud800"',
    b"[" * NESTING + b"]" * NESTING,
    b'{"a":' * NESTING + b"1" + b"}" * NESTING,
    b"1" + b"0" * 5000,
    b"1e999",
    b'{"version":' + b"9" * 400 + b',"resources":[]}',
    b'{"version":1,"resources":' + b"[" * NESTING + b"]" * NESTING + b"}",
    b'{"version":1,"x":' + b"[" * NESTING + b"]" * NESTING + b"}",
)
ODD_MSGPACK = (
    b"",
    b"\xc1",
    b"\x91" * NESTING + b"\x01",
    b"\xdd\xff\xff\xff\xff",
    b"\xa2\xff\xfe",
    b"\xcb\x7f\xf8" + b"\x00" * 6,
)
FUZZED = hypothesis.settings(derandomize=True, deadline=None)

PACKAGE = pathlib.Path(apricotpost.__file__).parent
# Calls of msgspec that decode; only `apricotpost.decoding` may use them.
DIRECT_CALL = re.compile(
    r"msgspec\.(json|msgpack)\.(decode|Decoder)\(|json\.loads\(|b64decode\("
)
# Reads the settings, whose faults end the program with a list on purpose, and
# values that the signed table protocol limits to numbers, bytes and texts.
EXEMPT = ("decoding.py", "storage/items.py", "settings/loader.py")


def import_package():
    for module in pkgutil.walk_packages([str(PACKAGE)], "apricotpost."):
        if not module.name.endswith(".main"):
            importlib.import_module(module.name)
    wire.codec.message_types()


def try_decode(decode, body):
    try:
        return decode(body)
    except errors.MalformedMessage:
        return None


class DecoderTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        import_package()

    def test_odd_data_raises_malformed_message_only(self):
        """Guards against a reader that ends with one odd entry.

        Deep nesting raised RecursionError, which ended the task that read the
        row; its process stopped, was started again and read the same row.
        """
        for subject, decode in decoding.DECODERS.items():
            for body in (*ODD_JSON, *ODD_MSGPACK):
                with self.subTest(decoder=subject, body=body[:20]):
                    try_decode(decode, body)

    @FUZZED
    @hypothesis.given(strategies.binary(max_size=60))
    def test_random_bytes_raise_malformed_message_only(self, body):
        """Guards against other errors than those of the table of odd data."""
        for decode in decoding.DECODERS.values():
            try_decode(decode, body)

    def test_decoded_messages_can_be_encoded(self):
        """Guards against numbers that decode but cannot be sent on.

        A start time near 2**64 was raised by one to supersede it, which no
        MessagePack integer holds; encoding the own state then ended the task.
        """
        rng = random.Random(7)
        leaves = (2**64 - 1, -(2**63), 2**53, 0.5, float("nan"), "x", b"x", 1)
        for number, kind in wire.codec.message_types().items():
            fields = len(msgspec.inspect.type_info(kind).fields)
            for _ in range(40):
                body = msgspec.msgpack.encode(
                    [rng.choice(leaves) for _ in range(fields)]
                )
                decode = decoding.DECODERS[f"message {kind.__name__}"]
                message = try_decode(decode, body)
                if message is not None:
                    wire.encode(message)

    def test_numbers_and_ports_out_of_range_are_refused(self):
        """Guards against a port or number that only fails when it is used.

        ZeroMQ refused to connect to port 99999; the error ended the task that
        follows the nodes.
        """
        row = b'{"address":"127.0.0.1:%s","data_centre":"dc-a"}'
        decode = decoding.DECODERS["row of a node"]
        for port in (b"0", b"65536", b"99999", b"-1", b"port", b""):
            with self.assertRaises(errors.MalformedMessage):
                decode(row % port)
        for port in (b"1", b"9", b"1024", b"59999", b"65535"):
            self.assertIsNotNone(decode(row % port))


class DecoderTableTest(unittest.TestCase):
    def test_package_decodes_through_the_table_only(self):
        """Guards against a new decoder that the tests above do not reach."""
        direct = [
            str(path.relative_to(PACKAGE))
            for path in sorted(PACKAGE.rglob("*.py"))
            if str(path.relative_to(PACKAGE)) not in EXEMPT
            and DIRECT_CALL.search(path.read_text(encoding="utf-8"))
        ]
        self.assertEqual([], direct)

    def test_decoders_have_their_own_names(self):
        """Guards against a decoder that replaces another one in the table."""
        decoding.json_decoder("test of names", int)
        self.addCleanup(decoding.DECODERS.pop, "test of names")
        with self.assertRaises(ValueError):
            decoding.json_decoder("test of names", int)
