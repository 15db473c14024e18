"""Leases of services, kept in the table, with fencing numbers.

Notes
-----
The table has no clock that a condition could use. The holder writes the Unix
time at which its lease expires; another node acquires the lease only when its
own clock is `CLOCK_MARGIN_SECONDS` past that time, which is more than the
difference between two clocks. The holder stops using the lease when its own
clock is `CLOCK_MARGIN_SECONDS` before that time.

A wrong clock or a paused holder can still make two nodes believe that they
hold the lease. That is harmless: each acquisition raises the fencing number
in the item, and every change that a holder makes is a transaction that
checks holder and number. Once the number has risen, every transaction of an
earlier holder is rejected, no matter how late it arrives.
"""

import dataclasses

import xxhash

from apricotpost import errors
from apricotpost.storage import changes
from apricotpost.storage import store as stores
from apricotpost.storage import table

__all__ = [
    "CLOCK_MARGIN_SECONDS",
    "LEASE_SECONDS",
    "Lease",
    "RENEW_INTERVAL_SECONDS",
    "acquire",
    "is_usable",
    "make_fence",
    "release",
    "renew",
]

LEASE_SECONDS = 10.0
RENEW_INTERVAL_SECONDS = 3.0
# Clocks are assumed to agree within 0.1 s.
CLOCK_MARGIN_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Lease:
    """A lease as its holder last wrote it.

    Parameters
    ----------
    service : str
        Service whose rollouts the holder may control.
    holder : str
        Identifier of the holder, unique to one run of a process, so that
        the holder can read in the item whether a write succeeded whose
        response was lost.
    fence : int
        Fencing number, raised by each acquisition.
    expires_at : float
        Unix time of the expiry in seconds.
    """

    service: str
    holder: str
    fence: int
    expires_at: float


def acquire(
    store: stores.Store, *, service: str, holder: str, now: float
) -> Lease:
    """Acquire a lease that is free or has expired.

    Raises
    ------
    apricotpost.errors.LeaseLost
        Another holder has the lease.
    apricotpost.errors.PlatformError
        The table did not respond. If the lease was acquired nevertheless,
        the same holder can acquire it again without waiting for its expiry.
    """
    item = table.get(store.table, _key(service))
    if item is None:
        lease = _make_lease(service, holder, 1, now)
        return _write_lease(store, lease, table.absent())
    stored = _decode(service, item)
    available = stored.holder in ("", holder)
    if not available and now < stored.expires_at + CLOCK_MARGIN_SECONDS:
        raise errors.LeaseLost(
            f"lease of {service} is held by {stored.holder} for "
            f"{stored.expires_at - now:.1f} s"
        )
    # A renewal after the read changes the time, so this write is rejected.
    condition = table.equals(
        holder=stored.holder,
        fence=stored.fence,
        expires_ms=_to_milliseconds(stored.expires_at),
    )
    return _write_lease(
        store, _make_lease(service, holder, stored.fence + 1, now), condition
    )


def renew(store: stores.Store, lease: Lease, *, now: float) -> Lease:
    """Extend a lease by `LEASE_SECONDS` from now.

    Raises
    ------
    apricotpost.errors.LeaseLost
        Another holder has the lease.
    apricotpost.errors.PlatformError
        The table did not respond; the holder must assume the old expiry.
    """
    renewed = _make_lease(lease.service, lease.holder, lease.fence, now)
    return _write_lease(store, renewed, _make_holder_condition(lease))


def release(store: stores.Store, lease: Lease) -> None:
    """Release a lease, so that the next holder need not wait for its expiry.

    The item keeps the fencing number, which must never decrease.

    Raises
    ------
    apricotpost.errors.PlatformError
        The table did not respond; the lease expires by itself.
    """
    released = dataclasses.replace(lease, holder="", expires_at=0.0)
    table.transact(
        store.table,
        [
            table.Put(
                item=_encode(released), condition=_make_holder_condition(lease)
            )
        ],
        token=_make_token(released),
    )


def is_usable(lease: Lease, *, now: float) -> bool:
    """Return whether the holder may still use its lease."""
    return now < lease.expires_at - CLOCK_MARGIN_SECONDS


def make_fence(lease: Lease) -> changes.Fence:
    """Return the fence that the holder's changes must contain."""
    return changes.Fence(
        key=_key(lease.service), holder=lease.holder, number=lease.fence
    )


def _make_lease(service: str, holder: str, fence: int, now: float) -> Lease:
    return Lease(
        service=service,
        holder=holder,
        fence=fence,
        expires_at=now + LEASE_SECONDS,
    )


def _write_lease(
    store: stores.Store, lease: Lease, condition: table.Condition
) -> Lease:
    write = table.Put(item=_encode(lease), condition=condition)
    try:
        table.transact(store.table, [write], token=_make_token(lease))
    except errors.PlatformOutcomeUnknown:
        if not _is_stored(store, lease):
            raise
    except errors.TransactionRejected as error:
        raise errors.LeaseLost(
            f"lease of {lease.service} was acquired by another holder"
        ) from error
    return lease


def _is_stored(store: stores.Store, lease: Lease) -> bool:
    item = table.get(store.table, _key(lease.service))
    return item is not None and item.attributes == _encode(lease).attributes


def _make_holder_condition(lease: Lease) -> table.Condition:
    return table.equals(holder=lease.holder, fence=lease.fence)


def _key(service: str) -> table.Key:
    return table.Key(pk="lease", sk=service)


def _encode(lease: Lease) -> table.Item:
    return table.Item(
        key=_key(lease.service),
        attributes={
            "holder": lease.holder,
            "fence": lease.fence,
            "expires_ms": _to_milliseconds(lease.expires_at),
        },
    )


def _decode(service: str, item: table.Item) -> Lease:
    return Lease(
        service=service,
        holder=str(item.attributes["holder"]),
        fence=int(item.attributes["fence"]),
        expires_at=int(item.attributes["expires_ms"]) / 1000,
    )


def _to_milliseconds(seconds: float) -> int:
    return round(seconds * 1000)


def _make_token(lease: Lease) -> str:
    """Return an idempotency token that differs between different writes."""
    content = (
        f"{lease.service}/{lease.holder}/{lease.fence}/"
        f"{_to_milliseconds(lease.expires_at)}"
    )
    return xxhash.xxh128_hexdigest(content.encode())
