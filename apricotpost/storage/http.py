"""HTTP to the platform, with failures sorted by what they mean."""

import dataclasses
import time
import typing

import urllib3

from apricotpost import errors
from apricotpost.storage import signing

__all__ = ["Channel", "Reply", "bounded", "open_channel", "request"]

READ_BYTES = 64 * 1024
# A larger answer is none of the protocols' and would not fit in a node.
MAX_ANSWER_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Channel:
    """One kept-alive connection for each host, owned by one thread.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Holds the connections.
    timeout_seconds : float
        Longest wait for one answer, in seconds.
    credentials : Credentials, optional
        Requests are signed with them.
    """

    pool: urllib3.PoolManager
    timeout_seconds: float
    credentials: signing.Credentials | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Status and body of an answer."""

    status: int
    body: bytes


def open_channel(
    *,
    timeout_seconds: float,
    credentials: signing.Credentials | None = None,
) -> Channel:
    """Make a channel; the caller closes its pool with ``clear()``."""
    return Channel(
        pool=urllib3.PoolManager(
            num_pools=2, maxsize=1, retries=False, block=False
        ),
        timeout_seconds=timeout_seconds,
        credentials=credentials,
    )


def bounded(channel: Channel, seconds: float) -> Channel:
    """Return the channel with at most this time for one answer."""
    return dataclasses.replace(
        channel, timeout_seconds=min(channel.timeout_seconds, seconds)
    )


def request(
    channel: Channel,
    *,
    service: str,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None = None,
) -> Reply:
    """Send one request; nothing is repeated.

    Parameters
    ----------
    channel : Channel
        Connection to use.
    service : {'dynamodb', 's3'}
        Name of the service in the signature.
    method, url, headers, body
        The request.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        Nothing was sent.
    apricotpost.errors.PlatformOutcomeUnknown
        The request may have been carried out: the answer is missing, late,
        cut off or has a status of 500 or more.
    """
    if channel.timeout_seconds <= 0:
        raise errors.PlatformUnavailable(
            f"{method} {url}: not sent: no time left"
        )
    if channel.credentials is not None:
        headers = signing.sign(
            channel.credentials,
            service=service,
            method=method,
            url=url,
            headers=headers,
            body=body or b"",
            at=time.time(),
        )
    try:
        status, data = _exchange(channel, method, url, headers, body)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise errors.PlatformUnavailable(
            f"{method} {url}: not sent: {error}"
        ) from error
    except urllib3.exceptions.HTTPError as error:
        raise errors.PlatformOutcomeUnknown(
            f"{method} {url}: no whole answer: {error}"
        ) from error
    if status >= 500:
        raise errors.PlatformOutcomeUnknown(f"{method} {url}: status {status}")
    return Reply(status=status, body=data)


def _exchange(
    channel: Channel,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None,
) -> tuple[int, bytes]:
    ends_at = time.monotonic() + channel.timeout_seconds
    response = channel.pool.request(
        method,
        url,
        body=body,
        headers=headers,
        timeout=urllib3.Timeout(total=channel.timeout_seconds),
        redirect=False,
        preload_content=False,
    )
    framed = {"content-length", "transfer-encoding"} & {
        name.lower() for name in response.headers
    }
    if not framed and response.status != 204:
        # Without a length, an answer that was cut off looks complete.
        response.close()
        raise urllib3.exceptions.ProtocolError("the answer has no length")
    return response.status, _read_body(response, ends_at)


def _read_body(response: typing.Any, ends_at: float) -> bytes:
    """Read a body within a total time.

    The socket's time-out holds for single reads only; without the total, an
    answer that drips would hold the thread for as long as it drips.
    """
    parts: list[bytes] = []
    size = 0
    while part := response.read1(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > MAX_ANSWER_BYTES or time.monotonic() > ends_at:
            response.close()
            raise urllib3.exceptions.ProtocolError(
                f"gave up inside the answer after {size} bytes"
            )
    response.release_conn()
    return b"".join(parts)
