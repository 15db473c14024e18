"""Reports of usage to the platform."""

from collections.abc import Mapping
import enum

import msgspec

from apricotpost import http

__all__ = [
    "USAGE",
    "ReportOutcome",
    "classify_report",
    "encode_usage",
    "make_usage_request",
]

# Table of the lease and of the committed reports.
USAGE = "usage"


class ReportOutcome(enum.Enum):
    """What the response to a report means."""

    ACCEPTED = enum.auto()
    REPEAT = enum.auto()
    REFUSED = enum.auto()


def encode_usage(window: int, counts: Mapping[str, int]) -> bytes:
    """Return the body of the report of a window."""
    return msgspec.json.encode(
        {
            "window_seq": window,
            "counts": {name: counts[name] for name in sorted(counts)},
        }
    )


def make_usage_request(
    *, host: str, holder: str, token: int, body: bytes
) -> http.Request:
    """Return the request that reports a window.

    Parameters
    ----------
    host : str
        Value of the Host header.
    holder : str
        Name of the instance that holds the lease.
    token : int
        Fencing token of the lease.
    body : bytes
        Result of `encode_usage`.
    """
    return http.Request(
        method=b"POST",
        target=b"/usage",
        headers=(
            (b"Host", host.encode()),
            (b"X-Lease-Holder", holder.encode()),
            (b"X-Fencing-Token", b"%d" % token),
            (b"Content-Type", b"application/json"),
        ),
        body=body,
    )


def classify_report(response: http.Response | None) -> ReportOutcome:
    """Return what a response, or None for no response, means."""
    if response is None:
        return ReportOutcome.REPEAT
    if response.status == 200:
        return ReportOutcome.ACCEPTED
    if response.status == 429 or response.status >= 500:
        return ReportOutcome.REPEAT
    return ReportOutcome.REFUSED
