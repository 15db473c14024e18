"""Decoding of heartbeats and deregistrations of backend servers."""

import dataclasses
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import http
from apricotpost import model

__all__ = ["Deregistration", "parse_announcement", "parse_heartbeat"]

_HEARTBEAT_PATH = b"/v1/Instances.Heartbeat/"
_DEREGISTRATION_PATH = b"/v1/Instances.Deregister/"
# A larger number of slots is an error of the sender; memory and time of the
# admission control grow with the requests that run.
MAX_SLOTS = 100_000

Slots = typing.Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]


class _Heartbeat(msgspec.Struct, frozen=True):
    service: decoding.Name
    address: decoding.HostPort
    # Data centre.
    zone: decoding.Name
    version: decoding.Name
    # Requests that the backend server processes at the same time.
    slots: Slots
    state: typing.Literal["ready", "draining"]
    # Number of the heartbeat since the start.
    seq: decoding.Integer
    cold_remaining_ms: decoding.Integer = 0
    # Start time in Unix milliseconds; absent on platforms that never reuse
    # an instance identifier.
    born: decoding.Integer = 0


class _DeregistrationBody(msgspec.Struct, frozen=True):
    # Start time in Unix milliseconds; absent as in a heartbeat.
    born: decoding.Integer = 0


_decode_heartbeat = decoding.json_decoder("heartbeat", _Heartbeat)
_decode_deregistration = decoding.json_decoder(
    "deregistration", _DeregistrationBody
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Deregistration:
    """Notice that a backend server is shutting down.

    Parameters
    ----------
    backend : str
        Identifier of the backend server.
    started_at_ms : int
        Start time in Unix milliseconds; 0 if not stated.
    """

    backend: str
    started_at_ms: int


def parse_announcement(
    request: http.Request,
) -> model.Heartbeat | Deregistration | None:
    """Decode a heartbeat or deregistration of a backend server.

    Returns
    -------
    model.Heartbeat or Deregistration or None
        None if the request is neither of these calls.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        The body cannot be decoded or has an invalid field.
    """
    path = request.target.split(b"?", 1)[0]
    if request.method != b"POST":
        return None
    if path.startswith(_HEARTBEAT_PATH):
        backend = path[len(_HEARTBEAT_PATH) :].decode("latin-1")
        return parse_heartbeat(backend, request.body)
    if path.startswith(_DEREGISTRATION_PATH):
        backend = path[len(_DEREGISTRATION_PATH) :].decode("latin-1")
        return Deregistration(
            backend=backend, started_at_ms=_read_started_at_ms(request.body)
        )
    return None


def parse_heartbeat(backend: str, body: http.Body) -> model.Heartbeat:
    """Decode the body of a heartbeat.

    Raises
    ------
    apricotpost.errors.MalformedMessage
        A field is missing, has the wrong type or is out of range.
    """
    heartbeat = _decode_heartbeat(body)
    if not 0 < len(backend) <= decoding.MAX_NAME_CHARACTERS:
        raise errors.MalformedMessage(
            "heartbeat has no identifier of 1 to "
            f"{decoding.MAX_NAME_CHARACTERS} characters"
        )
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


def _read_started_at_ms(body: http.Body) -> int:
    if not bytes(body).strip():
        return 0
    born: int = _decode_deregistration(body).born
    return born
