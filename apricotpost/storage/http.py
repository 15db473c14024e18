"""HTTP client of the platform; errors say whether a write may have run."""

import dataclasses
import time

import urllib3

from apricotpost import connections
from apricotpost import errors
from apricotpost.storage import signing

__all__ = ["Channel", "Response", "open_channel", "request", "with_time_limit"]

# No response of the two protocols is larger, and a larger one would take too
# much of a node's memory.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Channel:
    """HTTP client with one persistent connection per host, for one thread.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Pool of the connections.
    timeout_seconds : float
        Longest time until a response is complete, in seconds.
    credentials : Credentials, optional
        Credentials with which requests are signed.
    """

    pool: urllib3.PoolManager
    timeout_seconds: float
    credentials: signing.Credentials | None = None


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Response:
    """Status and body of an HTTP response."""

    status: int
    body: bytes


def open_channel(
    *,
    timeout_seconds: float,
    credentials: signing.Credentials | None = None,
) -> Channel:
    """Return a new channel; the caller closes its pool with ``clear()``."""
    return Channel(
        pool=connections.make_pool(
            num_pools=2, maxsize=1, retries=False, block=False
        ),
        timeout_seconds=timeout_seconds,
        credentials=credentials,
    )


def with_time_limit(channel: Channel, seconds: float) -> Channel:
    """Return the channel with its timeout limited to these seconds."""
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
) -> Response:
    """Send one request, without retries and redirects.

    Parameters
    ----------
    channel : Channel
        Channel to use.
    service : {'dynamodb', 's3'}
        Name of the service in the signature.
    method, url, headers, body
        Content of the request.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        The request was not sent.
    apricotpost.errors.PlatformOutcomeUnknown
        The request may have been executed: the response is missing, late,
        truncated or has a status of 500 or more.
    """
    if channel.timeout_seconds <= 0:
        raise errors.PlatformUnavailable(
            f"{method} {url}: not sent: no time left before the deadline"
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
        status, content = _send(channel, method, url, headers, body)
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise errors.PlatformUnavailable(
            f"{method} {url}: not sent: {error}"
        ) from error
    except urllib3.exceptions.HTTPError as error:
        raise errors.PlatformOutcomeUnknown(
            f"{method} {url}: no complete response: {error}"
        ) from error
    if status >= 500:
        raise errors.PlatformOutcomeUnknown(f"{method} {url}: status {status}")
    return Response(status=status, body=content)


def _send(
    channel: Channel,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None,
) -> tuple[int, bytes]:
    response = channel.pool.request(
        method,
        url,
        body=body,
        headers=headers,
        timeout=urllib3.Timeout(total=channel.timeout_seconds),
        redirect=False,
        preload_content=False,
    )
    length_headers = {"content-length", "transfer-encoding"} & {
        name.lower() for name in response.headers
    }
    if not length_headers and response.status != 204:
        # Without a length, a truncated response looks complete.
        response.close()
        raise urllib3.exceptions.ProtocolError(
            "the response has neither Content-Length nor Transfer-Encoding"
        )
    return response.status, connections.read_body(
        response, max_bytes=MAX_RESPONSE_BYTES
    )
