"""Protocol between nodes and tasks: messages, codec and sockets."""

from apricotpost.wire.codec import decode
from apricotpost.wire.codec import encode
from apricotpost.wire.codec import Message
from apricotpost.wire.messages import Ack
from apricotpost.wire.messages import Answer
from apricotpost.wire.messages import Call
from apricotpost.wire.messages import Cancel
from apricotpost.wire.messages import ConfigDelta
from apricotpost.wire.messages import ConfigDigest
from apricotpost.wire.messages import ConfigRefused
from apricotpost.wire.messages import ConfigRequest
from apricotpost.wire.messages import ConfigSnapshot
from apricotpost.wire.messages import EvidenceReport
from apricotpost.wire.messages import Join
from apricotpost.wire.messages import Members
from apricotpost.wire.messages import MembersRequest
from apricotpost.wire.messages import NotRun
from apricotpost.wire.messages import NotRunReason
from apricotpost.wire.messages import OutcomeUnknown
from apricotpost.wire.messages import Ping
from apricotpost.wire.messages import PingRequest
from apricotpost.wire.messages import UnknownReason
from apricotpost.wire.messages import Welcome
from apricotpost.wire.messages import WithdrawalNotice
from apricotpost.wire.sidecar_messages import AgedState
from apricotpost.wire.sidecar_messages import Delivered
from apricotpost.wire.sidecar_messages import Failed
from apricotpost.wire.sidecar_messages import NodeState
from apricotpost.wire.sidecar_messages import Offer
from apricotpost.wire.sidecar_messages import OrderRow
from apricotpost.wire.sidecar_messages import OrdersPull
from apricotpost.wire.sidecar_messages import OrdersPush
from apricotpost.wire.sidecar_messages import PackedForm
from apricotpost.wire.sidecar_messages import PackedRow
from apricotpost.wire.sidecar_messages import Refused
from apricotpost.wire.sidecar_messages import ServerLoad
from apricotpost.wire.sidecar_messages import ServerState
from apricotpost.wire.sidecar_messages import StateBatch
from apricotpost.wire.sidecar_messages import TrialNotice
from apricotpost.wire.sidecar_messages import VersionCounts
from apricotpost.wire import sockets
from apricotpost.wire.tasks import BackendJob
from apricotpost.wire.tasks import BackendResult
from apricotpost.wire.tasks import BackendServerAnnounced
from apricotpost.wire.tasks import CallerLeft
from apricotpost.wire.tasks import CallMeasured
from apricotpost.wire.tasks import CallRequest
from apricotpost.wire.tasks import CallResult
from apricotpost.wire.tasks import ConfigCommitted
from apricotpost.wire.tasks import ConfigRead
from apricotpost.wire.tasks import GateControl
from apricotpost.wire.tasks import GateReport
from apricotpost.wire.tasks import LeaveAnnounced
from apricotpost.wire.tasks import LevelsReply
from apricotpost.wire.tasks import LevelsRequest
from apricotpost.wire.tasks import Outcome
from apricotpost.wire.tasks import ReadConfig
from apricotpost.wire.tasks import StatusReply
from apricotpost.wire.tasks import StatusRequest
from apricotpost.wire.tasks import StopTask
from apricotpost.wire.tasks import WorkerReady

__all__ = [
    "AgedState",
    "Ack",
    "Answer",
    "BackendJob",
    "BackendResult",
    "BackendServerAnnounced",
    "Call",
    "CallMeasured",
    "CallRequest",
    "CallResult",
    "CallerLeft",
    "Cancel",
    "ConfigCommitted",
    "ConfigDelta",
    "ConfigDigest",
    "ConfigRead",
    "ConfigRefused",
    "ConfigRequest",
    "ConfigSnapshot",
    "Delivered",
    "EvidenceReport",
    "Failed",
    "GateControl",
    "GateReport",
    "Join",
    "LeaveAnnounced",
    "LevelsReply",
    "LevelsRequest",
    "Members",
    "MembersRequest",
    "Message",
    "NodeState",
    "NotRun",
    "NotRunReason",
    "Offer",
    "OrderRow",
    "OrdersPull",
    "OrdersPush",
    "PackedForm",
    "PackedRow",
    "Outcome",
    "OutcomeUnknown",
    "Ping",
    "PingRequest",
    "ReadConfig",
    "Refused",
    "ServerLoad",
    "ServerState",
    "StateBatch",
    "StatusReply",
    "StatusRequest",
    "StopTask",
    "TrialNotice",
    "UnknownReason",
    "VersionCounts",
    "Welcome",
    "WithdrawalNotice",
    "WorkerReady",
    "decode",
    "encode",
    "sockets",
]
