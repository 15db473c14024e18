"""What the control task owns."""

import dataclasses
import random

from apricotpost import membership
from apricotpost import model
from apricotpost.node import control_peers
from apricotpost.node import views
from apricotpost.rollout import judges
from apricotpost import settings
from apricotpost import spread
from apricotpost import wire

__all__ = ["ControlTask"]


@dataclasses.dataclass(kw_only=True)
class ControlTask:
    """Sockets and state of the control task.

    Parameters
    ----------
    announced : BackendServerAnnounced, optional
        Last announcement of the backend server.
    announced_at : float
        When it last changed, in monotonic seconds.
    watched : dict
        Services whose rollout was open, and until when it counts as such.
    sent_reports : SentReports
        Evidence that the judges of the open rollout were sent.
    """

    current: views.Current
    options: settings.NodeSettings
    rng: random.Random
    peers: control_peers.Peers
    platform: wire.sockets.Socket
    rollout: wire.sockets.Socket
    members: membership.Membership
    distribution: spread.SpreadState
    cluster: spread.ClusterView
    announced: wire.BackendServerAnnounced | None = None
    announced_at: float = 0.0
    backend_server_up: bool = False
    leaving: bool = False
    load: model.Load | None = None
    watched: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_reports: judges.SentReports = judges.SentReports()
    table_reads: int = 0
    refusals: int = 0
    housekept_at: float = 0.0
