"""Rules for the heads of HTTP responses, in addition to those of the parser.

All clients of the package parse responses with `httptools`, which checks the
names and values of header fields and the framing. It takes any three digits as
a status, all versions of HTTP, any bytes as a reason phrase, and codings that
it does not decode.
"""

from collections.abc import Iterable
import re

__all__ = ["find_fault"]

# Versions whose messages have the form that the parser expects.
VERSIONS = ("1.0", "1.1")
# Statuses out of this range are invalid (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
# No client of the package asks for another protocol.
SWITCHING_PROTOCOLS = 101
_CONTROL_BYTE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")


def find_fault(
    *,
    version: str,
    status: int,
    reason: bytes,
    headers: Iterable[tuple[bytes, bytes]],
) -> str:
    """Return why the head of a response is invalid, or an empty string.

    Parameters
    ----------
    version : str
        Version of HTTP, as in "1.1".
    status : int
        Status of the response.
    reason : bytes
        Reason phrase.
    headers : iterable of (name, value)
        Header fields.
    """
    if version not in VERSIONS:
        return f"the version is HTTP/{version}"
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_PROTOCOLS:
        return f"the status is {status:03}"
    if _CONTROL_BYTE.search(reason):
        return "the reason phrase holds a control byte"
    codings = [
        value.strip().lower()
        for name, value in headers
        if name.lower() == b"transfer-encoding"
    ]
    # HTTP/1.0 has no transfer codings (RFC 9112, section 6.1).
    if codings and (codings != [b"chunked"] or version == "1.0"):
        return "the body has a transfer coding other than chunked"
    return ""
