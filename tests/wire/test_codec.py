"""Tests of the message codec."""

import unittest

from apricotpost import errors
from apricotpost import wire
from apricotpost.wire import codec

__all__ = ["CodecTest"]


class CodecTest(unittest.TestCase):
    def test_decoding_restores_the_message(self):
        """Guards against losing a field in encoding."""
        message = wire.Call(
            call="a.1",
            route="records",
            service="portal",
            version="v1",
            method="POST",
            target="/records?x=1",
            headers=(("Accept", "*/*"),),
            body=b"\x00body",
            deadline=12.5,
            idempotent=False,
            depth=3,
            retried=True,
            config_version=7,
        )
        self.assertEqual(message, wire.decode(wire.encode(message)))

    def test_unknown_kind_is_refused(self):
        """Guards against decoding a newer node's message as another type."""
        with self.assertRaises(errors.MalformedMessage):
            wire.decode([b"\xff", b"\x80"])

    def test_wrong_field_type_is_refused(self):
        """Guards against accepting a body that does not match its kind."""
        frames = wire.encode(wire.Cancel(call="a"))
        with self.assertRaises(errors.MalformedMessage):
            wire.decode([frames[0], b"\x81\xa4call\x01"])

    def test_truncated_body_is_refused(self):
        """Guards against accepting a truncated message."""
        frames = wire.encode(wire.Cancel(call="abcdef"))
        with self.assertRaises(errors.MalformedMessage):
            wire.decode([frames[0], frames[1][:-2]])

    def test_kind_numbers_are_unique(self):
        """Guards against two messages that share a kind number."""
        types = list(codec.message_types().values())
        self.assertEqual(len(types), len(set(types)))
