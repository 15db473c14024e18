"""Decoding of data that comes from outside the process.

Every decoder of the package is made here. A decoder either returns a value of
its type or raises `apricotpost.errors.MalformedMessage`: entries of other
writers may be nested deeply, hold numbers that no type can represent or be no
JSON at all, and none of these may end a task.
"""

import base64
from collections.abc import Callable
import typing

import msgspec

from apricotpost import errors

__all__ = [
    "Count",
    "DECODERS",
    "Finite",
    "HostPort",
    "Integer",
    "Name",
    "convert",
    "decode_base64",
    "decode_json",
    "json_decoder",
    "msgpack_decoder",
]

# Longest name of a service, version, instance or data centre; keys of the
# store have the same limit.
MAX_NAME_CHARACTERS = 200
# Integers up to this magnitude can be encoded as MessagePack and converted to
# a float without loss.
MAX_INTEGER = 2**53
# Largest magnitude of a time in milliseconds or of a rate. The limits exclude
# NaN and infinity as well, which would spoil every mean that they enter.
MAX_FLOAT = 1e15
# Ports 1 to 65535.
_PORT_PATTERN = (
    "([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    "|655[0-2][0-9]|6553[0-5])"
)
MAX_ADDRESS_CHARACTERS = 60
# Characters of an error's text that go into a message or a log line.
MAX_ERROR_CHARACTERS = 300

Name = typing.Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]
Integer = typing.Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
# Address as IP:PORT.
HostPort = typing.Annotated[
    str,
    msgspec.Meta(
        pattern=rf"^[0-9a-fA-F.:\[\]]+:{_PORT_PATTERN}$",
        max_length=MAX_ADDRESS_CHARACTERS,
    ),
]
Finite = typing.Annotated[float, msgspec.Meta(ge=-MAX_FLOAT, le=MAX_FLOAT)]

# Large bodies stay in the buffer that they were received in.
Buffer = bytes | bytearray | memoryview
Decode = Callable[[Buffer], typing.Any]

# Decoders by what they decode; tests feed malformed data to each of them.
DECODERS: dict[str, Decode] = {}

# What a decoder raises for malformed data. msgspec reports nesting beyond the
# interpreter's recursion limit as RecursionError.
_FAILURES = (
    msgspec.DecodeError,
    RecursionError,
    UnicodeDecodeError,
    OverflowError,
)


def json_decoder(subject: str, kind: typing.Any) -> Decode:
    """Return a function that decodes JSON into a type.

    Parameters
    ----------
    subject : str
        What the function decodes, for error messages; unique in the process.
    kind : type
        Type of the decoded values.

    Raises
    ------
    ValueError
        There is already a decoder for the subject.
    """
    return _register(subject, msgspec.json.Decoder(kind).decode)


def msgpack_decoder(subject: str, kind: typing.Any) -> Decode:
    """Return a function that decodes MessagePack into a type.

    Parameters and errors are those of `json_decoder`.
    """
    return _register(subject, msgspec.msgpack.Decoder(kind).decode)


def decode_json(subject: str, body: bytes | str) -> typing.Any:
    """Return the plain objects that JSON text stands for.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The text is not JSON.
    """
    return _guard(subject, lambda: msgspec.json.decode(body))


def convert(subject: str, value: typing.Any, kind: typing.Any) -> typing.Any:
    """Return plain objects as a value of a type.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The objects do not match the type.
    """
    return _guard(subject, lambda: msgspec.convert(value, kind))


def decode_base64(subject: str, text: str) -> bytes:
    """Return the bytes that base64 text stands for.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The text is not base64.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as error:
        raise _malformed(subject, error) from error


def _register(subject: str, decode: Decode) -> Decode:
    if subject in DECODERS:
        raise ValueError(f"there is already a decoder for {subject}")

    def decode_guarded(body: Buffer) -> typing.Any:
        try:
            return decode(body)
        except _FAILURES as error:
            raise _malformed(subject, error) from error

    DECODERS[subject] = decode_guarded
    return decode_guarded


def _guard(subject: str, call: Callable[[], typing.Any]) -> typing.Any:
    try:
        return call()
    except _FAILURES as error:
        raise _malformed(subject, error) from error


def _malformed(subject: str, error: Exception) -> errors.MalformedMessage:
    text = str(error)[:MAX_ERROR_CHARACTERS]
    return errors.MalformedMessage(f"{subject} cannot be decoded: {text}")
