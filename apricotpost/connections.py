"""Connections of urllib3 that reject a response without a complete head.

`http.client` takes the end of a connection for the end of the head. A server
that stops in the middle of the head would seem to have sent a response with an
empty body: the header with its length is missing or cut off.
"""

import http.client
import typing

import urllib3
import urllib3.connection

__all__ = ["Connection", "make_pool"]


class _HeadReader:
    """Reads lines from a file and keeps the last one."""

    def __init__(self, *, file: typing.BinaryIO) -> None:
        self.file = file
        self.last_line = b""

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line."""
        self.last_line = self.file.readline(limit)
        return self.last_line

    def close(self) -> None:
        """Close the file."""
        self.file.close()


class _Response(http.client.HTTPResponse):
    """Response whose head has to end with an empty line."""

    fp: typing.Any

    def begin(self) -> None:
        """Read the head of the response.

        Raises
        ------
        http.client.IncompleteRead
            The connection ended in the middle of the head.
        """
        if self.headers is not None:
            return
        file = self.fp
        reader = _HeadReader(file=file)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = file
        if reader.last_line not in (b"\r\n", b"\n"):
            self.close()
            raise http.client.IncompleteRead(reader.last_line)


class Connection(urllib3.connection.HTTPConnection):
    """Connection that rejects a response without a complete head."""

    response_class = _Response


class _SecureConnection(urllib3.connection.HTTPSConnection):
    response_class = _Response


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = Connection


class _SecurePool(urllib3.HTTPSConnectionPool):
    ConnectionCls = _SecureConnection


def make_pool(**options: typing.Any) -> urllib3.PoolManager:
    """Return a pool of such connections.

    Parameters
    ----------
    **options
        Parameters of `urllib3.PoolManager`.
    """
    pool = urllib3.PoolManager(**options)
    pool.pool_classes_by_scheme = {"http": _Pool, "https": _SecurePool}
    return pool
