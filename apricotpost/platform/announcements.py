"""Calls with which backend servers announce themselves."""

import dataclasses
import typing

import msgspec

from apricotpost import errors
from apricotpost import http
from apricotpost import model

__all__ = ["Withdrawal", "parse_announcement", "parse_beat"]

_BEAT_PATH = b"/v1/Instances.Heartbeat/"
_LEAVE_PATH = b"/v1/Instances.Deregister/"


class _Beat(msgspec.Struct, frozen=True):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: typing.Literal["ready", "draining"]
    seq: int
    cold_remaining_ms: int = 0
    # Unix milliseconds of the start; absent on platforms where an
    # identifier is never used again.
    born: int = 0


class _Leave(msgspec.Struct, frozen=True):
    born: int = 0


_BEAT = msgspec.json.Decoder(_Beat)
_LEAVE = msgspec.json.Decoder(_Leave)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Withdrawal:
    """A backend server says that it is going."""

    backend: str
    born: int


def parse_announcement(
    request: http.Request,
) -> model.BackendBeat | Withdrawal | None:
    """Decode a call of a backend server.

    Returns
    -------
    model.BackendBeat or Withdrawal or None
        None if the path is none of these calls.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The body does not have the expected form.
    """
    path = request.target.split(b"?", 1)[0]
    if request.method != b"POST":
        return None
    if path.startswith(_BEAT_PATH):
        backend = path[len(_BEAT_PATH) :].decode("latin-1")
        return parse_beat(backend, request.body)
    if path.startswith(_LEAVE_PATH):
        backend = path[len(_LEAVE_PATH) :].decode("latin-1")
        return Withdrawal(backend=backend, born=_read_born(request.body))
    return None


def parse_beat(backend: str, body: bytes) -> model.BackendBeat:
    """Decode the body of a heartbeat.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        A field is missing or has another type.
    """
    try:
        beat = _BEAT.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedMessage(
            f"heartbeat of {backend} cannot be decoded: {error}"
        ) from error
    if not backend or beat.slots < 1:
        raise errors.MalformedMessage(f"heartbeat of {backend!r} has no slots")
    return model.BackendBeat(
        backend=backend,
        born=beat.born,
        sequence=beat.seq,
        service=beat.service,
        version=beat.version,
        data_centre=beat.zone,
        address=beat.address,
        slots=beat.slots,
        state=model.BackendState(beat.state),
        cold_ms=max(beat.cold_remaining_ms, 0),
    )


def _read_born(body: bytes) -> int:
    if not body.strip():
        return 0
    try:
        return _LEAVE.decode(body).born
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedMessage(
            f"deregistration cannot be decoded: {error}"
        ) from error
