"""Client of the object store, which speaks the S3 REST protocol."""

import dataclasses

import xxhash

from apricotpost import errors
from apricotpost.storage import http

__all__ = ["ObjectStore", "get_object", "put_object"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectStore:
    """A bucket and the channel to it."""

    channel: http.Channel
    url: str
    bucket: str


def put_object(store: ObjectStore, body: bytes, *, prefix: str = "") -> str:
    """Store a body under its hash, which makes a repeat harmless.

    Parameters
    ----------
    store : ObjectStore
        Where to write.
    body : bytes
        What to write.
    prefix : str
        Start of the name, for a rule of the bucket on its expiry.

    Returns
    -------
    str
        The object's name.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        It was not stored.
    apricotpost.errors.PlatformOutcomeUnknown
        It may have been stored.
    """
    name = prefix + xxhash.xxh128_hexdigest(body)
    reply = http.request(
        store.channel,
        service="s3",
        method="PUT",
        url=_url(store, name),
        headers={"Content-Type": "application/octet-stream"},
        body=body,
    )
    if reply.status not in (200, 201, 204):
        raise errors.PlatformUnavailable(
            f"object {name} was not stored: status {reply.status}"
        )
    return name


def get_object(store: ObjectStore, name: str) -> bytes:
    """Read an object and check it against its name.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The object store did not answer or refused.
    apricotpost.errors.PlatformDataDamaged
        The object is missing or is not the one that was stored.
    """
    try:
        reply = http.request(
            store.channel,
            service="s3",
            method="GET",
            url=_url(store, name),
            headers={},
        )
    except errors.PlatformOutcomeUnknown as error:
        raise errors.PlatformUnavailable(
            f"object {name} could not be read: {error.message}"
        ) from error
    if reply.status == 404:
        raise errors.PlatformDataDamaged(f"object {name} is missing")
    if reply.status != 200:
        raise errors.PlatformUnavailable(
            f"object {name} could not be read: status {reply.status}"
        )
    if xxhash.xxh128_hexdigest(reply.body) != name.rpartition("/")[2]:
        raise errors.PlatformDataDamaged(f"object {name} is damaged")
    return reply.body


def _url(store: ObjectStore, name: str) -> str:
    return f"{store.url}/{store.bucket}/{name}"
