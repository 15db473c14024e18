"""The platform's table service and object store."""

from apricotpost.platform.changes import Change
from apricotpost.platform.changes import Fence
from apricotpost.platform.commits import commit
from apricotpost.platform.http import Channel
from apricotpost.platform.http import open_channel
from apricotpost.platform import leases
from apricotpost.platform import objects
from apricotpost.platform import outcomes
from apricotpost.platform.signing import Credentials
from apricotpost.platform.signing import read_credentials
from apricotpost.platform.store import bounded
from apricotpost.platform.store import open_store
from apricotpost.platform.store import read_head
from apricotpost.platform.store import read_newer
from apricotpost.platform.store import read_snapshot
from apricotpost.platform.store import Store
from apricotpost.platform import table

__all__ = [
    "Change",
    "Channel",
    "Credentials",
    "Fence",
    "Store",
    "bounded",
    "commit",
    "leases",
    "objects",
    "open_channel",
    "open_store",
    "outcomes",
    "read_credentials",
    "read_head",
    "read_newer",
    "read_snapshot",
    "table",
]
