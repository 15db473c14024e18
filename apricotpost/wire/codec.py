"""Encoding of messages: a kind frame and a msgpack frame."""

from collections.abc import Sequence
import typing

import msgspec

from apricotpost import errors
from apricotpost.wire import carriage
from apricotpost.wire import messages
from apricotpost.wire import tasks

__all__ = ["KINDS", "Message", "decode", "encode"]

# A kind number is never reused for another message.
KINDS: dict[int, type] = {
    1: messages.Call,
    2: messages.Answer,
    3: messages.NotRun,
    4: messages.OutcomeUnknown,
    5: messages.Cancel,
    10: messages.ConfigDigest,
    11: messages.ConfigRequest,
    12: messages.ConfigDelta,
    13: messages.ConfigSnapshot,
    14: messages.ConfigRefused,
    20: messages.Ping,
    21: messages.Ack,
    22: messages.PingRequest,
    23: messages.MembersRequest,
    24: messages.Members,
    25: messages.Join,
    26: messages.Welcome,
    30: messages.EvidenceReport,
    31: messages.WithdrawalNotice,
}
for _number, _type in (*tasks.KINDS.items(), *carriage.KINDS.items()):
    KINDS[_number] = _type

Message = typing.Any

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[int, msgspec.msgpack.Decoder[typing.Any]] = {
    n: msgspec.msgpack.Decoder(t) for n, t in KINDS.items()
}
_KIND_FRAMES = {t: bytes((n,)) for n, t in KINDS.items()}


def encode(message: Message) -> list[bytes]:
    """Encode a message to its frames.

    Parameters
    ----------
    message : data class
        One of the types in `KINDS`.

    Returns
    -------
    list of bytes
        Kind frame and body frame.
    """
    return [_KIND_FRAMES[type(message)], _ENCODER.encode(message)]


def decode(frames: Sequence[bytes]) -> Message:
    """Decode the frames of one message.

    Parameters
    ----------
    frames : sequence of bytes
        Kind frame and body frame.

    Returns
    -------
    data class
        The message.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The kind is unknown or the body does not have its type.
    """
    if len(frames) != 2 or len(frames[0]) != 1:
        raise errors.MalformedMessage("expected a kind frame and a body")
    decoder = _DECODERS.get(frames[0][0])
    if decoder is None:
        raise errors.MalformedMessage(f"unknown kind {frames[0][0]}")
    try:
        return decoder.decode(frames[1])
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.MalformedMessage(str(error)) from error
