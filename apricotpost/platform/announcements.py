"""Calls with which backend servers announce themselves."""

import dataclasses
import typing

import msgspec

from apricotpost import errors
from apricotpost import http
from apricotpost import model

__all__ = ["Deregistration", "parse_announcement", "parse_heartbeat"]

_HEARTBEAT_PATH = b"/v1/Instances.Heartbeat/"
_LEAVE_PATH = b"/v1/Instances.Deregister/"


class _Heartbeat(msgspec.Struct, frozen=True):
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


_HEARTBEAT = msgspec.json.Decoder(_Heartbeat)
_LEAVE = msgspec.json.Decoder(_Leave)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deregistration:
    """A backend server says that it is going."""

    backend: str
    started_at_ms: int


def parse_announcement(
    request: http.Request,
) -> model.Heartbeat | Deregistration | None:
    """Decode a call of a backend server.

    Returns
    -------
    model.Heartbeat or Deregistration or None
        None if the path is none of these calls.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The body does not have the expected form.
    """
    path = request.target.split(b"?", 1)[0]
    if request.method != b"POST":
        return None
    if path.startswith(_HEARTBEAT_PATH):
        backend = path[len(_HEARTBEAT_PATH) :].decode("latin-1")
        return parse_heartbeat(backend, request.body)
    if path.startswith(_LEAVE_PATH):
        backend = path[len(_LEAVE_PATH) :].decode("latin-1")
        return Deregistration(
            backend=backend, started_at_ms=_read_started_at_ms(request.body)
        )
    return None


def parse_heartbeat(backend: str, body: bytes) -> model.Heartbeat:
    """Decode the body of a heartbeat.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        A field is missing or has another type.
    """
    try:
        heartbeat = _HEARTBEAT.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedMessage(
            f"heartbeat of {backend} cannot be decoded: {error}"
        ) from error
    if not backend or heartbeat.slots < 1:
        raise errors.MalformedMessage(f"heartbeat of {backend!r} has no slots")
    return model.Heartbeat(
        backend=backend,
        started_at_ms=heartbeat.born,
        sequence=heartbeat.seq,
        service=heartbeat.service,
        version=heartbeat.version,
        data_centre=heartbeat.zone,
        address=heartbeat.address,
        slots=heartbeat.slots,
        state=model.BackendState(heartbeat.state),
        cold_ms=max(heartbeat.cold_remaining_ms, 0),
    )


def _read_started_at_ms(body: bytes) -> int:
    if not body.strip():
        return 0
    try:
        return _LEAVE.decode(body).born
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise errors.MalformedMessage(
            f"deregistration cannot be decoded: {error}"
        ) from error
