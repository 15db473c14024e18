"""Clients of the platform's table service and object store."""

from apricotpost.storage.changes import Change
from apricotpost.storage.changes import Fence
from apricotpost.storage.commits import commit
from apricotpost.storage.http import Channel
from apricotpost.storage.http import open_channel
from apricotpost.storage import leases
from apricotpost.storage import objects
from apricotpost.storage import outcomes
from apricotpost.storage.signing import Credentials
from apricotpost.storage.signing import read_credentials
from apricotpost.storage.store import open_store
from apricotpost.storage.store import read_head
from apricotpost.storage.store import read_snapshot
from apricotpost.storage.store import read_updates
from apricotpost.storage.store import Store
from apricotpost.storage.store import with_time_limit
from apricotpost.storage import table

__all__ = [
    "Change",
    "Channel",
    "Credentials",
    "Fence",
    "Store",
    "commit",
    "leases",
    "objects",
    "open_channel",
    "open_store",
    "outcomes",
    "read_credentials",
    "read_head",
    "read_snapshot",
    "read_updates",
    "table",
    "with_time_limit",
]
