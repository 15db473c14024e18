"""Client of the object store, which implements the S3 REST protocol."""

import dataclasses

import xxhash

from apricotpost import errors
from apricotpost.storage import http

__all__ = ["ObjectStore", "get_object", "put_object"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ObjectStore:
    """A bucket and the channel for requests to it."""

    channel: http.Channel
    url: str
    bucket: str


def put_object(store: ObjectStore, body: bytes, *, prefix: str = "") -> str:
    """Store a body under its hash, which makes a retry harmless.

    Parameters
    ----------
    store : ObjectStore
        Object store to write to.
    body : bytes
        Content of the object.
    prefix : str
        Prefix of the name, to which an expiry rule of the bucket can apply.

    Returns
    -------
    str
        Name of the object: the prefix and the hash.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The object was not stored.
    apricotpost.errors.PlatformOutcomeUnknown
        The object may have been stored.
    """
    name = prefix + xxhash.xxh128_hexdigest(body)
    response = http.request(
        store.channel,
        service="s3",
        method="PUT",
        url=_url(store, name),
        headers={"Content-Type": "application/octet-stream"},
        body=body,
    )
    if response.status not in (200, 201, 204):
        raise errors.PlatformUnavailable(
            f"object {name} was not stored: status {response.status}"
        )
    return name


def get_object(store: ObjectStore, name: str) -> bytes:
    """Read an object and verify its content with the hash in its name.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The object store did not respond or refused the request.
    apricotpost.errors.PlatformDataDamaged
        The object is missing, or its content does not match its name.
    """
    try:
        response = http.request(
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
    if response.status == 404:
        raise errors.PlatformDataDamaged(f"object {name} is missing")
    if response.status != 200:
        raise errors.PlatformUnavailable(
            f"object {name} could not be read: status {response.status}"
        )
    if xxhash.xxh128_hexdigest(response.body) != name.rpartition("/")[2]:
        raise errors.PlatformDataDamaged(
            f"object {name} is damaged: its content does not match the hash "
            "in its name"
        )
    return response.body


def _url(store: ObjectStore, name: str) -> str:
    return f"{store.url}/{store.bucket}/{name}"
