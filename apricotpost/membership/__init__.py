"""Failure detection and instance records (SWIM)."""

from apricotpost.membership.members import Action
from apricotpost.membership.members import Event
from apricotpost.membership.members import Member
from apricotpost.membership.members import Membership
from apricotpost.membership.members import OwnChanged
from apricotpost.membership.members import Parameters
from apricotpost.membership.members import Received
from apricotpost.membership.members import Reply
from apricotpost.membership.members import Send
from apricotpost.membership.members import Step
from apricotpost.membership.members import Tick
from apricotpost.membership.protocol import handle
from apricotpost.membership.protocol import next_tick
from apricotpost.membership.protocol import start
from apricotpost.membership.records import compute_digest
from apricotpost.membership.records import list_visible
from apricotpost.membership.records import merge
from apricotpost.membership.records import supersedes

__all__ = [
    "Action",
    "Event",
    "Member",
    "Membership",
    "OwnChanged",
    "Parameters",
    "Received",
    "Reply",
    "Send",
    "Step",
    "Tick",
    "compute_digest",
    "handle",
    "list_visible",
    "merge",
    "next_tick",
    "start",
    "supersedes",
]
