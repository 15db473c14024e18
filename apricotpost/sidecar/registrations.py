"""Registration of this node in the store, and the list of the others."""

import asyncio
import logging

import msgspec

from apricotpost import decoding
from apricotpost import errors
from apricotpost import events
from apricotpost.membership import fleet
from apricotpost.membership import registrations
from apricotpost.membership import relays
from apricotpost import platform
from apricotpost.sidecar import gossip
from apricotpost.sidecar import options

__all__ = ["Registry"]

_LOG = logging.getLogger(__name__)

# A relay reads the list of nodes again at most at this interval, while a data
# centre has been silent for the time below.
REREAD_SECONDS = 60.0
LONG_SILENT_SECONDS = 10.0
# Interval at which the reader of a data centre looks for registrations of
# nodes that are gone.
SWEEP_SECONDS = 300.0
# Rows that one transaction removes; the store takes 100 entries.
MAX_REMOVED_ROWS = 40
# Table in which the nodes register their addresses.
NODES = "nodes"


class _NodeRow(msgspec.Struct, frozen=True):
    address: decoding.HostPort
    data_centre: decoding.Name


_decode_node_row = decoding.json_decoder("row of a node", _NodeRow)


class Registry:
    """Registers this node and reads the registrations of the others.

    Parameters
    ----------
    settings : options.Options
        Settings of the node.
    store : platform.Store
        The platform's store.
    members : fleet.Fleet
        States of all nodes.
    peers : gossip.Gossip
        Connects to the nodes that are read.
    """

    def __init__(
        self,
        *,
        settings: options.Options,
        store: platform.Store,
        members: fleet.Fleet,
        peers: gossip.Gossip,
    ) -> None:
        self.settings = settings
        self.store = store
        self.members = members
        self.peers = peers
        self.loop = asyncio.get_running_loop()
        self.read_at = 0.0
        self.swept_at = self.loop.time()
        self.registered_at = 0.0
        self.absences: dict[str, registrations.Absence] = {}

    def make_row(self) -> bytes:
        """Return the row with which this node registers."""
        return msgspec.json.encode(
            _NodeRow(
                address=self.settings.addresses.peer_address(),
                data_centre=self.settings.data_centre,
            )
        )

    async def register(self) -> None:
        """Write the row of this node.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not confirm the write.
        """
        put = (NODES, self.settings.instance, self.make_row())
        await self.store.write(platform.Transaction(put=(put,)))
        self.registered_at = self.loop.time()

    async def unregister(self) -> None:
        """Remove the row of this node, which stops for good.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not confirm the removal.
        """
        remove = (NODES, self.settings.instance)
        await self.store.write(platform.Transaction(remove=(remove,)))

    async def join(self) -> None:
        """Register this node unless it is registered, and read the others.

        A node that starts again finds its row: when many nodes restart, the
        store would process the writes of all nodes one after the other. On
        the first start of a fleet there is no row yet, and the nodes write
        before they read, so that of two nodes one finds the other.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not answer or refused a call.
        """
        if self.settings.first_start and not self.registered_at:
            await self.register()
        rows = await self.read()
        own = rows.get(self.settings.instance)
        if own is None or own.value != self.make_row():
            await self.register()
            await self.read()
        self.registered_at = self.loop.time()

    async def read(self) -> dict[str, platform.Row]:
        """Read the registered nodes and connect to them as needed.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not answer or refused the call.
        """
        self.read_at = self.loop.time()
        page = await self.store.read(NODES)
        found = []
        for row in page.rows:
            try:
                node_row: _NodeRow = _decode_node_row(row.value)
            except errors.MalformedMessage as error:
                events.emit(
                    _LOG,
                    events.ROW_MALFORMED,
                    table=NODES,
                    key=row.key,
                    error=error.message,
                )
                continue
            self.peers.add_listed_node(
                row.key,
                node_row.address,
                node_row.data_centre,
                row.revision,
            )
            found.append(
                registrations.Registration(
                    node=row.key,
                    data_centre=node_row.data_centre,
                    revision=row.revision,
                )
            )
        self.peers.update_connections()
        self.absences = registrations.update_absences(
            self.absences,
            found,
            live=self.live_names(),
            data_centre=self.settings.data_centre,
            now=self.loop.time(),
        )
        return {row.key: row for row in page.rows}

    def live_names(self) -> set[str]:
        """Return the names of the nodes that were heard from recently."""
        live = fleet.live_nodes(
            self.members,
            self.loop.time(),
            within=relays.REMOTE_SILENT_SECONDS,
        )
        names = {state.node for state in live if state.boot}
        names.add(self.settings.instance)
        return names

    def should_read(self, now: float, *, reaches_store: bool) -> bool:
        """Tell whether to read the list of nodes again now.

        A relay does so while a data centre is silent.
        """
        return (
            now - self.read_at >= REREAD_SECONDS
            and reaches_store
            and relays.is_relay(self.members, now)
            and bool(
                fleet.silent_data_centres(
                    self.members,
                    now,
                    self.settings.data_centres,
                    within=LONG_SILENT_SECONDS,
                )
            )
        )

    def should_sweep(self, now: float) -> bool:
        """Tell whether to look for registrations of nodes that are gone."""
        return now - self.swept_at >= SWEEP_SECONDS

    async def sweep(self) -> None:
        """Remove the registrations of nodes that are gone.

        A row is removed only in the revision that was seen all the time.

        Raises
        ------
        apricotpost.errors.PlatformError
            The store did not answer, refused a call, or a row has changed.
        """
        self.swept_at = self.loop.time()
        await self.read()
        gone = registrations.find_gone(self.absences, self.loop.time())
        if not gone:
            return
        removed = gone[:MAX_REMOVED_ROWS]
        await self.store.write(
            platform.Transaction(
                expected=tuple(
                    (NODES, name, revision) for name, revision in removed
                ),
                remove=tuple((NODES, name) for name, _ in removed),
            )
        )
        for name, _ in removed:
            self.absences.pop(name, None)
        events.emit(
            _LOG,
            events.REGISTRATIONS_REMOVED,
            nodes=[name for name, _ in removed],
        )

    def should_renew(self, now: float) -> bool:
        """Tell whether a node without contact to others registers again.

        This shows the others that it is not gone for good.
        """
        return (
            now - self.registered_at >= registrations.RENEW_SECONDS
            and self.live_names() == {self.settings.instance}
        )
