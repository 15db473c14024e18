"""Client of the object store, which speaks the S3 REST protocol."""

import dataclasses

import xxhash

from apricotpost import errors
from apricotpost.platform import http

__all__ = ["ObjectStore", "get_object", "put_object"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectStore:
    """A bucket and the channel to it."""

    channel: http.Channel
    url: str
    bucket: str


def put_object(store: ObjectStore, body: bytes) -> str:
    """Store a body under its hash, which makes a repeat harmless.

    Returns
    -------
    str
        The object's name.

    Raises
    ------
    apricotpost.errors.PlatformError
        It may not have been stored.
    """
    name = xxhash.xxh128_hexdigest(body)
    reply = http.request(
        store.channel,
        method="PUT",
        url=_url(store, name),
        headers={"Content-Type": "application/octet-stream"},
        body=body,
    )
    if reply.status not in (200, 201, 204):
        raise errors.PlatformUnavailable(
            f"object store refused a write: status {reply.status}"
        )
    return name


def get_object(store: ObjectStore, name: str) -> bytes:
    """Read an object and check it against its name.

    Raises
    ------
    apricotpost.errors.PlatformError
        It is missing, damaged or not reachable.
    """
    reply = http.request(
        store.channel, method="GET", url=_url(store, name), headers={}
    )
    if reply.status != 200:
        raise errors.PlatformUnavailable(
            f"object {name}: status {reply.status}"
        )
    if xxhash.xxh128_hexdigest(reply.body) != name:
        raise errors.PlatformUnavailable(f"object {name} is damaged")
    return reply.body


def _url(store: ObjectStore, name: str) -> str:
    return f"{store.url}/{store.bucket}/{name}"
