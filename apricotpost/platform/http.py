"""HTTP to the platform, with failures sorted by what they mean."""

import dataclasses

import urllib3

from apricotpost import errors

__all__ = ["Channel", "Reply", "open_channel", "request"]


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Channel:
    """One kept-alive connection, owned by one thread.

    Parameters
    ----------
    pool : urllib3.PoolManager
        Holds the connection.
    timeout_seconds : float
        Longest wait for one answer, in seconds.
    """

    pool: urllib3.PoolManager
    timeout_seconds: float


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Reply:
    """Status, body and entity tag of an answer."""

    status: int
    body: bytes


def open_channel(*, timeout_seconds: float) -> Channel:
    """Make a channel; the caller closes its pool with ``clear()``."""
    return Channel(
        pool=urllib3.PoolManager(
            num_pools=2, maxsize=1, retries=False, block=False
        ),
        timeout_seconds=timeout_seconds,
    )


def request(
    channel: Channel,
    *,
    method: str,
    url: str,
    headers: dict[str, str],
    body: bytes | None = None,
) -> Reply:
    """Send one request; nothing is repeated.

    Raises
    ------
    apricotpost.errors.PlatformUnavailable
        Nothing was sent, or the platform answered that it is not available.
    apricotpost.errors.PlatformOutcomeUnknown
        The request may have been carried out.
    """
    try:
        response = channel.pool.request(
            method,
            url,
            body=body,
            headers=headers,
            timeout=channel.timeout_seconds,
            redirect=False,
        )
    except (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    ) as error:
        raise errors.PlatformUnavailable(
            f"{method} {url}: not sent: {error}"
        ) from error
    except urllib3.exceptions.HTTPError as error:
        raise errors.PlatformOutcomeUnknown(
            f"{method} {url}: no answer: {error}"
        ) from error
    if response.status >= 500:
        raise errors.PlatformOutcomeUnknown(
            f"{method} {url}: status {response.status}"
        )
    return Reply(status=response.status, body=response.data)
