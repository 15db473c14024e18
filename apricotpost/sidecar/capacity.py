"""Memory and connections that a node may use for its callers."""

import sys

__all__ = ["budget_bytes", "count_connections"]

MEGABYTE = 1024 * 1024
# What the process takes for itself: 35 MB after the start, the state of a
# large fleet, and space that freed memory leaves between used.
OWN_MEGABYTES = 64.0
# A small instance gives half of its memory to its callers.
MAX_OWN_FRACTION = 0.5
# Descriptors that the platform keeps for files.
FILE_DESCRIPTORS = 200
# Part of the others for other nodes, the store and the backend server; a node
# holds 35 after its start.
OWN_DESCRIPTOR_FRACTION = 0.25
MIN_OWN_DESCRIPTORS = 64
MIN_CONNECTIONS = 16


def budget_bytes(memory_mb: float) -> int:
    """Return how many bytes a node may hold for others.

    Parameters
    ----------
    memory_mb : float
        Memory that the process may use, in mebibytes.
    """
    own = min(OWN_MEGABYTES, memory_mb * MAX_OWN_FRACTION)
    return int((memory_mb - own) * MEGABYTE)


def count_connections(descriptors: float, process_limit: int) -> int:
    """Return how many connections of callers may be open.

    Parameters
    ----------
    descriptors : float
        Largest number of open descriptors of the instance; 0 if it is not
        limited.
    process_limit : int
        Limit of the process; negative if there is none.
    """
    limits = [limit for limit in (descriptors, process_limit) if limit > 0]
    if not limits:
        return sys.maxsize
    available = int(min(limits)) - FILE_DESCRIPTORS
    own = max(int(available * OWN_DESCRIPTOR_FRACTION), MIN_OWN_DESCRIPTORS)
    return max(available - own, MIN_CONNECTIONS)
