"""Call context, propagated in HTTP headers through backend servers."""

from collections.abc import Mapping
import dataclasses

__all__ = [
    "CallContext",
    "DEADLINE_HEADER",
    "DEPTH_HEADER",
    "MAX_DEPTH",
    "OUTCOME_HEADER",
    "REASON_HEADER",
    "RETRIED_HEADER",
    "context_headers",
    "read_context",
    "strip_headers",
]

DEADLINE_HEADER = "X-Apricotpost-Deadline"
DEPTH_HEADER = "X-Apricotpost-Depth"
OUTCOME_HEADER = "X-Apricotpost-Outcome"
REASON_HEADER = "X-Apricotpost-Reason"
RETRIED_HEADER = "X-Apricotpost-Retried"
TIMEOUT_HEADER = "X-Request-Timeout-Ms"
# Deeper calls count as a loop; the deepest known call chain has 18 levels.
MAX_DEPTH = 32

_STRIPPED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Content-Length",
        "Expect",
        "Keep-Alive",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "Proxy-Connection",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        DEADLINE_HEADER,
        DEPTH_HEADER,
        RETRIED_HEADER,
        TIMEOUT_HEADER,
        OUTCOME_HEADER,
        REASON_HEADER,
    )
)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CallContext:
    """Deadline, depth and retry mark of a call.

    Parameters
    ----------
    deadline : float
        Unix time in seconds.
    depth : int
        Number of calls above this one in the call chain.
    retried : bool
        Whether a call above this one in the chain is a retry.
    """

    deadline: float
    depth: int = 0
    retried: bool = False


def read_context(
    headers: Mapping[str, str],
    *,
    wall: float,
    timeout_ms: int,
    trusted: bool,
) -> CallContext:
    """Return the context of a call from its request headers.

    Parameters
    ----------
    headers : mapping
        Header values by lower-case name.
    wall : float
        Unix time in seconds.
    timeout_ms : int
        Longest duration that the route allows, in milliseconds.
    trusted : bool
        Whether the call comes from the backend server beside this node;
        callers from outside can only shorten the deadline.
    """
    deadline = wall + timeout_ms / 1000
    requested_ms = _read_number(headers.get(TIMEOUT_HEADER.lower()))
    if requested_ms is not None and requested_ms >= 0:
        deadline = min(deadline, wall + requested_ms / 1000)
    if not trusted:
        return CallContext(deadline=deadline)
    inherited_deadline = _read_number(headers.get(DEADLINE_HEADER.lower()))
    if inherited_deadline is not None:
        deadline = min(deadline, inherited_deadline)
    depth = _read_number(headers.get(DEPTH_HEADER.lower())) or 0
    return CallContext(
        deadline=deadline,
        depth=int(depth),
        retried=headers.get(RETRIED_HEADER.lower()) == "1",
    )


def context_headers(context: CallContext) -> tuple[tuple[str, str], ...]:
    """Return the headers that carry a context to a backend server."""
    headers = [
        (DEADLINE_HEADER, f"{context.deadline:.3f}"),
        (DEPTH_HEADER, str(context.depth + 1)),
    ]
    if context.retried:
        headers.append((RETRIED_HEADER, "1"))
    return tuple(headers)


def strip_headers(
    headers: tuple[tuple[str, str], ...],
) -> tuple[tuple[str, str], ...]:
    """Remove hop-by-hop headers and those that carry the call context."""
    connection_headers = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _STRIPPED_HEADERS
        and name.lower() not in connection_headers
    )


def _read_number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if abs(number) < 1e12 else None
