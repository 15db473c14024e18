"""The platform's table service and object store."""

from apricotpost.platform.http import Channel
from apricotpost.platform.http import open_channel
from apricotpost.platform import leases
from apricotpost.platform import objects
from apricotpost.platform import outcomes
from apricotpost.platform.store import Change
from apricotpost.platform.store import commit
from apricotpost.platform.store import Fence
from apricotpost.platform.store import open_store
from apricotpost.platform.store import read_head
from apricotpost.platform.store import read_newer
from apricotpost.platform.store import read_snapshot
from apricotpost.platform.store import Store
from apricotpost.platform import table

__all__ = [
    "Change",
    "Channel",
    "Fence",
    "Store",
    "commit",
    "leases",
    "objects",
    "open_channel",
    "open_store",
    "outcomes",
    "read_head",
    "read_newer",
    "read_snapshot",
    "table",
]
