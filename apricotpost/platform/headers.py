"""Request and response headers that the platform defines."""

from collections.abc import Container
import dataclasses
import enum

from apricotpost import http
from apricotpost.platform import credentials

__all__ = [
    "NotRunStatus",
    "RequestHead",
    "classify_response",
    "find_response_fault",
    "is_healthy",
    "is_not_run",
    "make_call_headers",
    "make_health_request",
    "make_local_response_headers",
    "read_backend_instance",
    "read_head",
]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_EXPECT_INSTANCE = b"x-expect-instance"
_CALLER = b"x-caller-service"
_SIGNATURE = b"x-response-seal"
_NOT_EXECUTED = b"x-not-executed"
_INSTANCE = b"x-instance-id"
# A client that states a longer deadline, in milliseconds, has none in effect.
MAX_DEADLINE_MS = 3_600_000
MAX_DEADLINE_DIGITS = 7
_SET_BY_NODE = (_DEADLINE, _EXPECT_INSTANCE, _CALLER)
_SET_WITH_TENANTS = (*_SET_BY_NODE, *credentials.CREDENTIAL_HEADERS)


class NotRunStatus(enum.IntEnum):
    """Response statuses that mean that the request was not executed."""

    OVERLOADED = 503
    MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """Fields from the head of a client's request.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt; empty if there is none.
    host : str
        Requested host in lower case, without the port.
    path : str
        Request target without the query.
    deadline_ms : int or None
        Time in milliseconds that the client waits; None if not stated.
    """

    request_id: str
    host: str
    path: str
    deadline_ms: int | None


def read_head(request: http.Request) -> RequestHead:
    """Decode the head of a client's request."""
    identifier = b""
    host = b""
    deadline = None
    for name, value in request.headers:
        key = name.lower()
        if key == _REQUEST_ID:
            identifier = value
        elif key == b"host":
            host = value
        elif key == _DEADLINE and value.strip().isdigit():
            digits = value.strip().lstrip(b"0")[: MAX_DEADLINE_DIGITS + 1]
            deadline = min(int(digits or b"0"), MAX_DEADLINE_MS)
    return RequestHead(
        request_id=identifier.decode("latin-1"),
        host=host.split(b":")[0].strip().lower().decode("latin-1"),
        path=request.target.split(b"?", 1)[0].decode("latin-1"),
        deadline_ms=deadline,
    )


def make_call_headers(
    headers: http.Headers,
    *,
    backend: str,
    remaining_ms: int,
    caller: str,
    tenant: str = "",
    uses_keys: bool = False,
) -> http.Headers:
    """Return the headers of a request to a backend server.

    Parameters
    ----------
    headers : http.Headers
        Headers of the client's request, without hop-by-hop headers.
    backend : str
        Identifier of the only backend server that may execute the request.
    remaining_ms : int
        Time in milliseconds that is left until the deadline.
    caller : str
        Service of the instance where the request originated.
    tenant : str
        Tenant whose key the client has sent; empty if there is none.
    uses_keys : bool
        Whether the configuration has tenants; headers that carry a key or
        name a tenant are then removed. A node that still had the
        configuration before may have left them in the request.
    """
    replaced = _SET_WITH_TENANTS if uses_keys or tenant else _SET_BY_NODE
    kept = tuple(h for h in headers if h[0].lower() not in replaced)
    if tenant:
        kept = (*kept, (b"X-Tenant", tenant.encode()))
    return (
        *kept,
        (b"X-Deadline-Ms", b"%d" % remaining_ms),
        (b"X-Expect-Instance", backend.encode("latin-1")),
        (b"X-Caller-Service", caller.encode("latin-1")),
    )


def classify_response(
    status: int,
    headers: http.Headers,
    request_id: str,
    earlier: Container[str],
) -> http.Verdict:
    """Return whether a response belongs to a request.

    A backend server may send a response again, where the response to the next
    request is expected. Only the echoed identifier tells them apart, so a
    response without it proves nothing, not even that the request was refused.

    Parameters
    ----------
    status : int
        Status of the response.
    headers : http.Headers
        Headers of the response.
    request_id : str
        Identifier of the request that waits on the connection.
    earlier : container of str
        Identifiers of requests that the backend server got before.
    """
    echoed = http.find_header(headers, _REQUEST_ID)
    echoed_id = "" if echoed is None else echoed.decode("latin-1")
    if echoed_id != request_id and echoed_id in earlier:
        return http.Verdict.OTHER_REQUEST
    if find_response_fault(
        http.Response(status=status, headers=headers), request_id
    ):
        return http.Verdict.FAULTY
    return http.Verdict.ACCEPT


def is_not_run(response: http.Response) -> bool:
    """Return whether a backend server did not execute the request.

    This holds only for a response that `classify_response` accepts.
    """
    return (
        response.status == NotRunStatus.MISDIRECTED
        or http.find_header(response.headers, _NOT_EXECUTED) is not None
    )


def find_response_fault(response: http.Response, request_id: str) -> str:
    """Return why a response is not authentic, or an empty string.

    A response must echo the request's identifier. A successful one must be
    signed and must not have a content coding.
    """
    echoed = http.find_header(response.headers, _REQUEST_ID)
    if echoed is None or echoed.decode("latin-1") != request_id:
        return "request-id"
    if 200 <= response.status < 300:
        if http.find_header(response.headers, _SIGNATURE) is None:
            return "unsigned"
        if http.find_header(response.headers, b"content-encoding"):
            return "content-encoding"
    return ""


def read_backend_instance(headers: http.Headers) -> str:
    """Return the identifier of the responding backend server, or ''."""
    value = http.find_header(headers, _INSTANCE)
    return "" if value is None else value.decode("latin-1")


def make_health_request(path: str, host: str) -> http.Request:
    """Return the health check request for a backend server."""
    return http.Request(
        method=b"GET",
        target=path.encode("latin-1"),
        headers=((b"Host", host.encode("latin-1")),),
    )


def is_healthy(response: http.Response) -> bool:
    """Return whether a backend server is healthy and not draining."""
    return response.status == 200


def make_local_response_headers(
    request_id: str, retry_after_seconds: float, *, unauthorized: bool = False
) -> http.Headers:
    """Return the headers of a response that the node itself creates.

    Parameters
    ----------
    request_id : str
        Identifier of the refused request; empty if there is none.
    retry_after_seconds : float
        Time after which the client may retry; 0 for no Retry-After header.
    unauthorized : bool
        Whether the client needs a key (RFC 9110, section 11.6.1).
    """
    headers: http.Headers = ()
    if request_id:
        headers = ((b"X-Request-Id", request_id.encode("latin-1")),)
    if unauthorized:
        headers = (*headers, (b"WWW-Authenticate", b"Bearer"))
    if retry_after_seconds <= 0:
        return headers
    return (*headers, (b"Retry-After", b"%.3f" % retry_after_seconds))
