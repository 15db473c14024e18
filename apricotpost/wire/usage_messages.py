"""Message with the counts of one node, for the reports of usage."""

import typing

import msgspec

from apricotpost import decoding

__all__ = ["KINDS", "UsageCounts"]

# Tenants in one message; a node counts no more.
MAX_USAGE_TENANTS = 1000


class UsageCounts(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """Requests that the backend server of a node started in a window.

    Parameters
    ----------
    node : str
        Name of the node.
    boot : int
        Number of its process.
    window : int
        Number of the window.
    partial : bool
        Whether the node may have started more requests in the window.
    wall_ms : int
        Unix time in milliseconds of the sending, by this node's wall clock
        alone, without jumps.
    counts : tuple of (str, int)
        Tenants with their numbers of requests.
    """

    node: decoding.Name
    boot: decoding.Count
    window: decoding.Count
    partial: bool
    wall_ms: decoding.Count
    counts: typing.Annotated[
        tuple[tuple[decoding.Name, decoding.Count], ...],
        msgspec.Meta(max_length=MAX_USAGE_TENANTS),
    ] = ()


# Registered with the kinds of `sidecar_messages`, whose range they are in.
KINDS: dict[int, type] = {78: UsageCounts}
