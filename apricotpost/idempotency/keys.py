"""Keys of callers and the identity of a request."""

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
# The table takes sort keys of up to 1024 bytes; usual keys are UUIDs.
MAX_KEY_CHARACTERS = 128
# Without comma and space, so that a header sent twice is not one key.
_KEY = re.compile(r"[A-Za-z0-9._~:+/=@-]{1,%d}" % MAX_KEY_CHARACTERS)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Claim:
    """One call that wants to run under a key.

    Parameters
    ----------
    route, key : str
        A key is unique within its route.
    fingerprint : str
        Hash of the request.
    attempt : str
        Unique identifier of this call, in the record of its key.
    started_at, deadline : float
        Unix time in seconds.
    """

    route: str
    key: str
    fingerprint: str
    attempt: str
    started_at: float
    deadline: float


def parse_key(text: str) -> str | None:
    """Return the key in a header's value, or None if it is not one.

    The key may be quoted, as the structured headers of HTTP have it.
    """
    text = text.strip()
    if len(text) >= 2 and text[0] == text[-1] == '"':
        text = text[1:-1]
    return text if _KEY.fullmatch(text) else None


def fingerprint(*, method: str, target: str, body: bytes) -> str:
    """Return a hash that tells one request from another."""
    return _hash_parts((method.encode(), target.encode(), body))


def _hash_parts(parts: Iterable[bytes]) -> str:
    digest = hashlib.sha256()
    for part in parts:
        # The length keeps two requests with shifted parts apart.
        digest.update(len(part).to_bytes(8))
        digest.update(part)
    return digest.hexdigest()
