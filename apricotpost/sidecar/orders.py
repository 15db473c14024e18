"""Task that keeps the operators' orders in force on this node."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Iterable
from collections.abc import Mapping
import logging
import random
import typing

import msgspec

from apricotpost import errors
from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import relays
from apricotpost import platform
from apricotpost.sidecar import gossip
from apricotpost.sidecar import links
from apricotpost.sidecar import options
from apricotpost.sidecar import views
from apricotpost.spread import orders
from apricotpost.spread import patches
from apricotpost import wire

__all__ = ["Orders"]

_LOG = logging.getLogger(__name__)

Step = Callable[[], Coroutine[typing.Any, typing.Any, None]]

# A silent connection to the store must show before an order is late: orders
# are in force within 2 s, counted from 3 s after the fault.
WATCH_SECONDS = 2.0
# Pauses after a failed call of the store, growing by a factor of two.
MIN_PAUSE_SECONDS = 0.15
MAX_PAUSE_SECONDS = 1.5
CHECK_SECONDS = 0.2
# A node that has started hears its neighbours, which tell their states each
# half a second, before it takes itself for the reader of its data centre.
SETTLE_SECONDS = 0.8
# A data centre that is silent for so long is cut off, not just disturbed: its
# nodes may be others by the time it returns. Relays read the list again then,
# at intervals, for which 6 data centres pay 0.2 calls a second together.
LONG_SILENT_SECONDS = 10.0
REREAD_SECONDS = 60.0
# A node that lags behind another for so long asks for what it misses.
LAG_SECONDS = 0.3
# The table in which nodes find each other.
NODES = "nodes"


class _NodeRow(msgspec.Struct, frozen=True):
    address: str
    data_centre: str


class Orders:
    """State of the task.

    Parameters
    ----------
    settings : options.Options
        Of the node.
    store : platform.Store
        The platform's store.
    known : fleet.Fleet
        States of all nodes.
    peers : gossip.Gossip
        Told of the revision and of the store's state.
    on_view : callable
        Called with the view before and after a change.
    rng : random.Random
        Spreads retries in time.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        store: platform.Store,
        known: fleet.Fleet,
        peers: gossip.Gossip,
        on_view: Callable[[views.TrafficView, views.TrafficView], None],
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.store = store
        self.known = known
        self.peers = peers
        self.on_view = on_view
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.order_store = orders.OrderStore()
        self.view = views.EMPTY
        # Decoded routes of the configuration in force.
        self.routes = platform.RouteCache()
        self.links: links.Links | None = None
        # Reads where the rollouts stand before their orders are in force.
        self.before_rollouts: Step | None = None
        self.reader = False
        self.lost_at: float | None = None
        self.probed_at = 0.0
        self.pause = MIN_PAUSE_SECONDS
        self.lagging_since: float | None = None
        self.listed_at = 0.0

    async def run(self) -> None:
        """Register, then read or wait for what others have read."""
        await self.retry(self.join)
        if self.has_neighbours():
            await asyncio.sleep(SETTLE_SECONDS)
        while True:
            now = self.loop.time()
            reader = fleet.is_reader(
                self.known, now, reaches_store=self.lost_at is None
            )
            if reader != self.reader:
                self.reader = reader
                events.emit(_LOG, events.READER_CHANGED, reader=reader)
            if self.misses_data_centre(now):
                await self.attempt(self.read_nodes)
            elif reader or self.may_probe(now):
                self.probed_at = now
                await self.attempt(self.watch)
            else:
                await self.catch_up()
                await asyncio.sleep(CHECK_SECONDS)

    def has_neighbours(self) -> bool:
        """Tell whether other nodes of this data centre have registered."""
        return any(
            name != self.settings.instance
            and node.state.data_centre == self.settings.data_centre
            for name, node in self.known.nodes.items()
        )

    def misses_data_centre(self, now: float) -> bool:
        """Tell whether to look for the nodes of a silent data centre now."""
        return (
            now - self.listed_at >= REREAD_SECONDS
            and self.lost_at is None
            and relays.is_relay(self.known, now)
            and bool(
                fleet.silent_data_centres(
                    self.known,
                    now,
                    self.settings.data_centres,
                    within=LONG_SILENT_SECONDS,
                )
            )
        )

    def may_probe(self, now: float) -> bool:
        """Tell whether to look for the return of a lost store now."""
        if self.lost_at is None:
            return False
        pause = fleet.probe_seconds(self.known, now)
        return now - self.probed_at >= pause

    async def retry(self, step: Step) -> None:
        """Repeat a step until the store has done it."""
        while not await self.attempt(step):
            continue

    async def attempt(self, step: Step) -> bool:
        """Call the store once; wait after a failure."""
        try:
            await step()
        except errors.PlatformError as error:
            self.record_store_lost(error)
            spread = self.rng.uniform(0.6, 1.4)
            await asyncio.sleep(self.pause * spread)
            self.pause = min(self.pause * 2, MAX_PAUSE_SECONDS)
            return False
        self.record_store_regained()
        return True

    async def join(self) -> None:
        """Register this node and read who else is there and the orders."""
        row = _NodeRow(
            address=self.settings.addresses.for_peers(),
            data_centre=self.settings.data_centre,
        )
        put = (NODES, self.settings.instance, msgspec.json.encode(row))
        await self.store.write(platform.Change(put=(put,)))
        await self.read_all()
        await self.read_nodes()

    async def read_nodes(self) -> None:
        """Meet the nodes that have registered."""
        self.listed_at = self.loop.time()
        page = await self.store.read(NODES)
        for row in page.rows:
            try:
                found = msgspec.json.decode(row.value, type=_NodeRow)
            except msgspec.DecodeError as error:
                events.emit(_LOG, events.LINK_MALFORMED, error=str(error))
                continue
            self.peers.add_listed_node(
                row.key, found.address, found.data_centre
            )
        self.peers.update_contacts()

    async def read_all(self) -> None:
        """Read all orders."""
        page = await self.store.read(platform.ORDERS)
        rows = tuple(map(_order_row, page.rows))
        if self.before_rollouts is not None and any(
            row.key.startswith(platform.ROLLOUTS) for row in rows
        ):
            await self.before_rollouts()
        after = self.order_store.revision
        held = dict(self.order_store.rows)
        news = orders.replace_all(
            self.order_store, rows, revision=page.revision
        )
        self.apply(news)
        self.push(news, held, after=after)

    async def watch(self) -> None:
        """Wait for changed orders and hand them to the data centre."""
        after = self.order_store.revision
        try:
            page = await self.store.watch(
                platform.ORDERS, after, WATCH_SECONDS
            )
        except errors.HistoryLost:
            await self.read_all()
            return
        if page.revision <= after:
            return
        held = dict(self.order_store.rows)
        news = orders.merge(
            self.order_store,
            map(_order_row, page.rows),
            after=after,
            revision=page.revision,
        )
        self.apply(news)
        self.push(news, held, after=after)

    def push(
        self,
        news: Iterable[wire.OrderRow],
        held: Mapping[str, wire.OrderRow],
        *,
        after: int,
    ) -> None:
        """Send changed orders to the nodes of this data centre.

        Parameters
        ----------
        news : iterable of wire.OrderRow
            Changed rows.
        held : mapping
            Rows before the change, which the other nodes hold, too.
        after : int
            Revision before the change.
        """
        rows = tuple(patches.pack(row, held.get(row.key)) for row in news)
        if self.links is None or not rows:
            return
        message = wire.OrdersPush(
            after=after, revision=self.order_store.revision, rows=rows
        )
        self.peers.send_local(message)

    def handle_push(self, message: wire.OrdersPush) -> None:
        """Take changed orders of another node.

        If a patch does not fit to what is held here, the gap stays and
        `catch_up` asks for whole rows.
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
            if row is None:
                revision = self.order_store.revision
                events.emit(
                    _LOG,
                    events.ORDERS_GAP,
                    key=packed.key,
                    base=packed.base,
                    revision=packed.revision,
                )
                continue
            rows.append(row)
        news = orders.merge(
            self.order_store, rows, after=message.after, revision=revision
        )
        self.apply(news)

    def handle_pull(self, message: wire.OrdersPull) -> None:
        """Send another node the orders that it lacks."""
        if self.links is None or message.after >= self.order_store.revision:
            return
        self.links.send(
            message.node,
            wire.OrdersPush(
                after=message.after,
                revision=self.order_store.revision,
                rows=tuple(
                    patches.pack(row, None)
                    for row in orders.changed_after(
                        self.order_store, message.after
                    )
                ),
            ),
        )

    def apply(self, news: list[wire.OrderRow]) -> None:
        """Put changed orders in force."""
        self.peers.orders = self.order_store.revision
        if not news:
            return
        before = self.view
        self.view, faults = views.apply_orders(before, news, self.routes)
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
            keys=[row.key for row in news][:10],
        )
        self.on_view(before, self.view)
        self.peers.schedule_publish()

    def replace_view(self, view: views.TrafficView) -> None:
        """Put a view with another state of rollouts in force."""
        before, self.view = self.view, view
        self.on_view(before, view)

    async def catch_up(self) -> None:
        """Ask for missing orders if another node is ahead for long."""
        newest = fleet.newest_orders(self.known)
        now = self.loop.time()
        if newest <= self.order_store.revision:
            self.lagging_since = None
            return
        if self.lagging_since is None:
            self.lagging_since = now
        if now - self.lagging_since < LAG_SECONDS:
            return
        self.lagging_since = None
        if not self.request_from_local_peer(now):
            await self.attempt(self.watch)

    def request_from_local_peer(self, now: float) -> bool:
        """Ask a node of this data centre for the missing orders."""
        if self.links is None:
            return False
        for state in fleet.live_nodes(self.known, now):
            if (
                state.orders > self.order_store.revision
                and state.data_centre == self.settings.data_centre
            ):
                return self.request_orders(state.node)
        return False

    def request_from_any_peer(self) -> None:
        """Ask any node for missing orders while the store is lost."""
        now = self.loop.time()
        ahead = [
            state
            for state in fleet.live_nodes(
                self.known, now, within=relays.REMOTE_SILENT_SECONDS
            )
            if state.orders > self.order_store.revision
        ]
        local = [
            s for s in ahead if s.data_centre == self.settings.data_centre
        ]
        if not ahead:
            return
        chosen = self.rng.choice(local or ahead).node
        if not self.request_orders(chosen):
            # The next attempt finds it connected.
            self.peers.connect(chosen)

    def request_orders(self, node: str) -> bool:
        """Ask a node for the orders that this one lacks."""
        if self.links is None:
            return False
        message = wire.OrdersPull(
            node=self.settings.instance, after=self.order_store.revision
        )
        return self.links.send(node, message)

    def record_store_lost(self, error: errors.PlatformError) -> None:
        """Note a failed call of the store."""
        if self.lost_at is None:
            self.lost_at = self.loop.time()
            events.emit(_LOG, events.STORE_LOST, error=error.message)
            self.peers.reaches_store = False
            self.peers.schedule_publish()
        self.request_from_any_peer()

    def record_store_regained(self) -> None:
        """Note a call of the store that was answered."""
        self.pause = MIN_PAUSE_SECONDS
        if self.lost_at is None:
            return
        seconds = round(self.loop.time() - self.lost_at, 1)
        self.lost_at = None
        events.emit(_LOG, events.STORE_REGAINED, seconds=seconds)
        self.peers.reaches_store = True
        self.peers.schedule_publish()


def _order_row(row: platform.Row) -> wire.OrderRow:
    return wire.OrderRow(
        key=row.key,
        value=row.value,
        revision=row.revision,
        removed=row.removed,
    )
