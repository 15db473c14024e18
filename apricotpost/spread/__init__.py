"""Distribution of configuration versions and of withdrawals."""

from apricotpost.spread.decisions import handle
from apricotpost.spread.decisions import next_tick
from apricotpost.spread.decisions import start
from apricotpost.spread.readers import make_roster
from apricotpost.spread.readers import rank
from apricotpost.spread.state import Action
from apricotpost.spread.state import Committed
from apricotpost.spread.state import Event
from apricotpost.spread.state import Joining
from apricotpost.spread.state import Noted
from apricotpost.spread.state import Peer
from apricotpost.spread.state import Policy
from apricotpost.spread.state import ReadTable
from apricotpost.spread.state import Received
from apricotpost.spread.state import Refused
from apricotpost.spread.state import Reply
from apricotpost.spread.state import Roster
from apricotpost.spread.state import Send
from apricotpost.spread.state import SpreadState
from apricotpost.spread.state import Step
from apricotpost.spread.state import Stopped
from apricotpost.spread.state import TableRead
from apricotpost.spread.state import Tick

__all__ = [
    "Action",
    "Committed",
    "Event",
    "Joining",
    "Noted",
    "Peer",
    "Policy",
    "ReadTable",
    "Received",
    "Refused",
    "Reply",
    "Roster",
    "Send",
    "SpreadState",
    "Step",
    "Stopped",
    "TableRead",
    "Tick",
    "handle",
    "make_roster",
    "next_tick",
    "rank",
    "start",
]
