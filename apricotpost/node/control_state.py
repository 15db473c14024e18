"""State of the control task."""

import dataclasses
import random

from apricotpost import distribution
from apricotpost import membership
from apricotpost import model
from apricotpost.node import control_peers
from apricotpost.node import views
from apricotpost.rollout import judges
from apricotpost import settings
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
        Time at which the announcement last changed, in monotonic seconds.
    watched_until : dict
        Services with an open or recently ended rollout, and the monotonic
        time in seconds until which their evidence is sent to judges.
    sent_reports : SentReports
        Evidence already sent to the judges of the open rollout.
    """

    current: views.CurrentView
    options: settings.NodeSettings
    rng: random.Random
    peers: control_peers.Peers
    platform: wire.sockets.Socket
    rollout: wire.sockets.Socket
    members: membership.Membership
    distribution_state: distribution.DistributionState
    cluster: distribution.ClusterView
    announced: wire.BackendServerAnnounced | None = None
    announced_at: float = 0.0
    backend_server_up: bool = False
    leaving: bool = False
    load: model.Load | None = None
    watched_until: dict[str, float] = dataclasses.field(default_factory=dict)
    sent_reports: judges.SentReports = judges.SentReports()
    table_reads: int = 0
    refusals: int = 0
    last_housekeeping_at: float = 0.0
