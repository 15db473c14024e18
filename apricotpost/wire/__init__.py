"""Protocol between nodes and tasks: messages, codec and sockets.

The messages of the thread-based node are imported on first use; the stub
beside this file lists all names.
"""

import typing

import lazy_loader

from apricotpost.wire.codec import decode
from apricotpost.wire.codec import encode
from apricotpost.wire.codec import Message
from apricotpost.wire.order_messages import OrderRow
from apricotpost.wire.order_messages import OrdersPull
from apricotpost.wire.order_messages import OrdersPush
from apricotpost.wire.order_messages import PackedForm
from apricotpost.wire.order_messages import PackedRow
from apricotpost.wire.outcomes import Cancel
from apricotpost.wire.outcomes import NotRunReason
from apricotpost.wire.outcomes import UnknownReason
from apricotpost.wire.sidecar_messages import AgedState
from apricotpost.wire.sidecar_messages import BodyGrant
from apricotpost.wire.sidecar_messages import BodyPart
from apricotpost.wire.sidecar_messages import CancelQueued
from apricotpost.wire.sidecar_messages import Delivered
from apricotpost.wire.sidecar_messages import Failed
from apricotpost.wire.sidecar_messages import MAX_PART_BYTES
from apricotpost.wire.sidecar_messages import NodeState
from apricotpost.wire.sidecar_messages import Offer
from apricotpost.wire.sidecar_messages import Receipt
from apricotpost.wire.sidecar_messages import Refused
from apricotpost.wire.sidecar_messages import ServerLoad
from apricotpost.wire.sidecar_messages import ServerState
from apricotpost.wire.sidecar_messages import StateBatch
from apricotpost.wire.sidecar_messages import TrialNotice
from apricotpost.wire.sidecar_messages import UNLIMITED_MS
from apricotpost.wire.sidecar_messages import VersionCounts
from apricotpost.wire import sockets
from apricotpost.wire.usage_messages import UsageCounts

__all__ = [
    "AgedState",
    "BodyGrant",
    "BodyPart",
    "Cancel",
    "CancelQueued",
    "Delivered",
    "Failed",
    "MAX_PART_BYTES",
    "Message",
    "NodeState",
    "NotRunReason",
    "Offer",
    "OrderRow",
    "OrdersPull",
    "OrdersPush",
    "PackedForm",
    "PackedRow",
    "Receipt",
    "Refused",
    "ServerLoad",
    "ServerState",
    "StateBatch",
    "TrialNotice",
    "UNLIMITED_MS",
    "UnknownReason",
    "UsageCounts",
    "VersionCounts",
    "decode",
    "encode",
    "sockets",
]

_load_attribute, __dir__, _ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "messages": [
            "Ack",
            "Answer",
            "Call",
            "ConfigDelta",
            "ConfigDigest",
            "ConfigRefused",
            "ConfigRequest",
            "ConfigSnapshot",
            "EvidenceReport",
            "Join",
            "Members",
            "MembersRequest",
            "NotRun",
            "OutcomeUnknown",
            "Ping",
            "PingRequest",
            "Welcome",
            "WithdrawalNotice",
        ],
        "tasks": [
            "BackendJob",
            "BackendResult",
            "BackendServerAnnounced",
            "CallerLeft",
            "CallMeasured",
            "CallRequest",
            "CallResult",
            "ConfigCommitted",
            "ConfigRead",
            "GateControl",
            "GateReport",
            "LeaveAnnounced",
            "LevelsReply",
            "LevelsRequest",
            "Outcome",
            "ReadConfig",
            "StatusReply",
            "StatusRequest",
            "StopTask",
            "WorkerReady",
        ],
    },
)


def __getattr__(name: str) -> typing.Any:
    """Import a message type and keep it for the next use."""
    value = _load_attribute(name)
    globals()[name] = value
    return value
