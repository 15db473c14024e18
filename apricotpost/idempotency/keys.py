"""Idempotency keys and hashes of requests."""

from collections.abc import Iterable
import dataclasses
import hashlib
import re

__all__ = [
    "Claim",
    "KEY_HEADER",
    "MAX_KEY_CHARACTERS",
    "REPLAYED_HEADER",
    "fingerprint",
    "parse_key",
]

KEY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "X-Apricotpost-Replayed"
# The table allows sort keys of up to 1024 bytes; callers usually send UUIDs.
MAX_KEY_CHARACTERS = 128
# Comma and space are excluded, so that a header that was sent twice and joined
# is not taken for one key.
_KEY = re.compile(r"[A-Za-z0-9._~:+/=@-]{1,%d}" % MAX_KEY_CHARACTERS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """Call that asks for a key.

    Parameters
    ----------
    route, key : str
        Route of the call and its key, which is unique within the route.
    fingerprint : str
        Hash of the request.
    attempt : str
        Unique identifier of this call, in the record of its key.
    started_at, deadline : float
        Start and deadline of the call, Unix time in seconds.
    """

    route: str
    key: str
    fingerprint: str
    attempt: str
    started_at: float
    deadline: float


def parse_key(text: str) -> str | None:
    """Return the key in a header's value, or None if it is invalid.

    The key may be in double quotes, as a string of an HTTP structured field.
    """
    text = text.strip(" \t")
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    return text if _KEY.fullmatch(text) else None


def fingerprint(*, method: str, target: str, body: bytes) -> str:
    """Return a hash that differs between different requests."""
    return _hash_parts((method.encode(), target.encode(), body))


def _hash_parts(parts: Iterable[bytes]) -> str:
    digest = hashlib.sha256()
    for part in parts:
        # With the length in front, moving bytes from one part to the next
        # changes the hash.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
