"""Task that keeps the operators' orders in force on this node."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import random
import typing

from apricotpost.distribution import orders
from apricotpost.distribution import patches
from apricotpost import errors
from apricotpost import events
from apricotpost.membership import fleet
from apricotpost import platform
from apricotpost import revisions
from apricotpost.sidecar import gossip
from apricotpost.sidecar import links
from apricotpost.sidecar import options
from apricotpost.sidecar import order_contact
from apricotpost.sidecar import order_requests
from apricotpost.sidecar import registrations
from apricotpost.sidecar import views
from apricotpost import wire

__all__ = ["Orders"]

_LOG = logging.getLogger(__name__)

StoreCall = Callable[[], Coroutine[typing.Any, typing.Any, object]]

# Duration of a watch. Orders have to be in force within 2 s, counted from 3 s
# after a fault; a hung connection to the store has to be detected before that.
WATCH_SECONDS = 2.0
# Pause after a failed call of the store; it doubles with each failure.
MIN_RETRY_PAUSE_SECONDS = 0.15
MAX_RETRY_PAUSE_SECONDS = 1.5
CHECK_SECONDS = 0.2
# Time in which a started node receives the states of its neighbours, which
# they send every 0.5 s, before it may act as the reader of its data centre.
DISCOVERY_SECONDS = 0.8
# A node that has lacked orders of another node for longer requests them.
LAG_SECONDS = 0.3
# After the store has returned from an older copy, operators write again what
# it has lost. For this time, only configurations that are newer than the one
# in force are taken from it; it is read at the interval below meanwhile.
RECOVERY_SECONDS = 2.0
RECOVERY_READ_SECONDS = 0.25
# A node that lacks orders of a new era watches the store itself only after
# this time. Before, the reader of its data centre may be waiting, and all the
# others would call the store.
NEW_ERA_LAG_SECONDS = 2 * RECOVERY_SECONDS


class Orders:
    """Orders of this node, and its access to the store.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    store : platform.Store
        The platform's store.
    members : fleet.Fleet
        States of all nodes.
    peers : gossip.Gossip
        Publishes the orders' revision and whether the store is reached.
    on_view : callable
        Called with the views before and after a change.
    rng : random.Random
        Source of jitter and of the choice among peers.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        store: platform.Store,
        members: fleet.Fleet,
        peers: gossip.Gossip,
        on_view: Callable[[views.TrafficView, views.TrafficView], None],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.members = members
        self.peers = peers
        self.on_view = on_view
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.order_store = orders.OrderStore()
        self.view = views.EMPTY
        # Decoded routes of the configuration in force.
        self.routes = platform.RouteCache()
        self.registry = registrations.Registry(
            settings=settings, store=store, members=members, peers=peers
        )
        self.requests = order_requests.OrderRequests(
            members=members,
            peers=peers,
            order_store=self.order_store,
            rng=rng,
        )
        self.links: links.Links | None = None
        # Reads the stored trials; called before rollout orders are in force.
        self.read_trials: StoreCall | None = None
        self.reader = False
        self.store_lost_at: float | None = None
        self.store_probed_at = 0.0
        self.retry_pause_seconds = MIN_RETRY_PAUSE_SECONDS
        self.lagging_since: float | None = None
        # Newest era of the store of which this node has read orders, and when
        # it first did so.
        self.era = 0
        self.era_since = 0.0
        self.contact = order_contact.OrderContact(members=members)

    def contact_age_seconds(self) -> float:
        """Return the time since this node knew that it had all orders."""
        now = self.loop.time()
        self.contact.update(now, revision=self.order_store.revision)
        return now - self.contact.last_at

    async def run(self) -> None:
        """Register, then read orders from the store or from peers."""
        await self.retry(self.registry.join)
        await self.retry(self.read_all)
        if self.has_neighbours():
            await asyncio.sleep(DISCOVERY_SECONDS)
        while True:
            now = self.loop.time()
            reader = fleet.is_reader(
                self.members, now, reaches_store=self.store_lost_at is None
            )
            if reader != self.reader:
                self.reader = reader
                events.emit(_LOG, events.READER_CHANGED, reader=reader)
            reaches_store = self.store_lost_at is None
            if self.registry.should_read(now, reaches_store=reaches_store):
                await self.attempt(self.registry.read)
            elif reader and self.registry.should_sweep(now):
                await self.attempt(self.registry.sweep)
            elif reaches_store and self.registry.should_renew(now):
                await self.attempt(self.registry.register)
            elif reader or self.should_probe_store(now):
                self.store_probed_at = now
                await self.attempt(self.watch)
            else:
                await self.catch_up()
                await asyncio.sleep(CHECK_SECONDS)

    def has_neighbours(self) -> bool:
        """Tell whether other nodes of this data centre have registered."""
        return any(
            name != self.settings.instance
            and node.state.data_centre == self.settings.data_centre
            for name, node in self.members.nodes.items()
        )

    def should_probe_store(self, now: float) -> bool:
        """Tell whether to call a lost store now."""
        if self.store_lost_at is None:
            return False
        pause = fleet.probe_interval_seconds(self.members, now)
        return now - self.store_probed_at >= pause

    async def retry(self, call: StoreCall) -> None:
        """Repeat a call of the store until it succeeds."""
        while not await self.attempt(call):
            continue

    async def attempt(self, call: StoreCall) -> bool:
        """Call the store once and pause after a failure.

        Returns
        -------
        bool
            Whether the call succeeded.
        """
        try:
            await call()
        except errors.PlatformError as error:
            self.record_store_lost(error)
            jitter = self.rng.uniform(0.6, 1.4)
            await asyncio.sleep(self.retry_pause_seconds * jitter)
            self.retry_pause_seconds = min(
                self.retry_pause_seconds * 2, MAX_RETRY_PAUSE_SECONDS
            )
            return False
        self.record_store_regained()
        return True

    async def read_all(self) -> None:
        """Read all orders from the store and push them to local peers."""
        page = await self.store.read(platform.ORDERS)
        self.contact.record_read(self.loop.time())
        rows = tuple(map(_order_row, page.rows))
        if self.read_trials is not None and any(
            row.key.startswith(platform.ROLLOUTS) for row in rows
        ):
            await self.read_trials()
        after_revision = self.order_store.revision
        previous = dict(self.order_store.rows)
        changed = self.merge_read(rows, page.revision)
        self.apply(changed, previous)
        if changed or self.order_store.revision > after_revision:
            self.push(previous, after_revision=after_revision)

    def merge_read(
        self, rows: tuple[wire.OrderRow, ...], revision: int
    ) -> list[wire.OrderRow]:
        """Merge all orders of the store; return the changed ones.

        While the store recovers, only newer configurations are merged, and
        the revision of this node's orders stays.

        Parameters
        ----------
        rows : tuple of wire.OrderRow
            Rows of all orders.
        revision : int
            Revision of the store at which they were read.
        """
        if not self.is_recovering(revision):
            return orders.replace_all(
                self.order_store,
                rows,
                revision=revision,
                is_outdated=is_outdated,
            )
        return orders.merge(
            self.order_store,
            orders.find_updates(
                self.order_store, rows, is_outdated=is_outdated
            ),
            after_revision=self.order_store.revision,
            revision=self.order_store.revision,
            is_outdated=is_outdated,
        )

    def is_recovering(self, revision: int) -> bool:
        """Tell whether operators may still be writing lost orders again.

        Parameters
        ----------
        revision : int
            Revision of the orders that were just read.
        """
        now = self.loop.time()
        era = revisions.era_of(revision)
        if era > self.era:
            self.era = era
            self.era_since = now
        return (
            orders.follows_new_era(self.order_store, revision)
            and now - self.era_since < RECOVERY_SECONDS
        )

    async def watch(self) -> None:
        """Wait for changed orders and push them to local peers."""
        after_revision = self.order_store.revision
        try:
            page = await self.store.watch(
                platform.ORDERS, after_revision, WATCH_SECONDS
            )
        except errors.HistoryExpired:
            await self.read_all()
            if self.order_store.revision == after_revision:
                # The store is recovering, or an outdated replica has answered.
                await asyncio.sleep(RECOVERY_READ_SECONDS)
            return
        self.contact.record_read(self.loop.time())
        if page.revision <= after_revision:
            return
        previous = dict(self.order_store.rows)
        changed = orders.merge(
            self.order_store,
            map(_order_row, page.rows),
            after_revision=after_revision,
            revision=page.revision,
            is_outdated=is_outdated,
        )
        self.apply(changed, previous)
        if changed or self.order_store.revision > after_revision:
            self.push(previous, after_revision=after_revision)

    def push(
        self,
        previous: Mapping[str, wire.OrderRow],
        *,
        after_revision: int,
    ) -> None:
        """Send changed orders to the nodes of this data centre.

        All rows since the revision are sent, also those that were merged
        before without a new revision, while the store recovered: a node that
        missed them would not request them after the new revision.

        Parameters
        ----------
        previous : mapping
            Rows before the change, which the other nodes hold as well.
        after_revision : int
            Revision before the change.
        """
        rows = tuple(
            patches.pack(row, previous.get(row.key))
            for row in orders.changed_after(self.order_store, after_revision)
        )
        if self.links is None or not rows:
            return
        message = wire.OrdersPush(
            after_revision=after_revision,
            revision=self.order_store.revision,
            rows=rows,
        )
        self.peers.send_local(message)

    def handle_push(self, message: wire.OrdersPush) -> None:
        """Apply changed orders that another node has pushed.

        If the base of a patch is not the row held here, this node's revision
        does not advance, and `catch_up` requests whole rows.
        """
        rows = []
        revision = message.revision
        for packed in message.rows:
            if patches.is_current(packed, self.order_store):
                continue
            try:
                row = patches.unpack(packed, self.order_store)
            except errors.MalformedMessage as error:
                row = None
                events.emit(_LOG, events.LINK_MALFORMED, error=error.message)
            if (
                row is not None
                and row.key == platform.CONFIGURATION
                and packed.form is wire.PackedForm.PATCH
                and not platform.is_encoded(row.value)
            ):
                # The sender's base has other bytes, as it predates digests
                # of keys.
                row = None
            if row is None:
                revision = self.order_store.revision
                events.emit(
                    _LOG,
                    events.ORDER_BASE_MISSING,
                    key=packed.key,
                    base=packed.base,
                    revision=packed.revision,
                )
                continue
            rows.append(row)
        previous = dict(self.order_store.rows)
        changed = orders.merge(
            self.order_store,
            rows,
            after_revision=message.after_revision,
            revision=revision,
            is_outdated=is_outdated,
        )
        self.apply(changed, previous)

    def handle_pull(self, message: wire.OrdersPull) -> None:
        """Send another node the orders that it lacks."""
        if (
            self.links is None
            or message.after_revision >= self.order_store.revision
        ):
            return
        self.links.send(
            message.node,
            wire.OrdersPush(
                after_revision=message.after_revision,
                revision=self.order_store.revision,
                rows=tuple(
                    patches.pack(row, None)
                    for row in orders.changed_after(
                        self.order_store, message.after_revision
                    )
                ),
            ),
        )

    def apply(
        self,
        changed: Iterable[wire.OrderRow],
        previous: Mapping[str, wire.OrderRow],
    ) -> None:
        """Put changed orders in force and publish the revision.

        Parameters
        ----------
        changed : iterable of wire.OrderRow
            Changed rows.
        previous : mapping
            Rows before the change.
        """
        self.peers.orders_revision = self.order_store.revision
        changed = [
            row
            for row in changed
            # A trial follows its order into a new era.
            if row.key.startswith(platform.ROLLOUTS)
            or orders.has_new_content(row, previous.get(row.key))
        ]
        if not changed:
            return
        before = self.view
        self.view, faults = views.apply_orders(before, changed, self.routes)
        for fault in faults:
            events.emit(
                _LOG,
                events.ORDERS_REFUSED,
                error=fault.message,
                faults=fault.faults[:5],
            )
        events.emit(
            _LOG,
            events.ORDERS_APPLIED,
            revision=self.order_store.revision,
            version=self.view.version,
            keys=[row.key for row in changed][:10],
        )
        self.on_view(before, self.view)
        self.peers.schedule_publish()

    def replace_view(self, view: views.TrafficView) -> None:
        """Put a view with a changed trial in force."""
        before, self.view = self.view, view
        self.on_view(before, view)

    async def catch_up(self) -> None:
        """Request missing orders if another node is ahead for `LAG_SECONDS`.

        Without a local peer that has them, the store is watched.
        """
        newest_revision = fleet.newest_orders(self.members)
        now = self.loop.time()
        self.contact.update(now, revision=self.order_store.revision)
        if newest_revision <= self.order_store.revision:
            self.lagging_since = None
            return
        if self.lagging_since is None:
            self.lagging_since = now
        lag_seconds = now - self.lagging_since
        if lag_seconds < LAG_SECONDS:
            return
        if self.requests.send_to_local_peer(now):
            self.lagging_since = None
            return
        if (
            orders.follows_new_era(self.order_store, newest_revision)
            and lag_seconds < NEW_ERA_LAG_SECONDS
        ):
            return
        self.lagging_since = None
        await self.attempt(self.watch)

    def record_store_lost(self, error: errors.PlatformError) -> None:
        """Record a failed call of the store and request orders from peers."""
        if self.store_lost_at is None:
            self.store_lost_at = self.loop.time()
            events.emit(_LOG, events.STORE_UNREACHABLE, error=error.message)
            self.peers.reaches_store = False
            self.peers.schedule_publish()
        self.requests.send_to_any_peer()

    def record_store_regained(self) -> None:
        """Record a successful call of the store."""
        self.retry_pause_seconds = MIN_RETRY_PAUSE_SECONDS
        if self.store_lost_at is None:
            return
        seconds = round(self.loop.time() - self.store_lost_at, 1)
        self.store_lost_at = None
        events.emit(_LOG, events.STORE_REACHABLE, seconds=seconds)
        self.peers.reaches_store = True
        self.peers.schedule_publish()


def is_outdated(held_row: wire.OrderRow, row: wire.OrderRow) -> bool:
    """Tell whether a configuration is older than the held one.

    The store may come back with an older one. Other orders have no version
    that tells.
    """
    return row.key == platform.CONFIGURATION and platform.read_version(
        row.value
    ) < platform.read_version(held_row.value)


def _order_row(row: platform.Row) -> wire.OrderRow:
    value = row.value
    if row.key == platform.CONFIGURATION:
        # Keys are neither kept nor sent to other nodes.
        value = platform.hide_keys(value)
    return wire.OrderRow(
        key=row.key,
        value=value,
        revision=row.revision,
        removed=row.removed,
    )
