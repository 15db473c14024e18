"""Rules for the heads of HTTP responses, in addition to those of the parser.

All clients of the package parse responses with `httptools`, which checks the
names and values of header fields and the framing, but neither the range of the
status nor the codings of the body.
"""

__all__ = ["find_fault"]

# Statuses out of this range are invalid (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599


def find_fault(*, status: int) -> str:
    """Return why the head of a response is invalid, or an empty string.

    Parameters
    ----------
    status : int
        Status of the response.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        return f"the status is {status:03}"
    return ""
