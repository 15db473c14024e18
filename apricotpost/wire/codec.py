"""Encoding of messages as a kind frame and a msgpack body frame."""

from collections.abc import Sequence
import importlib
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors

__all__ = ["Message", "decode", "encode", "message_types"]

Message = typing.Any

# Modules of message types with the numbers of their kinds; a number is never
# reused for another type. A module is imported with the first of its messages:
# a process uses those of one program, and importing all takes a fifth of the
# time in which a node starts.
_MODULES = (
    (range(5, 6), "outcomes"),
    (range(1, 40), "messages"),
    (range(71, 73), "order_messages"),
    (range(60, 80), "sidecar_messages"),
    (range(100, 130), "tasks"),
)
_PACKAGE = "apricotpost.wire"

_ENCODER = msgspec.msgpack.Encoder()
_TYPES: dict[int, type] = {}
_DECODERS: dict[int, decoding.Decode] = {}
_KIND_FRAMES: dict[type, bytes] = {}


def message_types() -> dict[int, type]:
    """Return the message type of each kind number."""
    for _, name in _MODULES:
        _register(f"{_PACKAGE}.{name}")
    return dict(_TYPES)


def _register(module_name: str) -> None:
    """Make the decoders of a module's message types."""
    module = importlib.import_module(module_name)
    for number, message_type in module.KINDS.items():
        if number in _TYPES:
            continue
        _TYPES[number] = message_type
        _KIND_FRAMES[message_type] = bytes((number,))
        _DECODERS[number] = decoding.msgpack_decoder(
            f"message {message_type.__name__}", message_type
        )


def encode(message: Message) -> list[bytes]:
    """Encode a message as frames.

    Parameters
    ----------
    message : data class
        Message of one of the types in `message_types`.

    Returns
    -------
    list of bytes
        Kind frame and body frame.
    """
    message_type = type(message)
    kind_frame = _KIND_FRAMES.get(message_type)
    if kind_frame is None:
        _register(message_type.__module__)
        kind_frame = _KIND_FRAMES[message_type]
    return [kind_frame, _ENCODER.encode(message)]


def decode(frames: Sequence[bytes]) -> Message:
    """Decode the frames of one message.

    Parameters
    ----------
    frames : sequence of bytes
        Kind frame and body frame.

    Returns
    -------
    data class
        The decoded message.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The kind is unknown or the body does not match its type.
    """
    if len(frames) != 2 or len(frames[0]) != 1:
        raise errors.MalformedMessage(
            "message does not consist of a kind frame and a body frame"
        )
    number = frames[0][0]
    decode_body = _DECODERS.get(number)
    if decode_body is None:
        for numbers, name in _MODULES:
            if number in numbers:
                _register(f"{_PACKAGE}.{name}")
        decode_body = _DECODERS.get(number)
    if decode_body is None:
        raise errors.MalformedMessage(f"unknown message kind {number}")
    return decode_body(frames[1])
