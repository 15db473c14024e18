"""WSGI application that receives the backend server's announcements."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import threading
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost.node import addresses
from apricotpost.settings import schema
from apricotpost import wire

__all__ = ["PATH", "make_app"]

PATH = "/-/backend-server"
MAX_BODY_BYTES = 16 * 1024

Count = typing.Annotated[int, msgspec.Meta(ge=1, le=10_000)]


@dataclasses.dataclass(frozen=True, kw_only=True)
class _Announcement:
    service: schema.Name
    version: schema.Name
    address: schema.HostPort
    slots: Count
    connections: Count = 100
    cold: bool = True
    leaving: bool = False


_decode = decoding.json_decoder("announcement", _Announcement)


def make_app(
    context: wire.sockets.Context,
    fallback: Callable[..., Iterable[bytes]],
) -> Callable[..., Iterable[bytes]]:
    """Make an application that handles announcements.

    Parameters
    ----------
    context : zmq.Context
        ZeroMQ context of this process.
    fallback : callable
        WSGI application that serves all other paths.
    """
    local = threading.local()

    def app(
        environ: dict[str, typing.Any], start: Callable[..., typing.Any]
    ) -> Iterable[bytes]:
        if environ["PATH_INFO"] != PATH:
            return fallback(environ, start)
        if getattr(local, "sockets", None) is None:
            local.sockets = (
                wire.sockets.connect_dealer(context, addresses.GATE),
                wire.sockets.connect_dealer(context, addresses.CONTROL),
            )
        status, body = _handle_announcement(environ, local.sockets)
        start(status, [("Content-Length", str(len(body)))])
        return [body]

    return app


def _handle_announcement(
    environ: dict[str, typing.Any],
    sockets: tuple[wire.sockets.Socket, ...],
) -> tuple[str, bytes]:
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length > MAX_BODY_BYTES:
        return "413 Content Too Large", b""
    try:
        announcement = _decode(environ["wsgi.input"].read(length))
    except errors.MalformedMessage as error:
        return "400 Bad Request", error.message.encode()
    message = wire.BackendServerAnnounced(
        service=announcement.service,
        version=announcement.version,
        address=announcement.address,
        slots=announcement.slots,
        connections=announcement.connections,
        cold=announcement.cold,
        leaving=announcement.leaving,
    )
    for socket in sockets:
        wire.sockets.send(socket, message)
    return "200 OK", b"{}"
