"""Encoding of messages as a kind frame and a msgpack body frame."""

from collections.abc import Sequence
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost.wire import messages
from apricotpost.wire import sidecar_messages
from apricotpost.wire import tasks

__all__ = ["KINDS", "Message", "decode", "encode"]

# Message type of each kind number. A number is never reused for another type.
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
for _number, _type in (*tasks.KINDS.items(), *sidecar_messages.KINDS.items()):
    KINDS[_number] = _type

Message = typing.Any

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS: dict[int, decoding.Decode] = {
    number: decoding.msgpack_decoder(
        f"message {message_type.__name__}", message_type
    )
    for number, message_type in KINDS.items()
}
_KIND_FRAMES = {
    message_type: bytes((number,)) for number, message_type in KINDS.items()
}


def encode(message: Message) -> list[bytes]:
    """Encode a message as frames.

    Parameters
    ----------
    message : data class
        Message of one of the types in `KINDS`.

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
    decode_body = _DECODERS.get(frames[0][0])
    if decode_body is None:
        raise errors.MalformedMessage(f"unknown message kind {frames[0][0]}")
    return decode_body(frames[1])
