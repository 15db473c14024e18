"""Keys of tenants: headers that carry them, and their digests.

A key has no other form than its digest outside the request that carries it.
"""

import hashlib
import typing

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import http

__all__ = [
    "CREDENTIAL_HEADERS",
    "HexDigest",
    "carries_key",
    "digest_key",
    "hide_keys",
    "is_encoded",
    "is_tenant",
    "read_key_digest",
]

# Digest of a key in hexadecimal digits.
HexDigest = typing.Annotated[str, msgspec.Meta(pattern="^[0-9a-f]{64}$")]

# Headers that a client's request loses if the configuration has tenants.
_AUTHORIZATION = b"authorization"
_TENANT = b"x-tenant"
CREDENTIAL_HEADERS = (_AUTHORIZATION, _TENANT)
_SCHEME = b"bearer"
_TENANTS = "tenants"


class _Kind(msgspec.Struct, frozen=True):
    resource_type: typing.Any = None


class _KeyedSpec(msgspec.Struct, frozen=True):
    api_keys: tuple[str, ...]
    priority: msgspec.Raw = msgspec.Raw(b"null")


class _KeyedResource(msgspec.Struct, frozen=True):
    spec: _KeyedSpec
    metadata: msgspec.Raw = msgspec.Raw(b"{}")


_decode_fields = decoding.json_decoder(
    "fields of a configuration", dict[str, msgspec.Raw]
)
_decode_resources = decoding.json_decoder(
    "resources of a configuration", tuple[msgspec.Raw, ...]
)
_decode_kind = decoding.json_decoder("kind of a resource", _Kind)
_decode_keyed = decoding.json_decoder("tenant with keys", _KeyedResource)


def digest_key(key: bytes) -> bytes:
    """Return the digest of a key.

    A look-up by digest takes a time that tells nothing about the keys.
    """
    return hashlib.sha256(key).digest()


def read_key_digest(headers: http.Headers) -> bytes | None:
    """Return the digest of the key in a client's request, if there is one.

    There is none if the Authorization header is missing, repeated or
    malformed, or has another scheme (RFC 6750, section 2.1).
    """
    values = [v for k, v in headers if k.lower() == _AUTHORIZATION]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip(b" ")
    if scheme.lower() != _SCHEME or not key:
        return None
    return digest_key(key)


def carries_key(headers: http.Headers) -> bool:
    """Return whether a request has a key, perhaps a malformed one."""
    return http.find_header(headers, _AUTHORIZATION) is not None


def is_tenant(resource: bytes) -> bool:
    """Return whether an encoded resource is a tenant, malformed or not."""
    if not _may_have_tenants(resource):
        return False
    try:
        kind: _Kind = _decode_kind(resource)
    except errors.MalformedMessage:
        # Not a JSON object.
        return False
    return bool(kind.resource_type == _TENANTS)


def hide_keys(value: bytes) -> bytes:
    """Return a configuration with digests in place of the keys.

    The result depends on the configuration alone, so that all nodes hold the
    same bytes and can patch them. A configuration without tenants is returned
    as it is. A malformed tenant stays one, without its content; what is no
    configuration at all becomes empty if it could contain keys.
    """
    if not _may_have_tenants(value):
        return value
    try:
        fields = _decode_fields(value)
        resources = _decode_resources(bytes(fields.get("resources", b"")))
        hidden = tuple(map(_hide_resource, resources))
    except errors.MalformedMessage:
        return b""
    if hidden == resources:
        return value
    return msgspec.json.encode({**fields, "resources": hidden})


def is_encoded(value: bytes) -> bool:
    """Return whether a value is a JSON object."""
    try:
        _decode_fields(value)
    except errors.MalformedMessage:
        return False
    return True


def _may_have_tenants(encoded: bytes) -> bool:
    # The type may be written with escapes.
    return _TENANTS.encode() in encoded or b"\\u" in encoded


def _hide_resource(encoded: msgspec.Raw) -> msgspec.Raw:
    resource = bytes(encoded)
    if not is_tenant(resource):
        return encoded
    spec: dict[str, typing.Any] = {}
    metadata = msgspec.Raw(b"{}")
    try:
        keyed: _KeyedResource = _decode_keyed(resource)
        metadata = keyed.metadata
        spec["priority"] = keyed.spec.priority
        spec["api_key_digests"] = [
            digest_key(key.encode()).hex()
            for key in keyed.spec.api_keys
            if key
        ]
    except errors.MalformedMessage:
        metadata = _read_metadata(resource)
    return msgspec.Raw(
        msgspec.json.encode(
            {"resource_type": _TENANTS, "metadata": metadata, "spec": spec}
        )
    )


def _read_metadata(resource: bytes) -> msgspec.Raw:
    fields = _decode_fields(resource)
    metadata: msgspec.Raw = fields.get("metadata", msgspec.Raw(b"{}"))
    return metadata
