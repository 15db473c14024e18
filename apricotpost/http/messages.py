"""HTTP requests and responses, and their encoding."""

from collections.abc import Iterable
import dataclasses
import http

__all__ = [
    "Body",
    "Headers",
    "Request",
    "Response",
    "encode_request",
    "encode_response",
    "find_header",
    "split_request",
    "split_response",
    "strip_hop_headers",
]

Headers = tuple[tuple[bytes, bytes], ...]
# Large bodies stay in the buffer that they were received in.
Body = bytes | bytearray | memoryview

# A body up to this size is written together with its head; a larger one would
# be copied for that.
MAX_JOINED_BYTES = 64 * 1024

# Hop-by-hop headers (RFC 9110, section 7.6.1): they apply to one connection
# and are not forwarded.
_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_CONTENT_LENGTH = b"content-length"
_REASON_PHRASES = {
    known_status.value: known_status.phrase.encode()
    for known_status in http.HTTPStatus
}


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Request:
    """A request with its complete body."""

    method: bytes
    target: bytes
    headers: Headers = ()
    body: Body = b""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """A response with its complete body."""

    status: int
    headers: Headers = ()
    body: Body = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with a name.

    Parameters
    ----------
    headers : Headers
        Headers to search.
    name : bytes
        Name in lower case.
    """
    for key, value in headers:
        if len(key) == len(name) and key.lower() == name:
            return value
    return None


def strip_hop_headers(
    headers: Headers, further_names: Iterable[bytes] = ()
) -> Headers:
    """Return the headers without the hop-by-hop headers and Content-Length.

    Parameters
    ----------
    headers : Headers
        Headers as received.
    further_names : iterable of bytes
        Names of further headers to drop, in lower case.
    """
    dropped = {*_HOP_HEADERS, _CONTENT_LENGTH, *further_names}
    connection_header = find_header(headers, b"connection")
    if connection_header is not None:
        dropped.update(
            n.strip().lower() for n in connection_header.split(b",")
        )
    return tuple(h for h in headers if h[0].lower() not in dropped)


def split_request(request: Request) -> tuple[Body, ...]:
    """Encode a request without a Connection header, as parts to write.

    A large body is a part of its own and is not copied.
    """
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    lines.extend(b"%b: %b\r\n" % header for header in request.headers)
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    lines.append(b"\r\n")
    return _join_small(lines, request.body)


def encode_request(request: Request) -> bytes:
    """Encode a request without a Connection header."""
    return b"".join(split_request(request))


def split_response(
    response: Response, *, close: bool, head: bool = False
) -> tuple[Body, ...]:
    """Encode a response as parts to write.

    A large body is a part of its own and is not copied.

    Parameters
    ----------
    response : Response
        The response to encode.
    close : bool
        Whether to announce that the connection closes after the response.
    head : bool
        Whether the request was HEAD, whose response has no body.
    """
    reason = _REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b\r\n" % (response.status, reason)]
    lines.extend(b"%b: %b\r\n" % header for header in response.headers)
    if response.status >= 200 and response.status not in (204, 304):
        lines.append(b"Content-Length: %d\r\n" % len(response.body))
    if close:
        lines.append(b"Connection: close\r\n")
    lines.append(b"\r\n")
    return _join_small(lines, b"" if head else response.body)


def encode_response(
    response: Response, *, close: bool, head: bool = False
) -> bytes:
    """Encode a response; see `split_response`."""
    return b"".join(split_response(response, close=close, head=head))


def _join_small(lines: list[bytes], body: Body) -> tuple[Body, ...]:
    if len(body) > MAX_JOINED_BYTES:
        return b"".join(lines), body
    return (b"".join((*lines, body)),)
