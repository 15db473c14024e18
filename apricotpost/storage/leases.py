"""Leases in the table, with a fencing number.

Notes
-----
The table has no clock. The holder writes the Unix time at which its lease
ends; another node takes the lease only when its own clock is
`MARGIN_SECONDS` past that time, which is more than the difference between
two clocks. The holder stops by its own clock `MARGIN_SECONDS` before it.

A wrong clock or a paused holder can still make two nodes believe that they
hold the lease. That is harmless: each acquisition raises the fencing number
in the item, and every change of a holder is a transaction that checks holder
and number. Once the number has risen, no transaction of an earlier holder
can be carried out, whenever it arrives.
"""

import dataclasses

import xxhash

from apricotpost import errors
from apricotpost.storage import changes
from apricotpost.storage import store as stores
from apricotpost.storage import table

__all__ = [
    "LEASE_SECONDS",
    "Lease",
    "MARGIN_SECONDS",
    "RENEW_SECONDS",
    "acquire",
    "fence_of",
    "is_usable",
    "release",
    "renew",
]

LEASE_SECONDS = 10.0
RENEW_SECONDS = 3.0
# Clocks are assumed to agree within 0.1 s.
MARGIN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A lease as its holder last wrote it.

    Parameters
    ----------
    service : str
        What it is for.
    holder : str
        Unique to one run of a process, so that a lost answer can be
        resolved by reading the item.
    fence : int
        Rises with each acquisition.
    expires_at : float
        Unix time in seconds.
    """

    service: str
    holder: str
    fence: int
    expires_at: float


def acquire(
    store: stores.Store, *, service: str, holder: str, now: float
) -> Lease:
    """Take a lease that is free or has expired.

    Raises
    ------
    apricotpost.errors.LeaseLost
        Another holder has it.
    apricotpost.errors.PlatformError
        The table did not answer. If the lease was taken all the same, the
        next attempt by the same holder takes it again at once.
    """
    item = table.get(store.table, _key(service))
    if item is None:
        lease = _next(service, holder, 1, now)
        return _put(store, lease, table.absent())
    known = _decode(service, item)
    free = known.holder in ("", holder)
    if not free and now < known.expires_at + MARGIN_SECONDS:
        raise errors.LeaseLost(
            f"lease of {service} is held by {known.holder} for "
            f"{known.expires_at - now:.1f} s"
        )
    # A renewal since the read changes the time and defeats this write.
    condition = table.equals(
        holder=known.holder,
        fence=known.fence,
        expires_ms=_milliseconds(known.expires_at),
    )
    return _put(store, _next(service, holder, known.fence + 1, now), condition)


def renew(store: stores.Store, lease: Lease, *, now: float) -> Lease:
    """Extend a lease.

    Raises
    ------
    apricotpost.errors.LeaseLost
        Another holder has it.
    apricotpost.errors.PlatformError
        The table did not answer; the lease still ends as before.
    """
    renewed = _next(lease.service, lease.holder, lease.fence, now)
    return _put(store, renewed, _held(lease))


def release(store: stores.Store, lease: Lease) -> None:
    """Give a lease up so that the next holder need not wait.

    The fencing number stays in the item, so that it never falls.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not answer; the lease ends by time.
    """
    free = dataclasses.replace(lease, holder="", expires_at=0.0)
    table.transact(
        store.table,
        [table.Put(item=_encode(free), condition=_held(lease))],
        token=_token(free),
    )


def is_usable(lease: Lease, *, now: float) -> bool:
    """Whether the holder may still act on its lease."""
    return now < lease.expires_at - MARGIN_SECONDS


def fence_of(lease: Lease) -> changes.Fence:
    """Return the proof that changes of the holder carry."""
    return changes.Fence(
        key=_key(lease.service), holder=lease.holder, number=lease.fence
    )


def _next(service: str, holder: str, fence: int, now: float) -> Lease:
    return Lease(
        service=service,
        holder=holder,
        fence=fence,
        expires_at=now + LEASE_SECONDS,
    )


def _put(
    store: stores.Store, lease: Lease, condition: table.Condition
) -> Lease:
    write = table.Put(item=_encode(lease), condition=condition)
    try:
        table.transact(store.table, [write], token=_token(lease))
    except errors.PlatformOutcomeUnknown:
        if not _is_stored(store, lease):
            raise
    except errors.TransactionRejected as error:
        raise errors.LeaseLost(
            f"lease of {lease.service} was taken by another holder"
        ) from error
    return lease


def _is_stored(store: stores.Store, lease: Lease) -> bool:
    item = table.get(store.table, _key(lease.service))
    return item is not None and item.attributes == _encode(lease).attributes


def _held(lease: Lease) -> table.Condition:
    return table.equals(holder=lease.holder, fence=lease.fence)


def _key(service: str) -> table.Key:
    return table.Key(pk="lease", sk=service)


def _encode(lease: Lease) -> table.Item:
    return table.Item(
        key=_key(lease.service),
        attributes={
            "holder": lease.holder,
            "fence": lease.fence,
            "expires_ms": _milliseconds(lease.expires_at),
        },
    )


def _decode(service: str, item: table.Item) -> Lease:
    return Lease(
        service=service,
        holder=str(item.attributes["holder"]),
        fence=int(item.attributes["fence"]),
        expires_at=int(item.attributes["expires_ms"]) / 1000,
    )


def _milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _token(lease: Lease) -> str:
    """Identify a write; only an equal write has an equal token."""
    text = (
        f"{lease.service}/{lease.holder}/{lease.fence}/"
        f"{_milliseconds(lease.expires_at)}"
    )
    return xxhash.xxh128_hexdigest(text.encode())
