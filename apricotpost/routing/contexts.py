"""Call context that travels in HTTP headers through backend servers."""

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
# Deeper calls are taken for a loop; the deepest known are 18 deep.
MAX_DEPTH = 32

_DROPPED = frozenset(
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
        Calls above this one.
    retried : bool
        Whether a call above is a retry.
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
    """Read the context of a call.

    Parameters
    ----------
    headers : mapping
        Lower-case names to values.
    wall : float
        Unix time in seconds.
    timeout_ms : int
        Longest duration that the route allows, in milliseconds.
    trusted : bool
        Whether the call comes from the backend server beside this node;
        callers from outside can only shorten the deadline.
    """
    deadline = wall + timeout_ms / 1000
    own = _read_number(headers.get(TIMEOUT_HEADER.lower()))
    if own is not None and own >= 0:
        deadline = min(deadline, wall + own / 1000)
    if not trusted:
        return CallContext(deadline=deadline)
    inherited = _read_number(headers.get(DEADLINE_HEADER.lower()))
    if inherited is not None:
        deadline = min(deadline, inherited)
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
    """Drop the headers that hold for one connection or for the system."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    return tuple(
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED and name.lower() not in named
    )


def _read_number(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        number = float(text)
    except ValueError:
        return None
    return number if abs(number) < 1e12 else None
