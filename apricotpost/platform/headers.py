"""Headers of the platform on requests and responses."""

import dataclasses
import enum

from apricotpost import http

__all__ = [
    "NotRunStatus",
    "RequestHead",
    "backend_instance",
    "call_headers",
    "health_request",
    "is_not_run",
    "is_healthy",
    "read_head",
    "refusal_headers",
    "find_response_fault",
]

_REQUEST_ID = b"x-request-id"
_DEADLINE = b"x-deadline-ms"
_EXPECT_INSTANCE = b"x-expect-instance"
_CALLER = b"x-caller-service"
_SEAL = b"x-response-seal"
_NOT_RUN = b"x-not-executed"
_INSTANCE = b"x-instance-id"
_SET_BY_US = (_DEADLINE, _EXPECT_INSTANCE, _CALLER)


class NotRunStatus(enum.IntEnum):
    """Statuses that promise that the request has not run."""

    OVERLOADED = 503
    MISDIRECTED = 421


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class RequestHead:
    """What the platform's headers say of a client's request.

    Parameters
    ----------
    request_id : str
        Identifier of this attempt; empty if there is none.
    host : str
        Lower case, without a port.
    path : str
        Target without the query.
    deadline_ms : int or None
        How long the client waits.
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
            deadline = int(value)
    return RequestHead(
        request_id=identifier.decode("latin-1"),
        host=host.split(b":")[0].strip().lower().decode("latin-1"),
        path=request.target.split(b"?", 1)[0].decode("latin-1"),
        deadline_ms=deadline,
    )


def call_headers(
    headers: http.Headers, *, backend: str, left_ms: int, caller: str
) -> http.Headers:
    """Return the headers with which a backend server gets a request.

    Parameters
    ----------
    headers : http.Headers
        Of the client, without those of its connection.
    backend : str
        Identifier of the only backend server that may run the request.
    left_ms : int
        Time left for it.
    caller : str
        Service of the instance where the request began.
    """
    kept = tuple(h for h in headers if h[0].lower() not in _SET_BY_US)
    return (
        *kept,
        (b"X-Deadline-Ms", b"%d" % left_ms),
        (b"X-Expect-Instance", backend.encode("latin-1")),
        (b"X-Caller-Service", caller.encode("latin-1")),
    )


def is_not_run(response: http.Response) -> bool:
    """Tell whether a backend server says that it did not run the request."""
    return (
        response.status == NotRunStatus.MISDIRECTED
        or http.find_header(response.headers, _NOT_RUN) is not None
    )


def find_response_fault(response: http.Response, request_id: str) -> str:
    """Return why a response cannot be the backend server's own, or ''."""
    echoed = http.find_header(response.headers, _REQUEST_ID)
    if echoed is None or echoed.decode("latin-1") != request_id:
        return "request-id"
    if 200 <= response.status < 300:
        if http.find_header(response.headers, _SEAL) is None:
            return "unsigned"
        if http.find_header(response.headers, b"content-encoding"):
            return "content-encoding"
    return ""


def backend_instance(headers: http.Headers) -> str:
    """Return the identifier of the backend server that responded, or ''."""
    value = http.find_header(headers, _INSTANCE)
    return "" if value is None else value.decode("latin-1")


def health_request(path: str, host: str) -> http.Request:
    """Return the request that asks a backend server whether it is well."""
    return http.Request(
        method=b"GET",
        target=path.encode("latin-1"),
        headers=((b"Host", host.encode("latin-1")),),
    )


def is_healthy(response: http.Response) -> bool:
    """Tell whether a backend server is healthy and not leaving."""
    return response.status == 200


def refusal_headers(request_id: str, retry_seconds: float) -> http.Headers:
    """Return the headers of a response of our own."""
    headers: http.Headers = ()
    if request_id:
        headers = ((b"X-Request-Id", request_id.encode("latin-1")),)
    if retry_seconds <= 0:
        return headers
    return (*headers, (b"Retry-After", b"%.3f" % retry_seconds))
